//! Which endpoints are kept free of long prompts.
//!
//! Streams with the shortest pauses of a service get endpoints of their own where
//! prompts that are read beside them would make them late ([`interference`] tells
//! whether they would). How many follows from the share of the work they bring,
//! which every entry measures by itself; which ones follows from a fixed order of
//! the endpoints. A dozen requests a second make a poor measure: entries alone
//! differ by half, and an endpoint that some keep free and others don't serves both
//! kinds badly. So they tell each other what came, and go by the sums ([`Reservation`]).
//!
//! [`interference`]: crate::interference

use std::time::Duration;

/// Endpoints for fragile streams beyond their share of the work, so that they
/// don't queue when they alone burst.
const MARGIN: f64 = 1.1;
/// Work that counts beside what was measured, so that an entry which starts
/// agrees with the others: two seconds of one endpoint's time.
const PRIOR: f64 = 2.0;
/// Share of it that is fragile.
const PRIOR_SHARE: f64 = 0.24;
/// Time constant of the measured share. A burst lasts four to nine seconds, and an
/// entry sees some ten requests a second.
const MEMORY: f64 = 7.0;

/// The same where the work of all entries is known: with so many requests a
/// burst is followed sooner.
const SHARED_MEMORY: f64 = 2.5;

/// How long the sums over all entries are used that are not renewed: three of
/// the intervals at which entries tell each other.
const AGREED: Duration = Duration::from_millis(1_600);

/// Work of both kinds that came lately, fading.
#[derive(Clone, Copy, Debug)]
pub struct WorkMix {
    memory: f64,
    fragile: f64,
    other: f64,
    at: Duration,
}

impl Default for WorkMix {
    fn default() -> Self {
        Self::fading(MEMORY)
    }
}

impl WorkMix {
    fn fading(memory: f64) -> Self {
        Self {
            memory,
            fragile: 0.0,
            other: 0.0,
            at: Duration::ZERO,
        }
    }

    /// Work of fragile streams and of others, as it counts now.
    fn work(&self, now: Duration) -> (f64, f64) {
        let fade = self.fade(now);
        (self.fragile * fade, self.other * fade)
    }

    /// A request came that will take an endpoint `work` of its time. Requests
    /// in the background don't count: under overload their work is more than
    /// the endpoints have, and the share of the fragile streams, which are more
    /// urgent, would shrink while they need as much as before. What is in front
    /// is about what the endpoints left to it can do, so the fragile streams
    /// get what they need and a tenth more.
    pub fn record(&mut self, now: Duration, fragile: bool, work: Duration) {
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
        (-now.saturating_sub(self.at).as_secs_f64() / self.memory).exp()
    }
}

/// The lanes of one service at one entry, by its own count and by that of all
/// entries together.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    own: WorkMix,
    /// What is told to the others.
    told: WorkMix,
    /// What came at all of them, and when that was heard.
    agreed: Option<(WorkMix, Duration)>,
}

impl Default for Reservation {
    fn default() -> Self {
        Self {
            own: WorkMix::default(),
            told: WorkMix::fading(SHARED_MEMORY),
            agreed: None,
        }
    }
}

impl Reservation {
    /// A request came that will take an endpoint `work` of its time.
    pub fn record(&mut self, now: Duration, fragile: bool, work: Duration) {
        self.own.record(now, fragile, work);
        self.told.record(now, fragile, work);
    }

    /// Work of fragile streams and of others for the other entries to know, in
    /// seconds of an endpoint's time.
    pub fn local_work(&self, now: Duration) -> (f64, f64) {
        self.told.work(now)
    }

    /// Takes in the sums of what all entries told.
    pub fn set_total(&mut self, now: Duration, fragile: f64, other: f64) {
        let lanes = WorkMix {
            memory: SHARED_MEMORY,
            fragile,
            other,
            at: now,
        };
        self.agreed = Some((lanes, now));
    }

    /// How many of `endpoints` fragile streams have for themselves: by the sums,
    /// or by the entry's own count where it hears of none.
    pub fn reserved(&self, now: Duration, endpoints: usize) -> usize {
        let fresh = |(_, at): &(WorkMix, Duration)| now.saturating_sub(*at) < AGREED;
        let agreed = self.agreed.filter(fresh);
        agreed
            .map_or(self.own, |(lanes, _)| lanes)
            .reserved(endpoints)
    }
}
