//! Which endpoints are kept free of long prompts.
//!
//! The pattern: one class streams short events to people who notice every
//! pause (a cue feed with 120 ms between events), beside classes with prompts
//! of thousands of tokens. An engine reads a prompt in chunks between the
//! tokens of the streams that run beside it. While it reads without a break, a
//! step takes 25 to 45 ms in place of 7, so an event of three to five tokens
//! takes 125 to 155 ms, and the whole stream is late. Two long prompts that
//! meet are enough.
//!
//! So streams whose pause is shorter than that get endpoints of their own. How
//! many follows from the share of the work they bring, which every entry
//! measures by itself; which ones follows from a fixed order of the endpoints,
//! so that entries which measure a little different shares differ in one
//! endpoint at most.

use std::time::Duration;

/// Pause up to which a stream is disturbed by prompts read without a break:
/// 125 to 155 ms at the engines in use.
pub const FRAGILE_PAUSE: Duration = Duration::from_millis(160);
/// Endpoints for fragile streams beyond their share of the work, so that they
/// don't queue when they alone burst.
const MARGIN: f64 = 1.3;
/// Work that counts beside what was measured, so that an entry which starts
/// agrees with the others: two seconds of one endpoint's time.
const PRIOR: f64 = 2.0;
/// Share of it that is fragile.
const PRIOR_SHARE: f64 = 0.21;
/// Time constant of the measured share. A burst lasts four to nine seconds, and an
/// entry sees some ten requests a second.
const MEMORY: f64 = 7.0;

/// Work of both kinds that came lately, fading.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lanes {
    fragile: f64,
    other: f64,
    at: Duration,
}

impl Lanes {
    /// A request came that will take an endpoint `work` of its time. Requests
    /// in the background don't count: under overload their work is more than
    /// the endpoints have, and the share of the fragile streams, which are more
    /// urgent, would shrink while they need as much as before. What is in front
    /// is about what the endpoints left to it can do, so the fragile streams
    /// get what they need and [`MARGIN`].
    pub fn note(&mut self, now: Duration, fragile: bool, work: Duration) {
        let fade = self.fade(now);
        self.fragile *= fade;
        self.other *= fade;
        self.at = now.max(self.at);
        let kind = if fragile {
            &mut self.fragile
        } else {
            &mut self.other
        };
        *kind += work.as_secs_f64();
    }

    /// How many of `endpoints` fragile streams have for themselves where both
    /// kinds may come: at least one, and never all.
    pub fn reserved(&self, endpoints: usize) -> usize {
        if endpoints < 2 {
            return 0;
        }
        let fragile = MARGIN * (self.fragile + PRIOR * PRIOR_SHARE);
        let other = self.other + PRIOR * (1.0 - PRIOR_SHARE);
        let share = fragile / (fragile + other);
        let wanted = (endpoints as f64 * share).ceil() as usize;
        wanted.clamp(1, endpoints - 1)
    }

    fn fade(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.at).as_secs_f64() / MEMORY).exp()
    }
}
