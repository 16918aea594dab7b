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
//!   with the same content, and about the quarantine of that content;
//! * of all processes, the spans around a refusal in which they treated the service of the
//!   request differently, such as while it was short of room.
//! * of a request refused for the share of its workspace, the last line of the same process
//!   about the level of that service, and the last one of each process about its shortage.
//!
//! Times are those of each process's clock, which can differ by seconds between
//! instances. Lines of one file with the same time keep their order.

use crate::lines::{LogLine, lines as all_lines};
use crate::spans::spans;
use crate::{CommandError, Exit};
use std::fmt::Write;

/// Events of a request that got no answer of an endpoint.
const REFUSED: [&str; 2] = ["request-refused", "request-abandoned"];

/// Meaning of each outcome, and the events to look at next.
const CAUSES: [(&str, &str); 23] = [
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
        "over-share",
        "its workspace asked for more than its share of a service that was short of room, and there was no room left; the share-refused line has the share, what the workspace asked for at all entries, and the age of the level, service-short what was short and who else was above it",
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
        let share_lines = share_lines(source, text, &lines);
        lines.extend(share_lines);
        lines.extend(endpoint_lines);
        lines.extend(crash_lines);
    }
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let mut out = String::new();
    for line in &lines {
        // Writing to a string can't fail.
        let _ = writeln!(out, "{}: {}", line.source, line.text);
    }
    write_spans(&mut out, &lines, logs);
    for (cause, meaning) in CAUSES {
        let has_cause = |line: &LogLine<'_>| {
            ["cause", "result", "reason"]
                .iter()
                .any(|key| line.field(key) == Some(cause))
        };
        if lines.iter().any(has_cause) {
            let _ = writeln!(out, "{cause}: {meaning}");
        }
    }
    Ok(out)
}

/// Writes the spans of the services of refused requests around their refusals.
fn write_spans(out: &mut String, lines: &[LogLine<'_>], logs: &[(String, String)]) {
    let refused = lines.iter().filter(|line| line.is_event(&REFUSED));
    let mut services: Vec<(&str, f64)> = refused
        .filter_map(|line| Some((line.known("service")?, line.time)))
        .collect();
    services.dedup();
    for (service, time) in services {
        let all = logs
            .iter()
            .flat_map(|(source, text)| spans(source, text, service));
        for span in all.filter(|span| span.includes(time)) {
            let _ = writeln!(out, "{span}");
        }
    }
}

/// Lines of `text` whose `request` field is `id`.
fn request_lines<'a>(
    id: &'a str,
    source: &'a str,
    text: &'a str,
) -> impl Iterator<Item = LogLine<'a>> {
    all_lines(source, text).filter(move |line| line.field("request") == Some(id))
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
        .filter_map(|line| line.known("endpoint"))
        .collect();
    let all = || all_lines(source, text);
    let events = [
        "endpoint-listed",
        "endpoint-leaving",
        "endpoint-gone",
        "endpoint-replaced",
    ];
    let changes = all().filter(|line| {
        let endpoint = line.field("endpoint");
        line.is_event(&events)
            && endpoint.is_some_and(|endpoint| endpoints.contains(&endpoint))
    });
    let mut lists = all()
        .filter(|line| line.field("event") == Some("list-taken") && line.time <= first);
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
    let contents = request_lines.iter();
    let contents: Vec<&str> = contents.filter_map(|line| line.known("content")).collect();
    let events = ["endpoint-ended", "request-quarantined", "quarantine-told"];
    let lines = all_lines(source, text).filter(|line| {
        let same_request = line.field("request") == Some(id);
        let content = line.field("content");
        line.is_event(&events)
            && !same_request
            && content.is_some_and(|content| contents.contains(&content))
    });
    lines.collect()
}

/// Of a process: the last lines before a request was refused for the share of its
/// workspace, about the level of that service, if the process logged the request, and
/// about its shortage.
fn share_lines<'a>(
    source: &'a str,
    text: &'a str,
    request_lines: &[LogLine<'a>],
) -> Vec<LogLine<'a>> {
    let refused = |line: &&LogLine<'a>| line.is_event(&["share-refused"]);
    let Some(refusal) = request_lines.iter().find(refused) else {
        return Vec::new();
    };
    let service = refusal.field("service");
    let last = |event: &'static str| {
        let mut of_service = all_lines(source, text).filter(|line| {
            let matches = line.is_event(&[event]) && line.field("service") == service;
            matches && line.time <= refusal.time
        });
        of_service.next_back()
    };
    let level = last("share-level").filter(|_| source == refusal.source);
    level.into_iter().chain(last("service-short")).collect()
}
