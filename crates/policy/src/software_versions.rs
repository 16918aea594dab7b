//! The software versions of a service's endpoints, as one entry's lists show them.
//!
//! A service whose endpoints have had one version for longer than a stream lasts leaves no
//! doubt at which version a stream began, so a stream resumes there without asking anyone.
//! This must hold although the lists of two entries differ by some seconds: an entry begins
//! streams at a version that is new to it only after the *settling time*, when the list of
//! every entry that still uses one shows the version.
//!
//! Invariant: where lists are at most the settling time old, [`SoftwareVersions::sole`]
//! returns a version only if no stream began at another one within the window, less the
//! settling time: an entry with an old list may begin streams at a version that is gone.

use crate::stream_versions::VersionTag;
use dogwoodhill_core::prelude::*;

/// A version of one service.
#[derive(Clone, Copy, Debug)]
struct Listed {
    version: VersionTag,
    /// Since when lists have it.
    first: Duration,
    /// When a list first lacked it again.
    gone: Option<Duration>,
}

impl Listed {
    /// Records whether a list has the version. One that returns settles again, since other
    /// entries may have forgotten it.
    fn update(&mut self, now: Duration, is_listed: bool) {
        match (is_listed, self.gone) {
            (true, Some(_)) => (self.first, self.gone) = (now, None),
            (false, None) => self.gone = Some(now),
            _ => {}
        }
    }
}

/// The versions that were listed recently.
#[derive(Clone, Debug, Default)]
pub struct SoftwareVersions {
    /// Sorted by service.
    services: Vec<(ServiceId, Vec<Listed>)>,
    /// Time since which no list was missing.
    started: Option<Duration>,
}

impl SoftwareVersions {
    /// Records a list, given as the service and version of each endpoint. Versions that
    /// are gone for `window` are forgotten.
    pub fn record<'a>(
        &mut self,
        now: Duration,
        window: Duration,
        endpoints: impl Iterator<Item = (&'a str, VersionTag)>,
    ) {
        let mut current: Vec<(&str, VersionTag)> = endpoints.collect();
        current.sort_unstable();
        current.dedup();
        if !current.is_empty() {
            self.started.get_or_insert(now);
        }
        for (service, listed) in &mut self.services {
            for one in listed.iter_mut() {
                let key = (service.as_str(), one.version);
                one.update(now, current.binary_search(&key).is_ok());
            }
            listed.retain(|one| one.gone.is_none_or(|gone| now < gone + window));
        }
        self.services.retain(|service| !service.1.is_empty());
        for (service, version) in current {
            self.add(now, service, version);
        }
    }

    fn add(&mut self, now: Duration, service: &str, version: VersionTag) {
        let found = self
            .services
            .binary_search_by(|known| known.0.as_str().cmp(service));
        let at = found.unwrap_or_else(|at| {
            self.services.insert(at, (service.to_string(), Vec::new()));
            at
        });
        let listed = &mut self.services[at].1;
        if listed.iter().all(|one| one.version != version) {
            let (first, gone) = (now, None);
            listed.push(Listed {
                version,
                first,
                gone,
            });
        }
    }

    /// Records that lists were missing until `now`, so that versions may have come and gone.
    pub fn restart(&mut self, now: Duration) {
        self.started = Some(now);
    }

    /// Time from which streams may begin at a version: zero for those of the first list,
    /// since there is no other choice then.
    pub fn settled_at(
        &self,
        service: &str,
        version: VersionTag,
        settling: Duration,
    ) -> Duration {
        let listed = self.listed(service).iter();
        let first = listed
            .filter(|one| one.version == version)
            .map(|one| one.first);
        let later = first.filter(|first| Some(*first) != self.started).max();
        later.map_or(Duration::ZERO, |first| first + settling)
    }

    /// The version of all endpoints of a service that were listed within `window` before
    /// `now`; `None` if there were several, or if the lists do not reach back that far.
    pub fn sole(
        &self,
        now: Duration,
        service: &str,
        window: Duration,
    ) -> Option<VersionTag> {
        let since = now.checked_sub(window)?;
        self.started.filter(|started| *started <= since)?;
        let listed = self.listed(service).iter();
        let mut recent = listed.filter(|one| one.gone.is_none_or(|gone| gone > since));
        let sole = recent.next()?.version;
        recent.next().is_none().then_some(sole)
    }

    fn listed(&self, service: &str) -> &[Listed] {
        let found = self
            .services
            .binary_search_by(|known| known.0.as_str().cmp(service));
        found.map_or(&[], |at| &self.services[at].1)
    }
}
