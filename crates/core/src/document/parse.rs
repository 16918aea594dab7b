//! Parsing of service documents from JSON with comments.

use super::check;
use super::*;
use crate::diagnostic::Diagnostics;
use crate::text::{Section, Text};

const DAY: Duration = Duration::from_secs(24 * 60 * 60);
/// Timeout of a class that specifies none.
pub(super) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Retention of claims if the document specifies none.
const DEFAULT_RETENTION: Duration = DAY;
/// Shortest retention of claims; exceeds the time in which client libraries retry.
const MIN_RETENTION: Duration = Duration::from_secs(60);
/// Largest weight of a workspace.
const MAX_WEIGHT: u64 = 10_000;
/// Largest configurable limit of concurrent requests.
const MAX_IN_FLIGHT: u64 = 1_000_000;
/// Largest configurable limit of requests per second.
const MAX_RATE: f64 = 1_000_000.0;
const MILLISECOND: Duration = Duration::from_millis(1);

impl ServiceDocument {
    /// Parses and validates a document. `file` identifies the text in diagnostics.
    ///
    /// # Errors
    ///
    /// All diagnostics of the text, each with line, key and remedy.
    pub fn parse(file: &str, source: &str) -> Result<Self, Diagnostics> {
        Text::read(file, source, document)
    }
}

fn document(s: &mut Section<'_, '_>) -> ServiceDocument {
    let mut doc = ServiceDocument {
        service: s.name("service"),
        version: s.count("version", 1..=u64::MAX, None),
        owner: s.name("owner"),
        kind: [Kind::Model, Kind::Plain][s.word("kind", &["model", "plain"], None)],
        state: state(s),
        successor: successor(s),
        default_class: s.name_or("default_class", ""),
        retention: s.duration(
            "retention",
            MIN_RETENTION..=30 * DAY,
            Some(DEFAULT_RETENTION),
        ),
        workspaces: s.sections("workspaces", workspace),
        classes: s.sections("classes", class),
        endpoints: s.sections("endpoints", endpoint),
    };
    check::document(s, &doc);
    if doc.default_class.is_empty() {
        doc.default_class = least_urgent(&doc.classes);
    }
    doc.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    doc.classes.sort_by(|a, b| a.name.cmp(&b.name));
    doc.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    doc
}

fn state(s: &mut Section<'_, '_>) -> State {
    [State::Active, State::Retiring][s.word("state", &["active", "retiring"], Some(0))]
}

fn successor(s: &mut Section<'_, '_>) -> Option<ServiceId> {
    s.has("successor").then(|| s.name("successor"))
}

/// Default class if the document names none: the least urgent retriable class, so that a
/// caller gains no priority by omitting the class.
fn least_urgent(classes: &[Class]) -> ClassId {
    classes
        .iter()
        .filter(|class| class.repeat == Repeat::Allowed)
        .max_by_key(|class| class.priority)
        .or(classes.first())
        .map(|class| class.name.clone())
        .unwrap_or_default()
}

fn workspace(s: &mut Section<'_, '_>) -> Workspace {
    let in_flight = s
        .has("in_flight")
        .then(|| s.count("in_flight", 1..=MAX_IN_FLIGHT, None) as u32);
    let rate = s
        .has("rate")
        .then(|| s.number("rate", 0.001..=MAX_RATE, None));
    Workspace {
        name: s.name("name"),
        weight: s.count("weight", 1..=MAX_WEIGHT, Some(1)) as u32,
        in_flight,
        rate,
        keys: keys(s),
    }
}

fn keys(s: &mut Section<'_, '_>) -> Vec<KeyHash> {
    let texts = s.texts("keys");
    let parsed = texts.iter().map(|text| KeyHash::parse(text)).collect();
    let parsed: Option<Vec<_>> = parsed;
    if parsed.is_none() {
        let remedy = "write sha256: and the 64 hexadecimal digits of the key's hash";
        s.report("keys", "holds something else than a hashed key", remedy);
    }
    parsed.unwrap_or_default()
}

fn class(s: &mut Section<'_, '_>) -> Class {
    let top = TIERS as u64 - 1;
    Class {
        name: s.name("name"),
        priority: s.count("priority", 0..=top, None) as Tier,
        target: s.section("target", target).unwrap_or_default(),
        objective: s.number("objective", 0.01..=0.99999, Some(0.95)),
        repeat: [Repeat::Allowed, Repeat::Never]
            [s.word("repeat", &["allowed", "never"], Some(0))],
        timeout: s.duration("timeout", MILLISECOND..=DAY, Some(DEFAULT_TIMEOUT)),
        rules: s.sections("match", rule),
    }
}

fn target(s: &mut Section<'_, '_>) -> Target {
    let range = MILLISECOND..=DAY;
    Target {
        first_token: s.duration_opt("first_token", range.clone()),
        token_gap: s.duration_opt("token_gap", range.clone()),
        finish: s.duration_opt("finish", range),
    }
}

fn rule(s: &mut Section<'_, '_>) -> Rule {
    let mut part = |key: &str| s.has(key).then(|| s.text(key));
    let rule = Rule {
        method: part("method").map(|text| text.to_uppercase()),
        path: part("path"),
        header: part("header").map(|text| text.to_lowercase()),
        value: part("value"),
    };
    check::rule(s, &rule);
    rule
}

fn endpoint(s: &mut Section<'_, '_>) -> Endpoint {
    Endpoint {
        name: s.name("name"),
        agent: s.address("agent"),
        address: s.address("address"),
        domain: s.name("domain"),
        fenced: s.flag("fenced", false),
        leaving: s.flag("leaving", false),
    }
}
