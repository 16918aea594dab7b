//! Account of the memory that the bodies of requests take.
//!
//! Memory is reserved before it is used, and a reservation that doesn't fit is refused
//! rather than queued: bodies that each hold a part and wait for more would wait forever.
//! Large bodies have a bound of their own below that of all, so that small ones are
//! admitted beside any number of large ones. A body that is still arriving yields its
//! memory if its client lags; one that is complete keeps it.

use super::progress::{Progress, YIELD_LAG};
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;

/// Size from which a body counts as large, in bytes.
pub const LARGE_BODY: usize = 128 * 1024;

/// Identifies a body in a [`Ledger`].
pub type HolderId = u64;

/// Memory of all bodies, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyBudget {
    /// Of all bodies together.
    pub total: usize,
    /// Of the large ones together, and so of one.
    pub large: usize,
}

/// There is no memory for a body at present.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no memory for the body at present")]
pub struct Full;

#[derive(Clone, Copy, Debug)]
struct Holder {
    id: HolderId,
    reserved: usize,
    /// `None` once the body is complete.
    progress: Option<Progress>,
}

impl Holder {
    /// Lag of the body's client, if the body yields.
    fn yielding_lag(&self, now: Duration) -> Option<Duration> {
        let lag = self.progress?.lag(now);
        (lag > YIELD_LAG && self.reserved > 0).then_some(lag)
    }
}

/// Memory in use, of all bodies and of large ones.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    total: usize,
    large: usize,
}

impl Usage {
    fn add(&mut self, bytes: usize) {
        self.total += bytes;
        self.large += large_part(bytes);
    }

    fn remove(&mut self, bytes: usize) {
        self.total -= bytes;
        self.large -= large_part(bytes);
    }

    fn exceeds(&self, budget: &BodyBudget) -> bool {
        self.total > budget.total || self.large > budget.large
    }
}

fn large_part(bytes: usize) -> usize {
    if bytes >= LARGE_BODY { bytes } else { 0 }
}

/// The account of an instance.
#[derive(Clone, Debug)]
pub struct Ledger {
    budget: BodyBudget,
    /// Sorted by id.
    holders: Vec<Holder>,
    next_id: HolderId,
    used: Usage,
}

impl Ledger {
    /// An account with nothing reserved.
    pub fn new(budget: BodyBudget) -> Self {
        Self {
            budget,
            holders: Vec::new(),
            next_id: 0,
            used: Usage::default(),
        }
    }

    /// Bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.used.total
    }

    /// Bodies that have an account.
    pub fn bodies(&self) -> usize {
        self.holders.len()
    }

    /// Opens the account of a body that begins to arrive.
    pub fn open(&mut self, now: Duration) -> HolderId {
        let id = self.next_id;
        self.next_id += 1;
        self.holders.push(Holder {
            id,
            reserved: 0,
            progress: Some(Progress::begin(now)),
        });
        id
    }

    /// Changes what `id` has reserved to `bytes`. Returns the bodies that have yielded to
    /// it; their accounts are closed.
    ///
    /// # Errors
    ///
    /// [`Full`] if that doesn't fit, or if `id` has yielded itself. Nothing is changed.
    pub fn reserve(
        &mut self,
        now: Duration,
        id: HolderId,
        bytes: usize,
    ) -> Result<Vec<HolderId>, Full> {
        let before = self.holder(id).ok_or(Full)?.reserved;
        let mut used = self.used;
        used.remove(before);
        used.add(bytes);
        let yielded = self.find_yielding(now, id, used)?;
        for other in &yielded {
            self.close(*other);
        }
        self.used.remove(before);
        self.used.add(bytes);
        self.holder(id).ok_or(Full)?.reserved = bytes;
        Ok(yielded)
    }

    /// Bodies other than `id` that have to yield for `used` to be within the budget, those
    /// with the largest lag first.
    fn find_yielding(
        &self,
        now: Duration,
        id: HolderId,
        mut used: Usage,
    ) -> Result<Vec<HolderId>, Full> {
        if !used.exceeds(&self.budget) {
            return Ok(Vec::new());
        }
        let others = self.holders.iter().filter(|holder| holder.id != id);
        let lags = others.filter_map(|other| Some((other.yielding_lag(now)?, other)));
        let mut lagging: Vec<(Duration, &Holder)> = lags.collect();
        lagging.sort_unstable_by_key(|(lag, _)| std::cmp::Reverse(*lag));
        let mut yielding = Vec::new();
        for (_, other) in lagging {
            if !used.exceeds(&self.budget) {
                break;
            }
            let is_large = large_part(other.reserved) > 0;
            if is_large || used.total > self.budget.total {
                used.remove(other.reserved);
                yielding.push(other.id);
            }
        }
        match used.exceeds(&self.budget) {
            true => Err(Full),
            false => Ok(yielding),
        }
    }

    /// Records that bytes of the body arrived.
    pub fn advance(&mut self, id: HolderId, bytes: usize) {
        if let Some(progress) = self.holder(id).and_then(|h| h.progress.as_mut()) {
            progress.advance(bytes);
        }
    }

    /// Records that the body is complete. Returns whether it has not yielded before.
    pub fn complete(&mut self, id: HolderId) -> bool {
        let holder = self.holder(id);
        holder.map(|holder| holder.progress = None).is_some()
    }

    /// Closes the account of a body and releases its memory.
    pub fn close(&mut self, id: HolderId) {
        if let Ok(at) = self.holders.binary_search_by_key(&id, |holder| holder.id) {
            let holder = self.holders.remove(at);
            self.used.remove(holder.reserved);
        }
    }

    fn holder(&mut self, id: HolderId) -> Option<&mut Holder> {
        let at = self.holders.binary_search_by_key(&id, |holder| holder.id);
        at.ok().map(|at| &mut self.holders[at])
    }
}
