//! Integration tests of the direct path: over sockets with scripted endpoints that fail
//! on command, and for its parts without sockets.

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
