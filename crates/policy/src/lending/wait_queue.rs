//! Requests of one entry that wait for a place.

use std::cmp::Ordering;
use std::time::Duration;

/// Most requests that wait for one service.
const MAX_WAITING: usize = 512;
/// Most bytes of waiting requests, a tenth of the memory of a small entry.
const MAX_BYTES: usize = 8 * 1024 * 1024;
/// Time constant over which the rate of free places is measured: some times the wait that
/// is usual for a place.
const RATE_SECONDS: f64 = 1.0;

/// Weight of the newest request in the mean time of use.
const HOLD_WEIGHT: f64 = 0.1;
/// Upper bound of a time of use, as a multiple of the mean, so that one request at an
/// endpoint that hangs does not stand for all.
const MAX_HOLD_RATIO: f64 = 4.0;
/// Lower bound of a time of use, in seconds.
const MIN_HOLD_SECONDS: f64 = 0.000_1;
/// Rate below which there is no estimate, in places per second: too few came free within
/// the time constant.
const MIN_RATE: f64 = 1.0 / RATE_SECONDS;

/// What determines the order in which requests get places; smaller ones are first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Tier of the request, 0 first.
    pub tier: u32,
    /// Whether the workspace uses more than its share.
    pub above: bool,
    /// When the request has to start to meet its objective. Those that can no longer
    /// meet it come after those that can.
    pub due: Duration,
}

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting<T> {
    /// Identifies the request in the queue.
    pub id: u64,
    /// Its order.
    pub priority: Priority,
    /// Latest time at which a place is of use to it.
    pub latest: Duration,
    /// When it began to wait.
    pub since: Duration,
    /// Bytes that it holds.
    pub bytes: usize,
    /// The owner's data.
    pub item: T,
}

/// Why a request does not wait, or no longer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// Requests ahead of it.
    pub ahead: usize,
    /// Expected time until it would get a place; `None` without an estimate.
    pub wait: Option<Duration>,
    /// Places that come free per second; 0 without an estimate.
    pub rate: f64,
}

/// Rate at which places come free: as observed, or as expected from the places and the
/// time for which requests use them, if that is more. The measured rate is low after a
/// time with few requests.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    /// Decayed number of places that came free, as of `at`.
    count: f64,
    at: Duration,
    /// Mean time in seconds for which a request uses a place; 0 if unknown.
    hold: f64,
    /// Places held or in use now.
    places: u32,
}

impl Drain {
    /// Records that a place came free that was in use for `held`.
    pub fn record(&mut self, now: Duration, held: Duration) {
        self.count = self.count * decay(now, self.at) + 1.0;
        self.at = self.at.max(now);
        let held = held.as_secs_f64().max(MIN_HOLD_SECONDS);
        if self.hold > 0.0 {
            let held = held.min(self.hold * MAX_HOLD_RATIO);
            self.hold += (held - self.hold) * HOLD_WEIGHT;
        } else {
            self.hold = held;
        }
    }

    /// Mean time for which a request uses a place; zero if unknown.
    pub fn hold(&self) -> Duration {
        Duration::from_secs_f64(self.hold)
    }

    /// Places that come free per second; `None` if there is no estimate.
    pub fn rate(&self, now: Duration) -> Option<f64> {
        let measured = self.count * decay(now, self.at) / RATE_SECONDS;
        let expected = if self.hold > 0.0 {
            f64::from(self.places) / self.hold
        } else {
            0.0
        };
        let rate = measured.max(expected);
        (rate >= MIN_RATE).then_some(rate)
    }
}

/// Part of a count as of `at` that is left at `now`.
fn decay(now: Duration, at: Duration) -> f64 {
    (-now.saturating_sub(at).as_secs_f64() / RATE_SECONDS).exp()
}

/// Requests that wait, in the order in which they get places.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    /// Sorted by [`key`] as of the last change.
    waiting: Vec<Waiting<T>>,
    bytes: usize,
    next_id: u64,
    drain: Drain,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            bytes: 0,
            next_id: 0,
            drain: Drain::default(),
        }
    }
}

impl<T> WaitQueue<T> {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that a place came free at `now` that was in use for `held`.
    pub fn record_free(&mut self, now: Duration, held: Duration) {
        self.drain.record(now, held);
    }

    /// Sets the number of places held or in use, from which the rate is expected.
    pub fn set_places(&mut self, places: u32) {
        self.drain.places = places;
    }

    /// Mean time for which a request uses a place; zero if unknown.
    pub fn hold(&self) -> Duration {
        self.drain.hold()
    }

    /// Adds a request, unless its wait cannot end by `latest` or the queue is full.
    /// Returns its id.
    ///
    /// # Errors
    ///
    /// The [`Verdict`] on a request that is not added.
    pub fn push(
        &mut self,
        now: Duration,
        priority: Priority,
        latest: Duration,
        bytes: usize,
        item: T,
    ) -> Result<u64, Verdict> {
        self.sort(now);
        let id = self.next_id;
        let added = Waiting {
            id,
            priority,
            latest,
            since: now,
            bytes,
            item,
        };
        let at = self.waiting.partition_point(|waiting| {
            compare(now, &waiting.priority, &priority) != Ordering::Greater
        });
        let full = self.len() >= MAX_WAITING || self.bytes + bytes > MAX_BYTES;
        let verdict = verdict(self.drain.rate(now), at);
        if full || is_late(now, latest, verdict.wait) {
            return Err(verdict);
        }
        self.next_id += 1;
        self.bytes += bytes;
        self.waiting.insert(at, added);
        Ok(id)
    }

    /// Removes the first request for which `take` finds a place, and returns both.
    pub fn pop<P>(
        &mut self,
        now: Duration,
        mut take: impl FnMut(&Waiting<T>) -> Option<P>,
    ) -> Option<(Waiting<T>, P)> {
        self.sort(now);
        let found = self.waiting.iter().enumerate();
        let mut found = found.filter_map(|(at, waiting)| Some((at, take(waiting)?)));
        let (at, place) = found.next()?;
        Some((self.remove_at(at), place))
    }

    /// Removes a request, for example because its caller has gone.
    pub fn remove(&mut self, id: u64) -> Option<Waiting<T>> {
        let at = self.waiting.iter().position(|waiting| waiting.id == id)?;
        Some(self.remove_at(at))
    }

    /// Removes the requests whose wait can no longer end in time.
    pub fn remove_late(&mut self, now: Duration) -> Vec<(Waiting<T>, Verdict)> {
        self.sort(now);
        let rate = self.drain.rate(now);
        let mut removed = Vec::new();
        let mut at = 0;
        while at < self.len() {
            let verdict = verdict(rate, at);
            if is_late(now, self.waiting[at].latest, verdict.wait) {
                removed.push((self.remove_at(at), verdict));
            } else {
                at += 1;
            }
        }
        removed
    }

    /// Expected time until all that wait have a place; `None` without an estimate.
    pub fn drain_time(&self, now: Duration) -> Option<Duration> {
        let rate = self.drain.rate(now)?;
        Some(wait_for(self.len() as f64, rate))
    }

    fn remove_at(&mut self, at: usize) -> Waiting<T> {
        let removed = self.waiting.remove(at);
        self.bytes -= removed.bytes;
        removed
    }

    /// Restores the order, which changes when requests become unable to meet their
    /// objectives.
    fn sort(&mut self, now: Duration) {
        let key = |a: &Waiting<T>, b: &Waiting<T>| compare(now, &a.priority, &b.priority);
        if !self.waiting.is_sorted_by(|a, b| key(a, b).is_le()) {
            self.waiting.sort_by(key);
        }
    }
}

/// Time in which `count` places come free.
fn wait_for(count: f64, rate: f64) -> Duration {
    Duration::try_from_secs_f64(count / rate).unwrap_or(Duration::MAX)
}

/// Verdict on a request with `ahead` others before it.
fn verdict(rate: Option<f64>, ahead: usize) -> Verdict {
    Verdict {
        ahead,
        wait: rate.map(|rate| wait_for(ahead as f64 + 1.0, rate)),
        rate: rate.unwrap_or_default(),
    }
}

/// Order at `now`: tier, share, whether the objective can still be met, time left.
fn compare(now: Duration, a: &Priority, b: &Priority) -> Ordering {
    let key = |p: &Priority| (p.tier, p.above, p.due < now, p.due);
    key(a).cmp(&key(b))
}

/// Whether a wait of `wait` does not end by `latest`. Without any estimate, a request
/// waits until that time.
fn is_late(now: Duration, latest: Duration, wait: Option<Duration>) -> bool {
    now >= latest || wait.is_some_and(|wait| now.saturating_add(wait) > latest)
}
