//! Fetching a cached prefix from another endpoint instead of prefilling it again.
//!
//! A prompt that is placed where its prefix is not expected can fetch the prefix from an
//! endpoint that holds it: over the link between the engines, without computation.
//! [`link`] says how long that takes and when it is worth it, [`source`] which endpoint
//! to fetch from. An endpoint that holds less than expected sends less, and the rest is
//! prefilled, so a wrong guess costs one round trip.

pub mod link;
pub mod range;
pub mod source;

pub use link::{Link, MIN_TOKENS};
pub use range::Ranges;
pub use source::{Holder, Offer, offers};
