//! Decisions on the path of a request, as state machines without I/O.
//!
//! Callers pass in events, the current time and a source of randomness, so every decision
//! can be tested without sockets and replayed. From the caller's side to the endpoint's:
//!
//! * [`intake`]: the memory and connections that clients may hold;
//! * [`quota`]: limits of a workspace on requests in flight and per second;
//! * [`queue`]: requests that wait in the entry, ordered by tier, slack and workspace
//!   share, bounded in count and bytes;
//! * [`view`]: the estimated load of one endpoint;
//! * [`subset`]: the endpoints that an entry uses;
//! * [`placement`]: the choice of an endpoint;
//! * [`dispatch`]: queue, views and placement of one service combined;
//! * [`budget`]: the retries that a service may add to its load;
//! * [`backlog`] and [`queue_wait`]: the time until a prompt is prefilled;
//! * [`affinity`]: the choice of an endpoint for a prompt with a shared prefix;
//! * [`prefixes`]: fetching a cached prefix from another endpoint;
//! * [`interference`]: whether latency-sensitive streams need endpoints of their own;
//! * [`reservation`]: how many endpoints are reserved for latency-sensitive streams;
//! * [`packing`]: how many of the reserved endpoints are used;
//! * [`event_gap`]: which endpoints are too slow for latency-sensitive streams;
//! * [`pace`]: how long work takes at an endpoint at the moment;
//! * [`prefill_rate`]: the prefill rate of endpoints;
//! * [`incarnations`]: the newest run of each endpoint;
//! * [`list_reads`]: when an entry reads the list of endpoints by itself;
//! * [`backoff`]: endpoints that request a pause before the next request;
//! * [`permits`]: limits on the request rate that endpoints announce;
//! * [`lending`]: places at endpoints with few slots;
//! * [`shared_health`]: the state of each endpoint as all entries together observe it;
//! * [`quarantine`]: requests that crash endpoints and are no longer sent;
//! * [`served`]: requests that were served recently;
//! * [`shares`]: the room of a service, divided among workspaces;
//! * [`software_versions`]: the versions of a service's endpoints;
//! * [`stream_versions`]: the version at which each stream began;
//! * [`transfer`]: fetching a large text that several sources hold;
//! * [`true_time`]: the current time, from many wall clocks;
//! * [`urgency`]: the priority of a request at an endpoint;
//! * [`usage`]: requests of each workspace that began in a window of time;
//! * [`health`]: the endpoints that an entry may use after recent outcomes;
//! * [`gate`]: the agent's decision to start or refuse a request, with [`limit`], the
//!   concurrency of its endpoint, learned from token gaps.
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
pub mod intake;
pub mod interference;
pub mod lending;
pub mod limit;
pub mod list_reads;
pub mod pace;
pub mod packing;
pub mod permits;
pub mod placement;
pub mod prefill_rate;
pub mod prefixes;
pub mod quarantine;
pub mod queue;
pub mod queue_wait;
pub mod quota;
pub mod reservation;
pub mod served;
pub mod shared_health;
pub mod shares;
pub mod software_versions;
pub mod stream_versions;
pub mod subset;
pub mod transfer;
pub mod true_time;
pub mod urgency;
pub mod usage;
pub mod view;

/// A point in time: the duration since the caller's clock started.
pub type Moment = std::time::Duration;
