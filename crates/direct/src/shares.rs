//! Shares of services among workspaces, as one entry applies them.
//!
//! The entry counts the work that it is asked for, reports it to control, and applies the
//! level that control returns. A level is kept for [`LEVEL_TTL`] after control last
//! answered. Then the entry divides by what it sees alone.

use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_policy::shares::admission::{Outlook, Pressure, refuses, yields};
use dogwoodhill_policy::shares::cost::{Capacity, Cost, Size};
use dogwoodhill_policy::shares::level::FairShares;
use dogwoodhill_policy::shares::meter::Meter;
use dogwoodhill_policy::shares::shortage::Shortage;
use dogwoodhill_policy::shares::usage::{MAX_TIERS, Usage};
use dogwoodhill_policy::shares::{Standing, WorkspaceHash};
use dogwoodhill_wire::shares::{MAX_REPORTED, MAX_SERVICES, ServiceShares, ServiceUse};
use prometheus::{IntCounterVec, IntGaugeVec};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How long a level of control is applied after control last answered. A change of the
/// instance that answers takes less, and traffic changes within some seconds.
pub const LEVEL_TTL: Duration = Duration::from_secs(5);
/// Late part of the work from which on the workspaces are reported, well below the part
/// that makes a service short.
const REPORT_PART: f64 = 0.01;
/// Work per second below which a service is not reported.
const MIN_WORK: f64 = 1e-6;
/// Work per second as a metric, in thousandths of an endpoint.
const MILLI: f64 = 1_000.0;

/// Shares of all services at one entry.
#[derive(Debug)]
pub struct Shares {
    /// Sorted by service.
    services: Mutex<Vec<(ServiceId, ServiceState)>>,
    metrics: Option<ShareMetrics>,
}

/// Metrics of the shares.
#[derive(Clone, Debug)]
struct ShareMetrics {
    /// Requests by service and what was decided.
    decisions: IntCounterVec,
    /// Level, asked and served work by service, and the number of workspaces above.
    state: IntGaugeVec,
}

/// Shares of one service.
#[derive(Debug, Default)]
struct ServiceState {
    usage: Usage,
    /// Recent outcomes of requests above shares, by tier.
    outcomes: [Pressure; MAX_TIERS],
    /// The division in force; `None` while the service has room.
    division: Option<Division>,
    /// When control last answered, or the service was first used.
    answered_at: Duration,
    /// Shortage by the entry's own view, without control.
    own: Shortage,
    /// Sorted by workspace and tier.
    meters: Vec<(WorkspaceHash, usize, Meter)>,
}

#[derive(Clone, Debug)]
struct Division {
    shares: FairShares,
    at: Duration,
    source: &'static str,
}

/// A request whose work is counted.
#[derive(Clone, Debug)]
pub struct ShareRequest {
    /// Service of the request.
    pub service: ServiceId,
    /// Workspace with its weight; `None` for callers without one.
    pub workspace: Option<(WorkspaceHash, f64)>,
    /// Rank of the route's tier.
    pub tier: usize,
    /// Work of the request.
    pub cost: Cost,
    /// Response time within which an answer counts in full.
    pub objective: Duration,
}

/// A request above the share of its workspace that is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareRefusal {
    /// Time until the share is expected to have room.
    pub retry_after: Duration,
}

impl Shares {
    /// Creates the state of an entry; `metrics` are registered there.
    pub fn new(metrics: Option<&Metrics>) -> Self {
        Self {
            services: Mutex::default(),
            metrics: metrics.map(ShareMetrics::new),
        }
    }

    /// Counts a request that arrives at `now`, and decides whether it is within the share
    /// of its workspace.
    pub fn open(self: &Arc<Self>, now: Duration, request: ShareRequest) -> ShareTicket {
        let mut services = self.lock();
        let state = ServiceState::entry(&mut services, now, &request.service);
        let tier = request.tier.min(MAX_TIERS - 1);
        state
            .usage
            .asked(now, request.workspace, tier, request.cost);
        let standing = request
            .workspace
            .map_or(Standing::Within, |(workspace, _)| {
                state.decide(workspace, tier, request.cost.work)
            });
        let divided = state.division.is_some();
        drop(services);
        ShareTicket {
            shares: Arc::clone(self),
            request,
            tier,
            standing,
            divided,
            started: now,
            late: false,
            open: true,
        }
    }

    /// Whether a request without a prompt that a workspace sends in a tier now would be
    /// within its share. Changes nothing.
    pub fn standing(
        &self,
        service: &str,
        workspace: WorkspaceHash,
        tier: usize,
    ) -> Standing {
        let services = self.lock();
        let found = services.binary_search_by(|item| item.0.as_str().cmp(service));
        let Ok(at) = found else {
            return Standing::Within;
        };
        let state = &services[at].1;
        let tier = tier.min(MAX_TIERS - 1);
        let work = Cost::of(Size::default(), Capacity::default()).work;
        match state.fraction(workspace, tier) {
            Some(fraction) => state.meter(workspace, tier).decide(fraction, work),
            None => Standing::Within,
        }
    }

    /// The use of all services, for the report to control. Also ends divisions that are
    /// too old.
    pub fn report(&self, now: Duration) -> Vec<ServiceUse> {
        let mut services = self.lock();
        let mut report = Vec::new();
        for (service, state) in services.iter_mut().take(MAX_SERVICES) {
            state.use_own_view(now, service);
            let mut load = state.usage.load(now, MAX_REPORTED);
            self.publish(service, state, load.asked, load.served);
            if load.asked < MIN_WORK {
                continue;
            }
            if state.division.is_none() && load.late < REPORT_PART * load.asked {
                load.others += load.workspaces.len() as u32;
                load.workspaces.clear();
            }
            report.push(ServiceUse::new(service.clone(), &load));
        }
        report
    }

    /// Applies control's answer to the report made at `reported_at`: the shares of all
    /// services that are short, or `None` if control does not know them yet.
    pub fn apply(&self, reported_at: Duration, answer: Option<&[ServiceShares]>) {
        let Some(answer) = answer else { return };
        let mut services = self.lock();
        for (service, state) in services.iter_mut() {
            let found = answer.iter().find(|shares| shares.service == *service);
            let shares = found.and_then(ServiceShares::shares);
            state.answered_at = reported_at;
            state.own = Shortage::default();
            let division = shares.map(|shares| Division {
                shares,
                at: reported_at,
                source: "control",
            });
            state.set_division(service, division);
        }
    }

    fn publish(&self, service: &str, state: &ServiceState, asked: f64, served: f64) {
        let Some(metrics) = &self.metrics else { return };
        let division = state.division.as_ref();
        let level = division.map_or(0.0, |division| division.shares.level);
        let above = division.map_or(0, |division| division.shares.above.len());
        let values = [
            // An infinite level cuts no workspace, as without a level.
            (
                "level",
                (if level.is_finite() { level } else { 0.0 } * MILLI) as i64,
            ),
            ("asked", (asked * MILLI) as i64),
            ("served", (served * MILLI) as i64),
            ("above", above as i64),
        ];
        for (what, value) in values {
            let gauge = metrics.state.with_label_values(&[service, what]);
            gauge.set(value);
        }
    }

    fn count(&self, service: &str, decision: &str) {
        if let Some(metrics) = &self.metrics {
            metrics
                .decisions
                .with_label_values(&[service, decision])
                .inc();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(ServiceId, ServiceState)>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ShareMetrics {
    fn new(metrics: &Metrics) -> Self {
        Self {
            decisions: metrics.counters(
                "dogwoodhill_direct_share_decisions_total",
                "Requests above the share of their workspace, by service and decision",
                &["service", "decision"],
            ),
            state: metrics.gauges(
                "dogwoodhill_direct_shares",
                "Level, work asked and served in thousandths of an endpoint, and workspaces above the level, by service",
                &["service", "what"],
            ),
        }
    }
}

impl ServiceState {
    /// The state of a service, created on first use.
    fn entry<'a>(
        all: &'a mut Vec<(ServiceId, Self)>,
        now: Duration,
        service: &str,
    ) -> &'a mut Self {
        let found = all.binary_search_by(|item| item.0.as_str().cmp(service));
        let at = found.unwrap_or_else(|at| {
            let state = Self {
                answered_at: now,
                ..Self::default()
            };
            all.insert(at, (service.to_string(), state));
            at
        });
        &mut all[at].1
    }

    /// The part of a workspace's work in a tier that is within its share; `None` if all
    /// of it is.
    fn fraction(&self, workspace: WorkspaceHash, tier: usize) -> Option<f64> {
        let division = self.division.as_ref()?;
        let fractions = division.shares.fractions(workspace)?;
        fractions.get(tier).copied().filter(|part| *part < 1.0)
    }

    fn find_meter(&self, workspace: WorkspaceHash, tier: usize) -> Result<usize, usize> {
        let key = (workspace, tier);
        self.meters
            .binary_search_by_key(&key, |item| (item.0, item.1))
    }

    fn meter(&self, workspace: WorkspaceHash, tier: usize) -> Meter {
        let found = self.find_meter(workspace, tier).ok();
        found.map(|at| self.meters[at].2).unwrap_or_default()
    }

    fn meter_mut(&mut self, workspace: WorkspaceHash, tier: usize) -> &mut Meter {
        let at = self.find_meter(workspace, tier).unwrap_or_else(|at| {
            self.meters.insert(at, (workspace, tier, Meter::default()));
            at
        });
        &mut self.meters[at].2
    }

    fn decide(&mut self, workspace: WorkspaceHash, tier: usize, work: f64) -> Standing {
        match self.fraction(workspace, tier) {
            Some(part) => self.meter_mut(workspace, tier).decide(part, work),
            None => Standing::Within,
        }
    }

    /// Divides by the entry's own view, if control has not answered for too long.
    fn use_own_view(&mut self, now: Duration, service: &str) {
        if now.saturating_sub(self.answered_at) < LEVEL_TTL {
            return;
        }
        let load = self.usage.load(now, usize::MAX);
        self.own.update(now, &load);
        let division = self.own.since().map(|_| Division {
            shares: FairShares::of(&load),
            at: now,
            source: "own",
        });
        self.set_division(service, division);
    }

    fn set_division(&mut self, service: &str, division: Option<Division>) {
        let source = |division: &Option<Division>| {
            division.as_ref().map(|division| division.source)
        };
        let changed = source(&self.division) != source(&division);
        if changed {
            log_division(service, division.as_ref());
        }
        self.division = division;
        let shares = self.division.as_ref().map(|division| &division.shares);
        self.meters.retain(|item| {
            shares.is_some_and(|shares| shares.fractions(item.0).is_some())
        });
    }
}

fn log_division(service: &str, division: Option<&Division>) {
    let name = if division.is_some() {
        "share-level"
    } else {
        "share-level-ended"
    };
    let mut event = Event::new(name).field("service", service);
    if let Some(division) = division {
        event = event
            .field("level", format!("{:.4}", division.shares.level))
            .field("above", division.shares.above.len())
            .field("by", division.source);
    }
    event.info();
}

/// A counted request. Dropping it counts the request as late if its objective has passed
/// without a response.
#[derive(Debug)]
pub struct ShareTicket {
    shares: Arc<Shares>,
    request: ShareRequest,
    tier: usize,
    standing: Standing,
    /// Whether the service was short of room when the request arrived.
    divided: bool,
    started: Duration,
    /// Whether the work is already counted as late.
    late: bool,
    /// Whether the outcome is still unknown.
    open: bool,
}

impl ShareTicket {
    /// Whether the request is within the share of its workspace.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Whether the request goes to the background of its tier. `wait` is its predicted
    /// wait in the foreground, where there is a prediction.
    pub fn yields(&self, wait: Option<Duration>) -> bool {
        let yields = yields(self.standing, wait, self.request.objective);
        if yields {
            self.shares.count(&self.request.service, "yields");
        }
        yields
    }

    /// Whether the request is refused at `now`. `prediction` is what it has to expect in
    /// the background, where its wait is predicted; otherwise that follows from recent
    /// outcomes.
    pub fn refuses(&self, now: Duration, prediction: Option<Outlook>) -> bool {
        let outlook = prediction.unwrap_or_else(|| self.outlook(now));
        refuses(self.standing, &outlook)
    }

    fn outlook(&self, now: Duration) -> Outlook {
        if self.request.cost.is_plain() {
            return Outlook::Plain;
        }
        let mut services = self.shares.lock();
        let state = ServiceState::entry(&mut services, now, &self.request.service);
        let above_late = state.outcomes[self.tier].late(now);
        Outlook::Engine { above_late }
    }

    /// Counts the request as expected to be late.
    pub fn expect_late(&mut self, now: Duration) {
        self.update(now, |_| (), true);
    }

    /// Counts the start of the response.
    pub fn responded(&mut self, now: Duration) {
        if !std::mem::take(&mut self.open) {
            return;
        }
        let late = self.is_late(now);
        let work = self.request.cost.work;
        self.update(now, |state| state.usage.served(now, work), late);
        self.record_outcome(now, late);
    }

    /// Counts a refusal or loss; `by_load` if it was for want of room.
    pub fn refused(&mut self, now: Duration, by_load: bool) {
        if std::mem::take(&mut self.open) {
            let late = by_load || self.is_late(now);
            let plain = self.request.cost.is_plain();
            let crowded =
                by_load && plain && self.divided && self.standing == Standing::Within;
            let work = self.request.cost.work;
            let count = |state: &mut ServiceState| {
                if crowded {
                    state.usage.crowded(now, work);
                }
            };
            self.update(now, count, late);
            self.record_outcome(now, late);
        }
    }

    /// Counts the refusal of a request above its share. `id` is the id of the request,
    /// and `spread` a random number between 0 and 1.
    pub fn refuse(&mut self, now: Duration, id: &str, spread: f64) -> ShareRefusal {
        self.open = false;
        self.shares.count(&self.request.service, "refused");
        self.update(now, |_| (), true);
        let request = &self.request;
        let (workspace, weight) = request.workspace.unwrap_or_default();
        let mut services = self.shares.lock();
        let state = ServiceState::entry(&mut services, now, &request.service);
        let part = state.fraction(workspace, self.tier).unwrap_or(1.0);
        let rate = part * state.usage.rate(now, workspace, self.tier);
        let meter = state.meter_mut(workspace, self.tier);
        let retry_after = meter.book(now, request.cost.work, rate, spread);
        let division = state.division.as_ref();
        let shares = division.map(|division| &division.shares);
        let asked = shares.and_then(|shares| {
            let found = shares.above.iter().find(|load| load.workspace == workspace);
            found.map(|load| load.total())
        });
        let level = shares.map_or(0.0, |shares| shares.level);
        Event::new("share-refused")
            .field("request", id)
            .field("service", &request.service)
            .field("workspace", format!("{workspace:016x}"))
            .field("share", format!("{:.4}", level * weight))
            .field("asked", format!("{:.4}", asked.unwrap_or_default()))
            .field("part", format!("{part:.3}"))
            .field("by", division.map_or("-", |division| division.source))
            .field(
                "level_ms",
                division
                    .map_or(0, |division| now.saturating_sub(division.at).as_millis()),
            )
            .field("retry_after_ms", retry_after.as_millis())
            .info();
        ShareRefusal { retry_after }
    }

    fn is_late(&self, now: Duration) -> bool {
        now.saturating_sub(self.started) > self.request.objective
    }

    /// Applies `act`, and counts the work as late, once.
    fn update(&mut self, now: Duration, act: impl FnOnce(&mut ServiceState), late: bool) {
        let mut services = self.shares.lock();
        let state = ServiceState::entry(&mut services, now, &self.request.service);
        act(state);
        if late && !self.late {
            state.usage.late(now, self.request.cost.work);
            self.late = true;
        }
    }

    /// Counts the outcome of a request above its share that was sent.
    fn record_outcome(&self, now: Duration, late: bool) {
        if self.standing == Standing::Above {
            let mut services = self.shares.lock();
            let state = ServiceState::entry(&mut services, now, &self.request.service);
            state.outcomes[self.tier].record(now, late);
        }
    }
}

impl Drop for ShareTicket {
    fn drop(&mut self) {
        // A caller that left before the objective says nothing about room.
        if self.open && self.is_late(uptime()) {
            self.refused(uptime(), false);
        }
    }
}
