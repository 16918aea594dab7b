//! When an entry reads the list of endpoints itself.
//!
//! If 33 entries read two pages per second each, they make 67 calls per second; 300
//! entries exceed the rate limit of the list, and an endpoint that leaves then gets new
//! requests for five seconds. Only two entries, the readers, therefore read the list, and
//! a control instance passes their reads on to the others. An entry that receives no
//! recent read reads the list itself, whatever the cause: the readers crashed or were
//! suspended, the list does not respond to them, or control is unreachable.
//!
//! An entry that starts waits for the reads of others, since without control it has no
//! routes to serve either. During a rolling restart of a hundred entries in which each of
//! them read five pages at its start, these reads were half of all calls of the list;
//! after a power failure all entries would read at the same moment.
//!
//! A read of sixty pages takes a small instance one second. From the age of a read alone
//! it is undecidable whether the readers crashed or are slow, so readers report how long
//! their reads took, and a read counts as stale that much later. Otherwise hundreds of
//! entries start to read at once, the list rejects most of their calls and those of the
//! readers as well, and this continues as long as all of them retry. For the same reason
//! an entry whose calls are rejected backs off, and stops once it receives a read
//! ([`retry_delay`]).
//!
//! Whatever happens to readers, control and the messages between them, no entry uses a
//! read for longer than leaving endpoints may still be sent requests: before that, each
//! entry reads the list itself ([`fallback_age`]). A read requested after the list shows
//! an endpoint as leaving contains that. The time for which a leaving endpoint gets
//! requests is therefore at most the sum of the age at which an entry reads, the duration
//! of its read, and the time to connect.
//!
//! Invariant: a read replaces the one in use only if it was requested later. Reads of
//! others are dated by their age when the query for them was sent, so they appear newer
//! than they are by no more than the delay of a message to control.

use std::time::Duration;

/// Age from which a read is stale. Readers read every second or slightly less often and
/// report at once, and others receive the report within 0.6 s: 1.8 s in the worst case.
pub const STALE_AFTER: Duration = Duration::from_millis(2_000);

/// Default of the time for which leaving endpoints may still be sent requests.
pub const DEFAULT_LEAVING_WITHIN: Duration = Duration::from_secs(4);

/// Longest wait for a connection, and so the longest time from the choice of an endpoint
/// to sending the first byte. Ten times the latency to the farthest endpoint, and short
/// compared to the shortest response-time target.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Shortest interval between reads of a reader, as the list limits the rate of calls.
pub const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum jitter added to the delay before a read, as a fraction of the delay, so that
/// entries without recent reads do not read at the same moment.
const JITTER: f64 = 0.25;

/// Shortest time over which the reads of entries without recent reads are spread.
pub const MIN_SPREAD: Duration = Duration::from_millis(100);

/// Longest time from the end of a read until another entry has received it: the interval
/// at which an entry polls control.
const PROPAGATION: Duration = Duration::from_millis(600);

/// Age that a read reaches in normal operation before the next one arrives.
pub fn expected_age(interval: Duration, took: Duration) -> Duration {
    interval.max(took).mul_f64(1.0 + JITTER) + took + PROPAGATION
}

/// Longest interval between reads of a reader with which every entry detects a leaving
/// endpoint within `within`; at least [`MIN_READ_INTERVAL`].
pub fn max_read_interval(within: Duration) -> Duration {
    let budget = within.saturating_sub(PROPAGATION + CONNECT_TIMEOUT);
    budget.div_f64(1.0 + JITTER).max(MIN_READ_INTERVAL)
}

/// Age of the read in use at which an entry that is not a reader reads the list itself.
///
/// A read takes `took`, and leaving endpoints may be sent requests for `within`.
/// `spread`, from 0 to 1, is random, so that entries without recent reads do not read at
/// the same moment. An age that observes `within` is never below [`expected_age`]:
/// entries that read in normal operation would exhaust the list's rate limit for each
/// other. If that leaves no time for the read and a connection, entries wait as long as
/// without the bound `within`, since hundreds of entries that read early would all be
/// late.
pub fn fallback_age(
    within: Duration,
    interval: Duration,
    took: Duration,
    spread: f64,
) -> Duration {
    let stale = STALE_AFTER.max(interval) + took;
    let unbounded = stale.mul_f64(1.0 + JITTER);
    let expected = expected_age(interval, took);
    let last = within.saturating_sub(CONNECT_TIMEOUT + took);
    if unbounded <= last || expected + MIN_SPREAD > last {
        return stale.mul_f64(1.0 + JITTER * spread);
    }
    let first = expected.max(last.saturating_sub(stale.mul_f64(JITTER)));
    first + (last - first).mul_f64(spread)
}

/// How long a list with fewer than half of the endpoints in use must persist before it is
/// accepted: shorter than the few seconds within which requests to a leaving endpoint
/// must end.
const SHRINK_DELAY: Duration = Duration::from_millis(1_500);

/// Upper bound of the reported duration of a read, which extends [`STALE_AFTER`]: with
/// it, a leaving endpoint is still detected within a few seconds.
const MAX_READ_TIME: Duration = Duration::from_millis(1_500);
/// Delay after the first failed read.
const INITIAL_DELAY: Duration = Duration::from_millis(150);
/// Longest delay of an entry that is not a reader and whose calls were rejected by the
/// rate limit, before jitter. Hundreds of such entries then make some tens of calls per
/// second together.
const MAX_DELAY: Duration = Duration::from_secs(4);

/// Delay before the next attempt after `failures` failed reads in a row. `busy` means
/// that the list rejected the last one because of its rate limit; entries that are not
/// readers then back off exponentially. `spread`, from 0 to 1, is random, so that entries
/// rejected together do not retry together.
pub fn retry_delay(
    failures: u32,
    busy: bool,
    reader: bool,
    interval: Duration,
    spread: f64,
) -> Duration {
    let linear = interval.min(INITIAL_DELAY * failures);
    if !busy || reader {
        return linear;
    }
    let exponential = INITIAL_DELAY * 2u32.pow(failures.min(8));
    exponential
        .min(MAX_DELAY)
        .mul_f64(0.5 + spread.clamp(0.0, 1.0))
}

/// Protects against lists that are truncated or empty by a fault of their source.
///
/// A list with less than half of the endpoints in use is accepted only if it persists. An
/// empty list never replaces one with endpoints, since endpoints that are gone are
/// detected without it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShrinkGuard {
    /// When the first list was read that was too small to be accepted.
    since: Option<Duration>,
}

impl ShrinkGuard {
    /// Whether to replace the list in use, of `before` endpoints, by one read at `now`
    /// with `after` endpoints.
    pub fn accepts(&mut self, now: Duration, before: usize, after: usize) -> bool {
        if after * 2 >= before {
            self.since = None;
            return true;
        }
        let since = *self.since.get_or_insert(now);
        let accepted = after > 0 && now.saturating_sub(since) >= SHRINK_DELAY;
        if accepted {
            self.since = None;
        }
        accepted
    }
}

/// Shortest wait of an entry that starts for the reads of others. Control responds within
/// some 50 ms of its own start, and a reader that starts with it needs another 100 ms for
/// five pages; routes take longer, as they require a leader.
const START_WAIT: Duration = Duration::from_millis(500);

/// Longest extension of that wait while control responds and has appointed readers: two
/// readers may crash in sequence and be replaced before the waiting entries read the list
/// themselves.
const MAX_START_WAIT: Duration = Duration::from_millis(2_500);

/// The newest read of the list that one entry has. Times are measured from
/// [`STALE_AFTER`] before the entry's start, as older reads are of no use to it.
#[derive(Clone, Copy, Debug)]
pub struct ListReads {
    /// How long leaving endpoints may still be sent requests.
    within: Duration,
    newest: Option<Duration>,
    /// Duration of the newest read.
    took: Duration,
    reader: bool,
    /// When control last responded that it has no read yet, and that others are to read.
    deferred: Duration,
}

impl Default for ListReads {
    fn default() -> Self {
        Self::new(DEFAULT_LEAVING_WITHIN)
    }
}

impl ListReads {
    /// Starts without a read; leaving endpoints may be sent requests for `within`.
    pub fn new(within: Duration) -> Self {
        Self {
            within,
            newest: None,
            took: Duration::ZERO,
            reader: false,
            deferred: Duration::ZERO,
        }
    }

    /// Whether the entry has a read at all.
    pub fn has_read(&self) -> bool {
        self.newest.is_some()
    }

    /// When the read in use was requested.
    pub fn newest(&self) -> Option<Duration> {
        self.newest
    }

    /// Offers a read that was requested at `requested` and took `took`. Returns whether
    /// it replaces the one in use.
    pub fn take(&mut self, requested: Duration, took: Duration) -> bool {
        let newer = self.newest.is_none_or(|newest| requested > newest);
        if newer {
            self.newest = Some(requested);
            self.took = took.min(MAX_READ_TIME);
        }
        newer
    }

    /// Records that control responded at `now` that it has no read yet, which extends the
    /// wait at start.
    pub fn defer_to_readers(&mut self, now: Duration) {
        self.deferred = now;
    }

    /// Sets whether this entry reads the list for the others.
    pub fn set_reader(&mut self, reader: bool) {
        self.reader = reader;
    }

    /// Whether this entry reads the list for the others.
    pub fn is_reader(&self) -> bool {
        self.reader
    }

    /// Time from `now` until the entry reads the list itself if it receives no newer
    /// read.
    ///
    /// A reader reads `interval` after the read in use, other entries at
    /// [`fallback_age`]. An entry without any read reads at once if it is a reader;
    /// otherwise it waits for a moment after its start, and for longer while control
    /// responds that others are to read. `spread`, from 0 to 1, is random and adds up to
    /// a quarter of the time, or twice the time at a start, so that entries without fresh
    /// reads do not read at the same moment.
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
            let start = self
                .deferred
                .clamp(STALE_AFTER, STALE_AFTER + MAX_START_WAIT);
            let wait = START_WAIT.mul_f64(1.0 + 2.0 * spread);
            return (start + wait).saturating_sub(now);
        };
        let after = if self.reader {
            interval.max(self.took).mul_f64(1.0 + JITTER * spread)
        } else {
            fallback_age(self.within, interval, self.took, spread)
        };
        (newest + after).saturating_sub(now)
    }
}
