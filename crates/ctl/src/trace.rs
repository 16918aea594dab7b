//! From a request's id to its cause: the lines of several processes about one
//! request, in order, with what each outcome means.
//!
//! A line counts as about the request if its `request` field has the id. Of the processes
//! that had it, what they learned of its endpoints counts too, and the list that they chose
//! from: whether an endpoint was known to leave when the request went there. So does what
//! became of endpoints under other attempts that asked the same. Time
//! is that of each process's own clock, which may be off by seconds between
//! instances; lines of one file keep their order.

use crate::{Exit, Failure};
use std::fmt::Write;

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
struct Line<'a> {
    source: &'a str,
    time: f64,
    text: &'a str,
}

impl<'a> Line<'a> {
    fn new(source: &'a str, text: &'a str) -> Self {
        let time = field(text, "time").and_then(|time| time.parse().ok());
        Self {
            source,
            time: time.unwrap_or(0.0),
            text,
        }
    }
}

/// What the causes in the lines mean, and what to look at next.
const CAUSES: [(&str, &str); 21] = [
    (
        "no-routes",
        "the entry had no route set yet: it had just started, and no control instance had confirmed one; look at control-lost, leadership-changed and routes-in-force",
    ),
    (
        "unknown-route",
        "no route of this host and path in the version named; compare with routes-in-force",
    ),
    ("unknown-key", "no workspace of that version holds the key"),
    (
        "no-endpoint",
        "the list named no endpoint of the service that is not leaving; look at list-lost, endpoint-gone and endpoint-leaving",
    ),
    (
        "endpoints-full",
        "every endpoint that was asked refused, or could not be reached, or no second send was left in the budget; look at the send-failed lines",
    ),
    (
        "endpoints-held",
        "every endpoint of the service had asked to be left alone, or named a limit for which there was no permit; look at endpoint-backoff, endpoint-limit and permits-granted",
    ),
    ("overload", "the service could not serve it in time"),
    (
        "stopping",
        "the entry was about to stop and would not have finished it; look at drain-begun",
    ),
    (
        "timeout-not-run",
        "its time was over before any endpoint took it",
    ),
    (
        "timeout",
        "its time was over; an endpoint had it, so it may have run",
    ),
    (
        "answer-lost",
        "an endpoint had it, and its answer did not come whole; the send-failed line has the reason",
    ),
    (
        "quarantined",
        "endpoints ended under requests of the same content; look for endpoint-ended and request-quarantined with that content",
    ),
    ("slow-body", "the caller did not send its body in time"),
    ("too-large", "the body was larger than the route set allows"),
    ("malformed", "the head was not a request's, or had no id"),
    (
        "caller-gone",
        "the caller closed its connection; what ran was cancelled",
    ),
    (
        "endpoint-lost",
        "the stream's connection to its endpoint broke, and it could not go on elsewhere",
    ),
    (
        "leaving",
        "the endpoint began to leave while a connection to it was made; it got nothing",
    ),
    (
        "connection-broke",
        "the endpoint closed or reset the connection after the request went out",
    ),
    (
        "foreign-answer",
        "the endpoint sent another request's answer, which was dropped",
    ),
    (
        "spoiled-answer",
        "the endpoint's answer lacked its proof or its id, and was dropped",
    ),
];

/// Prints what the logs say of request `id`. `logs` are names and texts.
///
/// # Errors
///
/// [`Failure`] where no line is about the request.
pub fn trace(id: &str, logs: &[(String, String)]) -> Result<String, Failure> {
    let mut lines: Vec<Line<'_>> = logs
        .iter()
        .flat_map(|(source, text)| about(id, source, text))
        .collect();
    if lines.is_empty() {
        let text = format!(
            "no line is about request {id}; add the logs of the other entries, and look \
             for log-lines-dropped at that time"
        );
        return Err(Failure::new(Exit::Failed, text));
    }
    for (source, text) in logs {
        let known = beliefs(source, text, &lines);
        let crashes = crashes(id, source, text, &lines);
        lines.extend(known);
        lines.extend(crashes);
    }
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let mut out = String::new();
    for line in &lines {
        // Writing to a string can't fail.
        let _ = writeln!(out, "{}: {}", line.source, line.text);
    }
    for (cause, meaning) in CAUSES {
        let named = |line: &Line<'_>| {
            ["cause", "result", "reason"]
                .iter()
                .any(|key| field(line.text, key) == Some(cause))
        };
        if lines.iter().any(named) {
            let _ = writeln!(out, "{cause}: {meaning}");
        }
    }
    Ok(out)
}

fn about<'a>(
    id: &'a str,
    source: &'a str,
    text: &'a str,
) -> impl Iterator<Item = Line<'a>> {
    let lines = text.lines().map(str::trim);
    let ours = lines.filter(move |line| field(line, "request") == Some(id));
    ours.map(move |text| Line::new(source, text))
}

/// What a process that had the request learned of its endpoints, and the list that it had
/// taken last before.
fn beliefs<'a>(source: &'a str, text: &'a str, about: &[Line<'a>]) -> Vec<Line<'a>> {
    let own = about.iter().filter(|line| line.source == source);
    let Some(first) = own.clone().map(|line| line.time).min_by(f64::total_cmp) else {
        return Vec::new();
    };
    let endpoints: Vec<&str> = own
        .filter_map(|line| field(line.text, "endpoint"))
        .filter(|endpoint| *endpoint != "-")
        .collect();
    let all = || text.lines().map(|text| Line::new(source, text.trim()));
    let events = [
        "endpoint-listed",
        "endpoint-leaving",
        "endpoint-gone",
        "endpoint-replaced",
    ];
    let learned = all().filter(|line| {
        let event =
            field(line.text, "event").is_some_and(|event| events.contains(&event));
        let named = field(line.text, "endpoint");
        event && named.is_some_and(|endpoint| endpoints.contains(&endpoint))
    });
    let mut taken = all().filter(|line| {
        field(line.text, "event") == Some("list-taken") && line.time <= first
    });
    learned.chain(taken.next_back()).collect()
}

/// Endpoints that ended under other attempts that asked the same as request `id`, and what
/// followed from that.
fn crashes<'a>(
    id: &str,
    source: &'a str,
    text: &'a str,
    about: &[Line<'a>],
) -> Vec<Line<'a>> {
    let contents = about.iter().filter_map(|line| field(line.text, "content"));
    let contents: Vec<&str> = contents.filter(|content| *content != "-").collect();
    let events = ["endpoint-ended", "request-quarantined", "quarantine-told"];
    let lines = text.lines().map(str::trim).filter(|line| {
        let event = field(line, "event").is_some_and(|event| events.contains(&event));
        let own = field(line, "request") == Some(id);
        let content = field(line, "content");
        event && !own && content.is_some_and(|content| contents.contains(&content))
    });
    lines.map(|text| Line::new(source, text)).collect()
}

/// Value of a field without quotes.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut fields = line.split(' ');
    fields.find_map(|field| field.strip_prefix(key)?.strip_prefix('='))
}
