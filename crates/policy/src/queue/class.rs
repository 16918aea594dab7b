//! The waiting requests of one class, shared between workspaces by weight.
//!
//! Stride scheduling: each workspace has a pass value; the workspace with the lowest pass
//! starts the next request, and its pass grows by `STRIDE / weight`. A workspace that was
//! empty resumes at the current pass of the class, so that idle time earns no credit.

use super::{Item, STARVATION_LIMIT, Ticket, Waiting, is_live};
use crate::Moment;
use dogwoodhill_core::ids::{ClassId, Tier, WorkspaceId};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Increment of the pass of a workspace of weight 1 for each start.
const STRIDE: u64 = 1 << 20;

/// The waiting requests of one workspace.
#[derive(Debug)]
struct Flow {
    workspace: WorkspaceId,
    weight: u32,
    pass: u64,
    /// Whether the workspace has an entry in the order.
    queued: bool,
    tickets: VecDeque<Ticket>,
}

/// Position of a workspace in the order: by pass, then by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    pass: u64,
    flow: usize,
}

/// Waiting requests of one class.
#[derive(Debug)]
pub(super) struct ClassQueue {
    name: ClassId,
    tier: Tier,
    flows: Vec<Flow>,
    /// Indices of `flows`, sorted by workspace.
    by_name: Vec<usize>,
    order: BinaryHeap<Reverse<Position>>,
    /// Pass of the workspace that started last.
    pass: u64,
    /// Starts of the whole queue at this class's last turn.
    last_turn: u64,
}

impl ClassQueue {
    pub(super) fn new(name: ClassId, tier: Tier) -> Self {
        Self {
            name,
            tier,
            flows: Vec::new(),
            by_name: Vec::new(),
            order: BinaryHeap::new(),
            pass: 0,
            last_turn: 0,
        }
    }

    pub(super) fn name(&self) -> &ClassId {
        &self.name
    }

    pub(super) fn tier(&self) -> Tier {
        self.tier
    }

    /// Whether no requests wait; exact after [`Self::drop_stale`].
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Starts of the whole queue at this class's last turn.
    pub(super) fn last_turn(&self) -> u64 {
        self.last_turn
    }

    pub(super) fn is_due(&self, starts: u64) -> bool {
        !self.is_empty() && starts - self.last_turn >= STARVATION_LIMIT
    }

    pub(super) fn push(&mut self, ticket: Ticket, item: &Item, first: bool, starts: u64) {
        if self.is_empty() {
            self.last_turn = self.last_turn.max(starts.saturating_sub(STARVATION_LIMIT));
        }
        self.tier = item.tier;
        let flow = self.flow(&item.workspace);
        let pass = self.pass;
        let entry = &mut self.flows[flow];
        entry.weight = item.weight.max(1);
        if first {
            entry.tickets.push_front(ticket);
        } else {
            entry.tickets.push_back(ticket);
        }
        if !entry.queued {
            entry.queued = true;
            entry.pass = entry.pass.max(pass);
            let pass = entry.pass;
            self.order.push(Reverse(Position { pass, flow }));
        }
    }

    /// Removes the next ticket and records the turn.
    pub(super) fn pop<P>(
        &mut self,
        starts: u64,
        slab: &[Option<Waiting<P>>],
    ) -> Option<Ticket> {
        self.drop_stale(slab);
        let Reverse(position) = self.order.pop()?;
        let flow = &mut self.flows[position.flow];
        let ticket = flow.tickets.pop_front()?;
        self.last_turn = starts;
        self.pass = position.pass;
        flow.pass = position.pass + STRIDE / u64::from(flow.weight);
        flow.queued = !flow.tickets.is_empty();
        if flow.queued {
            let pass = flow.pass;
            self.order.push(Reverse(Position { pass, ..position }));
        }
        Some(ticket)
    }

    /// Slack of the request that starts next: time until its latency target in
    /// nanoseconds, negative once the target is missed.
    pub(super) fn slack<P>(&self, now: Moment, slab: &[Option<Waiting<P>>]) -> i128 {
        let head = self.order.peek().and_then(|Reverse(position)| {
            let ticket = self.flows[position.flow].tickets.front()?;
            slab[ticket.slot].as_ref()
        });
        head.map_or(i128::MAX, |waiting| {
            let aim = waiting.arrived + waiting.item.target;
            aim.as_nanos() as i128 - now.as_nanos() as i128
        })
    }

    /// Drops stale tickets from the head of the order, so that its top is a live request
    /// or the order is empty.
    pub(super) fn drop_stale<P>(&mut self, slab: &[Option<Waiting<P>>]) {
        while let Some(Reverse(position)) = self.order.peek().copied() {
            let flow = &mut self.flows[position.flow];
            while flow.tickets.front().is_some_and(|t| !is_live(slab, *t)) {
                flow.tickets.pop_front();
            }
            if !flow.tickets.is_empty() {
                return;
            }
            flow.queued = false;
            self.order.pop();
        }
    }

    fn flow(&mut self, workspace: &WorkspaceId) -> usize {
        let flows = &self.flows;
        let found = self
            .by_name
            .binary_search_by(|flow| flows[*flow].workspace.cmp(workspace));
        match found {
            Ok(at) => self.by_name[at],
            Err(at) => {
                self.flows.push(Flow {
                    workspace: workspace.clone(),
                    weight: 1,
                    pass: 0,
                    queued: false,
                    tickets: VecDeque::new(),
                });
                self.by_name.insert(at, self.flows.len() - 1);
                self.flows.len() - 1
            }
        }
    }
}
