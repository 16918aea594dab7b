//! Limits on the rate of requests that endpoints name, kept to by all entries together.
//!
//! The pattern: one of nine endpoints is in need and takes one request a second. Each entry
//! sends it one in two seconds, which is modest, and together they send it four times what
//! it takes. Shares of the limit don't help: of 300 entries each may send one request now and
//! then, and if all do so at once that is 300.
//!
//! So one control instance, the one that all entries tell what comes, hands out permits
//! ([`Limits`]), and an entry sends nothing to a limited endpoint without one ([`Permits`]).
//! Permits end soon, so what is not used is not saved up.
//!
//! Invariants, for a limit of N a second:
//!
//! * in any time t one instance hands out at most `0.8 N t + max(1, 0.4 N)` permits to entries
//!   that ask it first, and they are used within [`PERMIT_VALIDITY`]; and a quarter of that to entries
//!   whose first choice did not answer, however many these are. So both together, and two that
//!   are first for a second while entries go from one to the other, stay below `1.5 N t + 5` in
//!   four seconds;
//! * permits go on as long as anybody asks, if slowly, also where the limit is zero: an
//!   endpoint that gets nothing can't say that it takes more again;
//! * the newest observation counts. That a limit has ended is believed only some time after it was
//!   named last, since answers overtake each other;
//! * an entry that hears of no control instance sends at a rate that stays below the limit if
//!   all entries do the same, spread over time by chance.

use derive_more::Display;
use dogwoodhill_core::prelude::*;
use std::cmp::Ordering;

/// How long a permit holds from when it was asked for: twice the interval at which entries
/// ask.
pub const PERMIT_VALIDITY: Duration = Duration::from_secs(1);
/// Part of a limit that an instance hands out to entries that ask it first.
const SHARE: f64 = 0.8;
/// The same for entries whose first choice did not answer: that one may hand out its part to
/// all others meanwhile.
const SHARE_SECOND: f64 = 0.2;
/// Seconds of an instance's part that are handed out at one moment at most: the interval at
/// which entries ask.
const BURST: f64 = 0.5;
/// Requests a second that a limited endpoint gets at least, if there are any for it.
const LEAST: f64 = 0.1;
/// Time after the last naming of a limit from which an answer that names none ends it.
const SETTLED: Duration = Duration::from_millis(300);
/// How long a limit is remembered that nobody names or asks for.
const MEMORY: Duration = Duration::from_secs(60);
/// Endpoints whose limits are remembered: eight times the size that the design is made for.
const MOST_KNOWN: usize = 10_000;
/// Part of a limit that all entries without control use together.
const SHARE_AUTONOMOUS: f64 = 0.5;

/// Largest rate that is told apart from no limit, in requests a second: more than any
/// endpoint serves.
const MOST: f64 = 100_000.0;

/// Requests a second that an endpoint takes of all entries together.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd)]
#[display("{_0}")]
pub struct Rate(f64);

impl Rate {
    /// A rate of `per_second`; `None` where that is no number of requests.
    pub fn new(per_second: f64) -> Option<Self> {
        let valid = per_second.is_finite() && per_second >= 0.0;
        valid.then(|| Self(per_second.min(MOST)))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// What an endpoint's answer says of a limit.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq)]
pub enum Limit {
    /// It names none.
    #[default]
    #[display("none")]
    Unnamed,
    /// It takes so much.
    #[display("{_0}")]
    Named(Rate),
    /// It names one that can't be read.
    #[display("unreadable")]
    Unreadable,
}

impl Limit {
    /// The limit of an answer that names these numbers: the lowest of them, as far as they
    /// can be read.
    pub fn from_values<'a>(numbers: impl Iterator<Item = &'a str>) -> Self {
        numbers.fold(Self::Unnamed, |limit, number| {
            let rate = number.trim().parse().ok().and_then(Rate::new);
            match (limit, rate) {
                (Self::Named(known), Some(rate)) if known <= rate => limit,
                (_, Some(rate)) => Self::Named(rate),
                (Self::Unnamed, None) => Self::Unreadable,
                (_, None) => limit,
            }
        })
    }
}

/// What is known of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The limit; `None` where it names none any more.
    pub rate: Option<Rate>,
    /// When it was said.
    pub at: Duration,
}

impl Observation {
    /// Whether it takes the place of what is known.
    fn supersedes(&self, known: Option<&Self>) -> bool {
        match (known, self.rate) {
            (None, rate) => rate.is_some(),
            (Some(known), None) if known.rate.is_some() => self.at >= known.at + SETTLED,
            (Some(known), _) => self.at > known.at,
        }
    }
}

/// One entry's permits for one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    observed: Option<Observation>,
    /// What is left of each grant, and until when it holds.
    granted: Vec<(Duration, u32)>,
    /// Requests that were to be placed since control was told last.
    demanded: u32,
    /// When control took in what this entry heard.
    told: Option<Duration>,
    /// When an answer said anything about a limit.
    heard: Option<Duration>,
    autonomy: Option<Autonomy>,
}

/// What an entry tells of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// What it knows.
    pub observed: Observation,
    /// Permits that it could use.
    pub wanted: u32,
}

/// Leave to send one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Until when its first byte may go out; `None` without an end.
    pub until: Option<Duration>,
}

impl Permits {
    /// An answer of the endpoint's own came; whether its limit is another one now.
    pub fn observe(&mut self, now: Duration, limit: Limit) -> bool {
        let rate = match limit {
            Limit::Named(rate) => Some(rate),
            Limit::Unnamed if self.rate().is_some() => None,
            // One in need that can't say how much stays at what is known.
            Limit::Unnamed | Limit::Unreadable => return false,
        };
        let observed = Observation { rate, at: now };
        let before = self.rate();
        if self.take_in(observed) {
            self.heard = Some(now);
        }
        self.rate() != before
    }

    /// Control told what all entries know; whether its limit is another one now.
    pub fn merge(&mut self, observed: Observation) -> bool {
        let before = self.rate();
        self.take_in(observed);
        self.rate() != before
    }

    fn take_in(&mut self, observed: Observation) -> bool {
        let newer = observed.supersedes(self.observed.as_ref());
        if newer {
            self.shrink(observed.rate);
            self.observed = Some(observed);
        }
        newer
    }

    /// Keeps the part of the permits that a lower limit leaves.
    fn shrink(&mut self, rate: Option<Rate>) {
        let (Some(before), Some(now)) = (self.rate(), rate) else {
            self.granted.clear();
            return;
        };
        if now < before {
            let part = now.per_second() / before.per_second();
            for grant in &mut self.granted {
                grant.1 = (f64::from(grant.1) * part) as u32;
            }
        }
    }

    /// The limit, where there is one.
    pub fn rate(&self) -> Option<Rate> {
        self.observed.and_then(|observed| observed.rate)
    }

    /// Whether a request may go there now. Where there is a limit, it is counted as one that
    /// could use a permit.
    pub fn demand(&mut self, now: Duration) -> bool {
        if self.rate().is_some() {
            self.demanded = self.demanded.saturating_add(1);
        }
        self.is_available(now)
    }

    /// Whether a request may go there now, without counting one.
    pub fn is_available(&self, now: Duration) -> bool {
        let Some(rate) = self.rate() else {
            return true;
        };
        let holds = |grant: &(Duration, u32)| grant.0 > now && grant.1 > 0;
        let alone = || self.autonomy.is_some_and(|alone| alone.open(now, rate));
        self.granted.iter().any(holds) || alone()
    }

    /// Takes the permit for a request whose first byte goes out now.
    pub fn take(&mut self, now: Duration) -> Option<Permit> {
        let Some(rate) = self.rate() else {
            return Some(Permit { until: None });
        };
        self.left(now);
        if let Some(grant) = self.granted.first_mut() {
            grant.1 -= 1;
            let until = Some(grant.0);
            return Some(Permit { until });
        }
        self.autonomy.as_mut()?.take(now, rate)
    }

    /// Permits that still hold; forgets the others.
    fn left(&mut self, now: Duration) -> u32 {
        self.granted
            .retain(|(until, left)| *until > now && *left > 0);
        self.granted.iter().map(|(_, left)| left).sum()
    }

    /// What control is to be told, if anything: what was heard since, or that permits could
    /// be used.
    pub fn report(&mut self, now: Duration) -> Option<LimitReport> {
        let observed = self.observed?;
        let wanted = std::mem::take(&mut self.demanded);
        let wanted = wanted.saturating_sub(self.left(now));
        let unheard = self.heard > self.told;
        (unheard || wanted > 0).then_some(LimitReport { observed, wanted })
    }

    /// Control took in what was told at `asked`, and granted `permits`.
    pub fn receive_grant(&mut self, asked: Duration, permits: u32) {
        self.told = Some(asked);
        self.autonomy = None;
        if permits > 0 && self.rate().is_some() {
            self.granted.push((asked + PERMIT_VALIDITY, permits));
        }
    }

    /// No control instance was heard of for a while, by this entry as one of `entries`.
    /// `phase`, from 0 to 1, is drawn anew for each endpoint.
    pub fn begin_autonomy(&mut self, entries: u32, phase: f64) {
        self.autonomy.get_or_insert(Autonomy {
            entries: entries.max(1),
            phase,
            used: None,
        });
    }

    /// A control instance is heard of again.
    pub fn end_autonomy(&mut self) {
        self.autonomy = None;
    }
}

/// What an entry without control sends: one request in each of its periods, soon after the
/// period's beginning or not at all, so that entries don't save up and send at once.
#[derive(Clone, Copy, Debug)]
struct Autonomy {
    entries: u32,
    phase: f64,
    /// The last period in which it sent one.
    used: Option<u64>,
}

impl Autonomy {
    /// The present period, and when its time to send is over.
    fn period(&self, now: Duration, rate: Rate) -> (u64, Duration) {
        let rate = rate.per_second().max(LEAST) * SHARE_AUTONOMOUS;
        let length = f64::from(self.entries) / rate;
        let number = (now.as_secs_f64() / length + self.phase).floor();
        let begun = (number - self.phase) * length;
        let end = Duration::from_secs_f64(begun.max(0.0)) + PERMIT_VALIDITY;
        (number as u64, end)
    }

    fn open(&self, now: Duration, rate: Rate) -> bool {
        let (period, end) = self.period(now, rate);
        now < end && self.used != Some(period)
    }

    fn take(&mut self, now: Duration, rate: Rate) -> Option<Permit> {
        if !self.open(now, rate) {
            return None;
        }
        let (period, end) = self.period(now, rate);
        self.used = Some(period);
        Some(Permit { until: Some(end) })
    }
}

/// The limits of all endpoints, and their permits, at one control instance.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Sorted by name.
    known: Vec<Known>,
}

#[derive(Clone, Debug)]
struct Known {
    run: Incarnation,
    observed: Observation,
    /// When an entry told of it last.
    told: Duration,
    /// For entries that ask this instance first.
    first: Bucket,
    /// For those whose first choice did not answer.
    second: Bucket,
}

/// Permits that may be handed out.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    permits: f64,
    /// When they were counted.
    counted: Duration,
}

impl Bucket {
    fn empty(now: Duration) -> Self {
        Self {
            permits: 0.0,
            counted: now,
        }
    }

    /// Takes up to `wanted` permits out, which earns `rate` a second.
    fn take(&mut self, now: Duration, rate: f64, most: f64, wanted: u32) -> u32 {
        let passed = now.saturating_sub(self.counted).as_secs_f64();
        self.counted = now;
        self.permits = (self.permits + rate * passed).min(most);
        let taken = wanted.min(self.permits as u32);
        self.permits -= f64::from(taken);
        taken
    }
}

impl Known {
    fn new(now: Duration, run: Incarnation, observed: Observation) -> Self {
        Self {
            run,
            observed,
            told: now,
            first: Bucket::empty(now),
            second: Bucket::empty(now),
        }
    }

    fn grant(&mut self, now: Duration, wanted: u32, choice: ControlChoice) -> u32 {
        let Some(rate) = self.observed.rate else {
            return 0;
        };
        let rate = rate.per_second();
        let (bucket, share) = match choice {
            ControlChoice::First => (&mut self.first, SHARE),
            ControlChoice::Second => (&mut self.second, SHARE_SECOND),
        };
        let most = (rate * share * BURST).max(1.0);
        bucket.take(now, (rate * share).max(LEAST), most, wanted)
    }
}

/// Which control instance of its list an entry asks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlChoice {
    /// The one that all ask.
    #[default]
    First,
    /// Another one, since that did not answer.
    Second,
}

impl Limits {
    /// An entry told what it knows of the limit of `run`; the permits that it gets of those
    /// that it could use.
    pub fn apply_report(
        &mut self,
        now: Duration,
        run: &Incarnation,
        news: LimitReport,
        choice: ControlChoice,
    ) -> u32 {
        let found = self
            .known
            .binary_search_by(|known| known.run.id.cmp(&run.id));
        let at = match found {
            Ok(at) => at,
            Err(_) if self.known.len() >= MOST_KNOWN || news.observed.rate.is_none() => {
                return 0;
            }
            Err(at) => {
                let known = Known::new(now, run.clone(), news.observed);
                self.known.insert(at, known);
                at
            }
        };
        let known = &mut self.known[at];
        match run.cmp_start(&known.run) {
            Ordering::Less => return 0,
            Ordering::Greater => *known = Known::new(now, run.clone(), news.observed),
            Ordering::Equal => {}
        }
        known.told = now;
        if news.observed.supersedes(Some(&known.observed)) {
            known.observed = news.observed;
        }
        known.grant(now, news.wanted, choice)
    }

    /// What is known, sorted by name; what nobody told of for long is forgotten.
    pub fn observations(
        &mut self,
        now: Duration,
    ) -> impl Iterator<Item = (&Incarnation, Observation)> {
        self.known
            .retain(|known| now.saturating_sub(known.told) < MEMORY);
        self.known.iter().map(|known| (&known.run, known.observed))
    }
}
