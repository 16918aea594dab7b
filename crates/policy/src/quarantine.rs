//! Detects requests that crash the endpoints which run them, and quarantines them.
//!
//! A request may crash every endpoint that starts it. Its caller sends it again, to any
//! entry, and an entry that has not seen it before forwards it: ten endpoints and more
//! crash in a row. Some forty other requests are lost with each of them, are sent again
//! as well, and may again run on the same endpoint as the cause. Endpoints also stop for
//! other reasons, such as the loss of a failure domain or a replacement.
//!
//! Entries therefore report to one control instance which requests were lost with which
//! endpoints ([`LostRequest`]). A request that was lost with two is a suspect. Suspects run
//! one at a time over all entries, each alone on an endpoint ([`trials`]). One that was
//! lost with its endpoint in two of these trials, or with three endpoints where nothing else
//! can be the cause, is quarantined: no entry forwards it until the quarantine ends. One that
//! is served is no longer a suspect.
//!
//! A part that prompts share may be the cause as well, under requests that are all
//! different. The parts of lost requests are therefore suspects like the requests. Sound
//! prompts share parts with those that crash, so a part is cleared once prompts with it are
//! served for half as many times as endpoints crash under it.
//!
//! Invariants:
//!
//! * An endpoint counts as crashed only if it is known to have ended after a request was
//!   lost there, and it has answered no request that was sent since.
//! * Two trials decide, whatever else was lost or quarantined.
//! * A request that was served recently is not the cause.
//! * Parts are judged by count: for crashes that all entries have had the time to report,
//!   under different requests, that more likely parts do not account for. A crash in which a
//!   request was lost that is quarantined, or was lost on trial, does not count. While a
//!   request with three crashes shares the newest, nothing is decided.
//! * No part is quarantined before entries have had the time to report that it is served.
//! * A quarantine ends early if all crashes that it rests on turn out to be those of other
//!   quarantined requests, for a request of ones with more crashes. It stays a suspect then.
//! * Endpoints of one failure domain that stop at the same moment, while the request was
//!   running on each of them, make it a suspect at most.
//! * The stored state is bounded, also for each workspace, and expires.

mod attribution;
mod conviction;
mod crash;
mod findings;
mod run_set;
mod suspect;
pub mod trials;
mod verdict;

pub use findings::{Deferral, Deferred, Findings, LiftedQuarantine, NewQuarantine};
pub use suspect::EntryHash;

use conviction::{awaits_reports, is_convicted};
use crash::Crash;
use dogwoodhill_core::prelude::*;
use std::cmp::Reverse;
use suspect::{Kind, Suspect};
use verdict::{Judged, judge_parts};

/// Crashes from which a request runs only on trial, and a part is quarantined; fewer occur
/// by chance.
pub const QUARANTINE_CRASHES: usize = 3;
/// Trials of a request that end with its endpoint from which it is quarantined.
pub const QUARANTINE_TRIALS: usize = 2;
/// Crashes from which a request is a suspect.
pub const SUSPECT_CRASHES: usize = 2;
/// Time from the second crash under a part until it may be quarantined: entries learn
/// that it is a suspect with their next report, and report with the one after that
/// whether they serve it.
const PART_GRACE: Duration = Duration::from_secs(1);
/// Maximum number of parts of a request.
pub const MAX_PARTS: usize = 64;
/// Time after a crash within which each entry reports what it lost in it, and which
/// endpoints answered it.
const REPORT_TIME: Duration = Duration::from_millis(600);
/// Upper bound of the error with which times of two entries are compared.
const TIME_ERROR: Duration = Duration::from_millis(500);
/// How long after its loss an endpoint may still turn out to be alive.
const LOSS_RETENTION: Duration = Duration::from_secs(10);
/// How long a request counts as harmless after it was served.
pub const HARMLESS_PERIOD: Duration = Duration::from_secs(10);
/// How long a crash counts against a request.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Length of a request's first quarantine; each further one is twice as long as the last.
const FIRST_PERIOD: Duration = Duration::from_secs(600);
/// Upper bound of the length of a quarantine.
const MAX_PERIOD: Duration = Duration::from_secs(24 * 3_600);
/// Maximum number of requests that are stored, and of parts, up to 2 KB each.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of requests of one workspace that are stored, and of parts, so that no
/// workspace can displace the requests of others.
const MAX_PER_WORKSPACE: usize = 512;
/// Maximum number of lost endpoints that are stored.
const MAX_LOST: usize = 1_024;
/// Maximum number of notices that are sent to entries, 30 bytes each.
const MAX_NOTICES: usize = 1_024;
/// Maximum number of lifted quarantines that are stored.
const MAX_LIFTED: usize = 64;

/// A request whose connection to an endpoint broke, after which the endpoint refused new
/// connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRequest {
    /// Fingerprint of the request's content.
    pub request: Fingerprint,
    /// Fingerprints of the parts of its prompt that others may share, in order.
    pub parts: Vec<Fingerprint>,
    /// Hash of its workspace.
    pub workspace: u64,
    /// Run of the endpoint.
    pub run: Incarnation,
    /// Hash of the endpoint's failure domain.
    pub domain: u64,
    /// When the request was sent to the endpoint.
    pub sent: Duration,
    /// When the connection broke.
    pub at: Duration,
    /// Whether the request was on trial at the endpoint.
    pub trial: bool,
}

/// The crashes and the quarantine of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspectStatus {
    /// Crashes of endpoints that were running it.
    pub crashes: usize,
    /// Time until its quarantine ends, zero if that was lifted; `None` if it may be
    /// forwarded.
    pub remaining: Option<Duration>,
}

/// A suspect or quarantined request or part, as distributed to entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectNotice {
    /// Fingerprint of the request's content, or of the part.
    pub request: Fingerprint,
    /// Its crashes and its quarantine.
    pub status: SuspectStatus,
}

/// Whether an endpoint that was alive at `alive` did not crash at `lost`.
pub fn outlived(lost: Duration, alive: Duration) -> bool {
    alive > lost + TIME_ERROR
}

/// Length of the `times`th quarantine of a request.
pub fn quarantine_period(times: u32) -> Duration {
    let factor = 2u32.saturating_pow(times.saturating_sub(1));
    FIRST_PERIOD.saturating_mul(factor).min(MAX_PERIOD)
}

/// An endpoint that was reported lost.
#[derive(Clone, Debug)]
struct LostEndpoint {
    run: Incarnation,
    at: Duration,
}

/// Requests that were lost with endpoints, and requests that are quarantined.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Sorted by request.
    suspects: Vec<Suspect>,
    /// Sorted by run.
    lost: Vec<LostEndpoint>,
    /// Suspects dropped for lack of room.
    evicted: usize,
    /// Requests whose quarantine was lifted, and when; oldest first.
    lifted: Vec<(Fingerprint, Duration)>,
}

impl Quarantine {
    /// Whether there is neither a suspect nor a quarantined request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records a loss. Losses older than [`CRASH_RETENTION`] are ignored.
    pub fn record_loss(&mut self, now: Duration, loss: &LostRequest) {
        if now.saturating_sub(loss.at) >= CRASH_RETENTION {
            return;
        }
        self.record_lost_endpoint(loss);
        let parts = loss.parts.iter().take(MAX_PARTS).enumerate();
        let parts = parts.map(|(position, part)| (*part, Kind::Part { position }));
        let all = parts.chain([(loss.request, Kind::Request)]);
        for (fingerprint, kind) in all {
            let at = self.suspect_index(fingerprint, kind, loss.workspace);
            let crash = Crash {
                run: loss.run.clone(),
                domain: loss.domain,
                sent: loss.sent,
                at: loss.at,
                trial: loss.trial,
                contents: match kind {
                    Kind::Request => Vec::new(),
                    Kind::Part { .. } => vec![loss.request],
                },
            };
            let suspect = &mut self.suspects[at];
            suspect.add(now, kind, crash);
            if kind == Kind::Request {
                suspect.set_parts(&loss.parts);
            }
        }
    }

    fn record_lost_endpoint(&mut self, loss: &LostRequest) {
        let found = self.lost.binary_search_by(|lost| lost.run.cmp(&loss.run));
        let Err(at) = found else { return };
        let lost = LostEndpoint {
            run: loss.run.clone(),
            at: loss.at,
        };
        self.lost.insert(at, lost);
        if self.lost.len() > MAX_LOST {
            remove_least(&mut self.lost, |lost| Some(lost.at));
        }
    }

    /// Index of the suspect for a request or part, which is added if it is missing. Makes
    /// room by dropping the least suspected of the same kind.
    fn suspect_index(
        &mut self,
        request: Fingerprint,
        kind: Kind,
        workspace: u64,
    ) -> usize {
        if let Ok(at) = self.find(request) {
            return at;
        }
        let before = self.suspects.len();
        let is_part = kind != Kind::Request;
        let same_kind = |suspect: &Suspect| (suspect.kind != Kind::Request) == is_part;
        let same_workspace =
            |suspect: &Suspect| same_kind(suspect) && suspect.workspace == workspace;
        let count = |counts: &dyn Fn(&Suspect) -> bool| {
            self.suspects.iter().filter(|one| counts(one)).count()
        };
        if count(&same_workspace) >= MAX_PER_WORKSPACE {
            remove_least(&mut self.suspects, |one| {
                same_workspace(one).then(|| one.weight())
            });
        } else if count(&same_kind) >= MAX_SUSPECTS {
            remove_least(&mut self.suspects, |one| {
                same_kind(one).then(|| one.weight())
            });
        }
        self.evicted += before - self.suspects.len();
        let at = self.find(request).unwrap_or_else(|at| at);
        self.suspects
            .insert(at, Suspect::new(request, kind, workspace));
        at
    }

    /// Returns and resets the number of suspects dropped for lack of room.
    pub fn take_evicted(&mut self) -> usize {
        std::mem::take(&mut self.evicted)
    }

    /// Endpoints reported lost within the last 10 s.
    pub fn lost_endpoints(&self) -> impl Iterator<Item = &Incarnation> {
        self.lost.iter().map(|lost| &lost.run)
    }

    /// Records that an endpoint was alive at `alive`, and drops the crashes that this
    /// disproves. Returns the number of suspects that lose a crash.
    pub fn record_alive(&mut self, run: &Incarnation, alive: Duration) -> usize {
        self.lost
            .retain(|lost| lost.run != *run || !outlived(lost.at, alive));
        let mut disproved = 0;
        for suspect in &mut self.suspects {
            let before = suspect.crashes.len();
            let crashes = &mut suspect.crashes;
            crashes.retain(|crash| crash.run != *run || !outlived(crash.at, alive));
            disproved += usize::from(suspect.crashes.len() < before);
        }
        self.remove_idle();
        disproved
    }

    /// Records that `entry` served a request, or one with this part, at `at`. The request
    /// is not the cause of crashes before that or within [`HARMLESS_PERIOD`] after; a part
    /// is not while this was reported for half as many times as there were crashes.
    /// Returns the number of crashes that no longer count against the request.
    pub fn record_served(
        &mut self,
        entry: EntryHash,
        request: Fingerprint,
        at: Duration,
    ) -> usize {
        let Ok(index) = self.find(request) else {
            return 0;
        };
        let suspect = &mut self.suspects[index];
        if suspect.kind != Kind::Request {
            suspect.record_part_served(entry, at);
            return 0;
        }
        let before = suspect.crashes.len();
        suspect.record_served(at);
        let cleared = before - suspect.crashes.len();
        self.remove_idle();
        cleared
    }

    /// Applies the `times`th quarantine of a request, decided by another instance, that
    /// ends after `remaining`.
    pub fn take(
        &mut self,
        now: Duration,
        request: Fingerprint,
        workspace: u64,
        times: u32,
        remaining: Duration,
    ) {
        if remaining.is_zero() {
            return;
        }
        self.lifted.retain(|lifted| lifted.0 != request);
        let at = self.suspect_index(request, Kind::Request, workspace);
        let suspect = &mut self.suspects[at];
        suspect.until = suspect.until.max(Some(now.saturating_add(remaining)));
        suspect.times = suspect.times.max(times);
    }

    /// Lifts the quarantine of a request, by the decision of another instance. Returns
    /// whether it was quarantined.
    pub fn lift(&mut self, now: Duration, request: Fingerprint) -> bool {
        self.lifted.retain(|lifted| lifted.0 != request);
        if self.lifted.len() >= MAX_LIFTED {
            self.lifted.remove(0);
        }
        self.lifted.push((request, now));
        let Ok(at) = self.find(request) else {
            return false;
        };
        let suspect = &mut self.suspects[at];
        let quarantined = suspect.until.take().is_some();
        if quarantined {
            suspect.times = suspect.times.saturating_sub(1);
            suspect.drop_evidence();
        }
        self.remove_idle();
        quarantined
    }

    /// Lifts each quarantine whose crashes are all those of other quarantined requests.
    /// Returns what was lifted.
    fn lift_refuted(&mut self, now: Duration) -> Vec<LiftedQuarantine> {
        let refuted = self.suspects.iter().filter(|one| self.is_refuted(one));
        let refuted: Vec<LiftedQuarantine> = refuted
            .map(|suspect| LiftedQuarantine {
                request: suspect.request,
                workspace: suspect.workspace,
            })
            .collect();
        for one in &refuted {
            self.lift(now, one.request);
        }
        refuted
    }

    fn is_refuted(&self, suspect: &Suspect) -> bool {
        let is_part = suspect.kind != Kind::Request;
        let causes = self.suspects.iter().filter(|other| {
            other.request != suspect.request
                && other.kind == Kind::Request
                && other.until.is_some()
                && (is_part || other.crashes.len() > suspect.crashes.len())
        });
        let causes: Vec<&Suspect> = causes.collect();
        let is_explained =
            |crash: &Crash| causes.iter().any(|cause| cause.ran_on(&crash.run));
        let mut evidence = suspect.evidence().peekable();
        suspect.until.is_some() && evidence.peek().is_some() && evidence.all(is_explained)
    }

    /// Quarantines each request that its trials have shown to be the cause, and each part
    /// with at least [`QUARANTINE_CRASHES`] crashes that nothing more likely accounts for.
    /// Lifts the quarantines that this refutes.
    pub fn evaluate(&mut self, now: Duration) -> Findings {
        self.expire(now);
        let mut findings = Findings::default();
        for index in 0..self.suspects.len() {
            if is_convicted(now, &self.suspects, &self.suspects[index]) {
                let crashes = self.suspects[index].status(now).crashes;
                findings
                    .quarantined
                    .push(self.quarantine(now, index, crashes));
            }
        }
        loop {
            let judged = judge_parts(now, &self.suspects);
            let cause = judged.iter().find(|judged| judged.deferral.is_none());
            let Some(cause) = cause else {
                findings.deferred = self.deferred(&judged);
                break;
            };
            let quarantined = self.quarantine(now, cause.index, cause.crashes);
            findings.quarantined.push(quarantined);
        }
        if !findings.quarantined.is_empty() {
            findings.lifted = self.lift_refuted(now);
        }
        findings
    }

    fn quarantine(
        &mut self,
        now: Duration,
        index: usize,
        crashes: usize,
    ) -> NewQuarantine {
        let suspect = &mut self.suspects[index];
        suspect.times += 1;
        suspect.until = Some(now + quarantine_period(suspect.times));
        let request = suspect.request;
        self.lifted.retain(|lifted| lifted.0 != request);
        NewQuarantine {
            request,
            is_part: suspect.kind != Kind::Request,
            workspace: suspect.workspace,
            crashes,
            times: suspect.times,
        }
    }

    fn deferred(&self, judged: &[Judged]) -> Vec<Deferred> {
        let deferred = judged.iter().filter_map(|judged| {
            Some(Deferred {
                part: self.suspects[judged.index].request,
                crashes: judged.crashes,
                deferral: judged.deferral?,
            })
        });
        deferred.collect()
    }

    /// Whether a request may be on trial: it is not quarantined, and with enough crashes,
    /// entries have had the time to report what they lost in the newest.
    pub fn may_be_tried(&self, now: Duration, request: Fingerprint) -> bool {
        let Ok(at) = self.find(request) else {
            return true;
        };
        let suspect = &self.suspects[at];
        suspect.until.is_none() && !awaits_reports(now, suspect)
    }

    /// The crashes and the quarantine of a request.
    pub fn status(&self, now: Duration, request: Fingerprint) -> SuspectStatus {
        let Ok(at) = self.find(request) else {
            return SuspectStatus::default();
        };
        self.suspects[at].status(now)
    }

    /// The quarantined requests and the suspects, sorted by request. If there are too
    /// many, quarantined ones take precedence, then those with the most crashes.
    pub fn notices(&self, now: Duration) -> Vec<SuspectNotice> {
        // Cheap check first: after an outage there are thousands of requests with one
        // crash.
        let relevant = |suspect: &&Suspect| {
            suspect.until.is_some()
                || suspect.crashes.len() >= SUSPECT_CRASHES && !suspect.is_innocent()
        };
        let suspects = self.suspects.iter().filter(relevant);
        let suspects = suspects.map(|suspect| SuspectNotice {
            request: suspect.request,
            status: suspect.status(now),
        });
        let lifted = self.lifted.iter().map(|(request, _)| SuspectNotice {
            request: *request,
            status: SuspectStatus {
                remaining: Some(Duration::ZERO),
                ..self.status(now, *request)
            },
        });
        let mut notices: Vec<SuspectNotice> = suspects
            .filter(|notice| {
                let status = notice.status;
                status.remaining.is_some() || status.crashes >= SUSPECT_CRASHES
            })
            .chain(lifted)
            .collect();
        notices.sort_by_key(|notice| {
            let status = notice.status;
            let crashes = Reverse(status.crashes);
            (Reverse(status.remaining), crashes, notice.request)
        });
        notices.truncate(MAX_NOTICES);
        notices.sort_by_key(|notice| notice.request);
        notices.dedup_by_key(|notice| notice.request);
        notices
    }

    /// Number of quarantined requests and parts.
    pub fn quarantined_count(&self) -> usize {
        let quarantined = self
            .suspects
            .iter()
            .filter(|suspect| suspect.until.is_some());
        quarantined.count()
    }

    /// Ends quarantines whose period is over, and drops crashes and losses that no longer
    /// count.
    pub fn expire(&mut self, now: Duration) {
        for suspect in &mut self.suspects {
            suspect.expire(now);
        }
        self.lost
            .retain(|lost| now.saturating_sub(lost.at) < LOSS_RETENTION);
        self.lifted
            .retain(|lifted| now.saturating_sub(lifted.1) < FIRST_PERIOD);
        self.remove_idle();
    }

    fn remove_idle(&mut self) {
        let relevant = |s: &Suspect| s.until.is_some() || !s.crashes.is_empty();
        self.suspects.retain(relevant);
    }

    fn find(&self, request: Fingerprint) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&request, |suspect| suspect.request)
    }
}

/// Removes the item with the least weight, ignoring those without one.
fn remove_least<T, W: Ord>(items: &mut Vec<T>, weight: impl Fn(&T) -> Option<W>) {
    let weighed = items.iter().enumerate();
    let weighed = weighed.filter_map(|(at, item)| Some((weight(item)?, at)));
    if let Some((_, at)) = weighed.min() {
        items.remove(at);
    }
}
