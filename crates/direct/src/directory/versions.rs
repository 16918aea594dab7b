//! Software versions of endpoints, and placement of streams that go on at one of them.

use super::endpoint::{Endpoint, Evaluation};
use super::snapshot::{Group, MAX_CANDIDATES};
use super::{Directory, Placement, PlacementQuery, choose};
use crate::dialect::EndpointRecord;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::affinity;
use dogwoodhill_policy::health::Health;
use dogwoodhill_policy::prefixes::Ranges;
use dogwoodhill_policy::software_versions::SoftwareVersions;
use dogwoodhill_policy::stream_versions::{STREAM_RETENTION, VersionTag};
use dogwoodhill_route::prelude::*;
use rand::RngExt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Time limits of a route within which its callers resume a stream: that of the attempt
/// which began it, and that of another one.
const MAX_RESUMES: u32 = 2;

/// Which software versions an endpoint may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionRule {
    /// All versions.
    Any,
    /// For a stream that may be resumed: versions that all entries know, if there is a
    /// sound endpoint of one.
    Settled,
    /// For a stream that has begun: the version that began it.
    Exactly(VersionTag),
}

impl VersionRule {
    /// Whether an endpoint of this version may be chosen.
    pub(super) fn allows(self, endpoint: &Endpoint) -> bool {
        match self {
            Self::Any | Self::Settled => true,
            Self::Exactly(version) => endpoint.version_tag == version,
        }
    }
}

/// The versions that lists have shown.
#[derive(Debug, Default)]
pub(super) struct VersionHistory {
    versions: Mutex<SoftwareVersions>,
    /// Age up to which any entry uses a list.
    settling: Duration,
}

impl VersionHistory {
    fn lock(&self) -> MutexGuard<'_, SoftwareVersions> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Hash of a service and of a version of its endpoints.
pub(super) fn version_tag(service: &str, version: &str) -> VersionTag {
    affinity::hash(format!("{service}\0{version}").as_bytes())
}

impl Directory {
    /// Sets the age up to which entries use a list: for as long, no stream begins at a
    /// version that is new.
    #[must_use]
    pub fn with_settling(mut self, settling: Duration) -> Self {
        self.versions.settling = settling;
        self
    }

    pub(super) fn record_versions(&self, listed: &[EndpointRecord]) {
        let now = self.start.elapsed();
        let versions = listed.iter().map(|listed| {
            let tag = version_tag(&listed.service, &listed.version);
            (listed.service.as_str(), tag)
        });
        let window = STREAM_RETENTION + self.versions.settling;
        self.versions.lock().record(now, window, versions);
    }

    /// Records that no list was in use for some time, so that versions may have come and
    /// gone.
    pub(crate) fn record_list_gap(&self) {
        self.versions.lock().restart(self.start.elapsed());
    }

    pub(super) fn settled_at(&self, service: &str, version: &str) -> Duration {
        let tag = version_tag(service, version);
        let settling = self.versions.settling;
        self.versions.lock().settled_at(service, tag, settling)
    }

    /// The version at which any stream of `route` began that callers still resume; `None`
    /// if the route has several services, or if that is not known.
    pub(crate) fn sole_version(&self, route: &Route) -> Option<VersionTag> {
        let [target] = &*route.targets else {
            return None;
        };
        let lifetime = (route.timeout * MAX_RESUMES).min(STREAM_RETENTION);
        let window = lifetime + self.versions.settling;
        let now = self.start.elapsed();
        self.versions.lock().sole(now, &target.service, window)
    }

    /// The service among `targets` that has endpoints of a version.
    pub(crate) fn service_of(
        &self,
        targets: &[Target],
        version: VersionTag,
    ) -> Option<ServiceId> {
        let mut services = targets.iter().map(|target| &target.service);
        let found = services.find(|service| self.has_version(service, version));
        found.cloned()
    }

    /// Whether a service has endpoints of a version that are not leaving.
    pub(crate) fn has_version(&self, service: &str, version: VersionTag) -> bool {
        let snapshot = self.snapshot.load();
        let group = snapshot.group(service);
        group.is_some_and(|group| group.iter().any(|e| e.version_tag == version))
    }

    /// Chooses an endpoint of one version. There may be only two of them among hundreds,
    /// so they are selected before the usual bound on candidates applies.
    pub(super) fn place_at_version(
        &self,
        query: &PlacementQuery<'_>,
        group: &Group,
        version: VersionTag,
    ) -> Option<Placement> {
        let usable: Vec<&Arc<Endpoint>> = group
            .iter()
            .filter(|endpoint| {
                let tried = query.tried.iter().any(|run| endpoint.runs_as(run));
                !tried && endpoint.version_tag == version && endpoint.admits()
            })
            .collect();
        if usable.is_empty() {
            return None;
        }
        let now = self.start.elapsed();
        let rate = self.prefill_rate(query.service);
        let from = rand::rng().random_range(0..usable.len());
        let candidates = (0..usable.len().min(MAX_CANDIDATES))
            .map(|offset| usable[(from + offset) % usable.len()]);
        let evaluations: Vec<Evaluation<'_>> = candidates
            .map(|endpoint| endpoint.evaluate(query, &self.domain, now, rate))
            .collect();
        // A fetched prefix could come from an endpoint of another version.
        let query = PlacementQuery {
            link: None,
            ..*query
        };
        let ranges = Ranges::default();
        let tiers = [Health::Sound, Health::Failing, Health::Silent];
        tiers.into_iter().find_map(|health| {
            let tier = evaluations.iter().filter(|one| one.health == health);
            let (endpoint, fetch) = choose(&query, (group, &ranges), tier.collect())?;
            Some(Placement {
                endpoint: Arc::clone(endpoint),
                health,
                known: group.len(),
                reserved: 0,
                fetch,
            })
        })
    }
}
