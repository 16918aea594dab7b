//! Relaying a stream, and going on with it at another endpoint.
//!
//! A task reads the endpoint and hands whole events to the caller's connection
//! through a short channel, so a slow caller slows its endpoint and holds no
//! memory here. The task ends with [`Part::End`] only if the endpoint ended
//! its answer properly after a whole event; whatever else ends it breaks the
//! caller's connection off.

use crate::answer::Part;
use crate::dialect::EventId;
use crate::directory::Endpoint;
use crate::events::{Events, Splitter};
use crate::exchange::{Answer, Loss};
use crate::first::{First, answer_first};
use crate::job::{Job, Next};
use crate::stats::Record;
use dogwoodhill_core::prelude::*;
use http_body_util::BodyExt;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

/// Parts that wait for a caller's connection.
pub const PARTS: usize = 4;
/// Interval at which a stream without events is looked after.
pub const CHECK: Duration = Duration::from_millis(250);

/// An endpoint's stream.
#[derive(Debug)]
pub struct Source {
    answer: Answer,
    splitter: Splitter,
}

/// What came from an endpoint's stream.
#[derive(Debug)]
pub enum Piece {
    /// Whole events.
    Events(Events),
    /// Its proper end.
    End,
    /// Anything else.
    Broken(Loss),
}

impl Source {
    /// The stream that an answer begins.
    pub fn new(answer: Answer) -> Self {
        Self {
            answer,
            splitter: Splitter::default(),
        }
    }

    /// The answer's head.
    pub fn answer(&self) -> &Answer {
        &self.answer
    }

    /// The endpoint.
    pub fn endpoint(&self) -> &Arc<Endpoint> {
        self.answer.sent.endpoint()
    }

    /// Waits for the next piece. May be dropped and called again without loss.
    pub async fn next(&mut self) -> Piece {
        loop {
            let Some(frame) = self.answer.body.frame().await else {
                let whole = !self.splitter.torn();
                return if whole { Piece::End } else { self.broken() };
            };
            let Ok(frame) = frame else {
                return self.broken();
            };
            self.endpoint().heard();
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            if let Some(events) = self.splitter.push(bytes) {
                return Piece::Events(events);
            }
        }
    }

    fn broken(&self) -> Piece {
        self.endpoint().judged(true);
        Piece::Broken(Loss::Broke)
    }

    /// Gives the connection of a stream back that ended properly.
    pub fn finish(self) {
        let Answer {
            said, line, sent, ..
        } = self.answer;
        line.answered();
        if said.keeps {
            sent.endpoint().pool.give(line, said.idle);
        }
    }
}

/// A stream on its way to a caller.
#[derive(Debug)]
pub struct Relay {
    /// The request.
    pub job: Job,
    /// The endpoint's stream; `None` between two endpoints.
    pub source: Option<Source>,
    /// Last event that the caller has been sent.
    pub last: Option<EventId>,
    /// Where the caller's parts go.
    pub parts: mpsc::Sender<Part>,
    /// The line that tells how the request ended.
    pub record: Record,
    /// Pauses between its events.
    pub pauses: Pauses,
}

/// The pauses of one stream.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    last: Instant,
    longest: Duration,
}

impl Pauses {
    /// Begins with the first event.
    pub fn begin() -> Self {
        Self {
            last: Instant::now(),
            longest: Duration::ZERO,
        }
    }

    /// Notes events; returns the pause before them.
    fn event(&mut self) -> Duration {
        let now = Instant::now();
        let pause = now.duration_since(self.last);
        self.longest = self.longest.max(pause);
        self.last = now;
        pause
    }

    /// The longest one.
    pub fn longest(&self) -> Duration {
        self.longest
    }
}

/// How a relay ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Over {
    Complete,
    CallerGone,
    TimedOut,
    Broken,
}

impl Relay {
    /// Relays until the stream is over.
    pub async fn run(mut self, first: Events) {
        let over = match self.pass_on(first).await {
            Some(over) => over,
            None => self.follow().await,
        };
        let (status, cause) = match over {
            Over::Complete => ("complete", "-"),
            Over::CallerGone => ("cut", "caller-gone"),
            Over::TimedOut => ("cut", "timeout"),
            Over::Broken => ("cut", "endpoint-lost"),
        };
        self.record
            .stream(status, cause, self.last, self.pauses.longest());
        if over == Over::Complete {
            self.job.streamed(self.pauses.longest());
            // A caller that has gone needs no end.
            let _ = self.parts.send(Part::End).await;
            if let Some(source) = self.source {
                source.finish();
            }
        }
    }

    async fn follow(&mut self) -> Over {
        loop {
            let until = self.job.until;
            let Some(source) = self.source.as_mut() else {
                return Over::Broken;
            };
            let look = answer_first(source.next(), sleep(CHECK));
            let next = tokio::select! {
                biased;
                () = self.parts.closed() => return Over::CallerGone,
                next = look => next,
                () = sleep_until(until) => return Over::TimedOut,
            };
            let over = match next {
                First::Answer(Piece::Events(events)) => self.pass_on(events).await,
                First::Answer(Piece::End) => return Over::Complete,
                First::Answer(Piece::Broken(loss)) => self.go_on(loss).await,
                First::Leave(()) => {
                    let since_last = self.pauses.last.elapsed();
                    if source.endpoint().deserted(since_last) {
                        self.go_on(Loss::Timeout).await
                    } else {
                        None
                    }
                }
            };
            if let Some(over) = over {
                return over;
            }
        }
    }

    async fn pass_on(&mut self, events: Events) -> Option<Over> {
        self.last = events.last.or(self.last);
        let pause = self.pauses.event();
        if let Some(source) = self.source.as_ref().filter(|_| self.job.fragile()) {
            source.endpoint().paced(pause);
        }
        let sending = self.parts.send(Part::Events(events.bytes));
        tokio::select! {
            sent = sending => sent.is_err().then_some(Over::CallerGone),
            () = sleep_until(self.job.until) => Some(Over::TimedOut),
        }
    }

    /// Goes on at another endpoint after the last whole event, where that is
    /// allowed and there is one.
    async fn go_on(&mut self, loss: Loss) -> Option<Over> {
        let silent = loss == Loss::Timeout;
        if let Some(source) = &self.source {
            let endpoint = Arc::clone(source.endpoint());
            self.job.note_lost(&endpoint, loss).await;
        }
        if !self.job.may_go_on() {
            // One that is only silent may speak again.
            return (!silent).then_some(Over::Broken);
        }
        let Some(source) = self.source.take() else {
            return Some(Over::Broken);
        };
        if silent {
            source.endpoint().unreached();
        }
        self.job.resume = self.last.or(self.job.resume);
        self.job.left_behind(source.endpoint(), loss);
        // The earlier connection closes before the request goes out again, so
        // that two endpoints never work on it.
        drop(source);
        let parts = self.parts.clone();
        let next = tokio::select! {
            next = self.job.again() => next,
            () = parts.closed() => return Some(Over::CallerGone),
        };
        match next {
            Next::Answer(answer) if answer.status.is_success() => {
                self.source = Some(Source::new(*answer));
                None
            }
            Next::Answer(_) | Next::Refuse(_) => Some(Over::Broken),
        }
    }
}
