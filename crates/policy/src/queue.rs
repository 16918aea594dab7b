//! Requests that wait in an entry for a free slot at an endpoint.
//!
//! Order: the lowest tier number first; inside a tier the class whose next request has
//! the least slack to its latency target; inside a class the workspaces share by weight
//! (stride scheduling); inside a workspace FIFO. To prevent starvation a class is due for
//! a start, whatever its tier, once [`STARVATION_LIMIT`] requests have started since its
//! last turn. With `k` classes waiting, each of them therefore starts one request in
//! every `STARVATION_LIMIT + k` starts, under any load of more urgent tiers.
//!
//! Bounds: at most `count` requests and `bytes` bytes. When a bound is exceeded, the
//! newest request of the least urgent tier is shed, so a request is never shed for a less
//! urgent one.
//!
//! Requests are stored in a slab and referred to by tickets. A ticket is stale once its
//! request was removed; lists of tickets drop stale ones lazily, so that the cost of
//! every operation is at most logarithmic in the number of waiting requests.

mod class;

use crate::Moment;
use class::ClassQueue;
use dogwoodhill_core::ids::{ClassId, TIERS, Tier, WorkspaceId};

/// Starts of other requests after which a waiting class is due, whatever its tier.
pub const STARVATION_LIMIT: u64 = 32;
/// Stale tickets that a tier's arrival list may hold beyond the number of live ones
/// before it is compacted.
const MAX_STALE: usize = 64;

/// Identifies one waiting request; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    seq: u64,
    slot: usize,
}

/// The properties of a request that determine its position in the queue.
#[derive(Clone, Debug)]
pub struct Item {
    /// Class of the request.
    pub class: ClassId,
    /// Tier of the class; 0 is the most urgent.
    pub tier: Tier,
    /// Workspace that sent the request.
    pub workspace: WorkspaceId,
    /// Weight of the workspace, at least 1.
    pub weight: u32,
    /// Latency target of the class, counted from arrival.
    pub target: Moment,
    /// When the caller's deadline passes.
    pub deadline: Moment,
    /// Memory that the request occupies.
    pub bytes: usize,
}

/// A queued request with its payload.
#[derive(Clone, Debug)]
pub struct Waiting<P> {
    /// Identifier within the queue.
    pub ticket: Ticket,
    /// When the request first arrived; kept when it is put back.
    pub arrived: Moment,
    /// Properties that determine its position.
    pub item: Item,
    /// Data that the caller of the queue keeps with the request.
    pub payload: P,
}

impl<P> Waiting<P> {
    /// Replaces the payload and returns the old one beside the request.
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

/// Result of [`Waiting::swap`].
#[derive(Debug)]
pub struct Swapped<P, Q> {
    /// The request with the new payload.
    pub waiting: Waiting<Q>,
    /// The old payload.
    pub payload: P,
}

/// Bounds of a queue, both inclusive.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of waiting requests.
    pub count: usize,
    /// Memory that the waiting requests occupy.
    pub bytes: usize,
}

/// The waiting requests of one service.
#[derive(Debug)]
pub struct Queue<P> {
    bounds: Bounds,
    slab: Vec<Option<Waiting<P>>>,
    free_slots: Vec<usize>,
    classes: Vec<ClassQueue>,
    /// Tickets of each tier by arrival, including stale ones.
    arrivals: [Vec<Ticket>; TIERS],
    /// Number of waiting requests of each tier.
    live: [usize; TIERS],
    bytes: usize,
    next_seq: u64,
    /// Starts since the creation of the queue.
    starts: u64,
}

impl<P> Queue<P> {
    /// Creates an empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            slab: Vec::new(),
            free_slots: Vec::new(),
            classes: Vec::new(),
            arrivals: Default::default(),
            live: [0; TIERS],
            bytes: 0,
            next_seq: 0,
            starts: 0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.live.iter().sum()
    }

    /// Whether there are no waiting requests.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory that the waiting requests occupy, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of waiting requests of one tier.
    pub fn waiting(&self, tier: Tier) -> usize {
        self.live[usize::from(tier)]
    }

    /// Whether a request of `tier` would wait behind one of an equal or more urgent tier.
    pub fn blocks(&self, tier: Tier) -> bool {
        self.live[..=usize::from(tier)].iter().any(|n| *n > 0)
    }

    /// Adds a request and returns those that were shed for it, which may include itself.
    pub fn push(&mut self, now: Moment, item: Item, payload: P) -> Vec<Waiting<P>> {
        let ticket = self.insert(now, item, payload);
        self.enqueue(ticket, false);
        let mut shed = Vec::new();
        while self.exceeds_bounds() {
            let newest = self.newest().expect("a queue over its bounds is not empty");
            shed.extend(self.remove(newest));
        }
        shed
    }

    /// Returns a request to the head of its workspace. The bounds are not applied, since
    /// the request was admitted before.
    pub fn put_back(&mut self, waiting: Waiting<P>) {
        let slot = self.slot();
        let ticket = Ticket {
            seq: waiting.ticket.seq,
            slot,
        };
        self.store_request(ticket, Waiting { ticket, ..waiting });
        self.enqueue(ticket, true);
    }

    /// Selects the class whose next request starts; `None` if no class may start one.
    /// `skip` is called with class, tier and whether the turn is due, and excludes
    /// classes that can't start now.
    pub fn turn(
        &mut self,
        now: Moment,
        skip: impl Fn(&ClassId, Tier, bool) -> bool,
    ) -> Option<Turn> {
        for i in 0..self.classes.len() {
            self.classes[i].drop_stale(&self.slab);
        }
        self.due_turn(&skip).or_else(|| self.next_turn(now, &skip))
    }

    /// Removes and returns the next request of the class of `turn`, and counts a start.
    pub fn take(&mut self, turn: &Turn) -> Option<Waiting<P>> {
        self.starts += 1;
        let starts = self.starts;
        let class = &mut self.classes[turn.index];
        let ticket = class.pop(starts, &self.slab)?;
        self.remove(ticket)
    }

    /// Removes a request; `None` if the ticket is stale.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting<P>> {
        let entry = self.slab.get_mut(ticket.slot)?;
        if entry.as_ref()?.ticket != ticket {
            return None;
        }
        let waiting = entry.take()?;
        self.free_slots.push(ticket.slot);
        let tier = usize::from(waiting.item.tier);
        self.live[tier] -= 1;
        self.bytes -= waiting.item.bytes;
        Some(waiting)
    }

    /// Removes and returns all requests for which `matches` is true.
    pub fn extract(&mut self, matches: impl Fn(&Waiting<P>) -> bool) -> Vec<Waiting<P>> {
        let tickets: Vec<Ticket> = self
            .slab
            .iter()
            .flatten()
            .filter(|waiting| matches(waiting))
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
        let seq = self.next_seq;
        self.next_seq += 1;
        let ticket = Ticket { seq, slot };
        let waiting = Waiting {
            ticket,
            arrived: now,
            item,
            payload,
        };
        self.store_request(ticket, waiting);
        ticket
    }

    /// Index of a free slot in the slab.
    fn slot(&mut self) -> usize {
        self.free_slots.pop().unwrap_or_else(|| {
            self.slab.push(None);
            self.slab.len() - 1
        })
    }

    fn store_request(&mut self, ticket: Ticket, waiting: Waiting<P>) {
        self.bytes += waiting.item.bytes;
        self.live[usize::from(waiting.item.tier)] += 1;
        self.slab[ticket.slot] = Some(waiting);
    }

    fn enqueue(&mut self, ticket: Ticket, first: bool) {
        let waiting = self.slab[ticket.slot].as_ref().expect("stored above");
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
        let position = arrivals.partition_point(|other| *other < ticket);
        arrivals.insert(position, ticket);
        self.compact(tier);
    }

    /// Drops the stale tickets of a tier once they outnumber live ones by [`MAX_STALE`].
    fn compact(&mut self, tier: usize) {
        if self.arrivals[tier].len() <= 2 * self.live[tier] + MAX_STALE {
            return;
        }
        let slab = &self.slab;
        self.arrivals[tier].retain(|ticket| is_live(slab, *ticket));
    }

    fn exceeds_bounds(&self) -> bool {
        self.len() > self.bounds.count || self.bytes > self.bounds.bytes
    }

    /// The newest request of the least urgent tier.
    fn newest(&mut self) -> Option<Ticket> {
        for tier in (0..TIERS).rev() {
            while let Some(ticket) = self.arrivals[tier].pop() {
                if is_live(&self.slab, ticket) {
                    return Some(ticket);
                }
            }
        }
        None
    }

    fn due_turn(&self, skip: &impl Fn(&ClassId, Tier, bool) -> bool) -> Option<Turn> {
        let starts = self.starts;
        let due = self.classes.iter().enumerate().filter(|(_, class)| {
            class.is_due(starts) && !skip(class.name(), class.tier(), true)
        });
        let oldest = due.min_by_key(|(_, class)| class.last_turn())?;
        Some(Turn {
            index: oldest.0,
            class: oldest.1.name().clone(),
            tier: oldest.1.tier(),
            due: true,
        })
    }

    fn next_turn(
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

/// The class whose next request starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    index: usize,
    /// Name of the class.
    pub class: ClassId,
    /// Tier of the class.
    pub tier: Tier,
    /// Whether the start is due to [`STARVATION_LIMIT`] instead of the usual order.
    pub due: bool,
}

fn is_live<P>(slab: &[Option<Waiting<P>>], ticket: Ticket) -> bool {
    let stored = slab.get(ticket.slot).and_then(Option::as_ref);
    stored.is_some_and(|waiting| waiting.ticket == ticket)
}
