//! Control side: dividing the places of each service among entries.

use super::{
    LOAN_VALIDITY, MAX_ENDPOINTS, MAX_OVERBOOKING, MAX_SLOTS, QUIET_TIME, capacity,
};
use dogwoodhill_core::prelude::*;
use std::cmp::Ordering;

/// Services whose places one instance lends; further ones are ignored.
const MAX_SERVICES: usize = 256;
/// Entries per service, several times the design size.
const MAX_ENTRIES: usize = 2_048;
/// How long an entry keeps a place that cannot be divided evenly, where each entry has
/// others. Several times [`LOAN_VALIDITY`], since such a place is idle for about that long
/// when it passes to another entry.
const FAVOR_TIME: Duration = Duration::from_secs(5);
/// Upper bound of what an entry may want: more places than any endpoint has.
const MAX_WANTED: u32 = 65_536;

/// An entry's use of one service, as reported.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UseReport {
    /// Most requests of the entry that were in flight or waited at a time since its last
    /// report.
    pub wanted: u32,
    /// Whether an endpoint rejected a request, or one found no place, since then.
    pub pressed: bool,
    /// Number of entries that the reporting entry knows.
    pub entries: u32,
    /// Id of the loan that the entry uses; 0 for none.
    pub loan: u64,
    /// The endpoints that the entry may use, sorted by run.
    pub endpoints: Vec<SlotReport>,
}

/// Slots of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotReport {
    /// Run of the endpoint.
    pub run: Incarnation,
    /// Slots that it names.
    pub slots: u32,
    /// Requests that waited there when it rejected one; 0 if unknown.
    pub queue: u32,
}

/// Places of one service lent to an entry in one reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceLoan {
    /// Name of the service.
    pub service: ServiceId,
    /// Id of the loan.
    pub id: u64,
    /// Places by endpoint, sorted by run; others have none.
    pub places: Vec<(Incarnation, u32)>,
}

/// Places that one control instance lends.
#[derive(Clone, Debug)]
pub struct Lender {
    /// Id of the next loan.
    next_id: u64,
    /// Sorted by name.
    services: Vec<(ServiceId, LentService)>,
}

#[derive(Clone, Debug, Default)]
struct LentService {
    /// Sorted by run.
    endpoints: Vec<LentEndpoint>,
    /// Sorted by name.
    entries: Vec<Borrower>,
    /// When an entry last reported a rejection or a waiting request.
    pressed_at: Duration,
    /// Number of entries that use the service, as last reported.
    known: u32,
}

#[derive(Clone, Debug)]
struct LentEndpoint {
    run: Incarnation,
    slots: u32,
    /// Last known queue; 0 if unknown.
    queue: u32,
    reported_at: Duration,
}

/// One entry that reports to the instance.
#[derive(Clone, Debug)]
struct Borrower {
    name: String,
    wanted: u32,
    reported_at: Duration,
    /// When it last began to get a place more than an equal division gives it; orders
    /// entries where places cannot be divided evenly.
    favored_at: Option<Duration>,
    loans: Vec<Loan>,
}

/// Places lent in one reply. It counts until it expires or until the entry reports that
/// it uses a newer one: a reply may be lost.
#[derive(Clone, Debug)]
struct Loan {
    id: u64,
    until: Duration,
    /// Sorted by run.
    places: Vec<(Incarnation, u32)>,
}

impl Borrower {
    fn is_current(&self, now: Duration) -> bool {
        self.reported_at + LOAN_VALIDITY > now
    }

    /// Whether it keeps a place that cannot be divided evenly.
    fn is_favored(&self, now: Duration) -> bool {
        self.favored_at.is_some_and(|at| now < at + FAVOR_TIME)
    }

    /// Whether the entry may hold any place.
    fn holds_any(&self, now: Duration) -> bool {
        let mut valid = self.loans.iter().filter(|loan| loan.until > now);
        valid.any(|loan| !loan.places.is_empty())
    }

    /// Places at an endpoint that the entry may hold.
    fn held(&self, now: Duration, run: &Incarnation) -> u32 {
        let valid = self.loans.iter().filter(|loan| loan.until > now);
        valid.map(|loan| loan.at(run)).max().unwrap_or(0)
    }
}

impl Loan {
    fn at(&self, run: &Incarnation) -> u32 {
        let found = self.places.binary_search_by(|item| compare(&item.0, run));
        found.map_or(0, |at| self.places[at].1)
    }
}

fn compare(a: &Incarnation, b: &Incarnation) -> Ordering {
    (&a.id, a.start).cmp(&(&b.id, b.start))
}

impl Lender {
    /// Creates a lender without loans. `first_id` is to be drawn at random, so that an
    /// entry's report on a loan of another instance is not mistaken for one of this.
    pub fn new(first_id: u64) -> Self {
        Self {
            next_id: first_id.max(1),
            services: Vec::new(),
        }
    }

    /// Records what `entry` reports of one service. The first report with
    /// [`UseReport::pressed`] begins lending the service. Returns whether it did.
    pub fn record(
        &mut self,
        now: Duration,
        entry: &str,
        service: &str,
        report: &UseReport,
    ) -> bool {
        let found = self
            .services
            .binary_search_by(|s| s.0.as_str().cmp(service));
        let at = match found {
            Ok(at) => at,
            Err(_) if !report.pressed || self.services.len() >= MAX_SERVICES => {
                return false;
            }
            Err(at) => {
                let lent = LentService::default();
                self.services.insert(at, (service.to_string(), lent));
                at
            }
        };
        self.services[at].1.record(now, entry, report);
        found.is_err()
    }

    /// Ends lending of services without pressure. Returns their names.
    pub fn end_quiet(&mut self, now: Duration) -> Vec<ServiceId> {
        let quiet = |lent: &LentService| lent.pressed_at + QUIET_TIME <= now;
        let ended = self.services.iter().filter(|(_, lent)| quiet(lent));
        let ended = ended.map(|(name, _)| name.clone()).collect();
        self.services.retain(|(_, lent)| !quiet(lent));
        ended
    }

    /// Lends `entry` its places of all services that are lent, sorted by service, each
    /// with the places at its endpoints. They are valid for [`LOAN_VALIDITY`] from the
    /// report that is answered, which the entry made before `now`.
    pub fn lend(&mut self, now: Duration, entry: &str) -> Vec<ServiceLoan> {
        let mut loans = Vec::new();
        for (service, lent) in &mut self.services {
            let id = self.next_id;
            self.next_id = id.wrapping_add(1).max(1);
            loans.push(ServiceLoan {
                service: service.clone(),
                id,
                places: lent.lend(now, entry, id),
            });
        }
        loans
    }
}

impl LentService {
    fn record(&mut self, now: Duration, entry: &str, report: &UseReport) {
        if report.pressed {
            self.pressed_at = now;
        }
        self.known = report.entries;
        for reported in &report.endpoints {
            self.record_endpoint(now, reported);
        }
        if let Some(at) = self.borrower(now, entry) {
            let entry = &mut self.entries[at];
            entry.wanted = report.wanted.min(MAX_WANTED);
            // An entry applies replies in their order, so it has given up older loans.
            let used = entry.loans.iter().position(|loan| loan.id == report.loan);
            entry.loans.drain(..used.unwrap_or(0));
        }
    }

    fn record_endpoint(&mut self, now: Duration, reported: &SlotReport) {
        let run = &reported.run;
        let found = self.endpoints.binary_search_by(|e| compare(&e.run, run));
        match found {
            Ok(at) => {
                let endpoint = &mut self.endpoints[at];
                endpoint.slots = reported.slots;
                endpoint.reported_at = now;
                if reported.queue > 0 {
                    endpoint.queue = reported.queue;
                }
            }
            Err(at) if self.endpoints.len() < MAX_ENDPOINTS => {
                let endpoint = LentEndpoint {
                    run: run.clone(),
                    slots: reported.slots,
                    queue: reported.queue,
                    reported_at: now,
                };
                self.endpoints.insert(at, endpoint);
            }
            Err(_) => {}
        }
    }

    /// Index of an entry that reports at `now`; `None` beyond [`MAX_ENTRIES`].
    fn borrower(&mut self, now: Duration, name: &str) -> Option<usize> {
        let found = self.entries.binary_search_by(|e| e.name.as_str().cmp(name));
        let at = match found {
            Ok(at) => at,
            Err(_) if self.entries.len() >= MAX_ENTRIES => return None,
            Err(at) => {
                let entry = Borrower {
                    name: name.to_string(),
                    wanted: 0,
                    reported_at: now,
                    favored_at: None,
                    loans: Vec::new(),
                };
                self.entries.insert(at, entry);
                at
            }
        };
        self.entries[at].reported_at = now;
        Some(at)
    }

    /// Drops endpoints and entries that are no longer reported.
    fn forget(&mut self, now: Duration) {
        self.endpoints
            .retain(|endpoint| endpoint.reported_at + LOAN_VALIDITY > now);
        for entry in &mut self.entries {
            entry.loans.retain(|loan| loan.until > now);
        }
        self.entries
            .retain(|entry| entry.is_current(now) || !entry.loans.is_empty());
    }

    fn lend(&mut self, now: Duration, name: &str, id: u64) -> Vec<(Incarnation, u32)> {
        self.forget(now);
        let Some(at) = self.borrower(now, name) else {
            return Vec::new();
        };
        let room = self.room(now);
        let (target, newly_favored) = self.target(now, at, room.iter().sum());
        let places = self.spread(now, at, &room, target);
        let lent: u32 = places.iter().map(|item| item.1).sum();
        let entry = &mut self.entries[at];
        if newly_favored && lent == target {
            entry.favored_at = Some(now);
        }
        let until = now + LOAN_VALIDITY;
        entry.loans.push(Loan {
            id,
            until,
            places: places.clone(),
        });
        places
    }

    /// Places of each endpoint for the entries that report to this instance: all, unless
    /// others report to another instance. Where that is less than one place for each
    /// entry, it is raised to that within [`MAX_OVERBOOKING`].
    fn room(&self, now: Duration) -> Vec<u32> {
        let reporting = self.entries.iter().filter(|entry| entry.is_current(now));
        let reporting = reporting.count() as u64;
        let known = u64::from(self.known).max(reporting).max(1);
        let capacities = self.endpoints.iter().map(|e| capacity(e.slots, e.queue));
        let capacities: Vec<u32> = capacities.collect();
        let all = capacities.iter().map(|c| u64::from(*c)).sum::<u64>().max(1);
        let part = |(endpoint, capacity): (&LentEndpoint, u32)| {
            let raised = (u64::from(capacity) * known).div_ceil(all);
            let most = u64::from(endpoint.slots.clamp(1, MAX_SLOTS) * MAX_OVERBOOKING);
            let places = u64::from(capacity).max(raised.min(most));
            (places * reporting).div_ceil(known) as u32
        };
        self.endpoints.iter().zip(capacities).map(part).collect()
    }

    /// Number of places for the entry at index `at` when all are divided, and whether
    /// that newly includes one that could not be divided evenly.
    fn target(&self, now: Duration, at: usize, room: u32) -> (u32, bool) {
        let current: Vec<&Borrower> =
            self.entries.iter().filter(|e| e.is_current(now)).collect();
        let wants: Vec<u32> = current.iter().map(|entry| entry.wanted).collect();
        let wanted: u32 = wants.iter().sum();
        let own = &self.entries[at];
        let count = current.len() as u32;
        // With less than one place for each entry, they alternate as fast as they can.
        let keeps = |entry: &Borrower| room >= count && entry.is_favored(now);
        let order = |entry: &Borrower| (!keeps(entry), entry.favored_at);
        let first =
            |entry: &&&Borrower| (order(entry), &entry.name) < (order(own), &own.name);
        if wanted <= room {
            let rest = room - wanted;
            let rank = current.iter().filter(first).count() as u32;
            let favored = rank < rest % count.max(1);
            return (
                own.wanted + rest / count.max(1) + u32::from(favored),
                favored && !keeps(own),
            );
        }
        let level = level(&wants, room);
        let used: u32 = wants.iter().map(|wanted| wanted.min(&level)).sum();
        let above = |entry: &&&Borrower| entry.wanted > level;
        let rank = current.iter().filter(above).filter(first).count() as u32;
        let favored = own.wanted > level && rank < room - used;
        (
            own.wanted.min(level) + u32::from(favored),
            favored && !keeps(own),
        )
    }

    /// Spreads `target` places of the entry at index `at` over the endpoints. An endpoint
    /// of its newest loan is preferred, since that counts anyway; then the one with most
    /// free places.
    fn spread(
        &self,
        now: Duration,
        at: usize,
        room: &[u32],
        target: u32,
    ) -> Vec<(Incarnation, u32)> {
        let mut lent = vec![0_u32; room.len()];
        let free: Vec<u32> = (room.iter().zip(&self.endpoints))
            .map(|(room, endpoint)| {
                let others = self.entries.iter().enumerate().filter(|(i, _)| *i != at);
                let held = others.map(|(_, entry)| entry.held(now, &endpoint.run));
                room.saturating_sub(held.sum())
            })
            .collect();
        let own = &self.entries[at];
        // Entries that have waited longer for their first place go before.
        let waits = |entry: &&Borrower| {
            let before = (entry.favored_at, &entry.name) < (own.favored_at, &own.name);
            before && entry.wanted > 0 && entry.is_current(now) && !entry.holds_any(now)
        };
        let reserved = self.entries.iter().filter(waits).count() as u32;
        let newest = own.loans.iter().rev().find(|loan| loan.until > now);
        let held: Vec<u32> = (self.endpoints.iter())
            .map(|endpoint| newest.map_or(0, |loan| loan.at(&endpoint.run)))
            .collect();
        // Renewing the newest loan takes nothing from others. Where entries alternate, it
        // has to pass on.
        let count = self.entries.iter().filter(|e| e.is_current(now)).count() as u32;
        let keeps = room.iter().sum::<u32>() >= count;
        let renewed = if keeps { held.iter().sum() } else { 0 };
        let others = free.iter().sum::<u32>().saturating_sub(reserved);
        let target = target.min(others.max(renewed));
        for _ in 0..target {
            let usable = (0..room.len()).filter(|i| lent[*i] < free[*i]);
            let best = usable.max_by_key(|i| {
                let turn = (i + room.len() - at % room.len()) % room.len();
                (lent[*i] < held[*i], free[*i] - lent[*i], turn)
            });
            let Some(best) = best else { break };
            lent[best] += 1;
        }
        let runs = self.endpoints.iter().map(|endpoint| endpoint.run.clone());
        runs.zip(lent).filter(|(_, places)| *places > 0).collect()
    }
}

/// The largest level for which entries that get at most that many places, and no more
/// than they want, use at most `room`.
fn level(wanted: &[u32], room: u32) -> u32 {
    let used = |level: u32| {
        wanted
            .iter()
            .map(|w| u64::from((*w).min(level)))
            .sum::<u64>()
    };
    let (mut low, mut high) = (0, room + 1);
    while high - low > 1 {
        let middle = low.midpoint(high);
        if used(middle) <= u64::from(room) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
