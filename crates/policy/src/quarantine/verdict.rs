//! Which parts of prompts account for the crashes that no request does.
//!
//! A part is the cause unless more likely parts account for all of its crashes, together if
//! several causes are at work, or a request with enough crashes shares the newest. Only
//! crashes that all entries had the time to report count.
//!
//! After an outage there are thousands of suspects, so endpoints are numbered and sets of
//! them compared bit by bit, and only the most suspected are judged.

use super::attribution::Attribution;
use super::crash::{Crash, support};
use super::run_set::{RunSet, Runs};
use super::suspect::{Kind, Suspect};
use super::{Deferral, QUARANTINE_CRASHES, REPORT_TIME, SUSPECT_CRASHES};
use dogwoodhill_core::prelude::*;
use std::cmp::Reverse;

/// Maximum number of parts that are judged, so that a judgement takes milliseconds.
const MAX_CANDIDATES: usize = 64;

/// A part with enough crashes: its index, its crashes, and why it is not the cause.
pub(super) struct Judged {
    pub(super) index: usize,
    pub(super) crashes: usize,
    pub(super) deferral: Option<Deferral>,
}

/// Judges the parts with enough crashes; those with more come first.
pub(super) fn judge_parts(now: Duration, suspects: &[Suspect]) -> Vec<Judged> {
    let enough = |suspect: &Suspect| {
        suspect.kind != Kind::Request
            && suspect.until.is_none()
            && suspect.crashes.len() >= QUARANTINE_CRASHES
            && !suspect.is_doubtful()
    };
    // In the usual case nothing has enough crashes but parts that all prompts of a workspace
    // share, and nothing has to be compared.
    if !suspects.iter().any(enough) {
        return Vec::new();
    }
    let attribution = Attribution::new(suspects);
    let is_open = |suspect: &Suspect| {
        let is_part = suspect.kind != Kind::Request;
        is_part && suspect.until.is_none() && !suspect.is_innocent()
    };
    let open = suspects.iter().enumerate().filter(|(_, one)| is_open(one));
    let open = open.map(|(index, one)| (index, attribution.open_crashes(one)));
    let open: Vec<(usize, Vec<&Crash>)> = open.collect();
    Inquiry::new(now, suspects, &open).judge()
}

/// The crashes of one part that count against it.
struct Evidence<'a> {
    index: usize,
    suspect: &'a Suspect,
    /// Endpoints that were lost with it, also if that is not reported completely yet.
    runs: RunSet,
    /// Endpoints of the crashes that all entries have reported.
    reported: RunSet,
    /// Number of independent crashes among those.
    support: usize,
    /// Endpoint of the newest of them.
    newest: Option<&'a Incarnation>,
}

impl Evidence<'_> {
    /// Parts with more crashes, that are served less often or that concern fewer callers,
    /// are more likely the cause.
    fn weight(&self) -> (usize, Reverse<usize>, Kind) {
        let served = Reverse(self.suspect.served());
        (self.support, served, self.suspect.kind)
    }
}

/// The crashes of all parts that are not attributed to others.
struct Inquiry<'a> {
    now: Duration,
    suspects: &'a [Suspect],
    /// Parts with at least two crashes; others account for none that is judged.
    evidence: Vec<Evidence<'a>>,
}

impl<'a> Inquiry<'a> {
    fn new(
        now: Duration,
        suspects: &'a [Suspect],
        open: &[(usize, Vec<&'a Crash>)],
    ) -> Self {
        let several = open.iter().filter(|one| one.1.len() >= SUSPECT_CRASHES);
        let runs = Runs::new(several.flat_map(|one| &one.1).map(|crash| &crash.run));
        let several = open.iter().filter(|one| one.1.len() >= SUSPECT_CRASHES);
        let evidence = several.map(|(index, crashes)| {
            let suspect = &suspects[*index];
            let complete = crashes.iter().filter(|crash| is_reported(now, crash));
            let reported: Vec<&Crash> = complete.copied().collect();
            Evidence {
                index: *index,
                suspect,
                runs: runs.set(crashes),
                reported: runs.set(&reported),
                support: support(suspect.kind, &reported),
                newest: reported.last().map(|crash| &crash.run),
            }
        });
        Self {
            now,
            suspects,
            evidence: evidence.collect(),
        }
    }

    fn judge(&self) -> Vec<Judged> {
        let may_be_cause = |one: &&Evidence<'_>| {
            one.support >= QUARANTINE_CRASHES
                && one.suspect.is_due(self.now)
                && !one.suspect.is_doubtful()
        };
        let candidates = self.evidence.iter().filter(may_be_cause);
        let mut candidates: Vec<&Evidence<'_>> = candidates.collect();
        candidates.sort_by_key(|one| {
            (Reverse(one.support), Reverse(one.suspect.kind), one.index)
        });
        let mut judged = Vec::new();
        for candidate in candidates.into_iter().take(MAX_CANDIDATES) {
            let deferral = self.deferral(candidate);
            judged.push(Judged {
                index: candidate.index,
                crashes: candidate.support,
                deferral,
            });
            if deferral.is_none() {
                break;
            }
        }
        judged
    }

    /// Why a part is not quarantined; `None` if it is the cause.
    fn deferral(&self, candidate: &Evidence<'_>) -> Option<Deferral> {
        if !self.is_sole(candidate) {
            Some(Deferral::Accounted)
        } else if self.is_contested(candidate) {
            Some(Deferral::Contested)
        } else {
            None
        }
    }

    /// Whether more likely parts, taken together, do not account for all crashes of a part.
    fn is_sole(&self, candidate: &Evidence<'_>) -> bool {
        let rivals = self.evidence.iter().filter(|other| {
            other.index != candidate.index && other.weight() >= candidate.weight()
        });
        let accounted = RunSet::union(rivals.map(|rival| &rival.runs));
        !accounted.includes(&candidate.reported)
    }

    /// Whether a request with enough crashes was lost in the newest crash of a part.
    fn is_contested(&self, candidate: &Evidence<'_>) -> bool {
        let mut requests = self.suspects.iter().filter(|one| {
            one.kind == Kind::Request && one.crashes.len() >= QUARANTINE_CRASHES
        });
        let newest = candidate.newest;
        newest.is_some_and(|newest| requests.any(|one| one.ran_on(newest)))
    }
}

/// Whether all entries have had the time to report what they lost in a crash.
fn is_reported(now: Duration, crash: &Crash) -> bool {
    now.saturating_sub(crash.at) >= REPORT_TIME
}
