//! Integration tests of the direct path: over sockets with scripted endpoints that fail
//! on command, and for its parts without sockets.

mod abandoned;
mod backoff;
mod buffers;
mod callers;
mod control;
mod crash_evidence;
mod crashing_parts;
mod dialect;
mod endless;
mod endpoint;
mod entry;
mod events;
mod fleet;
mod half_head;
mod intake;
mod leaving;
mod lending;
mod list_tracker;
mod logging;
mod outcomes;
mod pace;
mod placement;
mod prefixes;
mod quarantine;
mod race;
mod rate_limits;
mod responses;
mod route_follower;
mod settings;
mod shares;
mod staleness;
mod streams;
mod trials;
mod usage;
mod versions;
