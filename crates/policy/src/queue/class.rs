//! The waiting requests of one class, shared between workspaces by weight.
//!
//! Stride scheduling: each workspace has a pass value; the one with the least
//! goes next and its pass grows by `STRIDE / weight`. A workspace that comes
//! back after it was empty starts at the class's present pass, so idle time
//! earns it nothing.

use super::{Item, STARVATION_LIMIT, Ticket, Waiting, live};
use crate::Moment;
use dogwoodhill_core::ids::{ClassId, Tier, WorkspaceId};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Pass that a workspace of weight 1 adds for each start.
const STRIDE: u64 = 1 << 20;

#[derive(Debug)]
struct Lane {
    workspace: WorkspaceId,
    weight: u32,
    pass: u64,
    queued: bool,
    tickets: VecDeque<Ticket>,
}

/// A workspace's place in the order: pass first, then lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    pass: u64,
    lane: usize,
}

/// Waiting requests of one class.
#[derive(Debug)]
pub(super) struct ClassQueue {
    name: ClassId,
    tier: Tier,
    lanes: Vec<Lane>,
    names: Vec<usize>,
    order: BinaryHeap<Reverse<Place>>,
    pass: u64,
    turned: u64,
}

impl ClassQueue {
    pub(super) fn new(name: ClassId, tier: Tier) -> Self {
        Self {
            name,
            tier,
            lanes: Vec::new(),
            names: Vec::new(),
            order: BinaryHeap::new(),
            pass: 0,
            turned: 0,
        }
    }

    pub(super) fn name(&self) -> &ClassId {
        &self.name
    }

    pub(super) fn tier(&self) -> Tier {
        self.tier
    }

    /// Tells whether nothing waits; exact after [`Self::settle`].
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Starts of the whole queue at this class's last turn.
    pub(super) fn turned(&self) -> u64 {
        self.turned
    }

    pub(super) fn owed(&self, starts: u64) -> bool {
        !self.is_empty() && starts - self.turned >= STARVATION_LIMIT
    }

    pub(super) fn push(&mut self, ticket: Ticket, item: &Item, first: bool, starts: u64) {
        if self.is_empty() {
            self.turned = self.turned.max(starts.saturating_sub(STARVATION_LIMIT));
        }
        self.tier = item.tier;
        let lane = self.lane(&item.workspace);
        let pass = self.pass;
        let state = &mut self.lanes[lane];
        state.weight = item.weight.max(1);
        if first {
            state.tickets.push_front(ticket);
        } else {
            state.tickets.push_back(ticket);
        }
        if !state.queued {
            state.queued = true;
            state.pass = state.pass.max(pass);
            let pass = state.pass;
            self.order.push(Reverse(Place { pass, lane }));
        }
    }

    /// Takes the next ticket out and notes the turn.
    pub(super) fn pop<P>(
        &mut self,
        starts: u64,
        slab: &[Option<Waiting<P>>],
    ) -> Option<Ticket> {
        self.settle(slab);
        let Reverse(place) = self.order.pop()?;
        let lane = &mut self.lanes[place.lane];
        let ticket = lane.tickets.pop_front()?;
        self.turned = starts;
        self.pass = place.pass;
        lane.pass = place.pass + STRIDE / u64::from(lane.weight);
        lane.queued = !lane.tickets.is_empty();
        if lane.queued {
            let pass = lane.pass;
            self.order.push(Reverse(Place { pass, ..place }));
        }
        Some(ticket)
    }

    /// Slack of the request that would go next: time until its target, in
    /// nanoseconds, negative once it is past.
    pub(super) fn slack<P>(&self, now: Moment, slab: &[Option<Waiting<P>>]) -> i128 {
        let head = self.order.peek().and_then(|Reverse(place)| {
            let ticket = self.lanes[place.lane].tickets.front()?;
            slab[ticket.slot].as_ref()
        });
        head.map_or(i128::MAX, |waiting| {
            let aim = waiting.arrived + waiting.item.target;
            aim.as_nanos() as i128 - now.as_nanos() as i128
        })
    }

    /// Drops stale tickets from the head of the order, so that its top names
    /// a live request or nothing waits.
    pub(super) fn settle<P>(&mut self, slab: &[Option<Waiting<P>>]) {
        while let Some(Reverse(place)) = self.order.peek().copied() {
            let lane = &mut self.lanes[place.lane];
            while lane.tickets.front().is_some_and(|t| !live(slab, *t)) {
                lane.tickets.pop_front();
            }
            if !lane.tickets.is_empty() {
                return;
            }
            lane.queued = false;
            self.order.pop();
        }
    }

    fn lane(&mut self, workspace: &WorkspaceId) -> usize {
        let lanes = &self.lanes;
        let found = self
            .names
            .binary_search_by(|lane| lanes[*lane].workspace.cmp(workspace));
        match found {
            Ok(at) => self.names[at],
            Err(at) => {
                self.lanes.push(Lane {
                    workspace: workspace.clone(),
                    weight: 1,
                    pass: 0,
                    queued: false,
                    tickets: VecDeque::new(),
                });
                self.names.insert(at, self.lanes.len() - 1);
                self.lanes.len() - 1
            }
        }
    }
}
