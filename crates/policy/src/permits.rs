//! Limits on request rates that endpoints announce, enforced across all entries.
//!
//! An endpoint under pressure may announce that it takes, for example, one request per
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
//! * Within any time t, one instance hands out at most `0.8 N t + max(1, 0.4 N)` permits
//!   to entries that use it as their first choice, and these are used within
//!   [`PERMIT_VALIDITY`]. Entries whose first choice did not answer get a quarter of that
//!   in total, however many they are. Both together, and two instances that are both the
//!   first choice for a second while entries switch over, stay below `1.5 N t + 5`
//!   requests in four seconds.
//! * Permits are issued, if slowly, as long as any entry requests them, also where the
//!   limit is zero: an endpoint that gets no requests cannot announce a higher limit.
//! * The newest observation wins. The end of a limit is accepted only some time after the
//!   limit was last announced, since responses overtake each other.
//! * An entry without contact to control sends at a rate that stays below the limit if
//!   all entries do the same, spread over time at random.

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
/// Most seconds' worth of an instance's share that is granted at once: the interval at
/// which entries report.
const BURST_SECONDS: f64 = 0.5;
/// Lowest rate granted for a limited endpoint, in requests per second.
const MIN_RATE: f64 = 0.1;
/// Time after a limit was last announced from which a response without one ends it.
const REMOVAL_DELAY: Duration = Duration::from_millis(300);
/// How long a limit is kept that no entry reports.
const RETENTION: Duration = Duration::from_secs(60);
/// Endpoints whose limits are kept: eight times the design size.
const MAX_KNOWN: usize = 10_000;
/// Fraction of a limit that all entries without control use together.
const AUTONOMOUS_SHARE: f64 = 0.5;

/// Upper bound of a rate, in requests per second: more than any endpoint serves, so a
/// higher limit is no limit in effect.
const MAX_RATE: f64 = 100_000.0;

/// Requests per second that an endpoint takes from all entries together.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd)]
#[display("{_0}")]
pub struct Rate(f64);

impl Rate {
    /// Returns `None` unless `per_second` is finite and not negative. Rates above 100,000
    /// requests per second are lowered to that.
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
    Unnamed,
    /// The response carries this limit.
    #[display("{_0}")]
    Named(Rate),
    /// The response carries a limit that cannot be parsed.
    #[display("unreadable")]
    Unreadable,
}

impl Limit {
    /// Parses the values of a limit header, in requests per second: the lowest value that
    /// can be parsed counts.
    pub fn from_values<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        values.fold(Self::Unnamed, |limit, value| {
            let rate = value.trim().parse().ok().and_then(Rate::new);
            match (limit, rate) {
                (Self::Named(lowest), Some(rate)) if lowest <= rate => limit,
                (_, Some(rate)) => Self::Named(rate),
                (Self::Unnamed, None) => Self::Unreadable,
                (_, None) => limit,
            }
        })
    }
}

/// The state of an endpoint's limit at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// `None` once the endpoint announces no limit any more.
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
    /// Expiry of each grant and the permits left of it.
    grants: Vec<(Duration, u32)>,
    /// Requests that were to be placed since the last report.
    demand: u32,
    /// When the last report that control accepted was made.
    reported: Option<Duration>,
    /// When a response last changed the observation.
    observed: Option<Duration>,
    autonomy: Option<Autonomy>,
}

/// An entry's report to control on one endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The newest observation that the entry has.
    pub observed: Observation,
    /// Permits that the entry could use.
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
            Limit::Named(rate) => Some(rate),
            Limit::Unnamed if self.rate().is_some() => None,
            // A limit that cannot be parsed leaves the known one in force.
            Limit::Unnamed | Limit::Unreadable => return false,
        };
        let observation = Observation { rate, at: now };
        let before = self.rate();
        if self.apply(observation) {
            self.observed = Some(now);
        }
        self.rate() != before
    }

    /// Records the observation that control distributes. Returns whether the limit
    /// changed.
    pub fn merge(&mut self, observation: Observation) -> bool {
        let before = self.rate();
        self.apply(observation);
        self.rate() != before
    }

    fn apply(&mut self, observation: Observation) -> bool {
        let newer = observation.supersedes(self.observation.as_ref());
        if newer {
            self.scale_grants(observation.rate);
            self.observation = Some(observation);
        }
        newer
    }

    /// Reduces the permits in proportion to a lower limit.
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

    /// Whether a request may be sent now. If the endpoint is limited, the request is
    /// counted as demand for a permit.
    pub fn demand(&mut self, now: Duration) -> bool {
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
        let autonomous = || self.autonomy.is_some_and(|own| own.is_open(now, rate));
        self.grants.iter().any(valid) || autonomous()
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
        self.autonomy.as_mut()?.take(now, rate)
    }

    /// Drops expired grants and returns the number of valid permits.
    fn remaining(&mut self, now: Duration) -> u32 {
        self.grants
            .retain(|(until, left)| *until > now && *left > 0);
        self.grants.iter().map(|(_, left)| left).sum()
    }

    /// The next report to control: `None` if nothing was observed since the last one and
    /// no permits are needed. Resets the counted demand.
    pub fn report(&mut self, now: Duration) -> Option<LimitReport> {
        let observed = self.observation?;
        let wanted = std::mem::take(&mut self.demand);
        let wanted = wanted.saturating_sub(self.remaining(now));
        let unreported = self.observed > self.reported;
        (unreported || wanted > 0).then_some(LimitReport { observed, wanted })
    }

    /// Records that control accepted the report made at `reported` and granted `permits`.
    pub fn receive_grant(&mut self, reported: Duration, permits: u32) {
        self.reported = Some(reported);
        self.autonomy = None;
        if permits > 0 && self.rate().is_some() {
            self.grants.push((reported + PERMIT_VALIDITY, permits));
        }
    }

    /// Starts sending without permits, after control was out of reach for a while. The
    /// limit is divided among `entries`; `phase`, from 0 to 1, is to be drawn at random
    /// for each endpoint.
    pub fn begin_autonomy(&mut self, entries: u32, phase: f64) {
        self.autonomy.get_or_insert(Autonomy {
            entries: entries.max(1),
            phase,
            used: None,
        });
    }

    /// Requires permits again, once a control instance is reachable.
    pub fn end_autonomy(&mut self) {
        self.autonomy = None;
    }
}

/// Sending without control: one request in each of the entry's periods, soon after the
/// period's start or not at all, so that entries do not accumulate requests and send them
/// at once.
#[derive(Clone, Copy, Debug)]
struct Autonomy {
    entries: u32,
    phase: f64,
    /// The last period in which a request was sent.
    used: Option<u64>,
}

impl Autonomy {
    /// The number of the current period, and the end of its time to send.
    fn period(&self, now: Duration, rate: Rate) -> (u64, Duration) {
        let rate = rate.per_second().max(MIN_RATE) * AUTONOMOUS_SHARE;
        let length = f64::from(self.entries) / rate;
        let number = (now.as_secs_f64() / length + self.phase).floor();
        let start = (number - self.phase) * length;
        let end = Duration::from_secs_f64(start.max(0.0)) + PERMIT_VALIDITY;
        (number as u64, end)
    }

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

/// The limits of all endpoints and their permits, at one control instance.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Sorted by endpoint name.
    limited: Vec<LimitedEndpoint>,
}

#[derive(Clone, Debug)]
struct LimitedEndpoint {
    run: Incarnation,
    observation: Observation,
    /// When an entry last reported it.
    reported: Duration,
    /// For entries that use this instance as first choice.
    first: Bucket,
    /// For entries whose first choice did not answer.
    second: Bucket,
}

/// Token bucket of permits.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    permits: f64,
    /// When `permits` was last brought up to date.
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
            reported: now,
            first: Bucket::empty(now),
            second: Bucket::empty(now),
        }
    }

    fn grant(&mut self, now: Duration, wanted: u32, choice: ControlChoice) -> u32 {
        let Some(rate) = self.observation.rate else {
            return 0;
        };
        let rate = rate.per_second();
        let (bucket, share) = match choice {
            ControlChoice::First => (&mut self.first, PRIMARY_SHARE),
            ControlChoice::Second => (&mut self.second, FALLBACK_SHARE),
        };
        let capacity = (rate * share * BURST_SECONDS).max(1.0);
        bucket.take(now, (rate * share).max(MIN_RATE), capacity, wanted)
    }
}

/// Rank, in an entry's order of control instances, of the one it reports to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlChoice {
    /// The instance that all entries prefer.
    #[default]
    First,
    /// Another instance, since the preferred one did not answer.
    Second,
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
        let at = match found {
            Ok(at) => at,
            Err(_)
                if self.limited.len() >= MAX_KNOWN || report.observed.rate.is_none() =>
            {
                return 0;
            }
            Err(at) => {
                let endpoint = LimitedEndpoint::new(now, run.clone(), report.observed);
                self.limited.insert(at, endpoint);
                at
            }
        };
        let endpoint = &mut self.limited[at];
        match run.cmp_start(&endpoint.run) {
            Ordering::Less => return 0,
            Ordering::Greater => {
                *endpoint = LimitedEndpoint::new(now, run.clone(), report.observed);
            }
            Ordering::Equal => {}
        }
        endpoint.reported = now;
        if report.observed.supersedes(Some(&endpoint.observation)) {
            endpoint.observation = report.observed;
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
            .retain(|endpoint| now.saturating_sub(endpoint.reported) < RETENTION);
        self.limited
            .iter()
            .map(|endpoint| (&endpoint.run, endpoint.observation))
    }
}
