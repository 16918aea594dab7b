//! Whether streams with short pauses need endpoints of their own.
//!
//! The pattern: a class streams short events to people who notice every pause,
//! beside classes with prompts of thousands of tokens. While an engine reads a
//! prompt, each of its steps takes several times as long, and an event of several
//! tokens takes several such steps. Whether that is too long for the class depends
//! on the engine: by the tokens of an event, by the size of the parts in which it
//! reads, and by its speed, which are nowhere told.
//!
//! But every stream that runs beside long prompts shows it. The longest pause of
//! nearly each of them tells what the class would meet there. So a service keeps
//! its streams apart as long as it knows nothing, and mixes them again when the
//! pauses beside long prompts turn out to be well below what the class allows:
//! endpoints that serve both kinds are better used, and a service with few
//! endpoints gives up a large part of them by keeping one free.

use std::collections::VecDeque;
use std::time::Duration;

/// Streams whose longest pause is remembered.
const REMEMBERED: usize = 60;
/// Streams that one entry has to have seen before they count. The first ones to end
/// are the short ones, whose longest pause is short as well: 33 entries with one to
/// four streams each took 57 ms for what is 500.
const ENOUGH: usize = 30;
/// Time after which a pause is forgotten: engines are replaced, and loads change
/// within minutes.
const FORGET: Duration = Duration::from_secs(60);
/// Part of the streams that had no longer pause than the estimate. It is near to
/// one, since nearly all prompts of a calm minute are read alone, and the estimate
/// has to hold for a burst that comes next. With 0.9 of forty streams the classes
/// were mixed in calm times, and 2 to 5 in 100 more of the most urgent streams
/// were late. Two outliers, of endpoints that were lost or froze, don't move it.
const MOSTLY: f64 = 0.97;
/// Streams are kept apart again where the pause they allow is shorter than this
/// multiple of the estimate. Classes with short pauses have more events than those
/// the estimate comes from, and so a longer longest pause.
const APART: f64 = 1.25;
/// They are mixed where it is longer than this multiple. The distance to
/// [`APART`] keeps entries from going to and fro.
const MIXED: f64 = 1.6;
/// How long an estimate of all entries is used that is not renewed: three of the
/// intervals at which they tell each other.
const AGREED: Duration = Duration::from_millis(1_600);
/// Longest pause that is taken in: beyond it a stream shows a lost endpoint, not
/// one that reads.
const LONGEST: Duration = Duration::from_secs(10);

/// What streams of one service suffer beside long prompts.
#[derive(Clone, Debug)]
pub struct Interference {
    /// When streams ended, and their longest pauses; the oldest first.
    ended: VecDeque<(Duration, Duration)>,
    /// Estimate of all entries, and when it was heard.
    agreed: Option<(Duration, Duration)>,
    apart: bool,
}

impl Default for Interference {
    fn default() -> Self {
        Self {
            ended: VecDeque::with_capacity(REMEMBERED),
            agreed: None,
            apart: true,
        }
    }
}

impl Interference {
    /// A stream ended that ran beside long prompts.
    pub fn record_stream(&mut self, now: Duration, longest: Duration) {
        if self.ended.len() == REMEMBERED {
            self.ended.pop_front();
        }
        self.ended.push_back((now, longest.min(LONGEST)));
    }

    /// The longest pause that most streams stayed below, and how many streams
    /// tell so; none where they are too few.
    pub fn local_estimate(&self, now: Duration) -> (Duration, usize) {
        let fresh = |at: Duration| now.saturating_sub(at) < FORGET;
        let recent = self.ended.iter().filter(|(at, _)| fresh(*at));
        let mut pauses: Vec<Duration> = recent.map(|(_, pause)| *pause).collect();
        pauses.sort_unstable();
        if pauses.len() < ENOUGH {
            return (Duration::ZERO, 0);
        }
        let at = ((pauses.len() - 1) as f64 * MOSTLY) as usize;
        (pauses[at], pauses.len())
    }

    /// Takes in the mean of what all entries told, weighted by their streams.
    pub fn set_shared_estimate(
        &mut self,
        now: Duration,
        pause: Duration,
        streams: usize,
    ) {
        if streams >= ENOUGH {
            self.agreed = Some((pause.min(LONGEST), now));
        }
    }

    /// The pause that streams beside long prompts mostly stay below, if enough of
    /// them were seen.
    pub fn estimate(&self, now: Duration) -> Option<Duration> {
        let fresh = |(_, at): &(Duration, Duration)| now.saturating_sub(*at) < AGREED;
        if let Some((pause, _)) = self.agreed.filter(fresh) {
            return Some(pause);
        }
        let (pause, streams) = self.local_estimate(now);
        (streams > 0).then_some(pause)
    }

    /// Decides anew for streams that allow a pause of `allowed`, the shortest of
    /// their service. Returns whether the decision changed.
    pub fn decide(&mut self, now: Duration, allowed: Duration) -> bool {
        let before = self.apart;
        self.apart = match self.estimate(now) {
            None => true,
            Some(known) if allowed < known.mul_f64(APART) => true,
            Some(known) if allowed > known.mul_f64(MIXED) => false,
            Some(_) => before,
        };
        self.apart != before
    }

    /// Whether streams with the shortest pauses are kept apart.
    pub fn separate(&self) -> bool {
        self.apart
    }
}
