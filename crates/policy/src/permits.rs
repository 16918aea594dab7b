//! Limits on request rates that endpoints announce, enforced across all entries.
//!
//! An overloaded endpoint may announce that it accepts, for example, one request per
//! second. Entries that throttle independently exceed that: nine entries that each send
//! one request in two seconds send more than four times the limit. Static shares do not
//! help either: of 300 entries each may send one request occasionally, and if all do so
//! at once the endpoint gets 300.
//!
//! Permits are therefore handed out by one control instance, the one to which all entries
//! report demand ([`Limits`]). An entry sends nothing to a limited endpoint without a
//! permit ([`Permits`]). Permits expire soon, so unused ones do not accumulate.
//!
//! Invariants, for a limit of N requests per second:
//!
//! * Within any t seconds, one instance grants at most
//!   `max(0.8 N, 0.1) t + max(1, 0.4 N)` permits to all entries that use it as their
//!   first choice, and at most `max(0.2 N, 0.1) t + max(1, 0.1 N)` to all entries whose
//!   first choice did not answer. Permits are used within [`PERMIT_VALIDITY`].
//! * Within any four seconds, the endpoint receives at most `6 N + 5` requests, even if
//!   two instances are the first choice of some entries for one second during a
//!   switch-over.
//! * Permits are issued, if slowly, as long as any entry requests them, also where the
//!   limit is zero: an endpoint that gets no requests cannot announce a higher limit.
//! * The newest observation wins. The end of a limit is accepted only some time after the
//!   limit was last announced, since responses overtake each other.
//! * Entries that cannot reach control issue their own permits. Together they send at
//!   half of the limit, or 0.05 requests per second if that is more, at times drawn at
//!   random.

use derive_more::Display;
use dogwoodhill_core::prelude::*;
use std::cmp::Ordering;

/// How long a permit is valid, counted from the report that requested it: twice the
/// interval at which entries report.
pub const PERMIT_VALIDITY: Duration = Duration::from_secs(1);
/// Fraction of a limit that an instance grants to entries that use it as first choice.
const PRIMARY_SHARE: f64 = 0.8;
/// Fraction of a limit that an instance grants to entries whose first choice did not
/// answer. Small, since the first choice may grant its own share to all other entries
/// meanwhile.
const FALLBACK_SHARE: f64 = 0.2;
/// Capacity of a bucket, in seconds of its share of the limit: the interval at which
/// entries report.
const BURST_SECONDS: f64 = 0.5;
/// Lowest rate granted for a limited endpoint, in requests per second.
const MIN_RATE: f64 = 0.1;
/// A response without a limit removes the limit only if it arrives at least this long
/// after the last response with one, since responses may arrive out of order.
const REMOVAL_DELAY: Duration = Duration::from_millis(300);
/// Time without a report after which a limit is dropped.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of endpoints whose limits are stored: eight times the design size.
const MAX_KNOWN: usize = 10_000;
/// Fraction of a limit that all entries together use while control cannot be reached.
const LOCAL_SHARE: f64 = 0.5;

/// Upper bound of a rate, in requests per second: more than any endpoint serves, so a
/// higher limit would have no effect.
const MAX_RATE: f64 = 100_000.0;

/// Requests per second that an endpoint accepts from all entries together.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd)]
#[display("{_0}")]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate, capped at 100,000 requests per second. Returns `None` unless
    /// `per_second` is finite and not negative.
    pub fn new(per_second: f64) -> Option<Self> {
        let valid = per_second.is_finite() && per_second >= 0.0;
        valid.then(|| Self(per_second.min(MAX_RATE)))
    }

    /// The rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// The rate limit carried by an endpoint's response.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq)]
pub enum Limit {
    /// The response carries no limit.
    #[default]
    #[display("none")]
    Absent,
    /// The response carries this limit.
    #[display("{_0}")]
    Announced(Rate),
    /// The response carries a limit that cannot be parsed.
    #[display("unreadable")]
    Invalid,
}

impl Limit {
    /// Parses the values of a limit header, in requests per second, and returns the
    /// lowest valid one.
    pub fn from_values<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        values.fold(Self::Absent, |limit, value| {
            let rate = value.trim().parse().ok().and_then(Rate::new);
            match (limit, rate) {
                (Self::Announced(lowest), Some(rate)) if lowest <= rate => limit,
                (_, Some(rate)) => Self::Announced(rate),
                (Self::Absent, None) => Self::Invalid,
                (_, None) => limit,
            }
        })
    }
}

/// The limit of an endpoint according to one of its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// `None` if the endpoint no longer announces a limit.
    pub rate: Option<Rate>,
    /// When the response arrived.
    pub at: Duration,
}

impl Observation {
    /// Whether this observation replaces `known`.
    fn supersedes(&self, known: Option<&Self>) -> bool {
        match (known, self.rate) {
            (None, rate) => rate.is_some(),
            (Some(known), None) if known.rate.is_some() => {
                self.at >= known.at + REMOVAL_DELAY
            }
            (Some(known), _) => self.at > known.at,
        }
    }
}

/// One entry's permits for one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    observation: Option<Observation>,
    /// Expiry time and number of unused permits of each grant by control.
    grants: Vec<(Duration, u32)>,
    /// Requests since the last report for which a permit was requested.
    demand: u32,
    /// When the last report that control accepted was made.
    reported_at: Option<Duration>,
    /// When a response received by this entry last replaced the observation.
    observed_at: Option<Duration>,
    /// Permits issued by the entry itself, while it cannot reach control.
    local: Option<LocalPermits>,
}

/// An entry's report to control on one endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The entry's newest observation.
    pub observation: Observation,
    /// Number of permits requested.
    pub wanted: u32,
}

/// Permission to send one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Latest time to send the first byte; `None` for an endpoint without a limit.
    pub until: Option<Duration>,
}

impl Permits {
    /// Records a response of the endpoint itself. Returns whether the limit changed.
    pub fn observe(&mut self, now: Duration, limit: Limit) -> bool {
        let rate = match limit {
            Limit::Announced(rate) => Some(rate),
            Limit::Absent if self.rate().is_some() => None,
            // A limit that cannot be parsed leaves the known one in force.
            Limit::Absent | Limit::Invalid => return false,
        };
        let observation = Observation { rate, at: now };
        let before = self.rate();
        if self.apply(observation) {
            self.observed_at = Some(now);
        }
        self.rate() != before
    }

    /// Records an observation received from control. Returns whether the limit changed.
    pub fn merge(&mut self, observation: Observation) -> bool {
        let before = self.rate();
        self.apply(observation);
        self.rate() != before
    }

    /// Replaces the observation if the given one supersedes it. Returns whether it did.
    fn apply(&mut self, observation: Observation) -> bool {
        let newer = observation.supersedes(self.observation.as_ref());
        if newer {
            self.scale_grants(observation.rate);
            self.observation = Some(observation);
        }
        newer
    }

    /// Adapts the granted permits to a new limit: a lower limit reduces them in
    /// proportion, and a limit that is added or removed cancels them.
    fn scale_grants(&mut self, rate: Option<Rate>) {
        let (Some(before), Some(now)) = (self.rate(), rate) else {
            self.grants.clear();
            return;
        };
        if now < before {
            let factor = now.per_second() / before.per_second();
            for grant in &mut self.grants {
                grant.1 = (f64::from(grant.1) * factor) as u32;
            }
        }
    }

    /// The limit; `None` if the endpoint has none.
    pub fn rate(&self) -> Option<Rate> {
        self.observation.and_then(|observation| observation.rate)
    }

    /// Returns whether a request may be sent now. If the endpoint is limited, the request
    /// is counted as demand for a permit.
    pub fn record_demand(&mut self, now: Duration) -> bool {
        if self.rate().is_some() {
            self.demand = self.demand.saturating_add(1);
        }
        self.is_available(now)
    }

    /// Whether a request may be sent now, without counting demand.
    pub fn is_available(&self, now: Duration) -> bool {
        let Some(rate) = self.rate() else {
            return true;
        };
        let valid = |grant: &(Duration, u32)| grant.0 > now && grant.1 > 0;
        let local_permit = || self.local.is_some_and(|local| local.is_open(now, rate));
        self.grants.iter().any(valid) || local_permit()
    }

    /// Takes a permit for a request whose first byte is sent now; `None` if there is
    /// none.
    pub fn take(&mut self, now: Duration) -> Option<Permit> {
        let Some(rate) = self.rate() else {
            return Some(Permit { until: None });
        };
        self.remaining(now);
        if let Some(grant) = self.grants.first_mut() {
            grant.1 -= 1;
            let until = Some(grant.0);
            return Some(Permit { until });
        }
        self.local.as_mut()?.take(now, rate)
    }

    /// Drops expired grants and returns the number of valid permits.
    fn remaining(&mut self, now: Duration) -> u32 {
        self.grants
            .retain(|(until, left)| *until > now && *left > 0);
        self.grants.iter().map(|(_, left)| left).sum()
    }

    /// The next report to control. `None` if no response received by this entry replaced
    /// the observation since the last report that control accepted, and no further
    /// permits are needed. Resets the counted demand.
    pub fn report(&mut self, now: Duration) -> Option<LimitReport> {
        let observation = self.observation?;
        let wanted = std::mem::take(&mut self.demand);
        let wanted = wanted.saturating_sub(self.remaining(now));
        let unreported = self.observed_at > self.reported_at;
        (unreported || wanted > 0).then_some(LimitReport {
            observation,
            wanted,
        })
    }

    /// Records that control accepted the report made at `reported_at` and granted
    /// `permits`.
    pub fn receive_grant(&mut self, reported_at: Duration, permits: u32) {
        self.reported_at = Some(reported_at);
        self.local = None;
        if permits > 0 && self.rate().is_some() {
            self.grants.push((reported_at + PERMIT_VALIDITY, permits));
        }
    }

    /// Lets the entry issue its own permits, because it cannot reach control. `entries`
    /// is the number of entries among which half of the limit is divided; `phase`, from 0
    /// to 1, is to be drawn at random for each endpoint.
    pub fn begin_local_permits(&mut self, entries: u32, phase: f64) {
        self.local.get_or_insert(LocalPermits {
            entries: entries.max(1),
            phase,
            used: None,
        });
    }

    /// Requires permits granted by control again, once a control instance is reachable.
    pub fn end_local_permits(&mut self) {
        self.local = None;
    }
}

/// Permits that an entry issues itself while it cannot reach control: one in each period,
/// valid for [`PERMIT_VALIDITY`] from the period's start, so that unused permits do not
/// accumulate.
#[derive(Clone, Copy, Debug)]
struct LocalPermits {
    entries: u32,
    /// Offset of this entry's periods, as a fraction of their length.
    phase: f64,
    /// Number of the last period whose permit was taken.
    used: Option<u64>,
}

impl LocalPermits {
    /// The number of the current period and the expiry time of its permit.
    fn period(&self, now: Duration, rate: Rate) -> (u64, Duration) {
        let rate = rate.per_second().max(MIN_RATE) * LOCAL_SHARE;
        let length = f64::from(self.entries) / rate;
        let number = (now.as_secs_f64() / length + self.phase).floor();
        let start = (number - self.phase) * length;
        let end = Duration::from_secs_f64(start.max(0.0)) + PERMIT_VALIDITY;
        (number as u64, end)
    }

    /// Whether the permit of the current period is valid and unused.
    fn is_open(&self, now: Duration, rate: Rate) -> bool {
        let (period, end) = self.period(now, rate);
        now < end && self.used != Some(period)
    }

    fn take(&mut self, now: Duration, rate: Rate) -> Option<Permit> {
        if !self.is_open(now, rate) {
            return None;
        }
        let (period, end) = self.period(now, rate);
        self.used = Some(period);
        Some(Permit { until: Some(end) })
    }
}

/// The limits of all endpoints, and the permits that one control instance can grant for
/// them.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Sorted by endpoint name.
    limited: Vec<LimitedEndpoint>,
}

#[derive(Clone, Debug)]
struct LimitedEndpoint {
    run: Incarnation,
    observation: Observation,
    /// When an entry last reported the limit.
    reported_at: Duration,
    /// For entries that use this instance as first choice ([`ControlChoice::Primary`]).
    first: Bucket,
    /// For entries whose first choice did not answer.
    fallback: Bucket,
}

/// Token bucket of permits.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    permits: f64,
    /// When `permits` was last refilled.
    updated: Duration,
}

impl Bucket {
    fn empty(now: Duration) -> Self {
        Self {
            permits: 0.0,
            updated: now,
        }
    }

    /// Refills the bucket at `rate` permits per second up to `capacity`, then takes up to
    /// `wanted` permits.
    fn take(&mut self, now: Duration, rate: f64, capacity: f64, wanted: u32) -> u32 {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.permits = (self.permits + rate * passed).min(capacity);
        let taken = wanted.min(self.permits as u32);
        self.permits -= f64::from(taken);
        taken
    }
}

impl LimitedEndpoint {
    fn new(now: Duration, run: Incarnation, observation: Observation) -> Self {
        Self {
            run,
            observation,
            reported_at: now,
            first: Bucket::empty(now),
            fallback: Bucket::empty(now),
        }
    }

    /// Takes up to `wanted` permits out of the bucket of `choice`.
    fn grant(&mut self, now: Duration, wanted: u32, choice: ControlChoice) -> u32 {
        let Some(rate) = self.observation.rate else {
            return 0;
        };
        let rate = rate.per_second();
        let (bucket, share) = match choice {
            ControlChoice::Primary => (&mut self.first, PRIMARY_SHARE),
            ControlChoice::Fallback => (&mut self.fallback, FALLBACK_SHARE),
        };
        let capacity = (rate * share * BURST_SECONDS).max(1.0);
        bucket.take(now, (rate * share).max(MIN_RATE), capacity, wanted)
    }
}

/// Whether an entry reports to the control instance that it prefers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlChoice {
    /// The instance that all entries prefer.
    #[default]
    Primary,
    /// Any other instance, since the preferred one did not answer.
    Fallback,
}

impl Limits {
    /// Records an entry's report on the limit of `run`. Returns the number of permits
    /// granted, at most as many as requested.
    pub fn apply_report(
        &mut self,
        now: Duration,
        run: &Incarnation,
        report: LimitReport,
        choice: ControlChoice,
    ) -> u32 {
        let found = self
            .limited
            .binary_search_by(|endpoint| endpoint.run.id.cmp(&run.id));
        let index = match found {
            Ok(index) => index,
            Err(_)
                if self.limited.len() >= MAX_KNOWN
                    || report.observation.rate.is_none() =>
            {
                return 0;
            }
            Err(index) => {
                let endpoint = LimitedEndpoint::new(now, run.clone(), report.observation);
                self.limited.insert(index, endpoint);
                index
            }
        };
        let endpoint = &mut self.limited[index];
        match run.cmp_start(&endpoint.run) {
            Ordering::Less => return 0,
            Ordering::Greater => {
                *endpoint = LimitedEndpoint::new(now, run.clone(), report.observation);
            }
            Ordering::Equal => {}
        }
        endpoint.reported_at = now;
        if report.observation.supersedes(Some(&endpoint.observation)) {
            endpoint.observation = report.observation;
        }
        endpoint.grant(now, report.wanted, choice)
    }

    /// The newest observation of each limited endpoint, sorted by endpoint name. Drops
    /// limits that no entry has reported for 60 s.
    pub fn observations(
        &mut self,
        now: Duration,
    ) -> impl Iterator<Item = (&Incarnation, Observation)> {
        self.limited
            .retain(|endpoint| now.saturating_sub(endpoint.reported_at) < RETENTION);
        self.limited
            .iter()
            .map(|endpoint| (&endpoint.run, endpoint.observation))
    }
}
