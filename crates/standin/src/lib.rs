//! Stand-ins for what the router serves.
//!
//! [`engine`] is a small model of a language-model engine with continuous
//! batching; [`plain`] is a service that counts its calls per idempotency
//! key, so that a doubled call shows. Both say something that depends on the
//! very request ([`text`]), so that an answer given to the wrong caller is
//! seen, and both fail on command ([`faults`]).

pub mod engine;
pub mod faults;
pub mod plain;
pub mod schedule;
pub mod text;
