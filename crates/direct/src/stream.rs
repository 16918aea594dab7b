//! Relaying a stream, and resuming it at another endpoint.
//!
//! A task reads from the endpoint and passes complete events to the caller's connection
//! through a short channel, so a slow caller applies backpressure to its endpoint and no
//! memory builds up. The task sends [`Part::End`] only if the endpoint ended its response
//! properly after a complete event; in all other cases the caller's connection is
//! aborted.

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

/// Capacity of the channel to a caller's connection, in parts.
pub const PARTS: usize = 4;
/// Interval at which the endpoint of a silent request is checked.
pub const CHECK: Duration = Duration::from_millis(250);

/// Stream of an endpoint, read event by event.
#[derive(Debug)]
pub struct Source {
    answer: Answer,
    splitter: Splitter,
}

/// Result of reading from an endpoint's stream.
#[derive(Debug)]
pub enum Piece {
    /// Complete events.
    Events(Events),
    /// The stream ended properly.
    End,
    /// The stream ended early.
    Broken(Loss),
}

impl Source {
    /// Starts reading the body of `answer`.
    pub fn new(answer: Answer) -> Self {
        Self {
            answer,
            splitter: Splitter::default(),
        }
    }

    /// Head of the endpoint's response.
    pub fn answer(&self) -> &Answer {
        &self.answer
    }

    /// The endpoint that sends the stream.
    pub fn endpoint(&self) -> &Arc<Endpoint> {
        self.answer.sent.endpoint()
    }

    /// Waits for the next piece. Cancel safe.
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

    /// Returns the connection of a properly ended stream to the pool.
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

/// A stream being relayed to a caller.
#[derive(Debug)]
pub struct Relay {
    /// The request.
    pub job: Job,
    /// The endpoint's stream; `None` while the relay moves between endpoints.
    pub source: Option<Source>,
    /// Last event sent to the caller.
    pub last: Option<EventId>,
    /// Sender to the caller's connection.
    pub parts: mpsc::Sender<Part>,
    /// Log line of the request.
    pub record: Record,
    /// Pauses between the stream's events.
    pub pauses: Pauses,
}

/// Pauses between the events of one stream.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    last: Instant,
    longest: Duration,
}

impl Pauses {
    /// Starts the clock at the first event.
    pub fn begin() -> Self {
        Self {
            last: Instant::now(),
            longest: Duration::ZERO,
        }
    }

    /// Records an event; returns the pause before it.
    fn event(&mut self) -> Duration {
        let now = Instant::now();
        let pause = now.duration_since(self.last);
        self.longest = self.longest.max(pause);
        self.last = now;
        pause
    }

    /// The longest pause so far.
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
    /// Relays until the stream ends.
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
            // Fails only if the caller has disconnected.
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

    /// Resumes at another endpoint after the last complete event, if that is allowed and
    /// one is available.
    async fn go_on(&mut self, loss: Loss) -> Option<Over> {
        let silent = loss == Loss::Timeout;
        if let Some(source) = &self.source {
            let endpoint = Arc::clone(source.endpoint());
            self.job.note_lost(&endpoint, loss).await;
        }
        if !self.job.may_go_on() {
            // An endpoint that is only silent may continue.
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
        // The previous connection is closed before the request is resent, so that no two
        // endpoints work on it at the same time.
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
