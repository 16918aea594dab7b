//! What a reader of the list of endpoints tells the other entries, by way of a
//! control instance: the whole list to who has none, and what changed to the others.
//!
//! While endpoints leave one by one, a list of 3,000 endpoints changes twice a second.
//! Told whole to 300 entries it is 60 MB a second; what changed is some hundred bytes
//! for each of them.
//!
//! Invariant: changes are applied only to the list that they were worked out from, and
//! nothing is taken whose mark is not the one that was told; so a change that was lost,
//! doubled or damaged leads to the whole list, never to a wrong one.

use crate::compress::{compress, decompress};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::{hash, mix};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

/// Earlier lists that are remembered. A list is read once a second and asked for twice, so
/// that this is a few seconds: who fell behind further gets the whole.
const REMEMBERED: usize = 8;

/// One endpoint, as the list has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its name and start.
    pub run: Incarnation,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests it can run at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// Names a list: the same for the same endpoints in any order. 0 stands for no list.
pub type Mark = u64;

/// Mark of the list without endpoints.
const EMPTY: Mark = 1;

/// The mark of a list.
pub fn mark(endpoints: &[EndpointRecord]) -> Mark {
    EMPTY.wrapping_add(sum(endpoints.iter()))
}

/// What some endpoints add to the mark of their list.
fn sum<'a>(endpoints: impl Iterator<Item = &'a EndpointRecord>) -> Mark {
    let one = |listed: &EndpointRecord| {
        let EndpointRecord {
            run,
            service,
            address,
            domain,
            slots,
            leaving,
        } = listed;
        let text = format!("{run} {service} {address} {domain} {slots} {leaving}");
        mix(hash(text.as_bytes()))
    };
    endpoints.map(one).fold(0, u64::wrapping_add)
}

/// One read of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRead {
    /// The same for the same content.
    pub mark: Mark,
    /// How long ago it was asked for.
    pub age: Duration,
    /// How long the read took.
    #[serde(default)]
    pub took: Duration,
    /// The whole list; left out where the receiver has this content.
    pub whole: Option<Arc<CompressedList>>,
    /// What changed since a list that the receiver has, in place of the whole.
    #[serde(default)]
    pub changes: Option<Arc<ListChanges>>,
}

/// A whole list, packed: 3,000 endpoints are 270 KB as they are, and hundreds of entries
/// ask for them at once after all were killed, of one instance on 100 Mbit/s.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedList(#[serde(with = "serde_bytes")] Vec<u8>);

impl CompressedList {
    /// Packs a list.
    ///
    /// # Panics
    ///
    /// Never: a list holds nothing that can't be encoded.
    pub fn of(endpoints: &[EndpointRecord]) -> Self {
        Self(compress(
            &rmp_serde::to_vec(endpoints).expect("lists encode"),
        ))
    }

    /// Bytes that it takes on its way.
    pub fn size(&self) -> usize {
        self.0.len()
    }

    /// The list, if it can be read.
    pub fn read(&self) -> Option<Vec<EndpointRecord>> {
        rmp_serde::from_slice(&decompress(&self.0).ok()?).ok()
    }
}

/// What makes one list into another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChanges {
    /// The list that it is worked out from.
    pub from: Mark,
    /// Places there of endpoints that are gone or changed; they rise.
    pub removed: Vec<u32>,
    /// Endpoints that are new or changed; sorted by name and start.
    pub updated: Vec<EndpointRecord>,
}

impl ListChanges {
    /// What makes `old`, whose mark is `from`, into `new`; both sorted by name and start.
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

    /// The list that it makes `old` into. Only what changed is hashed anew.
    pub fn apply(&self, old: &ListSnapshot) -> ListSnapshot {
        let stays = |place: &(u32, &EndpointRecord)| {
            self.removed.binary_search(&place.0).is_err()
        };
        let old_list = old.endpoints.as_slice();
        let kept = (0..).zip(old_list).filter(stays).map(|(_, listed)| listed);
        let mut list: Vec<EndpointRecord> = kept.chain(&self.updated).cloned().collect();
        list.sort_by(|a, b| a.run.cmp(&b.run));
        let gone = self
            .removed
            .iter()
            .filter_map(|at| old_list.get(*at as usize));
        let mark = old.mark.wrapping_sub(sum(gone));
        ListSnapshot {
            mark: mark.wrapping_add(sum(self.updated.iter())),
            endpoints: Arc::new(list),
        }
    }

    /// Endpoints that it names, as its size goes.
    pub fn len(&self) -> usize {
        self.removed.len() + self.updated.len()
    }

    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A list and its mark.
#[derive(Clone, Debug, Default)]
pub struct ListSnapshot {
    /// Its mark; 0 for none.
    pub mark: Mark,
    /// Its endpoints, sorted by name and start.
    pub endpoints: Arc<Vec<EndpointRecord>>,
}

impl ListSnapshot {
    /// A list in any order.
    pub fn new(mut endpoints: Vec<EndpointRecord>) -> Self {
        endpoints.sort_by(|a, b| a.run.cmp(&b.run));
        let mark = mark(&endpoints);
        let endpoints = Arc::new(endpoints);
        Self { mark, endpoints }
    }
}

/// An earlier list, and what has changed since, once anybody asked.
#[derive(Clone, Debug)]
struct Earlier {
    content: ListSnapshot,
    changes: Option<Arc<ListChanges>>,
}

/// The newest list, and what changed since some earlier ones.
#[derive(Clone, Debug, Default)]
pub struct ListHistory {
    newest: ListSnapshot,
    /// The newest list packed, once anybody asked for it.
    whole: Option<Arc<CompressedList>>,
    earlier: VecDeque<Earlier>,
}

impl ListHistory {
    /// The newest list.
    pub fn newest(&self) -> &ListSnapshot {
        &self.newest
    }

    /// Puts a list in place of the newest one.
    pub fn put(&mut self, newest: ListSnapshot) {
        let content = std::mem::replace(&mut self.newest, newest);
        self.whole = None;
        self.earlier
            .retain(|earlier| earlier.content.mark != content.mark);
        for earlier in &mut self.earlier {
            earlier.changes = None;
        }
        if content.mark != 0 {
            let changes = None;
            self.earlier.push_back(Earlier { content, changes });
        }
        if self.earlier.len() > REMEMBERED {
            self.earlier.pop_front();
        }
    }

    /// The newest list, read `age` ago within `took`, for a receiver that has the list of
    /// `held`. What changed is worked out once for all that have the same list.
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
        let found = self.earlier.iter_mut().find(|e| e.content.mark == held);
        let changes = found.map(|earlier| {
            let Earlier { content, changes } = earlier;
            let between = || ListChanges::between(held, &content.endpoints, &endpoints);
            Arc::clone(changes.get_or_insert_with(|| Arc::new(between())))
        });
        // Half of the list in changes is more than the list itself.
        match changes.filter(|changes| changes.len() * 2 < endpoints.len()) {
            Some(changes) => read.changes = Some(changes),
            None => {
                let compressed = || Arc::new(CompressedList::of(&endpoints));
                read.whole = Some(Arc::clone(self.whole.get_or_insert_with(compressed)));
            }
        }
        read
    }

    /// The list that `read` tells to a receiver that has these. `None` where it tells no
    /// content, changes of a list that is not the newest here, or a content whose mark is
    /// another one.
    pub fn resolve(&self, read: &ListRead) -> Option<ListSnapshot> {
        let content = match (&read.whole, &read.changes) {
            (Some(whole), _) => ListSnapshot::new(whole.read()?),
            (None, Some(changes))
                if changes.from == self.newest.mark && changes.from != 0 =>
            {
                changes.apply(&self.newest)
            }
            _ => return None,
        };
        (content.mark == read.mark).then_some(content)
    }
}
