//! A request in the share of its workspace ([`crate::shares`]).

use super::Dispatch;
use crate::response::RefusalCause;
use crate::settings::ShareMode;
use crate::shares::ShareRequest;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::shares;
use dogwoodhill_policy::shares::Standing;
use dogwoodhill_policy::shares::admission::Outlook;
use dogwoodhill_policy::shares::cost::{Capacity, Cost, Size};
use dogwoodhill_route::prelude::*;
use rand::RngExt;
use tokio::time::Instant;

impl Dispatch {
    /// Counts the request, if shares are on and callers are identified by workspace. One
    /// above the share of its workspace goes to the background of its tier.
    pub(super) fn open_share(&mut self, table: &RouteTable) {
        let Some(shares) = &self.shared.contention.shares else {
            return;
        };
        if !table.has_workspaces() {
            return;
        }
        let now = uptime();
        let workspace = self.admitted.workspace.as_ref();
        let weight = f64::from(self.admitted.weight);
        let mut ticket = shares.open(
            now,
            ShareRequest {
                service: self.service.clone(),
                workspace: workspace.map(|name| (shares::hash(name), weight)),
                tier: self.admitted.rank.route,
                cost: self.cost(table),
                objective: self.admitted.route.objective,
            },
        );
        let position = &mut self.position;
        let predicted = position.background_wait.is_some();
        if ticket.yields(predicted.then_some(position.predicted_wait)) {
            position.background = true;
        } else if position.background {
            ticket.expect_late(now);
        }
        self.share = Some(ticket);
    }

    fn cost(&self, table: &RouteTable) -> Cost {
        let prompt = &self.meta.prompt;
        let uncached = prompt.tokens.saturating_sub(prompt.prefix_tokens);
        let declared = table.declaration(&self.service);
        let engine = declared.and_then(|declared| declared.engine);
        let rate = self.shared.directory.prefill_rate(&self.service);
        let capacity = Capacity {
            prefill: rate.tokens_per_ms() * 1_000.0,
            slots: engine.map_or(0.0, |engine| f64::from(engine.slots)),
            memory: engine.map_or(0.0, |engine| engine.memory_tokens as f64),
        };
        let size = Size {
            uncached: f64::from(uncached),
            prompt: f64::from(prompt.tokens),
            output: f64::from(prompt.max_output),
        };
        Cost::of(size, capacity)
    }

    /// Time after which the caller may retry, if the request is above the share of its
    /// workspace and there is no room left for it.
    pub(super) fn refused_by_share(&mut self) -> Option<Duration> {
        let features = self.shared.contention.features;
        if features.shares != ShareMode::Refuse {
            return None;
        }
        let rank = self.admitted.rank;
        if self.meta.prompt.tokens > 0 && rank.route + 1 < rank.routes {
            // Refusing it would serve less urgent prompts in its place.
            return None;
        }
        let plain = self.meta.prompt.tokens == 0;
        if plain && features.lending {
            // It waits for a place, behind the requests that are within shares.
            return None;
        }
        let ticket = self.share.as_mut()?;
        let now = uptime();
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let wait = self.position.background_wait;
        let prompt = wait.map(|wait| Outlook::Prompt { wait, remaining });
        if !ticket.refuses(now, prompt) {
            return None;
        }
        let spread = rand::rng().random_range(0.0..1.0);
        Some(ticket.refuse(now, &self.meta.id, spread).retry_after)
    }

    /// Whether the request is above the share of its workspace.
    pub(super) fn is_above_share(&self) -> bool {
        let ticket = self.share.as_ref();
        ticket.is_some_and(|ticket| ticket.standing() == Standing::Above)
    }

    /// Counts the start of the response in the share.
    pub(super) fn share_responded(&mut self) {
        if let Some(ticket) = &mut self.share {
            ticket.responded(uptime());
        }
    }

    /// Counts a refusal in the share.
    pub(super) fn share_refused(&mut self, cause: RefusalCause) {
        let by_load = matches!(
            cause,
            RefusalCause::Full
                | RefusalCause::NotAdmitted
                | RefusalCause::Expired
                | RefusalCause::Timeout
        );
        if let Some(ticket) = &mut self.share {
            ticket.refused(uptime(), by_load);
        }
    }
}
