//! Which of the suspects accounts for the crashes.
//!
//! A request is the cause unless another suspect accounts for all of its crashes as well.
//! If several causes are at work, other suspects may account for them together. Only
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

/// Crashes from which a request is quarantined although others were lost with the same
/// endpoints. Suspects run apart from each other after two crashes, so those that are not
/// the cause would have been served by then.
const CERTAIN_CRASHES: usize = 6;
/// Crashes from which a part is quarantined although a request that was lost in the newest
/// of them has enough crashes itself.
const CERTAIN_PART_CRASHES: usize = 5;
/// Number of requests that were lost in all but one of another's crashes, from which one of
/// them is expected in the last one by chance: one in eight endpoints crashes with it.
const CROWD: usize = 8;
/// Maximum number of suspects that are judged, so that a judgement takes milliseconds.
const MAX_CANDIDATES: usize = 64;

/// A suspect with enough crashes: its index, its crashes, and why it is not the cause.
pub(super) struct Judged {
    pub(super) index: usize,
    pub(super) crashes: usize,
    pub(super) deferral: Option<Deferral>,
}

/// Judges the suspects with enough crashes; those with more come first. Only crashes count
/// that all entries have reported and that are not attributed to a quarantined request.
pub(super) fn judge(now: Duration, suspects: &[Suspect]) -> Vec<Judged> {
    let enough = |suspect: &Suspect| {
        suspect.until.is_none()
            && suspect.crashes.len() >= QUARANTINE_CRASHES
            && !suspect.is_doubtful()
    };
    // In the usual case nothing has enough crashes but parts that all prompts of a workspace
    // share, and nothing has to be compared.
    if !suspects.iter().any(enough) {
        return Vec::new();
    }
    let attribution = Attribution::new(suspects);
    let is_open = |suspect: &Suspect| suspect.until.is_none() && !suspect.is_innocent();
    let open = suspects.iter().enumerate().filter(|(_, one)| is_open(one));
    let open = open.map(|(index, one)| (index, attribution.open_crashes(one)));
    Inquiry::new(now, suspects, open.collect()).judge()
}

/// The open crashes of one suspect.
struct Evidence<'a> {
    index: usize,
    suspect: &'a Suspect,
    /// Endpoints that were lost with it, also if that is not reported completely yet.
    runs: RunSet,
    /// Number of independent crashes among them.
    support: usize,
    /// The crashes that all entries have reported, oldest first.
    reported: Vec<&'a Crash>,
    /// Number of independent crashes among those.
    reported_support: usize,
}

/// A suspect that may be quarantined.
struct Candidate<'a> {
    evidence: &'a Evidence<'a>,
    /// Endpoints of its reported crashes.
    runs: RunSet,
    /// Total time that it ran before them. Among requests that were always lost together,
    /// the one with the shortest total is the most likely cause.
    run_time: Duration,
}

impl Candidate<'_> {
    fn events(&self) -> usize {
        self.evidence.reported_support
    }
}

/// The crashes of all suspects that are not attributed to quarantined ones.
struct Inquiry<'a> {
    now: Duration,
    /// Suspects with at least two crashes; others accounts for none that is judged.
    evidence: Vec<Evidence<'a>>,
    runs: Runs<'a>,
    /// Every reported crash: its time, and its number if a suspect with several has it.
    crashes: Vec<(Duration, Option<usize>)>,
}

impl<'a> Inquiry<'a> {
    fn new(
        now: Duration,
        suspects: &'a [Suspect],
        open: Vec<(usize, Vec<&'a Crash>)>,
    ) -> Self {
        let several = open.iter().filter(|one| one.1.len() >= SUSPECT_CRASHES);
        let runs = Runs::new(several.flat_map(|one| &one.1).map(|crash| &crash.run));
        let reported = open.iter().flat_map(|one| &one.1);
        let reported = reported.filter(|crash| is_reported(now, crash));
        let mut crashes: Vec<(Duration, Option<usize>)> = reported
            .map(|crash| (crash.at, runs.find(&crash.run)))
            .collect();
        crashes.sort_unstable();
        crashes.dedup();
        let evidence = open
            .into_iter()
            .filter(|one| one.1.len() >= SUSPECT_CRASHES)
            .map(|(index, crashes)| {
                let suspect = &suspects[index];
                let complete = crashes.iter().filter(|crash| is_reported(now, crash));
                let reported: Vec<&Crash> = complete.copied().collect();
                Evidence {
                    index,
                    suspect,
                    runs: runs.set(&crashes),
                    support: support(suspect.kind, &crashes),
                    reported_support: support(suspect.kind, &reported),
                    reported,
                }
            });
        Self {
            now,
            evidence: evidence.collect(),
            runs,
            crashes,
        }
    }

    fn judge(&self) -> Vec<Judged> {
        let may_be_cause = |one: &&Evidence<'_>| {
            one.reported_support >= QUARANTINE_CRASHES
                && one.suspect.is_due(self.now)
                && !one.suspect.is_doubtful()
        };
        let candidates = self.evidence.iter().filter(may_be_cause);
        let mut candidates: Vec<Candidate<'_>> = candidates
            .map(|evidence| {
                let crashes = evidence.reported.iter();
                let run_times = crashes.map(|one| one.at.saturating_sub(one.sent));
                Candidate {
                    evidence,
                    runs: self.runs.set(&evidence.reported),
                    run_time: run_times.fold(Duration::ZERO, Duration::saturating_add),
                }
            })
            .collect();
        candidates.sort_by_key(|one| {
            let kind = one.evidence.suspect.kind;
            let index = one.evidence.index;
            (Reverse(one.events()), Reverse(kind), one.run_time, index)
        });
        let mut judged = Vec::new();
        for candidate in candidates.iter().take(MAX_CANDIDATES) {
            let deferral = self.deferral(candidate);
            judged.push(Judged {
                index: candidate.evidence.index,
                crashes: candidate.events(),
                deferral,
            });
            if deferral.is_none() {
                break;
            }
        }
        judged
    }

    /// Why a candidate is not quarantined; `None` if it is the cause.
    fn deferral(&self, candidate: &Candidate<'_>) -> Option<Deferral> {
        if candidate.evidence.suspect.kind != Kind::Request {
            return if !self.is_sole_part(candidate) {
                Some(Deferral::Accounted)
            } else if self.is_contested(candidate) {
                Some(Deferral::Contested)
            } else {
                None
            };
        }
        if candidate.events() >= CERTAIN_CRASHES {
            return None;
        }
        if let Some(rival) = self.request_rival(candidate) {
            Some(Deferral::Rival(rival))
        } else if !self.explains_all(candidate) && self.is_accounted_for(candidate) {
            Some(Deferral::Accounted)
        } else if self.is_crowded(candidate) {
            Some(Deferral::Chance)
        } else {
            None
        }
    }

    /// The suspects that compete with a request: neither the parts of its prompt nor parts
    /// that are often served.
    fn rivals(&self, candidate: &Candidate<'_>) -> impl Iterator<Item = &Evidence<'a>> {
        let own = candidate.evidence;
        self.evidence.iter().filter(move |other| {
            other.index != own.index
                && !other.suspect.is_doubtful()
                && !own.suspect.has_part(other.suspect.request)
        })
    }

    /// A rival that accounts for all crashes of a request.
    fn request_rival(&self, candidate: &Candidate<'_>) -> Option<Fingerprint> {
        let mut rivals = self.rivals(candidate);
        let rival = rivals.find(|rival| {
            rival.support >= candidate.events() && rival.runs.includes(&candidate.runs)
        });
        rival.map(|rival| rival.suspect.request)
    }

    /// Whether all crashes since the first one of a candidate are its crashes.
    fn explains_all(&self, candidate: &Candidate<'_>) -> bool {
        let first = candidate.evidence.reported.first();
        let first = first.map_or(Duration::ZERO, |crash| crash.at);
        let mut crashes = self.crashes.iter();
        crashes.all(|(at, run)| {
            let is_own = run.is_some_and(|run| candidate.runs.contains(run));
            *at < first || is_own
        })
    }

    /// Whether rivals with at most one crash less together account for all crashes of a
    /// request. If several causes are at work, a bystander of two of them may have as many
    /// crashes as each.
    fn is_accounted_for(&self, candidate: &Candidate<'_>) -> bool {
        let rivals = self.rivals(candidate);
        let rivals = rivals.filter(|rival| rival.support + 1 >= candidate.events());
        RunSet::union(rivals.map(|rival| &rival.runs)).includes(&candidate.runs)
    }

    /// Whether so many other requests were lost in all but one of a request's few crashes
    /// that one of them is to be expected in the last one as well.
    fn is_crowded(&self, candidate: &Candidate<'_>) -> bool {
        let near = self.evidence.iter().filter(|other| {
            other.suspect.kind == Kind::Request
                && other.index != candidate.evidence.index
                && candidate.runs.count_without(&other.runs) == 1
        });
        candidate.events() <= QUARANTINE_CRASHES && near.count() >= CROWD
    }

    /// Whether the crashes under a part are not accounted for by more likely suspects:
    /// those lost with more endpoints, served less often or that concern fewer callers.
    /// Two parts may be the cause at a time, so the suspects are taken together.
    fn is_sole_part(&self, candidate: &Candidate<'_>) -> bool {
        let weight = |one: &Evidence<'_>| {
            let served = Reverse(one.suspect.served());
            (one.reported_support, served, one.suspect.kind)
        };
        let own = candidate.evidence;
        let rivals = self.evidence.iter();
        let rivals = rivals
            .filter(|other| other.index != own.index && weight(other) >= weight(own));
        !RunSet::union(rivals.map(|rival| &rival.runs)).includes(&candidate.runs)
    }

    /// Whether a request that has enough crashes itself was lost in the newest crash of a
    /// part with few of them.
    fn is_contested(&self, candidate: &Candidate<'_>) -> bool {
        let newest = candidate.evidence.reported.last();
        let Some(newest) = newest.and_then(|crash| self.runs.find(&crash.run)) else {
            return false;
        };
        let mut others = self.evidence.iter();
        candidate.events() < CERTAIN_PART_CRASHES
            && others.any(|other| {
                other.suspect.kind == Kind::Request
                    && other.support >= QUARANTINE_CRASHES
                    && other.runs.contains(newest)
            })
    }
}

/// Whether all entries have had the time to report what they lost in a crash.
fn is_reported(now: Duration, crash: &Crash) -> bool {
    now.saturating_sub(crash.at) >= REPORT_TIME
}
