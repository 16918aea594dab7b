//! Counts the requests of a service or of a workspace in the logs of several processes:
//! how they ended and why, how long they took, and at which endpoints.

use crate::lines::{LogLine, lines};
use crate::spans::spans;
use crate::{CommandError, Exit};
use std::cmp::Reverse;
use std::fmt::Write;

/// Events of which each request has one.
const OUTCOMES: [&str; 3] = ["request-answered", "request-refused", "request-abandoned"];
/// Event of a send that did not bring an answer.
const SEND_FAILED: [&str; 1] = ["send-failed"];
/// Cause of a refusal for the share of the workspace.
const BY_SHARE: &str = "over-share";
/// Most lines of a table; the others are counted.
const MAX_ROWS: usize = 20;

/// The requests to count: those that match every value that is set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    /// Name of the service.
    pub service: Option<String>,
    /// Name of the workspace.
    pub workspace: Option<String>,
}

impl Selection {
    fn includes(&self, line: &LogLine<'_>) -> bool {
        let matches = |wanted: &Option<String>, key: &str| {
            let value = line.field(key);
            wanted.as_deref().is_none_or(|wanted| value == Some(wanted))
        };
        matches(&self.service, "service") && matches(&self.workspace, "workspace")
    }
}

/// The requests with the same value of a field.
#[derive(Debug, Default)]
struct Group<'a> {
    key: String,
    lines: Vec<LogLine<'a>>,
}

/// Summarizes the selected requests. `logs` are pairs of a name and a text.
///
/// # Errors
///
/// [`CommandError`] if there is no such request.
pub fn summarize(
    selection: &Selection,
    logs: &[(String, String)],
) -> Result<String, CommandError> {
    let all = || logs.iter().flat_map(|(source, text)| lines(source, text));
    let requests: Vec<LogLine<'_>> = all()
        .filter(|line| line.is_event(&OUTCOMES) && selection.includes(line))
        .collect();
    if requests.is_empty() {
        let text = "no request of that name ended in these logs; add the logs of the other \
                    entries, and look for log-lines-dropped";
        return Err(CommandError::new(Exit::Failed, text));
    }
    let mut out = String::new();
    write_period(&mut out, &requests);
    let outcomes = group(&requests, |line| Some(outcome(line)));
    write_table(&mut out, "outcome status cause", &outcomes, durations);
    if selection.workspace.is_none() {
        let groups = group(&requests, |line| {
            line.field("workspace").map(str::to_string)
        });
        write_table(&mut out, "workspace", &groups, refusals);
    }
    if selection.service.is_none() {
        let groups = group(&requests, |line| line.field("service").map(str::to_string));
        write_table(&mut out, "service", &groups, refusals);
    }
    let mut ids: Vec<&str> = requests.iter().filter_map(|l| l.field("request")).collect();
    ids.sort_unstable();
    let failed: Vec<LogLine<'_>> = all()
        .filter(|line| line.is_event(&SEND_FAILED))
        .filter(|line| {
            let id = line.field("request");
            id.is_some_and(|id| ids.binary_search(&id).is_ok())
        })
        .collect();
    write_endpoints(&mut out, &requests, &failed);
    for group in group(&requests, |line| line.known("service").map(str::to_string)) {
        for (source, text) in logs {
            for span in spans(source, text, &group.key) {
                // Writing to a string can't fail.
                let _ = writeln!(out, "{span}");
            }
        }
    }
    Ok(out)
}

fn write_period(out: &mut String, requests: &[LogLine<'_>]) {
    let times = || requests.iter().map(|line| line.time);
    let first = times().fold(f64::INFINITY, f64::min);
    let last = times().fold(f64::NEG_INFINITY, f64::max);
    let count = requests.len();
    let by_share = count_with(requests, "cause", BY_SHARE);
    let _ = writeln!(
        out,
        "{count} requests from {first:.3} to {last:.3}, {by_share} refused by share"
    );
}

/// Event, status and cause of the end of a request.
fn outcome(line: &LogLine<'_>) -> String {
    let value = |key| line.field(key).unwrap_or("-");
    let event = value("event").trim_start_matches("request-");
    format!("{event} {} {}", value("status"), value("cause"))
}

/// Groups lines by a key, the largest group first.
fn group<'a>(
    lines: &[LogLine<'a>],
    key: impl Fn(&LogLine<'a>) -> Option<String>,
) -> Vec<Group<'a>> {
    let mut groups: Vec<Group<'a>> = Vec::new();
    for line in lines {
        let Some(key) = key(line) else { continue };
        let found = groups.binary_search_by(|group| group.key.cmp(&key));
        let at = found.unwrap_or_else(|at| {
            let lines = Vec::new();
            groups.insert(at, Group { key, lines });
            at
        });
        groups[at].lines.push(*line);
    }
    groups.sort_by_key(|group| Reverse(group.lines.len()));
    groups
}

fn write_table(
    out: &mut String,
    title: &str,
    groups: &[Group<'_>],
    details: fn(&[LogLine<'_>]) -> String,
) {
    let _ = writeln!(out, "by {title}:");
    for group in groups.iter().take(MAX_ROWS) {
        let (key, lines) = (&group.key, &group.lines);
        let _ = writeln!(out, "  {key}: {}{}", lines.len(), details(lines));
    }
    if groups.len() > MAX_ROWS {
        let _ = writeln!(out, "  and {} more", groups.len() - MAX_ROWS);
    }
}

/// Middle and longest time of requests, and of the predicted wait in it.
fn durations(lines: &[LogLine<'_>]) -> String {
    let mut text = String::new();
    for (key, name) in [("ms", "after"), ("wait_ms", "predicted wait")] {
        let mut values: Vec<u64> = lines.iter().filter_map(|l| l.number(key)).collect();
        values.sort_unstable();
        if let Some(longest) = values.last() {
            let middle = values[values.len() / 2];
            let _ = write!(text, ", {name} {middle} ms (at most {longest})");
        }
    }
    text
}

fn refusals(lines: &[LogLine<'_>]) -> String {
    let refused = count_with(lines, "event", "request-refused");
    let by_share = count_with(lines, "cause", BY_SHARE);
    format!(", {refused} refused, {by_share} of them by share")
}

/// Writes the endpoints at which requests ended, and those that failed a send.
fn write_endpoints(out: &mut String, requests: &[LogLine<'_>], failed: &[LogLine<'_>]) {
    let both: Vec<LogLine<'_>> = requests.iter().chain(failed).copied().collect();
    let groups = group(&both, |line| line.known("endpoint").map(str::to_string));
    write_table(out, "endpoint", &groups, |lines| {
        let answered = count_with(lines, "event", OUTCOMES[0]);
        let failed = lines.iter().filter(|line| line.is_event(&SEND_FAILED));
        let mut text = format!(", {answered} answered");
        for group in group(&failed.copied().collect::<Vec<_>>(), |line| {
            line.field("result").map(str::to_string)
        }) {
            let (count, result) = (group.lines.len(), &group.key);
            let _ = write!(text, ", {count} {result}");
        }
        text
    });
}

fn count_with(lines: &[LogLine<'_>], key: &str, value: &str) -> usize {
    let with = lines.iter().filter(|line| line.field(key) == Some(value));
    with.count()
}
