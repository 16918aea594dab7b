//! Accounting of a request in flight at an endpoint.

use super::endpoint::Endpoint;
use super::fetch::{PrefixFetch, Transfer};
use super::queue_position::QueuePosition;
use super::unresolved::{RequestIdentity, UnresolvedSend};
use crate::dialect::Prompt;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use std::sync::Arc;

/// Weight of the newest first event in the moving average of slowness.
const SLOWNESS_WEIGHT: f64 = 0.1;
/// Bounds of the estimated slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 30.0);
/// Time to the first event in addition to queueing and prefill.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(25);

impl Endpoint {
    /// Counts a request as active until the guard is dropped.
    pub fn begin_request(
        self: &Arc<Self>,
        prompt: &Prompt,
        position: &QueuePosition,
    ) -> InFlight {
        self.begin_fetching(prompt, position, None)
    }

    /// Counts a request as active until the guard is dropped; the endpoint makes `fetch`
    /// first. What it fetches is not counted as prefill.
    pub fn begin_fetching(
        self: &Arc<Self>,
        prompt: &Prompt,
        position: &QueuePosition,
        fetch: Option<&PrefixFetch>,
    ) -> InFlight {
        let now = self.start.elapsed();
        let rate = self.prefill_rate();
        let mut estimates = self.estimates();
        estimates.record.sent(now);
        estimates.own_active += 1;
        let suffix_tokens = prompt.tokens.saturating_sub(prompt.prefix_tokens);
        let cached = prompt
            .prefix
            .is_some_and(|key| estimates.remember_prefix(key, now));
        let transfer = fetch.map(PrefixFetch::begin);
        let transfer_time = transfer.as_ref().map_or(Duration::ZERO, |t| t.time);
        let skips_prefix = cached || transfer.is_some();
        let tokens = if skips_prefix {
            suffix_tokens
        } else {
            prompt.tokens
        };
        let ahead = estimates.queue_wait.tokens_ahead(position.background);
        let expected = estimates.prefill_time(now, rate, ahead + f64::from(tokens))
            + FIRST_EVENT_TIME
            + transfer_time;
        estimates
            .queue_wait
            .sent(now, f64::from(tokens), position.background);
        drop(estimates);
        position.sent(now, f64::from(tokens));
        InFlight {
            endpoint: Arc::clone(self),
            position: position.clone(),
            uncached_tokens: f64::from(tokens),
            prompt_tokens: f64::from(prompt.tokens),
            prefix: prompt.prefix,
            transfer,
            tokens_exact: cached || prompt.prefix_tokens == 0,
            expected,
            sent_at: now,
            awaiting_prefill: true,
            responded: false,
            active: true,
            exposed: None,
            begun: false,
        }
    }
}

/// A request in flight at an endpoint; dropping it ends the accounting.
#[derive(Debug)]
pub struct InFlight {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) position: QueuePosition,
    pub(super) uncached_tokens: f64,
    pub(super) prompt_tokens: f64,
    pub(super) prefix: Option<u64>,
    /// Transfer of the prefix, until the first byte.
    pub(super) transfer: Option<Transfer>,
    /// Whether `uncached_tokens` is exact: no other entry's request can have put the
    /// prefix into the cache.
    pub(super) tokens_exact: bool,
    pub(super) expected: Duration,
    pub(super) sent_at: Duration,
    pub(super) awaiting_prefill: bool,
    pub(super) responded: bool,
    pub(super) active: bool,
    /// The request and when it was sent, while the endpoint may be running it.
    pub(super) exposed: Option<(Arc<RequestIdentity>, Duration)>,
    /// Whether the caller has received an event.
    pub(super) begun: bool,
}

impl InFlight {
    /// The endpoint that the request was sent to.
    pub fn endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }

    /// Called before the first byte of the request is sent. If the guard is dropped before
    /// [`InFlight::resolve`], the send is unresolved.
    pub fn expose(&mut self, request: &Arc<RequestIdentity>) {
        self.exposed = Some((Arc::clone(request), uptime()));
    }

    /// Records that the endpoint has begun to answer the request.
    pub fn record_answered(&self) {
        if let Some((_, sent)) = &self.exposed {
            self.endpoint.record_answered(*sent);
        }
    }

    /// Called when the endpoint has responded completely or has refused the request, or if
    /// no byte was sent.
    pub fn resolve(&mut self) {
        self.exposed = None;
    }

    /// Called when the caller gets the first event.
    pub fn record_begun(&mut self) {
        self.begun = true;
    }

    /// Prompt tokens that are not expected to be in the endpoint's prefix cache.
    pub fn uncached_tokens(&self) -> u32 {
        self.uncached_tokens as u32
    }

    /// Records the first bytes of the response, which imply that prefill is complete.
    pub fn record_first_byte(&mut self) {
        let now = self.endpoint.start.elapsed();
        if !std::mem::take(&mut self.awaiting_prefill) {
            return;
        }
        self.responded = true;
        self.position.dequeued(self.sent_at, self.uncached_tokens);
        self.position.prefilled(now, self.uncached_tokens);
        let took = now.saturating_sub(self.sent_at);
        let transfer = self.transfer.take();
        let mut estimates = self.endpoint.estimates();
        let background = self.position.background;
        estimates
            .queue_wait
            .dequeued(self.sent_at, self.uncached_tokens, background);
        estimates.record.record_first_byte(took);
        if background {
            return;
        }
        let factor = estimates.pace_factor(now);
        if self.uncached_tokens == 0.0 {
            self.endpoint.record_work(took, factor);
        }
        let rate = {
            let mut rate = self.endpoint.lock_rate();
            if self.tokens_exact && transfer.is_none() {
                let tokens = self.uncached_tokens * factor;
                rate.observe(tokens, took.saturating_sub(FIRST_EVENT_TIME));
            }
            *rate
        };
        // The source may have sent less than expected: time in which the whole prompt
        // could have been prefilled is no evidence of a queue.
        let tokens = match &transfer {
            Some(_) => self.prompt_tokens,
            None => self.uncached_tokens,
        };
        let prefill = estimates.prefill_time(now, rate, tokens) + FIRST_EVENT_TIME;
        let waited = took.saturating_sub(prefill);
        estimates.queue_wait.record(now, waited);
        self.position.record_wait(now, waited);
        if transfer.is_some() {
            return;
        }
        let ratio = took.as_secs_f64() / self.expected.as_secs_f64();
        let slowness =
            estimates.slowness * (1.0 + (ratio.min(10.0) - 1.0) * SLOWNESS_WEIGHT);
        estimates.slowness = slowness.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
    }

    /// Records that the endpoint answers the request, and so holds its prefix.
    pub fn record_prefix(&self) {
        let now = self.endpoint.start.elapsed();
        if let Some(key) = self.prefix {
            self.endpoint.estimates().record_prefix_answered(key, now);
        }
    }

    /// Ends the accounting of the request.
    pub fn finish(&mut self) {
        if !std::mem::take(&mut self.active) {
            return;
        }
        if let Some((request, sent)) = self.exposed.take() {
            self.endpoint.unresolved.push(UnresolvedSend {
                request,
                sent,
                at: uptime(),
                begun: self.begun,
            });
        }
        let mut estimates = self.endpoint.estimates();
        estimates.record.ended(self.responded);
        estimates.own_active = estimates.own_active.saturating_sub(1);
        if std::mem::take(&mut self.awaiting_prefill) {
            let background = self.position.background;
            estimates
                .queue_wait
                .dequeued(self.sent_at, self.uncached_tokens, background);
            self.position.dequeued(self.sent_at, self.uncached_tokens);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.finish();
    }
}
