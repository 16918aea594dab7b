//! Decisions on the path of a request, as state machines without I/O.
//!
//! Everything here is driven by events and a `now` that the caller passes in;
//! randomness comes from a source that is passed in as well. That makes each
//! decision testable without sockets, replayable, and cheap to measure. The
//! parts, from the caller's side to the endpoint's:
//!
//! * [`quota`]: a workspace's limits on requests in flight and per second;
//! * [`queue`]: requests that wait in the entry, ordered by tier, slack and
//!   workspace share, bounded in count and bytes;
//! * [`view`]: what an entry believes of one endpoint's load;
//! * [`subset`]: which endpoints an entry uses at all;
//! * [`placement`]: the choice of an endpoint;
//! * [`dispatch`]: the three above joined into one machine per service;
//! * [`budget`]: how many retries a service may add to its load;
//! * [`affinity`]: the choice of an endpoint for a prompt whose beginning other
//!   requests share;
//! * [`interference`]: whether streams with short pauses are kept apart at all;
//! * [`reservation`]: which endpoints are kept free of long prompts;
//! * [`packing`]: how many endpoints streams with short pauses are packed on;
//! * [`prefill_rate`]: how fast endpoints read prompts;
//! * [`incarnations`]: which run of each endpoint is the newest one;
//! * [`list_reads`]: when an entry reads the list of endpoints by itself;
//! * [`backoff`]: endpoints that ask to be left alone for a while;
//! * [`permits`]: limits on the rate of requests that endpoints name;
//! * [`shared_health`]: what all entries together see of each endpoint;
//! * [`quarantine`]: which requests crash endpoints, and are not sent on;
//! * [`served`]: which requests were served lately;
//! * [`transfer`]: fetching a large text that several sources have;
//! * [`true_time`]: what time it is, by many wall clocks;
//! * [`urgency`]: who goes first at an endpoint;
//! * [`usage`]: how many requests of each workspace were begun in a window of time;
//! * [`health`]: which endpoints an entry may use after what came back lately;
//! * [`gate`]: the agent's decision to start or refuse, with [`limit`], the
//!   number of requests its endpoint can run at once, learned from token gaps.
//!
//! Times are durations since a start that the caller fixes (its own clock),
//! since only differences matter.

pub mod affinity;
pub mod backlog;
pub mod backoff;
pub mod budget;
pub mod dispatch;
pub mod event_gap;
pub mod gate;
pub mod health;
pub mod incarnations;
pub mod interference;
pub mod limit;
pub mod list_reads;
pub mod packing;
pub mod permits;
pub mod placement;
pub mod prefill_rate;
pub mod quarantine;
pub mod queue;
pub mod queue_wait;
pub mod quota;
pub mod reservation;
pub mod served;
pub mod shared_health;
pub mod subset;
pub mod transfer;
pub mod true_time;
pub mod urgency;
pub mod usage;
pub mod view;

/// A point in time: the duration since the caller's clock started.
pub type Moment = std::time::Duration;
