//! Decisions on the path of a request, as state machines without I/O.
//!
//! Callers pass in events, the current time and a source of randomness, so every decision
//! can be tested without sockets and replayed. From the caller's side to the endpoint's:
//!
//! * [`quota`]: limits of a workspace on requests in flight and per second;
//! * [`queue`]: requests that wait in the entry, ordered by tier, slack and workspace
//!   share, bounded in count and bytes;
//! * [`view`]: the estimated load of one endpoint;
//! * [`subset`]: the endpoints that an entry uses;
//! * [`placement`]: the choice of an endpoint;
//! * [`dispatch`]: the three above joined into one machine per service;
//! * [`budget`]: how many retries a service may add to its load;
//! * [`affinity`]: the choice of an endpoint for a prompt whose beginning other
//!   requests share;
//! * [`interference`]: whether streams with short pauses are kept apart at all;
//! * [`reservation`]: which endpoints are kept free of long prompts;
//! * [`packing`]: how many endpoints streams with short pauses are packed on;
//! * [`prefill_rate`]: the rate at which endpoints prefill prompts;
//! * [`incarnations`]: the newest run of each endpoint;
//! * [`list_reads`]: when an entry reads the list of endpoints itself;
//! * [`backoff`]: endpoints that ask to be left alone for a while;
//! * [`permits`]: rate limits that endpoints announce, enforced across all entries;
//! * [`shared_health`]: endpoint health as observed by all entries together;
//! * [`quarantine`]: requests that crash endpoints, and are not forwarded;
//! * [`served`]: recently served requests;
//! * [`transfer`]: fetching a large text in pieces from several sources;
//! * [`true_time`]: true time, estimated from many wall clocks;
//! * [`urgency`]: who goes first at an endpoint;
//! * [`usage`]: counts of requests per workspace and window of time, and the lease
//!   of the duty that finalizes them;
//! * [`health`]: which endpoints an entry may use after what came back lately;
//! * [`gate`]: the agent's decision to start or refuse, with [`limit`], the
//!   number of requests its endpoint can run at once, learned from token gaps.
//!
//! Times are durations since a start that the caller fixes (its own clock), since only
//! differences matter.

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
