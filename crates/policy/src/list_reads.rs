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
//! ([`retry_delay`]).
//!
//! Whatever happens to readers, control and the way of the news, no entry goes by a read
//! for longer than endpoints that leave may still be sent requests: each reads by itself
//! before that ([`fallback_age`]). What is asked for once a list shows that an endpoint
//! leaves says so; so a request goes to such an endpoint for at most the age at which an
//! entry reads, the time its read takes, and the time to connect.
//!
//! Invariant: only a read that was asked for later than the one in use replaces
//! it. Reads of others are dated by their age when the question for them was
//! sent, so they never look newer than they are by more than a message to control takes.

use std::time::Duration;

/// Age from which a read is no longer relied on. Readers read every second or a
/// little more, tell at once, and others hear within 0.6 s: 1.8 s at the worst.
pub const STALE_AFTER: Duration = Duration::from_millis(2_000);

/// How long endpoints that leave may still be sent requests, where settings say nothing.
pub const DEFAULT_LEAVING_WITHIN: Duration = Duration::from_secs(4);

/// Longest wait for a connection, and so the longest time from the choice of an endpoint
/// to the first byte on its way there. Ten times the way to the farthest endpoint, and
/// short against the shortest target.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Shortest interval of readers, whatever the bound: a list takes only so many calls.
pub const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Part by which an entry delays a read that is due, at most, so that entries which hear
/// nothing do not read at the same moment.
const SPREAD: f64 = 0.25;

/// Least time over which entries that hear nothing spread their reads.
pub const MIN_SPREAD: Duration = Duration::from_millis(100);

/// Longest time from a reader's read to when another entry has heard of it, beside the
/// read itself: the interval at which an entry asks.
const TELLING: Duration = Duration::from_millis(600);

/// Oldest age that a read has where all is well, before the next one is heard of.
pub fn expected_age(interval: Duration, took: Duration) -> Duration {
    interval.max(took).mul_f64(1.0 + SPREAD) + took + TELLING
}

/// Longest interval of readers with which news travel in time where endpoints that leave
/// may be sent requests for `within`; at least a tenth of a second.
pub fn max_read_interval(within: Duration) -> Duration {
    let reading = within.saturating_sub(TELLING + CONNECT_TIMEOUT);
    reading.div_f64(1.0 + SPREAD).max(MIN_READ_INTERVAL)
}

/// Age of a read at which an entry that is no reader reads by itself, where one takes
/// `took` and endpoints that leave may be sent requests for `within`; `spread`, of 0 to 1,
/// keeps entries that all hear nothing from reading at the same moment. Never before the
/// usual age: entries that read while all is well keep each other's calls from being
/// answered. Where that leaves no time for the read and a connection, entries are as
/// patient as without a bound, since hundreds that hurry would be late together.
pub fn fallback_age(
    within: Duration,
    interval: Duration,
    took: Duration,
    spread: f64,
) -> Duration {
    let stale = STALE_AFTER.max(interval) + took;
    let patient = stale.mul_f64(1.0 + SPREAD);
    let usual = expected_age(interval, took);
    let last = within.saturating_sub(CONNECT_TIMEOUT + took);
    if patient <= last || usual + MIN_SPREAD > last {
        return stale.mul_f64(1.0 + SPREAD * spread);
    }
    let first = usual.max(last.saturating_sub(stale.mul_f64(SPREAD)));
    first + (last - first).mul_f64(spread)
}

/// How long a list stays in doubt that names far fewer endpoints than the one in
/// use, before it is believed: shorter than the few seconds after which an endpoint
/// that leaves must get nothing new.
const DOUBT: Duration = Duration::from_millis(1_500);

/// Longest time for which a read is waited for beyond [`STALE_AFTER`], whatever a reader says:
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
pub fn retry_delay(
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
pub struct ShrinkGuard {
    since: Option<Duration>,
}

impl ShrinkGuard {
    /// A list with `after` endpoints was read while one with `before` is in use.
    /// Returns whether it is believed.
    pub fn accepts(&mut self, now: Duration, before: usize, after: usize) -> bool {
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
/// [`STALE_AFTER`] before the entry's start: older reads are of no use to it.
#[derive(Clone, Copy, Debug)]
pub struct ListReads {
    /// How long endpoints that leave may still be sent requests.
    within: Duration,
    newest: Option<Duration>,
    /// How long the newest took.
    took: Duration,
    reader: bool,
    /// When control said last that others read, and that none has yet.
    awaited: Duration,
}

impl Default for ListReads {
    fn default() -> Self {
        Self::new(DEFAULT_LEAVING_WITHIN)
    }
}

impl ListReads {
    /// No read is known yet; endpoints that leave may be sent requests for `within`.
    pub fn new(within: Duration) -> Self {
        Self {
            within,
            newest: None,
            took: Duration::ZERO,
            reader: false,
            awaited: Duration::ZERO,
        }
    }

    /// Whether any read is known.
    pub fn has_read(&self) -> bool {
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
    pub fn defer_to_readers(&mut self, now: Duration) {
        self.awaited = now;
    }

    /// Whether this entry reads for the others.
    pub fn set_reader(&mut self, reader: bool) {
        self.reader = reader;
    }

    /// Whether this entry reads for the others.
    pub fn is_reader(&self) -> bool {
        self.reader
    }

    /// How long after `now` the entry reads next, if nothing more is heard: a
    /// reader `interval` after the read in use, the others when that is stale. One that
    /// knows of no read waits for a moment after its start, and as long as control says
    /// that others read, unless it is a reader.
    /// `spread`, of 0 to 1, keeps entries that all hear nothing from reading at the
    /// same moment: by up to a quarter of the time, and twice the time at a start.
    pub fn next_read_delay(
        &self,
        now: Duration,
        interval: Duration,
        spread: f64,
    ) -> Duration {
        let spread = spread.clamp(0.0, 1.0);
        let Some(newest) = self.newest else {
            if self.reader {
                return Duration::ZERO;
            }
            let from = self
                .awaited
                .clamp(STALE_AFTER, STALE_AFTER + LONGEST_FIRST_WAIT);
            let wait = FIRST_WAIT.mul_f64(1.0 + 2.0 * spread);
            return (from + wait).saturating_sub(now);
        };
        let after = if self.reader {
            interval.max(self.took).mul_f64(1.0 + SPREAD * spread)
        } else {
            fallback_age(self.within, interval, self.took, spread)
        };
        (newest + after).saturating_sub(now)
    }
}
