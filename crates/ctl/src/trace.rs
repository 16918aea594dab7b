//! Collects the log lines of several processes about one request, in order of
//! time, and explains the outcomes in them.
//!
//! The result contains
//!
//! * every line whose `request` field is the id of the request;
//! * of each process that logged such a line, the state changes of the endpoints in those
//!   lines and the endpoint list in use when the request arrived: they show whether an
//!   endpoint was known to be leaving when the request was sent to it;
//! * of all processes, the lines about endpoints that ended while they ran other attempts
//!   with the same content, and about the quarantine of that content.
//!
//! Times are those of each process's clock, which can differ by seconds between
//! instances. Lines of one file with the same time keep their order.

use crate::{CommandError, Exit};
use std::fmt::Write;

/// One line of a log file.
#[derive(Clone, Debug, PartialEq)]
struct LogLine<'a> {
    /// Name of the log file.
    source: &'a str,
    /// Seconds since the Unix epoch; 0 if the line has no valid time.
    time: f64,
    text: &'a str,
}

impl<'a> LogLine<'a> {
    fn new(source: &'a str, text: &'a str) -> Self {
        let time = field(text, "time").and_then(|time| time.parse().ok());
        Self {
            source,
            time: time.unwrap_or(0.0),
            text,
        }
    }
}

/// Meaning of each outcome, and the events to look at next.
const CAUSES: [(&str, &str); 22] = [
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
    (
        "no-place",
        "the service's endpoints have few slots, and no place at one came free in time; look at place-missed",
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

/// Returns the lines about request `id`, followed by the meaning of the outcomes
/// in them. `logs` are pairs of a name and a text.
///
/// # Errors
///
/// [`CommandError`] if no line has the id.
pub fn trace(id: &str, logs: &[(String, String)]) -> Result<String, CommandError> {
    let mut lines: Vec<LogLine<'_>> = logs
        .iter()
        .flat_map(|(source, text)| request_lines(id, source, text))
        .collect();
    if lines.is_empty() {
        let text = format!(
            "no line is about request {id}; add the logs of the other entries, and look \
             for log-lines-dropped at that time"
        );
        return Err(CommandError::new(Exit::Failed, text));
    }
    for (source, text) in logs {
        let endpoint_lines = endpoint_lines(source, text, &lines);
        let crash_lines = crash_lines(id, source, text, &lines);
        lines.extend(endpoint_lines);
        lines.extend(crash_lines);
    }
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let mut out = String::new();
    for line in &lines {
        // Writing to a string can't fail.
        let _ = writeln!(out, "{}: {}", line.source, line.text);
    }
    for (cause, meaning) in CAUSES {
        let has_cause = |line: &LogLine<'_>| {
            ["cause", "result", "reason"]
                .iter()
                .any(|key| field(line.text, key) == Some(cause))
        };
        if lines.iter().any(has_cause) {
            let _ = writeln!(out, "{cause}: {meaning}");
        }
    }
    Ok(out)
}

/// Lines of `text` whose `request` field is `id`.
fn request_lines<'a>(
    id: &'a str,
    source: &'a str,
    text: &'a str,
) -> impl Iterator<Item = LogLine<'a>> {
    let lines = text.lines().map(str::trim);
    let matching = lines.filter(move |line| field(line, "request") == Some(id));
    matching.map(move |text| LogLine::new(source, text))
}

/// Of a process that logged the request: state changes of the request's endpoints, and
/// the endpoint list adopted last before the first line about the request.
fn endpoint_lines<'a>(
    source: &'a str,
    text: &'a str,
    request_lines: &[LogLine<'a>],
) -> Vec<LogLine<'a>> {
    let of_source = request_lines.iter().filter(|line| line.source == source);
    let Some(first) = of_source
        .clone()
        .map(|line| line.time)
        .min_by(f64::total_cmp)
    else {
        return Vec::new();
    };
    let endpoints: Vec<&str> = of_source
        .filter_map(|line| field(line.text, "endpoint"))
        .filter(|endpoint| *endpoint != "-")
        .collect();
    let all = || text.lines().map(|text| LogLine::new(source, text.trim()));
    let events = [
        "endpoint-listed",
        "endpoint-leaving",
        "endpoint-gone",
        "endpoint-replaced",
    ];
    let changes = all().filter(|line| {
        let event =
            field(line.text, "event").is_some_and(|event| events.contains(&event));
        let endpoint = field(line.text, "endpoint");
        event && endpoint.is_some_and(|endpoint| endpoints.contains(&endpoint))
    });
    let mut lists = all().filter(|line| {
        field(line.text, "event") == Some("list-taken") && line.time <= first
    });
    changes.chain(lists.next_back()).collect()
}

/// Lines about endpoints that ended while they ran other attempts with the content of
/// request `id`, and about the quarantine of that content.
fn crash_lines<'a>(
    id: &str,
    source: &'a str,
    text: &'a str,
    request_lines: &[LogLine<'a>],
) -> Vec<LogLine<'a>> {
    let contents = request_lines
        .iter()
        .filter_map(|line| field(line.text, "content"));
    let contents: Vec<&str> = contents.filter(|content| *content != "-").collect();
    let events = ["endpoint-ended", "request-quarantined", "quarantine-told"];
    let lines = text.lines().map(str::trim).filter(|line| {
        let event = field(line, "event").is_some_and(|event| events.contains(&event));
        let same_request = field(line, "request") == Some(id);
        let content = field(line, "content");
        event
            && !same_request
            && content.is_some_and(|content| contents.contains(&content))
    });
    lines.map(|text| LogLine::new(source, text)).collect()
}

/// Value of the field `key` in a line of `key=value` pairs; values with blanks are cut at
/// the first one.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut fields = line.split(' ');
    fields.find_map(|field| field.strip_prefix(key)?.strip_prefix('='))
}
