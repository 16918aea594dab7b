//! Distribution of the endpoint list, complete or as differences.
//!
//! A few entries read the list from the platform; control instances pass it on to the
//! others. A receiver that has the newest list gets only its mark, one with a recent
//! list gets the changes since that list, and any other receiver gets the complete
//! list, compressed. The complete list is also sent if the changes amount to half of it
//! or more. While endpoints leave one by one, a list of 3,000 endpoints changes twice
//! per second: sending it complete, compressed, to 300 entries would take 60 MB/s,
//! whereas the changes are some hundred bytes per entry.
//!
//! Invariants: changes are applied only to the list from which they were computed, and a
//! result is rejected unless its [`Mark`] equals the announced one. Lost, duplicated or
//! corrupt changes therefore lead to a transfer of the complete list, never to a wrong
//! list.

use crate::compress::{compress, decompress};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::{hash, mix};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of earlier lists from which changes can be computed. The list is read about
/// once per second, and each entry requests it twice per second, so this covers a few
/// seconds. A receiver with an older list gets the complete list.
const MAX_EARLIER: usize = 8;

/// One endpoint of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Name and start time.
    pub run: Incarnation,
    /// Service that the endpoint runs.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: DomainId,
    /// Number of requests that the endpoint can run concurrently.
    pub slots: u32,
    /// Whether the endpoint is draining and will stop.
    pub leaving: bool,
    /// Version of the endpoint's software. A stream that began at one version can't
    /// resume at another.
    #[serde(default)]
    pub version: SoftwareVersion,
}

/// Content hash of a list, independent of the order of its endpoints. 0 means no list.
pub type Mark = u64;

/// Mark of a list without endpoints; differs from 0, which means no list.
const EMPTY: Mark = 1;

/// Computes the mark of a list.
pub fn mark(endpoints: &[EndpointRecord]) -> Mark {
    EMPTY.wrapping_add(sum(endpoints.iter()))
}

/// Sums the hashes of some endpoints. A sum, with wrap-around, lets
/// [`ListChanges::apply`] update a mark without hashing the unchanged endpoints.
fn sum<'a>(endpoints: impl Iterator<Item = &'a EndpointRecord>) -> Mark {
    let one = |listed: &EndpointRecord| {
        let EndpointRecord {
            run,
            service,
            address,
            domain,
            slots,
            leaving,
            version,
        } = listed;
        let text =
            format!("{run} {service} {address} {domain} {slots} {leaving} {version}");
        mix(hash(text.as_bytes()))
    };
    endpoints.map(one).fold(0, u64::wrapping_add)
}

/// A read of the list, as sent to a receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRead {
    /// Mark of the list.
    pub mark: Mark,
    /// Time since the list was requested from the platform.
    pub age: Duration,
    /// Duration of the read.
    #[serde(default)]
    pub took: Duration,
    /// The complete list; `None` if the receiver has the list or gets `changes`.
    pub whole: Option<Arc<CompressedList>>,
    /// Changes since the receiver's list, in place of `whole`.
    #[serde(default)]
    pub changes: Option<Arc<ListChanges>>,
}

/// A complete list, gzip-compressed. 3,000 endpoints take 270 KB uncompressed, and after
/// a restart of all processes hundreds of entries request the list at once from one
/// instance with a 100 Mbit/s link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedList(#[serde(with = "serde_bytes")] Vec<u8>);

impl CompressedList {
    /// Encodes and compresses a list.
    ///
    /// # Panics
    ///
    /// Never: a list holds nothing that can't be encoded.
    pub fn encode(endpoints: &[EndpointRecord]) -> Self {
        Self(compress(
            &rmp_serde::to_vec(endpoints).expect("lists encode"),
        ))
    }

    /// Compressed size in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }

    /// Decompresses and decodes the list. Returns `None` if the bytes are corrupt.
    pub fn decode(&self) -> Option<Vec<EndpointRecord>> {
        rmp_serde::from_slice(&decompress(&self.0).ok()?).ok()
    }
}

/// The difference between two lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChanges {
    /// Mark of the older list, to which the difference applies.
    pub from: Mark,
    /// Indices in the older list of removed and changed endpoints, in ascending order.
    pub removed: Vec<u32>,
    /// New and changed endpoints, sorted by name and start.
    pub updated: Vec<EndpointRecord>,
}

impl ListChanges {
    /// Computes the difference from `old`, whose mark is `from`, to `new`. Both lists
    /// must be sorted by name and start.
    pub fn between(from: Mark, old: &[EndpointRecord], new: &[EndpointRecord]) -> Self {
        let mut changes = Self {
            from,
            ..Self::default()
        };
        let (mut at, mut rest) = (0, new);
        while at < old.len() || !rest.is_empty() {
            let order = match (old.get(at), rest.first()) {
                (Some(old), Some(new)) => old.run.cmp(&new.run),
                (Some(_), None) => Ordering::Less,
                _ => Ordering::Greater,
            };
            let same = order == Ordering::Equal && old[at] == rest[0];
            if order != Ordering::Greater {
                if !same {
                    changes.removed.push(at as u32);
                }
                at += 1;
            }
            if order != Ordering::Less {
                if !same {
                    changes.updated.push(rest[0].clone());
                }
                rest = &rest[1..];
            }
        }
        changes
    }

    /// Applies the difference to `old`. Only removed and updated endpoints are hashed.
    pub fn apply(&self, old: &ListSnapshot) -> ListSnapshot {
        let is_kept =
            |item: &(u32, &EndpointRecord)| self.removed.binary_search(&item.0).is_err();
        let old_list = old.endpoints.as_slice();
        let kept = (0..)
            .zip(old_list)
            .filter(is_kept)
            .map(|(_, listed)| listed);
        let mut list: Vec<EndpointRecord> = kept.chain(&self.updated).cloned().collect();
        list.sort_by(|a, b| a.run.cmp(&b.run));
        let removed = self
            .removed
            .iter()
            .filter_map(|at| old_list.get(*at as usize));
        let mark = old.mark.wrapping_sub(sum(removed));
        ListSnapshot {
            mark: mark.wrapping_add(sum(self.updated.iter())),
            endpoints: Arc::new(list),
        }
    }

    /// Number of removed and updated endpoints, a measure of the encoded size. A changed
    /// endpoint counts twice.
    pub fn len(&self) -> usize {
        self.removed.len() + self.updated.len()
    }

    /// Returns whether there are no differences, that is, the two lists are equal.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A list with its mark.
#[derive(Clone, Debug, Default)]
pub struct ListSnapshot {
    /// Mark of the list; 0 for no list.
    pub mark: Mark,
    /// The endpoints, sorted by name and start.
    pub endpoints: Arc<Vec<EndpointRecord>>,
}

impl ListSnapshot {
    /// Sorts `endpoints`, given in any order, and computes their mark.
    pub fn new(mut endpoints: Vec<EndpointRecord>) -> Self {
        endpoints.sort_by(|a, b| a.run.cmp(&b.run));
        let mark = mark(&endpoints);
        let endpoints = Arc::new(endpoints);
        Self { mark, endpoints }
    }
}

/// An earlier list and its difference to the newest one, computed on first use.
#[derive(Clone, Debug)]
struct EarlierList {
    snapshot: ListSnapshot,
    changes: Option<Arc<ListChanges>>,
}

/// The newest list and the differences from a few earlier ones.
#[derive(Clone, Debug, Default)]
pub struct ListHistory {
    newest: ListSnapshot,
    /// The compressed newest list, computed on first use.
    whole: Option<Arc<CompressedList>>,
    earlier: VecDeque<EarlierList>,
}

impl ListHistory {
    /// The newest list.
    pub fn newest(&self) -> &ListSnapshot {
        &self.newest
    }

    /// Replaces the newest list and keeps the old one as an earlier list.
    pub fn put(&mut self, newest: ListSnapshot) {
        let snapshot = std::mem::replace(&mut self.newest, newest);
        self.whole = None;
        self.earlier
            .retain(|earlier| earlier.snapshot.mark != snapshot.mark);
        for earlier in &mut self.earlier {
            earlier.changes = None;
        }
        if snapshot.mark != 0 {
            let changes = None;
            self.earlier.push_back(EarlierList { snapshot, changes });
        }
        if self.earlier.len() > MAX_EARLIER {
            self.earlier.pop_front();
        }
    }

    /// Returns the newest list, read `age` ago in `took`, in the smallest form for a
    /// receiver that has the list with mark `held`: nothing, changes or the complete
    /// list. Changes are computed once for all receivers that have the same list.
    pub fn read_for(&mut self, held: Mark, age: Duration, took: Duration) -> ListRead {
        let ListSnapshot { mark, endpoints } = self.newest.clone();
        let mut read = ListRead {
            mark,
            age,
            took,
            whole: None,
            changes: None,
        };
        if held == mark {
            return read;
        }
        let found = self.earlier.iter_mut().find(|e| e.snapshot.mark == held);
        let changes = found.map(|earlier| {
            let EarlierList { snapshot, changes } = earlier;
            let between = || ListChanges::between(held, &snapshot.endpoints, &endpoints);
            Arc::clone(changes.get_or_insert_with(|| Arc::new(between())))
        });
        // Changes are not compressed: beyond half of the list they are larger than the
        // complete list.
        match changes.filter(|changes| changes.len() * 2 < endpoints.len()) {
            Some(changes) => read.changes = Some(changes),
            None => {
                let compressed = || Arc::new(CompressedList::encode(&endpoints));
                read.whole = Some(Arc::clone(self.whole.get_or_insert_with(compressed)));
            }
        }
        read
    }

    /// Reconstructs the list from a received `read`. Returns `None` if `read` contains
    /// neither a list nor changes, if its changes don't apply to the newest list of this
    /// history, or if the result doesn't have the announced mark.
    pub fn resolve(&self, read: &ListRead) -> Option<ListSnapshot> {
        let snapshot = match (&read.whole, &read.changes) {
            (Some(whole), _) => ListSnapshot::new(whole.decode()?),
            (None, Some(changes))
                if changes.from == self.newest.mark && changes.from != 0 =>
            {
                changes.apply(&self.newest)
            }
            _ => return None,
        };
        (snapshot.mark == read.mark).then_some(snapshot)
    }
}
