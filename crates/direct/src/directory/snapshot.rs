//! Endpoints of one list, indexed for placement.

use super::endpoint::Endpoint;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity::{self, mix};
use std::ops::Range;
use std::sync::Arc;

/// Candidates per placement. Evaluating one takes a lock and some 150 ns, and a choice
/// among sixteen is as good as among a thousand.
pub(super) const MAX_CANDIDATES: usize = 16;

/// An applied list.
#[derive(Debug, Default)]
pub(super) struct Snapshot {
    /// Sorted by name.
    pub(super) all: Arc<Vec<Arc<Endpoint>>>,
    /// Sorted by service.
    services: Vec<(ServiceId, Group)>,
}

/// Endpoints of one service that were not leaving, in an order that is the same at all
/// entries.
#[derive(Debug, Default)]
pub(super) struct Group {
    hashes: Vec<u64>,
    endpoints: Vec<Arc<Endpoint>>,
}

impl Snapshot {
    /// Indexes endpoints that are sorted by name.
    pub(super) fn new(all: Vec<Arc<Endpoint>>) -> Self {
        let mut services: Vec<(ServiceId, Group)> = Vec::new();
        for endpoint in all.iter().filter(|endpoint| !endpoint.leaving()) {
            let found = services.binary_search_by(|item| item.0.cmp(&endpoint.service));
            let at = found.unwrap_or_else(|at| {
                services.insert(at, (endpoint.service.clone(), Group::default()));
                at
            });
            services[at].1.endpoints.push(Arc::clone(endpoint));
        }
        for (_, group) in &mut services {
            group
                .endpoints
                .sort_unstable_by_key(|endpoint| endpoint.hash);
            group.hashes = group.endpoints.iter().map(|e| e.hash).collect();
        }
        Self {
            all: Arc::new(all),
            services,
        }
    }

    /// Endpoints of a service, if there are any.
    pub(super) fn group(&self, service: &str) -> Option<&Group> {
        let found = self
            .services
            .binary_search_by(|item| item.0.as_str().cmp(service));
        found.ok().map(|at| &self.services[at].1)
    }
}

impl Group {
    /// Number of endpoints.
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// All endpoints, in the order of the group.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.iter()
    }

    /// The endpoint that `run` is a run of.
    pub(super) fn find_run(&self, run: &Incarnation) -> Option<&Arc<Endpoint>> {
        let at = self.index(affinity::hash(run.id.as_bytes()))?;
        Some(&self.endpoints[at]).filter(|endpoint| endpoint.runs_as(run))
    }

    /// Index of the endpoint with this hash.
    pub(super) fn index(&self, hash: u64) -> Option<usize> {
        self.hashes.binary_search(&hash).ok()
    }

    /// The endpoint in `range` that rendezvous hashing ranks highest for `key`.
    pub(super) fn home(&self, range: Range<usize>, key: u64) -> Option<&Arc<Endpoint>> {
        let endpoints = self.endpoints.get(range)?.iter();
        endpoints.max_by_key(|endpoint| mix(key ^ endpoint.hash))
    }

    /// The endpoints in `range` that rendezvous hashing ranks highest for `key`, in group
    /// order. All entries get the same endpoints for a key.
    pub(super) fn ranked(
        &self,
        range: Range<usize>,
        key: u64,
    ) -> impl Iterator<Item = &Arc<Endpoint>> {
        let mut first: Vec<(u64, usize)> = Vec::with_capacity(MAX_CANDIDATES + 1);
        for (at, hash) in range.clone().zip(&self.hashes[range]) {
            let rank = (mix(key ^ hash), at);
            if first.len() < MAX_CANDIDATES {
                first.push(rank);
                if first.len() == MAX_CANDIDATES {
                    first.sort_unstable_by(|a, b| b.cmp(a));
                }
            } else if rank > first[MAX_CANDIDATES - 1] {
                let position = first.partition_point(|other| *other > rank);
                first.insert(position, rank);
                first.truncate(MAX_CANDIDATES);
            }
        }
        let mut indices: Vec<usize> = first.into_iter().map(|(_, at)| at).collect();
        indices.sort_unstable();
        indices.into_iter().map(|at| &self.endpoints[at])
    }

    /// A contiguous window of the endpoints in `range`. If `range` has more than
    /// [`MAX_CANDIDATES`] endpoints, the window starts at `offset`, which differs between
    /// entries, so that together they use all endpoints.
    pub(super) fn window(
        &self,
        range: Range<usize>,
        offset: u64,
    ) -> impl Iterator<Item = &Arc<Endpoint>> {
        let count = range.len();
        let start = if count > MAX_CANDIDATES {
            (offset % count as u64) as usize
        } else {
            0
        };
        let indices = (0..count.min(MAX_CANDIDATES))
            .map(move |i| range.start + (start + i) % count);
        indices.map(|at| &self.endpoints[at])
    }
}
