//! Scenarios: a deployment, its classes, and what happens to them.

use dogwoodhill_core::prelude::*;
use dogwoodhill_core::text::Text;
use dogwoodhill_standin::engine::Speed;

const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);

/// A file of scenarios of one deployment.
#[derive(Clone, Debug)]
pub struct Suite {
    /// Name.
    pub name: String,
    /// Failure domains.
    pub domains: u32,
    /// Endpoints, spread over the domains.
    pub endpoints: u32,
    /// Entries, spread over the domains.
    pub entries: u32,
    /// One-way delay between domains.
    pub distance: Duration,
    /// One-way delay between callers and entries, added to every latency.
    pub approach: Duration,
    /// Workspaces; the first quarter has four times the weight and calls.
    pub workspaces: u32,
    /// Speed of each endpoint.
    pub speed: Speed,
    /// Concurrency limit of each agent before it learned anything.
    pub limit: u32,
    /// Most requests that wait in one entry.
    pub waiting: u32,
    /// Classes.
    pub classes: Vec<Load>,
    /// Scenarios.
    pub scenarios: Vec<Scenario>,
}

/// One class and its share of the load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Name.
    pub name: ClassId,
    /// Tier.
    pub priority: Tier,
    /// Objective.
    pub objective: f64,
    /// Target for the first token, from the intended start.
    pub first: Option<Duration>,
    /// Target for the mean token gap.
    pub gap: Option<Duration>,
    /// Target for the end.
    pub finish: Option<Duration>,
    /// Deadline.
    pub timeout: Duration,
    /// Share of the requests, in parts of the sum of all shares.
    pub share: u32,
    /// Fewest tokens of an answer.
    pub least: u32,
    /// Most tokens of an answer.
    pub most: u32,
}

/// What happens.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name.
    pub name: String,
    /// Load during the burst, in multiples of what the endpoints can carry.
    pub factor: f64,
    /// Load before and after it.
    pub calm: f64,
    /// Length of the calm part before the burst.
    pub before: Duration,
    /// Length of the burst.
    pub burst: Duration,
    /// Only this class bursts; the others stay calm.
    pub only: Option<ClassId>,
    /// Lag of the endpoints' reports.
    pub lag: Duration,
    /// Faults.
    pub faults: Vec<Event>,
}

/// One fault.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// When, from the start.
    pub at: Duration,
    /// How long.
    pub lasting: Duration,
    /// What.
    pub kind: Kind,
    /// Which endpoint or entry.
    pub target: u32,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An endpoint is six times slower.
    Slow,
    /// An endpoint closes every connection in the middle of its answers.
    Crash,
    /// An entry drains and a new one takes its place.
    Restart,
}

impl Suite {
    /// Reads a suite from JSON with comments.
    ///
    /// # Errors
    ///
    /// Every fault of the text.
    pub fn parse(file: &str, source: &str) -> Result<Self, Diagnostics> {
        Text::read(file, source, suite)
    }

    /// Tokens a second that all endpoints make with every slot in use.
    pub fn capacity(&self) -> f64 {
        let speed = &self.speed;
        let gap = speed.gap + speed.crowd * speed.slots.saturating_sub(1);
        f64::from(speed.slots * self.endpoints) / gap.as_secs_f64()
    }

    /// Mean tokens of an answer.
    pub fn mean_tokens(&self) -> f64 {
        let shares: u32 = self.classes.iter().map(|class| class.share).sum();
        let sum: u32 = self
            .classes
            .iter()
            .map(|class| class.share * (class.least + class.most))
            .sum();
        f64::from(sum) / f64::from(2 * shares)
    }
}

fn suite(s: &mut Section<'_, '_>) -> Suite {
    let count =
        |s: &mut Section<'_, '_>, key: &str| s.count(key, 1..=10_000, None) as u32;
    Suite {
        name: s.name("name"),
        domains: count(s, "domains"),
        endpoints: count(s, "endpoints"),
        entries: count(s, "entries"),
        distance: s.duration("distance", Duration::ZERO..=SECOND, None),
        approach: s.duration("approach", Duration::ZERO..=SECOND, None),
        workspaces: count(s, "workspaces"),
        speed: Speed {
            slots: count(s, "slots"),
            gap: s.duration("gap", MILLISECOND..=SECOND, None),
            crowd: s.duration("crowd", Duration::ZERO..=SECOND, None),
            prefill: s.duration("prefill", Duration::ZERO..=SECOND, None),
            lag: Duration::ZERO,
        },
        limit: count(s, "limit"),
        waiting: count(s, "waiting"),
        classes: s.sections("classes", class),
        scenarios: s.sections("scenarios", scenario),
    }
}

fn class(s: &mut Section<'_, '_>) -> Load {
    let range = MILLISECOND..=600 * SECOND;
    Load {
        name: s.name("name"),
        priority: s.count("priority", 0..=5, None) as Tier,
        objective: s.number("objective", 0.01..=0.9999, Some(0.95)),
        first: s.duration_opt("first_token", range.clone()),
        gap: s.duration_opt("token_gap", range.clone()),
        finish: s.duration_opt("finish", range.clone()),
        timeout: s.duration("timeout", range, Some(60 * SECOND)),
        share: s.count("share", 1..=1000, None) as u32,
        least: s.count("least_tokens", 1..=10_000, None) as u32,
        most: s.count("most_tokens", 1..=10_000, None) as u32,
    }
}

fn scenario(s: &mut Section<'_, '_>) -> Scenario {
    let range = Duration::ZERO..=60 * SECOND;
    Scenario {
        name: s.name("name"),
        factor: s.number("factor", 0.0..=100.0, None),
        calm: s.number("calm", 0.0..=10.0, Some(0.2)),
        before: s.duration("before", range.clone(), Some(2 * SECOND)),
        burst: s.duration("burst", range.clone(), Some(3 * SECOND)),
        only: s.has("only").then(|| s.name("only")),
        lag: s.duration("lag", range.clone(), Some(SECOND / 2)),
        faults: s.sections("faults", |s| Event {
            at: s.duration("at", range.clone(), None),
            lasting: s.duration("lasting", range.clone(), Some(60 * SECOND)),
            kind: [Kind::Slow, Kind::Crash, Kind::Restart]
                [s.word("kind", &["slow", "crash", "restart"], None)],
            target: s.count("target", 0..=10_000, Some(0)) as u32,
        }),
    }
}
