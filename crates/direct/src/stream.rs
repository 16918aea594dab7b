//! Relaying a stream, and resuming it at another endpoint.
//!
//! A task reads from the endpoint and passes complete events to the caller's connection
//! through a short channel, so a slow caller applies backpressure to its endpoint and no
//! memory builds up. The task sends [`Part::End`] only if the endpoint ended its response
//! properly after a complete event; in all other cases the caller's connection is
//! aborted.

use crate::dialect::EventId;
use crate::directory::Endpoint;
use crate::dispatch::{Dispatch, DispatchResult};
use crate::events::{Events, MAX_EVENT, Splitter};
use crate::exchange::{EndpointResponse, Loss};
use crate::race::{Winner, race_response};
use crate::response::Part;
use crate::stats::RequestRecord;
use dogwoodhill_core::prelude::*;
use http_body_util::BodyExt;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

/// Capacity of the channel to a caller's connection, in parts.
pub const CHANNEL_CAPACITY: usize = 4;
/// Interval at which the endpoint of a silent request is checked.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Stream of an endpoint, read event by event.
#[derive(Debug)]
pub struct EventSource {
    response: EndpointResponse,
    splitter: Splitter,
    /// Whether the stream is incomplete without an event.
    needs_event: bool,
}

/// Result of reading from an endpoint's stream.
#[derive(Debug)]
pub enum StreamItem {
    /// Complete events.
    Events(Events),
    /// The stream ended properly.
    End,
    /// The stream ended early.
    Broken(Loss),
}

impl EventSource {
    /// Starts reading the body of `response`. If the stream is `resumed`, there may be no
    /// event left. Otherwise a body that ends with its connection before the first event
    /// is taken for one that was broken off after its head.
    pub fn new(response: EndpointResponse, resumed: bool) -> Self {
        Self {
            needs_event: response.unframed && !resumed,
            response,
            splitter: Splitter::default(),
        }
    }

    /// Head of the endpoint's response.
    pub fn response(&self) -> &EndpointResponse {
        &self.response
    }

    /// The endpoint that sends the stream.
    pub fn endpoint(&self) -> &Arc<Endpoint> {
        self.response.in_flight.endpoint()
    }

    /// Called when the caller gets the first event.
    pub fn record_begun(&mut self) {
        self.response.in_flight.record_begun();
    }

    /// Waits for the next complete events, or for the end of the stream. Cancel safe.
    pub async fn next(&mut self) -> StreamItem {
        loop {
            let Some(frame) = self.response.body.frame().await else {
                let complete = !self.splitter.has_partial() && !self.needs_event;
                return if complete {
                    self.response.in_flight.resolve();
                    StreamItem::End
                } else {
                    self.broken()
                };
            };
            let Ok(frame) = frame else {
                return self.broken();
            };
            self.endpoint().record_activity();
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            let events = self.splitter.push(bytes);
            let partial = self.splitter.buffered();
            if partial > MAX_EVENT || !self.response.space.fit(partial) {
                return self.oversized();
            }
            if let Some(events) = events {
                self.needs_event = false;
                return StreamItem::Events(events);
            }
        }
    }

    fn broken(&mut self) -> StreamItem {
        self.endpoint().record_outcome(true);
        self.response.in_flight.finish();
        StreamItem::Broken(Loss::ConnectionBroken)
    }

    /// Gives up a stream with an event that is too large. The endpoint has answered, so it
    /// did not end under the request.
    fn oversized(&mut self) -> StreamItem {
        self.endpoint().record_outcome(true);
        self.response.in_flight.resolve();
        self.response.in_flight.finish();
        StreamItem::Broken(Loss::Oversized)
    }

    /// Returns the connection of a properly ended stream to the pool.
    pub fn release(self) {
        let EndpointResponse {
            meta,
            connection,
            in_flight,
            ..
        } = self.response;
        connection.response_completed();
        if meta.reusable {
            in_flight
                .endpoint()
                .pool
                .release(connection, meta.idle_timeout);
        }
    }
}

/// A stream being relayed to a caller.
#[derive(Debug)]
pub struct Relay {
    /// The request.
    pub dispatch: Dispatch,
    /// The endpoint's stream; `None` while the relay moves between endpoints.
    pub source: Option<EventSource>,
    /// Last event sent to the caller.
    pub last: Option<EventId>,
    /// Sender to the caller's connection.
    pub sender: mpsc::Sender<Part>,
    /// Log line of the request.
    pub record: RequestRecord,
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
    pub fn start() -> Self {
        Self {
            last: Instant::now(),
            longest: Duration::ZERO,
        }
    }

    /// Records an event; returns the pause before it.
    fn record(&mut self) -> Duration {
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
enum RelayEnd {
    Complete,
    CallerGone,
    TimedOut,
    Broken,
}

impl Relay {
    /// Relays until the stream ends.
    pub async fn run(mut self, first: Events) {
        let end = match self.forward(first).await {
            Some(end) => end,
            None => self.relay_events().await,
        };
        let (status, cause) = match end {
            RelayEnd::Complete => ("complete", "-"),
            RelayEnd::CallerGone => ("cut", "caller-gone"),
            RelayEnd::TimedOut => ("cut", "timeout"),
            RelayEnd::Broken => ("cut", "endpoint-lost"),
        };
        self.record
            .stream_ended(status, cause, self.last, self.pauses.longest());
        if end == RelayEnd::Complete {
            self.dispatch.stream_completed(self.pauses.longest());
            // Fails only if the caller has disconnected.
            let _ = self.sender.send(Part::End).await;
            if let Some(source) = self.source {
                source.release();
            }
        }
    }

    async fn relay_events(&mut self) -> RelayEnd {
        loop {
            let deadline = self.dispatch.deadline;
            let Some(source) = self.source.as_mut() else {
                return RelayEnd::Broken;
            };
            let polled = race_response(source.next(), sleep(CHECK_INTERVAL));
            let next = tokio::select! {
                biased;
                () = self.sender.closed() => return RelayEnd::CallerGone,
                next = polled => next,
                () = sleep_until(deadline) => return RelayEnd::TimedOut,
            };
            let end = match next {
                Winner::Response(StreamItem::Events(events)) => {
                    self.forward(events).await
                }
                Winner::Response(StreamItem::End) => return RelayEnd::Complete,
                Winner::Response(StreamItem::Broken(loss)) => self.try_resume(loss).await,
                Winner::Abandon(()) => {
                    let since_last = self.pauses.last.elapsed();
                    if source.endpoint().should_abandon(since_last) {
                        self.try_resume(Loss::Timeout).await
                    } else {
                        None
                    }
                }
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    async fn forward(&mut self, events: Events) -> Option<RelayEnd> {
        self.last = events.last.or(self.last);
        let pause = self.pauses.record();
        if let Some(source) = self
            .source
            .as_ref()
            .filter(|_| self.dispatch.is_sensitive())
        {
            source.endpoint().record_event_gap(pause);
        }
        let sending = self.sender.send(Part::Events(events.bytes));
        tokio::select! {
            sent = sending => sent.is_err().then_some(RelayEnd::CallerGone),
            () = sleep_until(self.dispatch.deadline) => Some(RelayEnd::TimedOut),
        }
    }

    /// Resumes at another endpoint after the last complete event, if that is allowed and
    /// one is available.
    async fn try_resume(&mut self, loss: Loss) -> Option<RelayEnd> {
        let silent = loss == Loss::Timeout;
        if let Some(source) = &self.source {
            let endpoint = Arc::clone(source.endpoint());
            self.dispatch.record_loss(&endpoint, loss).await;
        }
        if !self.dispatch.prepare_resume() {
            // An endpoint that is only silent may continue.
            return (!silent).then_some(RelayEnd::Broken);
        }
        let Some(source) = self.source.take() else {
            return Some(RelayEnd::Broken);
        };
        if silent {
            source.endpoint().mark_unreachable();
        }
        self.dispatch.resume_after = self.last.or(self.dispatch.resume_after);
        self.dispatch
            .log_endpoint_abandoned(source.endpoint(), loss);
        // The previous connection is closed before the request is resent, so that no two
        // endpoints work on it at the same time.
        drop(source);
        let sender = self.sender.clone();
        let next = tokio::select! {
            next = self.dispatch.send_until_response() => next,
            () = sender.closed() => return Some(RelayEnd::CallerGone),
        };
        match next {
            DispatchResult::Response(response) if response.status.is_success() => {
                let source = EventSource::new(*response, true);
                self.record.stream_resumed(source.endpoint(), self.last);
                self.source = Some(source);
                None
            }
            DispatchResult::Response(_) | DispatchResult::Refuse(_) => {
                Some(RelayEnd::Broken)
            }
        }
    }
}
