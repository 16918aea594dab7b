//! Choosing an endpoint for the next send, and waiting for a place where places are lent.

use super::Dispatch;
use crate::directory::{Endpoint, Placement};
use crate::exchange::Refusal;
use crate::lending::{NoPlace, PlaceGuard, PlaceRequest, ServiceLending};
use crate::response::RefusalCause;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_policy::lending::Priority;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

/// Places taken for one send: those at endpoints that have just begun to leave or to back
/// off are given back.
const MAX_CHOICES: usize = 3;

impl Dispatch {
    /// Chooses the endpoint for the next send. Waits for a trial if the request is
    /// suspected, and for a place if the places of the service are lent.
    pub(super) async fn place(&mut self) -> Result<Placement, RefusalCause> {
        self.place = None;
        if let Some(placement) = self.place_on_trial().await? {
            return Ok(placement);
        }
        for _ in 0..MAX_CHOICES {
            let Some(lending) = self.lending() else { break };
            let Some(guard) = self.await_place(&lending).await? else {
                break;
            };
            let placement = self.shared.directory.place_at(&self.query(), guard.run());
            if let Some(placement) = placement {
                self.place = Some(guard);
                return Ok(placement);
            }
            self.tried.push(guard.run().clone());
        }
        let placement = self.place_by_pace().await;
        placement.ok_or_else(|| self.exhausted_cause())
    }

    /// The state of the service, if its places are lent.
    fn lending(&self) -> Option<Arc<ServiceLending>> {
        let lending = self.shared.contention.lending.service(&self.service)?;
        (self.needs_place() && !self.suspected).then_some(lending)
    }

    /// Whether requests of this kind need a place where places are lent. Streams do not:
    /// their endpoints queue by prompt length rather than by slots.
    fn needs_place(&self) -> bool {
        self.shared.contention.features.lending && self.plain
    }

    async fn await_place(
        &mut self,
        lending: &Arc<ServiceLending>,
    ) -> Result<Option<PlaceGuard>, RefusalCause> {
        let directory = &self.shared.directory;
        if directory.slots(&self.service).is_none() {
            return Ok(None);
        }
        let entries = self.shared.entries.load(Ordering::Relaxed);
        let endpoints = || directory.slots(&self.service).unwrap_or_default();
        let request = self.place_request();
        let stats = &self.shared.stats.lending;
        let acquired = lending.acquire(request, endpoints, entries, stats).await;
        acquired.map_err(|refused| self.log_no_place(&refused))
    }

    fn place_request(&self) -> PlaceRequest<'_> {
        let route = &self.admitted.route;
        let now = uptime();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let allowed = route
            .timeout
            .min(self.meta.max_wait.unwrap_or(Duration::MAX));
        let arrived = (now + left).saturating_sub(allowed);
        PlaceRequest {
            priority: Priority {
                tier: u32::from(self.admitted.tier),
                above: self.is_above_share(),
                due: arrived + route.objective,
            },
            deadline: now + left,
            bytes: self.outbound.body.bytes.len(),
            tried: &self.tried,
        }
    }

    /// Logs that a request gets no place in time. Returns the cause of its refusal.
    fn log_no_place(&self, refused: &NoPlace) -> RefusalCause {
        let ms = |time: Option<Duration>| time.map_or(-1, |time| time.as_millis() as i64);
        Event::new("place-missed")
            .field("request", &self.meta.id)
            .field("service", &self.service)
            .field("tier", self.admitted.tier)
            .field("waited_ms", refused.waited.as_millis())
            .field("ahead", refused.verdict.ahead)
            .field("predicted_ms", ms(refused.verdict.wait))
            .field("rate", format!("{:.1}", refused.verdict.rate))
            .field("loan_ms", ms(refused.loan_age))
            .warn();
        if self.may_have_run {
            RefusalCause::Lost
        } else {
            RefusalCause::NoPlace
        }
    }

    /// Records that `endpoint` refused the request: if it is full, its service is lent
    /// from now on.
    pub(super) fn record_refusal(&mut self, endpoint: &Endpoint, reason: Refusal) {
        let guard = self.place.take();
        if reason != Refusal::Full || !self.needs_place() {
            return;
        }
        let Some(queue) = endpoint.full_queue() else {
            return;
        };
        let run = endpoint.run();
        if let Some(guard) = guard {
            return guard.reject(queue);
        }
        let Some(slots) = self.shared.directory.slots(&self.service) else {
            return;
        };
        let entries = self.shared.entries.load(Ordering::Relaxed);
        let lending = &self.shared.contention.lending;
        let lending = lending.begin(&self.service, &run, slots, entries);
        lending.record_rejection(&run, queue);
    }

    /// Expected time until those that wait for places of the service have them.
    pub(super) fn drain_time(&self) -> Duration {
        let lending = self.lending();
        lending.map_or(Duration::ZERO, |lending| lending.drain_time())
    }
}
