//! Stand-ins for the services behind the router.
//!
//! [`engine`] simulates a language-model engine with continuous batching. [`plain`] is an
//! HTTP service that counts its calls per idempotency key, which reveals duplicated
//! calls. The responses of both are a function of the request ([`text`] for engines), so
//! a response delivered to the wrong caller is detected. Both support fault injection
//! ([`faults`]).

pub mod engine;
pub mod faults;
pub mod plain;
pub mod scheduler;
pub mod text;
