//! A replicated log as a state machine without I/O.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In Search of an
//! Understandable Consensus Algorithm", 2014) with pre-votes, a leader that
//! steps down when it loses contact with a majority, linearizable reads
//! confirmed by a majority, snapshots, and membership changes of one instance
//! at a time.
//!
//! [`node::Node`] takes events and the current time as input and collects its
//! output in a [`ready::Ready`]. The owner must process it in order: make
//! durable everything that `Ready` lists, then call [`node::Node::synced`],
//! and only then send the messages marked for after the sync. As long as the
//! owner does so, these invariants hold under lost, delayed, repeated and reordered
//! messages and under crashes at any step:
//!
//! * at most one leader in a term;
//! * an entry that was returned as committed is never lost or changed;
//! * a confirmed read sees every entry committed before it began;
//! * an instance that lost its state never votes: it rejoins under a new id,
//!   as a learner, and becomes a voter only once it has caught up.

mod election;
pub mod log;
pub mod members;
mod membership;
pub mod message;
pub mod node;
pub mod ready;
mod replication;

/// A point in time: the duration since the owner's monotonic clock started.
pub type Moment = std::time::Duration;
/// Identity of an instance: random, generated with its data folder.
pub type NodeId = u64;
/// Leadership term; it only increases.
pub type Term = u64;
/// Position in the log; the first entry has index 1.
pub type Index = u64;
/// Identifier that the owner assigns to a read in progress.
pub type ReadId = u64;
