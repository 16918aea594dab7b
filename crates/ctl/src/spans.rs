//! Spans of time in which a process treated a service differently, from the log lines
//! that begin and end them.

use crate::lines::{LogLine, lines};
use std::fmt::{Display, Formatter, Result};

/// Events that begin and end a span, and what holds meanwhile.
const STATES: [(&str, &str, &str); 3] = [
    ("service-short", "service-has-room", "short of room"),
    ("lending-begun", "lending-ended", "sent to within places"),
    ("pace-varies", "pace-steady", "of varying pace"),
];
/// Events after which a process has no state left of before.
const STARTS: [&str; 2] = ["entry-started", "control-started"];
/// Difference of the clocks of two instances that is allowed for, in seconds.
const CLOCK_DIFFERENCE: f64 = 1.0;

/// A span of time in which a process treated a service differently.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span<'a> {
    /// What holds meanwhile.
    state: &'static str,
    service: &'a str,
    source: &'a str,
    /// The line that begins it; `None` if it is in no log.
    first: Option<LogLine<'a>>,
    /// The line that ends it; `None` if it lasts to the end of the log.
    last: Option<LogLine<'a>>,
}

impl Span<'_> {
    /// Whether the span includes a time, in seconds since the Unix epoch, or misses it by
    /// less than clocks differ.
    pub fn includes(&self, time: f64) -> bool {
        let begun = self.first.is_none_or(|l| l.time <= time + CLOCK_DIFFERENCE);
        let ended = self.last.is_some_and(|l| l.time < time - CLOCK_DIFFERENCE);
        begun && !ended
    }
}

impl Display for Span<'_> {
    fn fmt(&self, out: &mut Formatter<'_>) -> Result {
        let (source, service, state) = (self.source, self.service, self.state);
        write!(out, "{source}: service {service} was {state} ")?;
        match self.first {
            Some(line) => write!(out, "from {:.3}", line.time)?,
            None => write!(out, "from before the log")?,
        }
        match self.last {
            Some(line) => write!(out, " to {:.3}", line.time)?,
            None => write!(out, " to the end of the log")?,
        }
        let text = self.first.or(self.last).map_or("", |line| line.text);
        let at = text.find("event=").unwrap_or(0);
        write!(out, " ({})", &text[at..])
    }
}

/// The spans of `service` in the log of one process, by their ends. A span also ends where
/// the process starts again; a line that repeats a beginning changes nothing.
pub fn spans<'a>(source: &'a str, text: &'a str, service: &str) -> Vec<Span<'a>> {
    let mut ended = Vec::new();
    let mut open: Vec<Span<'a>> = Vec::new();
    for line in lines(source, text) {
        if line.is_event(&STARTS) {
            let end = |span| Span {
                last: Some(line),
                ..span
            };
            ended.extend(open.drain(..).map(end));
        }
        let Some(named) = line.field("service").filter(|named| *named == service) else {
            continue;
        };
        for (begin, end, state) in STATES {
            let at = open.iter().position(|span| span.state == state);
            let new = Span {
                state,
                service: named,
                source,
                first: None,
                last: None,
            };
            if line.is_event(&[begin]) && at.is_none() {
                open.push(Span {
                    first: Some(line),
                    ..new
                });
            }
            if line.is_event(&[end]) {
                let span = at.map_or(new, |at| open.remove(at));
                ended.push(Span {
                    last: Some(line),
                    ..span
                });
            }
        }
    }
    ended.extend(open);
    ended
}
