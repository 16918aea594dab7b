//! Places at endpoints with few slots: what this entry holds and which requests wait.
//!
//! [`Lending`] has the services of which an endpoint has rejected a request, until no
//! request has found the endpoints full for some time ([`policy::lending`]). A request of
//! such a service takes a place ([`ServiceLending::acquire`]) or waits for one. Its
//! [`PlaceGuard`] returns the place when it is dropped, and the next waiting request gets
//! it. A caller that leaves drops the wait and thereby leaves the queue.
//!
//! [`policy::lending`]: dogwoodhill_policy::lending

use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_policy::lending as policy;
use dogwoodhill_policy::lending::{Places, Priority, Verdict, WaitQueue, Waiting};
use dogwoodhill_wire::lending::{EndpointSlots, PlaceDemand, PlaceGrant};
use prometheus::{IntCounterVec, IntGaugeVec};
use std::fmt::Display;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Interval at which waiting requests are checked while no place comes free: a fraction
/// of the objectives of plain services.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Bounds of the time during which an endpoint that rejected a request gets no other: the
/// usual time of a request, after which each of its slots has changed.
const REST_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(5), Duration::from_millis(100));

/// Metrics of lending. Without lent services they have no values.
#[derive(Clone, Debug)]
pub struct LendingStats {
    /// By service, and held, used or waiting.
    places: IntGaugeVec,
    /// By service and outcome: free, waited, refused.
    requests: IntCounterVec,
    /// By service.
    waited_ms: IntCounterVec,
}

impl LendingStats {
    /// Registers the metrics.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            places: metrics.gauges(
                "dogwoodhill_direct_places",
                "Places of this entry at endpoints, and requests that wait for one",
                &["service", "what"],
            ),
            requests: metrics.counters(
                "dogwoodhill_direct_place_requests_total",
                "Requests that needed a place, by whether one was free",
                &["service", "outcome"],
            ),
            waited_ms: metrics.counters(
                "dogwoodhill_direct_place_wait_milliseconds_total",
                "Time that requests waited for a place",
                &["service"],
            ),
        }
    }
}

/// The services of which places are lent.
#[derive(Debug, Default)]
pub struct Lending {
    /// Sorted by name.
    services: Mutex<Vec<(ServiceId, Arc<ServiceLending>)>>,
    /// Whether there is any; avoids taking the lock.
    any: AtomicBool,
}

/// Places and waiting requests of one service.
#[derive(Debug)]
pub struct ServiceLending {
    service: ServiceId,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    places: Places,
    queue: WaitQueue<Waiter>,
    /// Last check of the waiting requests.
    checked_at: Duration,
    stats: Option<LendingStats>,
}

/// A waiting request.
#[derive(Debug)]
struct Waiter {
    /// Endpoints already tried.
    tried: Vec<Incarnation>,
    sender: oneshot::Sender<Result<PlaceGuard, Verdict>>,
}

/// A result for a waiting request, to be sent without the lock.
type Delivery = (Waiter, Result<PlaceGuard, Verdict>);

/// A request that needs a place.
#[derive(Debug)]
pub struct PlaceRequest<'a> {
    /// Its order among those that wait. `due` is the end of its objective; the time that
    /// requests usually take is subtracted.
    pub priority: Priority,
    /// When the caller must have the response.
    pub deadline: Duration,
    /// Bytes that it holds while it waits.
    pub bytes: usize,
    /// Endpoints already tried.
    pub tried: &'a [Incarnation],
}

/// A request that gets no place in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoPlace {
    /// Time that it waited.
    pub waited: Duration,
    /// Its position and the expected wait.
    pub verdict: Verdict,
    /// Age of the loan in use; `None` without a valid one.
    pub loan_age: Option<Duration>,
}

/// A place in use. Dropping it returns the place.
#[derive(Debug)]
pub struct PlaceGuard {
    lending: Arc<ServiceLending>,
    run: Incarnation,
    taken_at: Duration,
    /// Requests that waited at the endpoint when it rejected the request.
    rejected: Option<u32>,
}

impl Lending {
    /// The service, if its places are lent.
    pub fn service(&self, service: &str) -> Option<Arc<ServiceLending>> {
        if !self.any.load(Ordering::Acquire) {
            return None;
        }
        let services = self.services();
        let found = services.binary_search_by(|item| item.0.as_str().cmp(service));
        found.ok().map(|at| Arc::clone(&services[at].1))
    }

    /// Begins lending a service, because its endpoint `run` rejected a request.
    pub fn begin(
        &self,
        service: &str,
        run: &Incarnation,
        endpoints: Vec<policy::EndpointSlots>,
        entries: u32,
    ) -> Arc<ServiceLending> {
        let lending = self.find_or_add(service, run);
        let mut state = lending.state();
        state.places.set_endpoints(endpoints, entries);
        drop(state);
        lending
    }

    fn find_or_add(&self, service: &str, cause: impl Display) -> Arc<ServiceLending> {
        let mut services = self.services();
        let found = services.binary_search_by(|item| item.0.as_str().cmp(service));
        let at = found.unwrap_or_else(|at| {
            Event::new("places-needed")
                .field("service", service)
                .field("cause", cause)
                .info();
            let lending = Arc::new(ServiceLending::new(service));
            services.insert(at, (service.to_string(), lending));
            at
        });
        self.any.store(true, Ordering::Release);
        Arc::clone(&services[at].1)
    }

    /// The demand to report to control. Ends lending of services without pressure.
    pub fn report(&self, now: Duration) -> Vec<PlaceDemand> {
        if !self.any.load(Ordering::Acquire) {
            return Vec::new();
        }
        let mut services = self.services();
        let mut demands = Vec::new();
        services.retain(|(service, lending)| {
            let demand = lending.demand(now);
            let lent = demand.is_some();
            if !lent {
                Event::new("places-unneeded")
                    .field("service", service)
                    .info();
            }
            demands.extend(demand);
            lent
        });
        self.any.store(!services.is_empty(), Ordering::Release);
        demands
    }

    /// Applies the places that control lent in reply to the report made at `reported_at`.
    pub fn apply(&self, reported_at: Duration, grants: &[PlaceGrant]) {
        for grant in grants {
            let lending = self.find_or_add(&grant.service, "control");
            lending.apply(reported_at, grant);
        }
    }

    fn services(&self) -> MutexGuard<'_, Vec<(ServiceId, Arc<ServiceLending>)>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Records a rejection; the endpoint rests for the usual time of a request.
    fn record_rejection(&mut self, now: Duration, run: &Incarnation, queue: u32) {
        let rest = self.queue.hold().clamp(REST_BOUNDS.0, REST_BOUNDS.1);
        self.places.record_rejection(now, run, queue, rest);
    }

    /// Sets the number of places on which expected waits are based.
    fn update_drain(&mut self, now: Duration) {
        let places = self.places.held(now).max(self.places.used());
        self.queue.set_places(places);
    }

    fn count(&self, service: &str, outcome: &str) {
        if let Some(stats) = &self.stats {
            let counter = &stats.requests;
            counter.with_label_values(&[service, outcome]).inc();
        }
    }

    fn set_gauges(&self, now: Duration, service: &str) {
        let Some(stats) = &self.stats else { return };
        let set = |what, value: i64| {
            stats.places.with_label_values(&[service, what]).set(value);
        };
        set("held", i64::from(self.places.held(now)));
        set("used", i64::from(self.places.used()));
        set("waiting", self.queue.len() as i64);
    }
}

impl ServiceLending {
    fn new(service: &str) -> Self {
        Self {
            service: service.to_string(),
            state: Mutex::new(State {
                places: Places::new(rand::random()),
                queue: WaitQueue::default(),
                checked_at: Duration::ZERO,
                stats: None,
            }),
        }
    }

    /// Takes a place for a request, or waits for one. `endpoints` are the current
    /// endpoints of the service, and `entries` the number of entries that use it. `None`
    /// if the request needs no place, or no endpoint is left for it.
    ///
    /// # Errors
    ///
    /// [`NoPlace`] as soon as the wait cannot end in time.
    pub async fn acquire(
        self: &Arc<Self>,
        request: PlaceRequest<'_>,
        endpoints: impl Fn() -> Vec<policy::EndpointSlots>,
        entries: u32,
        stats: &LendingStats,
    ) -> Result<Option<PlaceGuard>, NoPlace> {
        let now = uptime();
        let known = endpoints();
        let (id, mut receiver, deliveries) = {
            let mut state = self.state();
            state.stats.get_or_insert_with(|| stats.clone());
            state.places.set_endpoints(known, entries);
            if !state.places.is_lent(now) || !state.places.has_usable() {
                return Ok(None);
            }
            if let Some(guard) = self.take_free(&mut state, now, request.tried) {
                return Ok(Some(guard));
            }
            let (id, receiver) = self.enqueue(&mut state, now, &request)?;
            // Those ahead may wait for another endpoint than the one with a free place.
            (id, receiver, self.assign(&mut state, now))
        };
        let _queued = Queued { lending: self, id };
        deliver(deliveries);
        let result = loop {
            tokio::select! {
                result = &mut receiver => break result,
                () = sleep(CHECK_INTERVAL) => self.check(&endpoints, entries),
            }
        };
        let waited = uptime().saturating_sub(now);
        let state = self.state();
        let waited_ms = stats.waited_ms.with_label_values(&[&*self.service]);
        waited_ms.inc_by(waited.as_millis() as u64);
        match result {
            Ok(Ok(guard)) => {
                state.count(&self.service, "waited");
                Ok(Some(guard))
            }
            Ok(Err(verdict)) => Err(self.no_place(&state, waited, verdict)),
            // The sender is only dropped with the queue.
            Err(_) => Ok(None),
        }
    }

    /// Takes a place for a request that need not wait.
    fn take_free(
        self: &Arc<Self>,
        state: &mut State,
        now: Duration,
        tried: &[Incarnation],
    ) -> Option<PlaceGuard> {
        if !state.queue.is_empty() {
            return None;
        }
        let run = state.places.take(now, tried)?;
        state.count(&self.service, "free");
        Some(self.guard(run, now))
    }

    /// Adds a request to the queue. Returns its id and the receiver of its place.
    fn enqueue(
        self: &Arc<Self>,
        state: &mut State,
        now: Duration,
        request: &PlaceRequest<'_>,
    ) -> Result<(u64, oneshot::Receiver<Result<PlaceGuard, Verdict>>), NoPlace> {
        state.places.record_pressure(now);
        state.update_drain(now);
        let hold = state.queue.hold();
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            tried: request.tried.to_vec(),
            sender,
        };
        let due = request.priority.due.saturating_sub(hold);
        let latest = request.deadline.saturating_sub(hold);
        let priority = Priority {
            due,
            ..request.priority
        };
        let pushed = state
            .queue
            .push(now, priority, latest, request.bytes, waiter);
        let waiting = state.queue.len() + usize::from(pushed.is_err());
        state.places.record_wanted(waiting);
        match pushed {
            Ok(id) => Ok((id, receiver)),
            Err(verdict) => Err(self.no_place(state, Duration::ZERO, verdict)),
        }
    }

    fn no_place(&self, state: &State, waited: Duration, verdict: Verdict) -> NoPlace {
        state.count(&self.service, "refused");
        NoPlace {
            waited,
            verdict,
            loan_age: state.places.loan_age(uptime()),
        }
    }

    /// Gives free places to waiting requests, and refuses those whose wait cannot end in
    /// time. Called by each waiting request, but effective only once per interval.
    fn check(
        self: &Arc<Self>,
        endpoints: &impl Fn() -> Vec<policy::EndpointSlots>,
        entries: u32,
    ) {
        let now = uptime();
        let mut state = self.state();
        if now < state.checked_at + CHECK_INTERVAL / 2 {
            return;
        }
        state.checked_at = now;
        state.places.set_endpoints(endpoints(), entries);
        if !state.queue.is_empty() {
            state.places.record_pressure(now);
        }
        let mut deliveries = self.assign(&mut state, now);
        state.update_drain(now);
        let late = state.queue.remove_late(now).into_iter();
        deliveries.extend(late.map(|(waiting, verdict)| (waiting.item, Err(verdict))));
        drop(state);
        deliver(deliveries);
    }

    /// Takes free places for the first waiting requests.
    fn assign(self: &Arc<Self>, state: &mut State, now: Duration) -> Vec<Delivery> {
        let mut deliveries = Vec::new();
        let State { places, queue, .. } = state;
        let mut take = |waiting: &Waiting<Waiter>| places.take(now, &waiting.item.tried);
        while let Some((waiting, run)) = queue.pop(now, &mut take) {
            deliveries.push((waiting.item, Ok(self.guard(run, now))));
        }
        deliveries
    }

    fn guard(self: &Arc<Self>, run: Incarnation, now: Duration) -> PlaceGuard {
        PlaceGuard {
            lending: Arc::clone(self),
            run,
            taken_at: now,
            rejected: None,
        }
    }

    /// Records that the endpoint `run` rejected a request without a place, while `queue`
    /// others waited there.
    pub fn record_rejection(&self, run: &Incarnation, queue: u32) {
        self.state().record_rejection(uptime(), run, queue);
    }

    /// Expected time until the requests that wait now have places.
    pub fn drain_time(&self) -> Duration {
        let now = uptime();
        let mut state = self.state();
        state.update_drain(now);
        state.queue.drain_time(now).unwrap_or_default()
    }

    fn demand(&self, now: Duration) -> Option<PlaceDemand> {
        let mut state = self.state();
        state.set_gauges(now, &self.service);
        let waiting = state.queue.len();
        let report = state.places.report(now, waiting)?;
        let slots = report.endpoints.into_iter().map(|endpoint| EndpointSlots {
            run: endpoint.run,
            slots: endpoint.slots,
            queue: endpoint.queue,
        });
        Some(PlaceDemand {
            service: self.service.clone(),
            wanted: report.wanted,
            pressed: report.pressed,
            entries: report.entries,
            loan: report.loan,
            endpoints: slots.collect(),
        })
    }

    fn apply(self: &Arc<Self>, reported_at: Duration, grant: &PlaceGrant) {
        let now = uptime();
        let places = grant.endpoints.iter();
        let places = places.map(|places| (places.run.clone(), places.places));
        let places: Vec<(Incarnation, u32)> = places.collect();
        let mut state = self.state();
        state.places.apply(reported_at, grant.loan, &places);
        let deliveries = self.assign(&mut state, now);
        drop(state);
        deliver(deliveries);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends results to waiting requests. The caller of one that is gone drops its place,
/// which goes to the next.
fn deliver(deliveries: Vec<Delivery>) {
    for (waiter, result) in deliveries {
        let _ = waiter.sender.send(result);
    }
}

/// Removes a request from the queue when its wait ends or is dropped.
struct Queued<'a> {
    lending: &'a ServiceLending,
    id: u64,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.lending.state().queue.remove(self.id);
    }
}

impl PlaceGuard {
    /// The endpoint at which the place is.
    pub fn run(&self) -> &Incarnation {
        &self.run
    }

    /// Returns the place of a request that the endpoint rejected while `queue` others
    /// waited there. The endpoint rests.
    pub fn reject(mut self, queue: u32) {
        self.rejected = Some(queue);
    }
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        let now = uptime();
        let mut state = self.lending.state();
        state.places.release(&self.run);
        if let Some(queue) = self.rejected {
            state.record_rejection(now, &self.run, queue);
        } else {
            let held = now.saturating_sub(self.taken_at);
            state.queue.record_free(now, held);
        }
        let deliveries = self.lending.assign(&mut state, now);
        drop(state);
        deliver(deliveries);
    }
}
