//! What placement needs to know of a request, and counting of the prefixes fetched for it.

use super::Dispatch;
use crate::directory::{PlacementQuery, PrefixFetch, VersionRule};
use crate::exchange::SendOutcome;
use crate::prefixes::ANSWERED;

impl Dispatch {
    /// Placement requirements.
    pub(super) fn query(&self) -> PlacementQuery<'_> {
        PlacementQuery {
            service: &self.service,
            prompt: &self.meta.prompt,
            class: self.class,
            background: self.position.background,
            separate_classes: self.separate_classes,
            tried: &self.tried,
            isolate: self.suspected.then_some(self.fingerprint),
            link: self.link,
            version: match self.version {
                Some(version) => VersionRule::Exactly(version),
                None if self.is_resumable() => VersionRule::Settled,
                None => VersionRule::Any,
            },
        }
    }

    /// Counts the outcome of a send with a fetch. Each send has a fetch of its own, or
    /// none, by its own placement.
    pub(super) fn record_fetch(&self, fetch: Option<&PrefixFetch>, sent: &SendOutcome) {
        let (Some(prefixes), Some(fetch)) = (&self.shared.prefixes, fetch) else {
            return;
        };
        let outcome = match sent {
            SendOutcome::Answered(_) => ANSWERED,
            SendOutcome::Refused(_) => "refused",
            SendOutcome::Unsent | SendOutcome::NotAdmitted(_) => "unsent",
            SendOutcome::Lost(_) => "lost",
        };
        prefixes.record(&self.service, fetch, outcome);
    }
}
