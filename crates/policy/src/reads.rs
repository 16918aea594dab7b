//! When an entry reads the list of endpoints by itself.
//!
//! The pattern: 33 entries that each read two pages a second make 67 calls a
//! second, and 300 make more than a list allows, so that an endpoint that leaves
//! gets new requests for five seconds. So two entries read, and a control instance
//! passes on to the others what they read. An entry that hears of no fresh read
//! reads by itself, whatever the reason: the readers died or froze, the list
//! doesn't answer them, control can't be reached.
//!
//! An entry that starts waits for what others have read, since without control it has no
//! routes to serve by either. On a day on which a hundred entries start again one by
//! one, each of which read five pages of a list, half of all calls of the list were
//! theirs; after a loss of power all of them would read in the same moment.
//!
//! A read of sixty pages takes a small instance a second. Whoever hears of reads can't
//! tell from their age alone whether the readers are gone or only slow, so readers tell
//! how long they took, and a read counts as stale that much later. Otherwise hundreds of
//! entries take to reading at once, the list refuses most of their calls and those of
//! the readers as well, and it goes on for as long as all of them try. For the same reason
//! an entry that was refused tries less and less, and stops once it hears of a read
//! ([`pause`]).
//!
//! Invariant: only a read that was asked for later than the one in use replaces
//! it. Reads of others are dated by their age when the question for them was
//! sent, so they never look newer than they are.

use std::time::Duration;

/// Age from which a read is no longer relied on. Readers read every second or a
/// little more, tell at once, and others hear within 0.6 s: 1.8 s at the worst.
pub const STALE: Duration = Duration::from_millis(2_000);

/// How long a list stays in doubt that names far fewer endpoints than the one in
/// use, before it is believed: shorter than the few seconds after which an endpoint
/// that leaves must get nothing new.
const DOUBT: Duration = Duration::from_millis(1_500);

/// Longest time for which a read is waited for beyond [`STALE`], whatever a reader says:
/// with it an endpoint that leaves is known within a few seconds still.
const LONGEST_READ: Duration = Duration::from_millis(1_500);
/// Pause after a failed read, at first.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause of an entry that does not read for the others and was refused for too
/// many calls. Hundreds of them then make some tens of calls a second together.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// How long an entry pauses after `failures` reads that failed, the last one refused for
/// too many calls if `busy`. `spread`, of 0 to 1, keeps those that were refused together
/// from coming back together.
pub fn pause(
    failures: u32,
    busy: bool,
    reader: bool,
    interval: Duration,
    spread: f64,
) -> Duration {
    let usual = interval.min(FIRST_PAUSE * failures);
    if !busy || reader {
        return usual;
    }
    let doubled = FIRST_PAUSE * 2u32.pow(failures.min(8));
    doubled
        .min(LONGEST_PAUSE)
        .mul_f64(0.5 + spread.clamp(0.0, 1.0))
}

/// Lists that may be cut short or empty by a fault of whoever keeps them.
///
/// A list that names less than half of the endpoints in use is not believed at
/// once; an empty one never is, since endpoints that are gone show it by themselves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Doubt {
    since: Option<Duration>,
}

impl Doubt {
    /// A list with `after` endpoints was read while one with `before` is in use.
    /// Returns whether it is believed.
    pub fn believes(&mut self, now: Duration, before: usize, after: usize) -> bool {
        if after * 2 >= before {
            self.since = None;
            return true;
        }
        let since = *self.since.get_or_insert(now);
        let believed = after > 0 && now.saturating_sub(since) >= DOUBT;
        if believed {
            self.since = None;
        }
        believed
    }
}

/// How long an entry that starts waits for what others have read, at least. Control
/// answers within some 50 ms of its own start, and a reader that starts with it needs
/// another 100 to read five pages; routes take longer, as they need a leader.
const FIRST_WAIT: Duration = Duration::from_millis(500);

/// Longest such wait where control answers, and others are to read: two readers may die
/// one after the other, and be replaced, before those who wait read by themselves.
const LONGEST_FIRST_WAIT: Duration = Duration::from_millis(2_500);

/// The reads of the list that one entry knows of. Times are measured from a moment
/// [`STALE`] before the entry's start: older reads are of no use to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reads {
    newest: Option<Duration>,
    /// How long the newest took.
    took: Duration,
    reader: bool,
    /// When control said last that others read, and that none has yet.
    awaited: Duration,
}

impl Reads {
    /// Whether any read is known.
    pub fn known(&self) -> bool {
        self.newest.is_some()
    }

    /// When the read in use was asked for.
    pub fn newest(&self) -> Option<Duration> {
        self.newest
    }

    /// A read came that was asked for at `read` and took `took`. Returns whether it
    /// replaces the one in use.
    pub fn take(&mut self, read: Duration, took: Duration) -> bool {
        let newer = self.newest.is_none_or(|newest| read > newest);
        if newer {
            self.newest = Some(read);
            self.took = took.min(LONGEST_READ);
        }
        newer
    }

    /// Control answered at `now` that it knows of no read yet.
    pub fn awaited(&mut self, now: Duration) {
        self.awaited = now;
    }

    /// Whether this entry reads for the others.
    pub fn appoint(&mut self, reader: bool) {
        self.reader = reader;
    }

    /// Whether this entry reads for the others.
    pub fn reader(&self) -> bool {
        self.reader
    }

    /// How long after `now` the entry reads next, if nothing more is heard: a
    /// reader `interval` after the read in use, the others when that is stale. One that
    /// knows of no read waits for a moment after its start, and as long as control says
    /// that others read, unless it is a reader.
    /// `spread`, of 0 to 1, keeps entries that all hear nothing from reading at the
    /// same moment: by up to a quarter of the time, and twice the time at a start.
    pub fn due(&self, now: Duration, interval: Duration, spread: f64) -> Duration {
        let spread = spread.clamp(0.0, 1.0);
        let Some(newest) = self.newest else {
            if self.reader {
                return Duration::ZERO;
            }
            let from = self.awaited.clamp(STALE, STALE + LONGEST_FIRST_WAIT);
            let wait = FIRST_WAIT.mul_f64(1.0 + 2.0 * spread);
            return (from + wait).saturating_sub(now);
        };
        let after = if self.reader {
            interval.max(self.took)
        } else {
            STALE.max(interval) + self.took
        };
        let at = newest + after.mul_f64(1.0 + 0.25 * spread);
        at.saturating_sub(now)
    }
}
