//! The direct path over sockets, against endpoints that misbehave on command,
//! and its parts without sockets.

mod ages;
mod answers;
mod backoff;
mod callers;
mod control;
mod crashing;
mod dialect;
mod endpoint;
mod entry;
mod events;
mod first;
mod follow;
mod leaving;
mod limited;
mod limits;
mod lists;
mod logged;
mod outcomes;

mod settings;
mod streams;
mod usage;
mod withdrawn;
