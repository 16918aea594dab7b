//! Which of the suspects accounts for the crashes.
//!
//! A request is the cause unless another suspect accounts for all of its crashes as well.
//! If several causes are at work, other suspects may account for them together. Only
//! crashes that all entries had the time to report count.

use super::attribution::Attribution;
use super::crash::{Candidate, Crash, contains, support};
use super::suspect::{Kind, Suspect};
use super::{
    CERTAIN_CRASHES, CERTAIN_PART_CRASHES, CROWD, Deferral, QUARANTINE_CRASHES,
    Quarantine, REPORT_TIME,
};
use dogwoodhill_core::prelude::*;
use std::cmp::Reverse;

/// A suspect with enough crashes: its index, its crashes, and why it is not the cause.
pub(super) struct Judged {
    pub(super) index: usize,
    pub(super) crashes: usize,
    pub(super) deferral: Option<Deferral>,
}

impl Quarantine {
    /// Judges the suspects with enough crashes; those with more come first. Only crashes
    /// count that all entries have reported and that are not attributed to a quarantined
    /// request.
    pub(super) fn judge(&self, now: Duration) -> Vec<Judged> {
        let enough = |suspect: &Suspect| {
            suspect.until.is_none()
                && suspect.crashes.len() >= QUARANTINE_CRASHES
                && !suspect.is_doubtful()
        };
        // In the usual case nothing has enough crashes but parts that all prompts of a
        // workspace share, and nothing has to be compared.
        if !self.suspects.iter().any(enough) {
            return Vec::new();
        }
        let attribution = Attribution::new(&self.suspects);
        let open: Vec<(usize, Vec<&Crash>)> = (0..)
            .zip(&self.suspects)
            .filter(|(_, suspect)| suspect.until.is_none() && !suspect.is_innocent())
            .map(|(at, suspect)| (at, attribution.open_crashes(suspect)))
            .collect();
        let complete: Vec<(usize, Vec<&Crash>)> = open
            .iter()
            .filter(|(at, _)| {
                let suspect = &self.suspects[*at];
                suspect.is_due(now) && !suspect.is_doubtful()
            })
            .map(|(at, crashes)| {
                let reported = crashes.iter().filter(|crash| is_reported(now, crash));
                (*at, reported.copied().collect())
            })
            .collect();
        let mut candidates: Vec<Candidate<'_>> = complete
            .iter()
            .map(|(at, crashes)| Candidate::new(*at, self.suspects[*at].kind, crashes))
            .filter(|candidate| candidate.events >= QUARANTINE_CRASHES)
            .collect();
        candidates.sort_by_key(|c| {
            let kind = self.suspects[c.index].kind;
            (Reverse(c.events), Reverse(kind), c.run_time, c.index)
        });
        let judged = candidates.iter().map(|candidate| Judged {
            index: candidate.index,
            crashes: candidate.events,
            deferral: self.deferral(now, candidate, &open),
        });
        judged.collect()
    }

    /// Why a candidate is not quarantined; `None` if it is the cause.
    fn deferral(
        &self,
        now: Duration,
        candidate: &Candidate<'_>,
        open: &[(usize, Vec<&Crash>)],
    ) -> Option<Deferral> {
        match self.suspects[candidate.index].kind {
            Kind::Request if candidate.events >= CERTAIN_CRASHES => None,
            Kind::Request => {
                let rival = self.request_rival(candidate, open).map(Deferral::Rival);
                rival.or_else(|| {
                    let accounted = !explains_all(now, candidate, open)
                        && self.is_accounted_for(candidate, open);
                    let doubtful = accounted || self.is_crowded(candidate, open);
                    doubtful.then_some(Deferral::Accounted)
                })
            }
            Kind::Part { .. } => {
                let sole = self.is_sole_part(now, candidate, open)
                    && !self.is_contested(candidate, open);
                (!sole).then_some(Deferral::Accounted)
            }
        }
    }

    /// Another suspect in `open` that accounts for all crashes of a request, except the
    /// parts of its own prompt and parts that are often served.
    fn request_rival(
        &self,
        candidate: &Candidate<'_>,
        open: &[(usize, Vec<&Crash>)],
    ) -> Option<Fingerprint> {
        let rival = open.iter().find(|(at, crashes)| {
            self.is_rival(candidate, *at)
                && contains(crashes, candidate.crashes)
                && support(self.suspects[*at].kind, crashes) >= candidate.events
        });
        rival.map(|(at, _)| self.suspects[*at].request)
    }

    /// Whether rivals with at most one crash less together account for all crashes of a
    /// request. If several causes are at work, a bystander of two of them may have as many
    /// crashes as each.
    fn is_accounted_for(
        &self,
        candidate: &Candidate<'_>,
        open: &[(usize, Vec<&Crash>)],
    ) -> bool {
        let rivals: Vec<&Vec<&Crash>> = open
            .iter()
            .filter(|(at, crashes)| {
                self.is_rival(candidate, *at)
                    && support(self.suspects[*at].kind, crashes) + 1 >= candidate.events
            })
            .map(|(_, crashes)| crashes)
            .collect();
        let mut crashes = candidate.crashes.iter();
        crashes.all(|crash| rivals.iter().any(|rival| contains(rival, &[*crash])))
    }

    /// Whether so many other requests were lost in all but one of a request's few crashes
    /// that one of them is to be expected in the last one as well.
    fn is_crowded(
        &self,
        candidate: &Candidate<'_>,
        open: &[(usize, Vec<&Crash>)],
    ) -> bool {
        if candidate.events > QUARANTINE_CRASHES {
            return false;
        }
        let near = open.iter().filter(|(at, crashes)| {
            let missed = candidate
                .crashes
                .iter()
                .filter(|crash| !contains(crashes, &[**crash]));
            self.suspects[*at].kind == Kind::Request
                && *at != candidate.index
                && missed.count() == 1
        });
        near.count() >= CROWD
    }

    /// Whether a request that has enough crashes itself was lost in the newest crash of a
    /// part with few of them.
    fn is_contested(
        &self,
        candidate: &Candidate<'_>,
        open: &[(usize, Vec<&Crash>)],
    ) -> bool {
        let Some(newest) = candidate.crashes.last() else {
            return false;
        };
        candidate.events < CERTAIN_PART_CRASHES
            && open.iter().any(|(at, crashes)| {
                let kind = self.suspects[*at].kind;
                kind == Kind::Request
                    && contains(crashes, &[*newest])
                    && support(kind, crashes) >= QUARANTINE_CRASHES
            })
    }

    /// Whether the suspect at `at` competes with a request: it is not a part of it, nor a
    /// part that is often served.
    fn is_rival(&self, candidate: &Candidate<'_>, at: usize) -> bool {
        let other = &self.suspects[at];
        at != candidate.index
            && !other.is_doubtful()
            && !self.suspects[candidate.index].has_part(other.request)
    }

    /// Whether the crashes under a part are not accounted for by more likely suspects:
    /// those lost with more endpoints, served less often or that concern fewer callers.
    /// Two parts may be the cause at a time, so the suspects are taken together.
    fn is_sole_part(
        &self,
        now: Duration,
        candidate: &Candidate<'_>,
        open: &[(usize, Vec<&Crash>)],
    ) -> bool {
        let weight = |at: usize, events: usize| {
            let suspect = &self.suspects[at];
            (events, Reverse(suspect.served()), suspect.kind)
        };
        let own = weight(candidate.index, candidate.events);
        let rivals: Vec<&Vec<&Crash>> = open
            .iter()
            .filter(|(at, crashes)| {
                let reported = crashes.iter().filter(|crash| is_reported(now, crash));
                let reported: Vec<&Crash> = reported.copied().collect();
                let support = support(self.suspects[*at].kind, &reported);
                *at != candidate.index && weight(*at, support) >= own
            })
            .map(|(_, crashes)| crashes)
            .collect();
        !candidate
            .crashes
            .iter()
            .all(|crash| rivals.iter().any(|rival| contains(rival, &[*crash])))
    }
}

/// Whether all crashes since the first one of `candidate` are its crashes.
fn explains_all(
    now: Duration,
    candidate: &Candidate<'_>,
    open: &[(usize, Vec<&Crash>)],
) -> bool {
    let Some(first) = candidate.crashes.first() else {
        return false;
    };
    let mut crashes = open.iter().flat_map(|(_, crashes)| crashes);
    crashes.all(|crash| {
        crash.at < first.at
            || !is_reported(now, crash)
            || contains(candidate.crashes, &[*crash])
    })
}

/// Whether all entries have had the time to report what they lost in a crash.
fn is_reported(now: Duration, crash: &Crash) -> bool {
    now.saturating_sub(crash.at) >= REPORT_TIME
}
