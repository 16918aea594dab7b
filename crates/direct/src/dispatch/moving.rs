//! Moving a request to another endpoint, within the resend budget.

use super::Dispatch;
use crate::directory::{Endpoint, LatencyClass, Placement};
use crate::pace::Prober;
use crate::stream::CHECK_INTERVAL;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::pace::probe_wait;
use tokio::time::{Instant, sleep_until};

/// Time without a response after which an idempotent request is sent to another endpoint,
/// as a multiple of its response-time objective. Callers of streams time out after four
/// times the objective.
const MOVE_AFTER_OBJECTIVES: f64 = 2.5;

impl Dispatch {
    /// Chooses an endpoint, after asking the likely ones for their pace if that is of
    /// use.
    pub(super) async fn place_by_pace(&self) -> Option<Placement> {
        let prober = self.shared.contention.prober.as_ref();
        if let Some(prober) = prober {
            self.refresh_candidates(prober).await;
        }
        let placement = self.shared.directory.place(&self.query());
        if let (Some(prober), Some(placement)) = (prober, &placement) {
            prober.record_age(&placement.endpoint);
        }
        placement
    }

    async fn refresh_candidates(&self, prober: &Prober) {
        let routes = self.shared.routes.load_full();
        let declaration = routes
            .as_ref()
            .and_then(|set| set.declaration(&self.service));
        let Some(path) = declaration.and_then(|one| one.health_path.as_deref()) else {
            return;
        };
        let objective = self.admitted.route.objective;
        let directory = &self.shared.directory;
        let endpoints = directory.probe_candidates(&self.query(), objective);
        if !endpoints.is_empty() {
            let wait = probe_wait(objective);
            let dialect = &self.shared.endpoints;
            prober.ask(endpoints, dialect, path, wait).await;
        }
    }

    /// Completes when a request that was sent at `started` should move to another
    /// endpoint. Before that, it debits the resend from the budget: if no resend were
    /// possible, abandoning the response, which may still arrive, would waste the work
    /// done for it.
    pub(super) async fn wait_until_move(&self, endpoint: &Endpoint, started: Instant) {
        let last = self.sends + 1 >= self.admitted.route.tries;
        if !self.is_idempotent() || last || self.suspected {
            return std::future::pending().await;
        }
        let move_at = self.move_delay().map(|delay| started + delay);
        loop {
            let now = Instant::now();
            let next_check = now + CHECK_INTERVAL;
            sleep_until(
                move_at
                    .filter(|at| *at > now)
                    .map_or(next_check, |at| at.min(next_check)),
            )
            .await;
            let slow = move_at.is_some_and(|at| at <= Instant::now());
            let abandoned = endpoint.should_abandon(started.elapsed());
            if (slow || abandoned) && self.prepay_resend() {
                if abandoned {
                    endpoint.mark_unreachable();
                }
                return;
            }
        }
    }

    /// Debits a resend from the budget if another endpoint is available.
    fn prepay_resend(&self) -> bool {
        let placement = self.shared.directory.place(&self.query());
        placement.is_some() && self.shared.debit_resend(&self.service)
    }

    /// How long an idempotent request waits for the first byte before it moves to another
    /// endpoint. `None` for a stream that is not latency-sensitive: it is not moved,
    /// since it may be next in the queue, and another endpoint would have to repeat the
    /// prefill.
    fn move_delay(&self) -> Option<Duration> {
        let route = &self.admitted.route;
        let keeps_endpoint =
            route.events.is_some() && self.class == LatencyClass::Tolerant;
        (!keeps_endpoint).then(|| route.objective.mul_f64(MOVE_AFTER_OBJECTIVES))
    }

    /// Whether a broken stream may resume and an endpoint is available for it. If so, the
    /// next send is debited from the budget.
    pub fn prepare_resume(&mut self) -> bool {
        let allowed = self.is_resumable() && self.sends < self.admitted.route.tries;
        self.prepaid = allowed && self.below_crash_limit() && self.prepay_resend();
        self.prepaid
    }

    /// Debits a resend from the budget, unless it is already debited. Returns whether
    /// another send is allowed by the route, the crash limit and the budget.
    pub(super) fn try_begin_resend(&mut self) -> bool {
        let prepaid = std::mem::take(&mut self.prepaid);
        let allowed = self.sends < self.admitted.route.tries;
        let allowed = allowed && (!self.may_have_run || self.below_crash_limit());
        let allowed = allowed && (prepaid || self.shared.debit_resend(&self.service));
        if allowed {
            self.shared.stats.resend(&self.service, "send");
        }
        allowed
    }
}
