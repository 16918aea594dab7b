//! Scenario files: the deployment under test, its classes of load, and the bursts and
//! faults of each scenario.

use dogwoodhill_core::prelude::*;
use dogwoodhill_core::text::Text;
use dogwoodhill_standin::engine::EngineConfig;

const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);

/// A scenario file: one deployment, its load and the scenarios run on it.
#[derive(Clone, Debug)]
pub struct Suite {
    /// Name printed above the results.
    pub name: String,
    /// Number of failure domains.
    pub domains: u32,
    /// Number of endpoints, assigned to the domains in turn.
    pub endpoints: u32,
    /// Number of entries, assigned to the domains in turn.
    pub entries: u32,
    /// One-way network delay between domains.
    pub domain_delay: Duration,
    /// One-way network delay between callers and entries. It is not simulated: twice its
    /// value is added to every measured latency.
    pub caller_delay: Duration,
    /// Number of workspaces. The first quarter has four times the weight of the others
    /// and sends four times the requests.
    pub workspaces: u32,
    /// Capacity and timing of each endpoint.
    pub engine: EngineConfig,
    /// Concurrency limit with which each agent starts.
    pub initial_limit: u32,
    /// Maximum length of an entry's queue, in requests.
    pub max_waiting: u32,
    /// Classes of the service; the first is the default class.
    pub classes: Vec<ClassLoad>,
    /// Scenarios, in the order of the file.
    pub scenarios: Vec<Scenario>,
}

/// A class of the service and its share of the load.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// Class name, sent as `x-service-class`.
    pub name: ClassId,
    /// Tier of the class; 0 is the highest.
    pub priority: Tier,
    /// Objective: the share of requests that should meet the targets.
    pub objective: f64,
    /// Target for the time from the intended start to the first token.
    pub first: Option<Duration>,
    /// Target for the mean time between tokens.
    pub token_gap: Option<Duration>,
    /// Target for the time from the intended start to the end of the answer.
    pub finish: Option<Duration>,
    /// Time after which the router gives a request up.
    pub timeout: Duration,
    /// Weight of the class in the request mix, relative to the sum over all classes.
    pub share: u32,
    /// Shortest answer in tokens.
    pub min_tokens: u32,
    /// Longest answer in tokens that the mean is computed with. Drawn lengths reach up to
    /// half of the difference to `min_tokens` above it.
    pub max_tokens: u32,
}

/// One scenario: calm load, a burst and calm load again, with faults injected meanwhile.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name in the results and for `--only`.
    pub name: String,
    /// Load during the burst, as a multiple of [`Suite::capacity`].
    pub burst_factor: f64,
    /// Load before and after the burst, as a multiple of [`Suite::capacity`].
    pub calm_factor: f64,
    /// Length of the calm phase before the burst.
    pub calm_duration: Duration,
    /// Length of the burst.
    pub burst_duration: Duration,
    /// Class to which the burst is restricted; all classes if absent.
    pub burst_class: Option<ClassId>,
    /// Age of the values in the endpoints' load reports.
    pub report_lag: Duration,
    /// Faults to inject, in any order.
    pub faults: Vec<FaultEvent>,
}

/// A fault that is injected at a given time.
#[derive(Clone, Copy, Debug)]
pub struct FaultEvent {
    /// Start of the fault, from the start of the run.
    pub at: Duration,
    /// Time after which the fault switches of the endpoint at `target` are reset.
    pub duration: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Position of the endpoint or entry, modulo their number.
    pub target: u32,
}

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// An endpoint is slower by a factor of 6.
    Slow,
    /// An endpoint closes every connection in the middle of the response.
    Crash,
    /// An entry drains and a new one replaces it.
    Restart,
}

impl Suite {
    /// Parses a suite from JSON with comments. `file` is the name used in diagnostics.
    ///
    /// # Errors
    ///
    /// All diagnostics of the text, not only the first.
    pub fn parse(file: &str, source: &str) -> Result<Self, Diagnostics> {
        Text::read(file, source, suite)
    }

    /// Tokens per second that all endpoints generate together with every slot in use.
    pub fn capacity(&self) -> f64 {
        let engine = &self.engine;
        let token_gap =
            engine.token_gap + engine.gap_per_request * engine.slots.saturating_sub(1);
        f64::from(engine.slots * self.endpoints) / token_gap.as_secs_f64()
    }

    /// Mean length of an answer in tokens, weighted by the shares of the classes.
    pub fn mean_tokens(&self) -> f64 {
        let shares: u32 = self.classes.iter().map(|class| class.share).sum();
        let sum: u32 = self
            .classes
            .iter()
            .map(|class| class.share * (class.min_tokens + class.max_tokens))
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
        domain_delay: s.duration("distance", Duration::ZERO..=SECOND, None),
        caller_delay: s.duration("approach", Duration::ZERO..=SECOND, None),
        workspaces: count(s, "workspaces"),
        engine: EngineConfig {
            slots: count(s, "slots"),
            token_gap: s.duration("gap", MILLISECOND..=SECOND, None),
            gap_per_request: s.duration("crowd", Duration::ZERO..=SECOND, None),
            prefill: s.duration("prefill", Duration::ZERO..=SECOND, None),
            report_lag: Duration::ZERO,
        },
        initial_limit: count(s, "limit"),
        max_waiting: count(s, "waiting"),
        classes: s.sections("classes", class),
        scenarios: s.sections("scenarios", scenario),
    }
}

fn class(s: &mut Section<'_, '_>) -> ClassLoad {
    let range = MILLISECOND..=600 * SECOND;
    ClassLoad {
        name: s.name("name"),
        priority: s.count("priority", 0..=5, None) as Tier,
        objective: s.number("objective", 0.01..=0.9999, Some(0.95)),
        first: s.duration_opt("first_token", range.clone()),
        token_gap: s.duration_opt("token_gap", range.clone()),
        finish: s.duration_opt("finish", range.clone()),
        timeout: s.duration("timeout", range, Some(60 * SECOND)),
        share: s.count("share", 1..=1000, None) as u32,
        min_tokens: s.count("least_tokens", 1..=10_000, None) as u32,
        max_tokens: s.count("most_tokens", 1..=10_000, None) as u32,
    }
}

fn scenario(s: &mut Section<'_, '_>) -> Scenario {
    let range = Duration::ZERO..=60 * SECOND;
    Scenario {
        name: s.name("name"),
        burst_factor: s.number("factor", 0.0..=100.0, None),
        calm_factor: s.number("calm", 0.0..=10.0, Some(0.2)),
        calm_duration: s.duration("before", range.clone(), Some(2 * SECOND)),
        burst_duration: s.duration("burst", range.clone(), Some(3 * SECOND)),
        burst_class: s.has("only").then(|| s.name("only")),
        report_lag: s.duration("lag", range.clone(), Some(SECOND / 2)),
        faults: s.sections("faults", |s| FaultEvent {
            at: s.duration("at", range.clone(), None),
            duration: s.duration("lasting", range.clone(), Some(60 * SECOND)),
            kind: [FaultKind::Slow, FaultKind::Crash, FaultKind::Restart]
                [s.word("kind", &["slow", "crash", "restart"], None)],
            target: s.count("target", 0..=10_000, Some(0)) as u32,
        }),
    }
}
