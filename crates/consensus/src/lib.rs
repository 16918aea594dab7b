//! A replicated log as a state machine without I/O.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In Search of an
//! Understandable Consensus Algorithm", 2014) with pre-votes, a leader that
//! steps down when it loses contact with its majority, reads confirmed by a
//! majority, snapshots, and membership changed one instance at a time.
//!
//! [`node::Node`] takes events and the present time in and collects what has
//! to be done in a [`ready::Ready`]. The owner's duty is an order: make
//! everything durable that `Ready` names, then call [`node::Node::synced`],
//! and only then send what is marked for after the sync. As long as the owner
//! keeps it, these hold under lost, delayed, repeated and reordered messages
//! and under crashes at any step:
//!
//! * at most one leader in a term;
//! * an entry that was handed out as committed is never lost or changed;
//! * a confirmed read sees every entry committed before it began;
//! * an instance without its earlier state never votes: it comes back under a
//!   new id, follows as a learner, and is made a voter only once caught up.

mod election;
pub mod log;
pub mod members;
mod membership;
pub mod message;
pub mod node;
pub mod ready;
mod replication;

/// A point in time: the duration since the owner's clock started.
pub type Moment = std::time::Duration;
/// Identity of an instance, random, made with its data folder.
pub type NodeId = u64;
/// Leadership term; it only rises.
pub type Term = u64;
/// Position in the log; it only rises.
pub type Index = u64;
/// The owner's name for a read in progress.
pub type ReadId = u64;
