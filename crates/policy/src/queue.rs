//! Requests that wait in an entry for a place at an endpoint.
//!
//! Order: the lowest tier number first; inside a tier the class whose oldest
//! request has the least slack to its target; inside a class the workspaces
//! share by weight (stride scheduling); inside a workspace first come, first
//! served. Beside that order every class is owed a start: once [`STARVATION_LIMIT`]
//! requests have started since a waiting class last had its turn, it goes
//! next, whatever its tier. With `k` classes waiting, each of them therefore
//! starts one request in every `OWED + k` starts, under any load above it.
//!
//! Bounds: at most `count` requests and `bytes` bytes. When a bound is met the
//! newest request of the lowest tier gives way, so a request is never shed
//! for one of a lower tier.
//!
//! Entries are kept in a slab and referred to by tickets; lists hold tickets
//! and drop stale ones lazily, so that every operation costs at most a
//! logarithm of what waits.

mod class;

use crate::Moment;
use class::ClassQueue;
use dogwoodhill_core::ids::{ClassId, TIERS, Tier, WorkspaceId};

/// Starts after which a waiting class gets a turn whatever its tier.
pub const STARVATION_LIMIT: u64 = 32;
/// Stale tickets that a tier's arrival list keeps before it is compacted.
const STALE: usize = 64;

/// Names one waiting request; never used again after it left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    seq: u64,
    slot: usize,
}

/// What the order depends on.
#[derive(Clone, Debug)]
pub struct Item {
    /// Class.
    pub class: ClassId,
    /// Tier of the class.
    pub tier: Tier,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Weight of the workspace, at least 1.
    pub weight: u32,
    /// Time until the class's latency target, counted from arrival.
    pub target: Moment,
    /// When the caller's deadline passes.
    pub deadline: Moment,
    /// Memory the request holds.
    pub bytes: usize,
}

/// A request on its way out of the queue.
#[derive(Clone, Debug)]
pub struct Waiting<P> {
    /// Its ticket.
    pub ticket: Ticket,
    /// When it arrived first.
    pub arrived: Moment,
    /// What the order depended on.
    pub item: Item,
    /// What the owner stored with it.
    pub payload: P,
}

impl<P> Waiting<P> {
    /// Exchanges the payload, and hands back the one it had.
    pub fn swap<Q>(self, payload: Q) -> Swapped<P, Q> {
        let waiting = Waiting {
            ticket: self.ticket,
            arrived: self.arrived,
            item: self.item,
            payload,
        };
        Swapped {
            waiting,
            payload: self.payload,
        }
    }
}

/// A request with its payload exchanged.
#[derive(Debug)]
pub struct Swapped<P, Q> {
    /// The request with the new payload.
    pub waiting: Waiting<Q>,
    /// The payload it had.
    pub payload: P,
}

/// Bounds of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most requests.
    pub count: usize,
    /// Most bytes held by them.
    pub bytes: usize,
}

/// The waiting requests of one service.
#[derive(Debug)]
pub struct Queue<P> {
    bounds: Bounds,
    slab: Vec<Option<Waiting<P>>>,
    free: Vec<usize>,
    classes: Vec<ClassQueue>,
    arrivals: [Vec<Ticket>; TIERS],
    live: [usize; TIERS],
    bytes: usize,
    next: u64,
    starts: u64,
}

impl<P> Queue<P> {
    /// Makes an empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            slab: Vec::new(),
            free: Vec::new(),
            classes: Vec::new(),
            arrivals: Default::default(),
            live: [0; TIERS],
            bytes: 0,
            next: 0,
            starts: 0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.live.iter().sum()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes held by waiting requests.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of waiting requests of one tier.
    pub fn waiting(&self, tier: Tier) -> usize {
        self.live[usize::from(tier)]
    }

    /// Tells whether a request of `tier` would have to wait behind another.
    pub fn blocks(&self, tier: Tier) -> bool {
        self.live[..=usize::from(tier)].iter().any(|n| *n > 0)
    }

    /// Adds a request and returns those that gave way for it, which may
    /// include itself.
    pub fn push(&mut self, now: Moment, item: Item, payload: P) -> Vec<Waiting<P>> {
        let ticket = self.insert(now, item, payload);
        self.enter(ticket, false);
        let mut shed = Vec::new();
        while self.over() {
            let newest = self
                .newest()
                .expect("a queue over its bounds holds something");
            shed.extend(self.remove(newest));
        }
        shed
    }

    /// Puts a request that was taken out back to the head of its workspace.
    /// The bounds are not applied: it had its place before.
    pub fn put_back(&mut self, waiting: Waiting<P>) {
        let slot = self.slot();
        let ticket = Ticket {
            seq: waiting.ticket.seq,
            slot,
        };
        self.hold(ticket, Waiting { ticket, ..waiting });
        self.enter(ticket, true);
    }

    /// The class whose turn it is, with whether the turn is owed, or `None`
    /// where nothing waits. `skip` tells which classes can't start now.
    pub fn turn(
        &mut self,
        now: Moment,
        skip: impl Fn(&ClassId, Tier, bool) -> bool,
    ) -> Option<Turn> {
        for i in 0..self.classes.len() {
            self.classes[i].settle(&self.slab);
        }
        self.owed(&skip).or_else(|| self.ordered(now, &skip))
    }

    /// Takes the next request of the class that `turn` names.
    pub fn take(&mut self, turn: &Turn) -> Option<Waiting<P>> {
        self.starts += 1;
        let starts = self.starts;
        let class = &mut self.classes[turn.index];
        let ticket = class.pop(starts, &self.slab)?;
        self.remove(ticket)
    }

    /// Removes a request, because its caller went away.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting<P>> {
        let place = self.slab.get_mut(ticket.slot)?;
        if place.as_ref()?.ticket != ticket {
            return None;
        }
        let waiting = place.take()?;
        self.free.push(ticket.slot);
        let tier = usize::from(waiting.item.tier);
        self.live[tier] -= 1;
        self.bytes -= waiting.item.bytes;
        Some(waiting)
    }

    /// Removes every request that `out` names.
    pub fn extract(&mut self, out: impl Fn(&Waiting<P>) -> bool) -> Vec<Waiting<P>> {
        let tickets: Vec<Ticket> = self
            .slab
            .iter()
            .flatten()
            .filter(|waiting| out(waiting))
            .map(|waiting| waiting.ticket)
            .collect();
        let mut extracted = Vec::new();
        for ticket in tickets {
            extracted.extend(self.remove(ticket));
        }
        extracted
    }

    fn insert(&mut self, now: Moment, item: Item, payload: P) -> Ticket {
        let slot = self.slot();
        let seq = self.next;
        self.next += 1;
        let ticket = Ticket { seq, slot };
        let waiting = Waiting {
            ticket,
            arrived: now,
            item,
            payload,
        };
        self.hold(ticket, waiting);
        ticket
    }

    fn slot(&mut self) -> usize {
        self.free.pop().unwrap_or_else(|| {
            self.slab.push(None);
            self.slab.len() - 1
        })
    }

    fn hold(&mut self, ticket: Ticket, waiting: Waiting<P>) {
        self.bytes += waiting.item.bytes;
        self.live[usize::from(waiting.item.tier)] += 1;
        self.slab[ticket.slot] = Some(waiting);
    }

    fn enter(&mut self, ticket: Ticket, first: bool) {
        let waiting = self.slab[ticket.slot].as_ref().expect("held above");
        let item = &waiting.item;
        let found = self
            .classes
            .binary_search_by(|class| class.name().cmp(&item.class));
        let index = found.unwrap_or_else(|index| {
            let class = ClassQueue::new(item.class.clone(), item.tier);
            self.classes.insert(index, class);
            index
        });
        self.classes[index].push(ticket, item, first, self.starts);
        let tier = usize::from(item.tier);
        let arrivals = &mut self.arrivals[tier];
        let place = arrivals.partition_point(|other| *other < ticket);
        arrivals.insert(place, ticket);
        self.compact(tier);
    }

    /// Drops stale tickets of a tier once they outnumber live ones.
    fn compact(&mut self, tier: usize) {
        if self.arrivals[tier].len() <= 2 * self.live[tier] + STALE {
            return;
        }
        let slab = &self.slab;
        self.arrivals[tier].retain(|ticket| live(slab, *ticket));
    }

    fn over(&self) -> bool {
        self.len() > self.bounds.count || self.bytes > self.bounds.bytes
    }

    /// The newest request of the lowest tier.
    fn newest(&mut self) -> Option<Ticket> {
        for tier in (0..TIERS).rev() {
            while let Some(ticket) = self.arrivals[tier].pop() {
                if live(&self.slab, ticket) {
                    return Some(ticket);
                }
            }
        }
        None
    }

    fn owed(&self, skip: &impl Fn(&ClassId, Tier, bool) -> bool) -> Option<Turn> {
        let starts = self.starts;
        let due = self.classes.iter().enumerate().filter(|(_, class)| {
            class.owed(starts) && !skip(class.name(), class.tier(), true)
        });
        let oldest = due.min_by_key(|(_, class)| class.turned())?;
        Some(Turn {
            index: oldest.0,
            class: oldest.1.name().clone(),
            tier: oldest.1.tier(),
            due: true,
        })
    }

    fn ordered(
        &self,
        now: Moment,
        skip: &impl Fn(&ClassId, Tier, bool) -> bool,
    ) -> Option<Turn> {
        let slab = &self.slab;
        let ready = self.classes.iter().enumerate().filter(|(_, class)| {
            !class.is_empty() && !skip(class.name(), class.tier(), false)
        });
        let first =
            ready.min_by_key(|(_, class)| (class.tier(), class.slack(now, slab)))?;
        Some(Turn {
            index: first.0,
            class: first.1.name().clone(),
            tier: first.1.tier(),
            due: false,
        })
    }
}

/// Whose turn it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    index: usize,
    /// Class.
    pub class: ClassId,
    /// Its tier.
    pub tier: Tier,
    /// Whether the class is owed this start.
    pub due: bool,
}

fn live<P>(slab: &[Option<Waiting<P>>], ticket: Ticket) -> bool {
    let held = slab.get(ticket.slot).and_then(Option::as_ref);
    held.is_some_and(|waiting| waiting.ticket == ticket)
}
