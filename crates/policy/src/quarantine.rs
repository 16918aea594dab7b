//! Detects requests that crash the endpoints which run them, and quarantines them.
//!
//! A request may crash every endpoint that starts it. Its caller sends it again, to any
//! entry, and an entry that has not seen it before forwards it: ten endpoints and more
//! crash in a row. Some forty other requests are lost with each of them, are sent again
//! as well, and may again run on the same endpoint as the cause. Endpoints also stop for
//! other reasons, such as the loss of a failure domain or a replacement.
//!
//! Entries therefore report to one control instance which requests were lost with which
//! endpoints ([`LostRequest`]). A request that was lost with three endpoints, and is the
//! only one that accounts for these crashes, is quarantined: no entry forwards it until
//! the quarantine ends. A request that was lost with two is a suspect, and runs apart
//! from other requests.
//!
//! A part that prompts share may be the cause as well, under requests that are all
//! different. The parts of lost requests are therefore suspects like the requests. Sound
//! prompts share parts with those that crash, so a part is cleared once prompts with it are
//! served for half as many times as endpoints crash under it.
//!
//! Invariants:
//!
//! * An endpoint counts as crashed only if it refused connections after an existing one
//!   had broken, and no entry has received any data from it since.
//! * A request that was served recently is not the cause.
//! * If several requests were lost with the same endpoints, none of them is quarantined
//!   until their crashes differ, or until six crashes.
//! * A request and the parts of its prompt do not compete: if either is the cause, the
//!   request crashes endpoints. A part that others share is quarantined only for crashes
//!   that no quarantined request accounts for.
//! * No part is quarantined before entries have had the time to report that it is served.
//! * A crash attributed to a quarantined request does not count against any other
//!   request.
//! * Endpoints of one failure domain that stop at the same moment, while the request was
//!   running on each of them, make it a suspect at most.
//! * The stored state is bounded, also for each workspace, and expires.

mod crash;
mod suspect;

use crash::{Candidate, Crash, contains, events};
use derive_more::Display;
use dogwoodhill_core::fingerprint::short_form;
use dogwoodhill_core::prelude::*;
use std::cmp::Reverse;
use suspect::{Kind, Suspect};

/// Crashes from which a request is quarantined; fewer occur by chance.
pub const QUARANTINE_CRASHES: usize = 3;
/// Crashes from which a request is a suspect.
pub const SUSPECT_CRASHES: usize = 2;
/// Crashes from which a request is quarantined although others were lost with the same
/// endpoints. Suspects run apart from each other after two crashes, so those that are not
/// the cause would have been served by then.
const CERTAIN_CRASHES: usize = 6;
/// Time from the second crash under a part until it may be quarantined: entries learn
/// that it is a suspect with their next report, and report with the one after that
/// whether they serve it.
const PART_GRACE: Duration = Duration::from_secs(1);
/// Maximum number of parts of a request.
pub const MAX_PARTS: usize = 64;
/// Silence of an endpoint after which the report of a single entry confirms its crash:
/// within this time each entry reports which endpoints it received data from.
const CONFIRM_AFTER: Duration = Duration::from_millis(600);
/// Time after a crash within which an entry may still read bytes that the endpoint sent
/// before it: a busy entry lags behind its receive buffers.
const READ_LAG: Duration = Duration::from_millis(500);
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
/// Maximum number of requests that are stored, and of parts, some 200 bytes each.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of requests of one workspace that are stored, and of parts, so that no
/// workspace can displace the requests of others.
const MAX_PER_WORKSPACE: usize = 512;
/// Maximum number of lost endpoints that are stored.
const MAX_LOST: usize = 1_024;
/// Maximum number of notices that are sent to entries, 30 bytes each.
const MAX_NOTICES: usize = 256;

/// Hash of the name of the entry that reports.
pub type EntryHash = u64;

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
}

/// The crashes and the quarantine of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspectStatus {
    /// Crashes of endpoints that were running it.
    pub crashes: usize,
    /// Time until its quarantine ends; `None` if it may be forwarded.
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

/// A request or part that was quarantined by [`Quarantine::evaluate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewQuarantine {
    /// Fingerprint of the request's content, or of the part.
    pub request: Fingerprint,
    /// Whether it is a part of prompts.
    pub is_part: bool,
    /// Hash of its workspace.
    pub workspace: u64,
    /// Crashes attributed to it.
    pub crashes: usize,
    /// Number of its quarantines so far, including this one.
    pub times: u32,
}

impl NewQuarantine {
    /// The log event for operators.
    pub fn event(&self) -> Event {
        let (event, key) = if self.is_part {
            ("part-quarantined", "part")
        } else {
            ("request-quarantined", "content")
        };
        Event::new(event)
            .field(key, short_form(self.request))
            .field("crashes", self.crashes)
            .field("times", self.times)
            .field("for_s", quarantine_period(self.times).as_secs())
    }
}

/// Why a suspect with enough crashes is not quarantined.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Deferral {
    /// Another suspect accounts for all of its crashes.
    #[display("rival")]
    Rival(Fingerprint),
    /// More likely suspects together account for all of its crashes.
    #[display("accounted")]
    Accounted,
}

/// A suspect with enough crashes that is not quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deferred {
    /// Fingerprint of the request's content, or of the part.
    pub request: Fingerprint,
    /// Whether it is a part of prompts.
    pub is_part: bool,
    /// Its crashes that are not attributed to others.
    pub crashes: usize,
    /// Why it is not quarantined.
    pub deferral: Deferral,
}

impl Deferred {
    /// The log event for operators.
    pub fn event(&self) -> Event {
        let key = if self.is_part { "part" } else { "content" };
        let event = Event::new("verdict-deferred")
            .field(key, short_form(self.request))
            .field("crashes", self.crashes)
            .field("reason", self.deferral);
        match self.deferral {
            Deferral::Rival(rival) => event.field("rival", short_form(rival)),
            Deferral::Accounted => event,
        }
    }
}

/// A suspect with enough crashes: its index, its crashes, and why it is not the cause.
struct Judged {
    index: usize,
    crashes: usize,
    deferral: Option<Deferral>,
}

/// Whether bytes received from an endpoint at `received` prove that it did not crash at
/// `lost`.
pub fn outlived(lost: Duration, received: Duration) -> bool {
    received > lost + READ_LAG
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
    reporter: EntryHash,
    /// Whether a second entry reported the loss as well.
    confirmed: bool,
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
}

impl Quarantine {
    /// Whether there is neither a suspect nor a quarantined request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records a loss reported by the entry `reporter`. Losses older than
    /// [`CRASH_RETENTION`] are ignored.
    pub fn record_loss(
        &mut self,
        now: Duration,
        reporter: EntryHash,
        loss: &LostRequest,
    ) {
        if now.saturating_sub(loss.at) >= CRASH_RETENTION {
            return;
        }
        self.record_lost_endpoint(reporter, loss);
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
            };
            let suspect = &mut self.suspects[at];
            suspect.add(now, kind, crash);
            if kind == Kind::Request {
                suspect.set_parts(&loss.parts);
            }
        }
    }

    fn record_lost_endpoint(&mut self, reporter: EntryHash, loss: &LostRequest) {
        match self.lost.binary_search_by(|lost| lost.run.cmp(&loss.run)) {
            Ok(at) => self.lost[at].confirmed |= self.lost[at].reporter != reporter,
            Err(at) => {
                let lost = LostEndpoint {
                    run: loss.run.clone(),
                    at: loss.at,
                    reporter,
                    confirmed: false,
                };
                self.lost.insert(at, lost);
                if self.lost.len() > MAX_LOST {
                    remove_least(&mut self.lost, |lost| Some(lost.at));
                }
            }
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

    /// Records that bytes were received from an endpoint at `received` or later, and
    /// drops the crashes that this disproves. Returns the number of suspects that lose a
    /// crash.
    pub fn record_alive(&mut self, run: &Incarnation, received: Duration) -> usize {
        self.lost
            .retain(|lost| lost.run != *run || !outlived(lost.at, received));
        let mut disproved = 0;
        for suspect in &mut self.suspects {
            let before = suspect.crashes.len();
            let crashes = &mut suspect.crashes;
            crashes.retain(|crash| crash.run != *run || !outlived(crash.at, received));
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
        let at = self.suspect_index(request, Kind::Request, workspace);
        let suspect = &mut self.suspects[at];
        suspect.until = suspect.until.max(Some(now.saturating_add(remaining)));
        suspect.times = suspect.times.max(times);
    }

    /// Quarantines each request with at least [`QUARANTINE_CRASHES`] crashes that no
    /// other suspect shares entirely, or with six crashes, and each part with as many that
    /// more likely suspects do not account for. Returns the new quarantines.
    pub fn evaluate(&mut self, now: Duration) -> Vec<NewQuarantine> {
        self.expire(now);
        let mut found = Vec::new();
        while let Some((at, crashes)) = self.likely_cause(now) {
            let suspect = &mut self.suspects[at];
            suspect.times += 1;
            suspect.until = Some(now + quarantine_period(suspect.times));
            found.push(NewQuarantine {
                request: suspect.request,
                is_part: suspect.kind != Kind::Request,
                workspace: suspect.workspace,
                crashes,
                times: suspect.times,
            });
        }
        found
    }

    /// The request or part to quarantine next: its index and the number of its crashes.
    fn likely_cause(&self, now: Duration) -> Option<(usize, usize)> {
        let judged = self.judge(now).into_iter();
        let mut causes = judged.filter(|judged| judged.deferral.is_none());
        causes.next().map(|cause| (cause.index, cause.crashes))
    }

    /// Suspects with enough crashes that are not quarantined, and why, for the log.
    pub fn deferred(&self, now: Duration) -> Vec<Deferred> {
        let judged = self.judge(now).into_iter();
        let deferred = judged.filter_map(|judged| {
            let suspect = &self.suspects[judged.index];
            Some(Deferred {
                request: suspect.request,
                is_part: suspect.kind != Kind::Request,
                crashes: judged.crashes,
                deferral: judged.deferral?,
            })
        });
        deferred.collect()
    }

    /// Judges the suspects with enough crashes; those with more come first. Only confirmed
    /// crashes count that are not attributed to a quarantined request.
    fn judge(&self, now: Duration) -> Vec<Judged> {
        let enough = |suspect: &&Suspect| {
            suspect.until.is_none()
                && suspect.crashes.len() >= QUARANTINE_CRASHES
                && !suspect.is_doubtful()
        };
        // In the usual case nothing has enough crashes but parts that all prompts of a
        // workspace share, and nothing has to be compared.
        if !self.suspects.iter().any(|suspect| enough(&suspect)) {
            return Vec::new();
        }
        let explained = self.explained_crashes();
        let counts = |crash: &&Crash| {
            explained.binary_search(&&crash.run).is_err() && self.confirmed(now, crash)
        };
        let open: Vec<(usize, Vec<&Crash>)> = (0..)
            .zip(&self.suspects)
            .filter(|(_, suspect)| suspect.until.is_none() && !suspect.is_innocent())
            .map(|(at, suspect)| (at, suspect.crashes.iter().filter(counts).collect()))
            .collect();
        let complete: Vec<(usize, Vec<&Crash>)> = open
            .iter()
            .filter(|(at, _)| {
                let suspect = &self.suspects[*at];
                suspect.is_due(now) && !suspect.is_doubtful()
            })
            .map(|(at, crashes)| {
                let is_part = self.suspects[*at].kind != Kind::Request;
                let crashes = crashes.iter();
                let counted = crashes.filter(|crash| !is_part || is_reported(now, crash));
                (*at, counted.copied().collect())
            })
            .collect();
        let mut candidates: Vec<Candidate<'_>> = complete
            .iter()
            .map(|(at, crashes)| Candidate::new(*at, crashes))
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
            Kind::Request => self.request_rival(candidate, open).map(Deferral::Rival),
            Kind::Part { .. } => {
                let sole = self.is_sole_part(now, candidate, open);
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
        let request = &self.suspects[candidate.index];
        let rival = open.iter().find(|(at, crashes)| {
            let other = &self.suspects[*at];
            *at != candidate.index
                && !other.is_doubtful()
                && !request.has_part(other.request)
                && contains(crashes, candidate.crashes)
        });
        rival.map(|(at, _)| self.suspects[*at].request)
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
                *at != candidate.index && weight(*at, events(&reported)) >= own
            })
            .map(|(_, crashes)| crashes)
            .collect();
        !candidate
            .crashes
            .iter()
            .all(|crash| rivals.iter().any(|rival| contains(rival, &[*crash])))
    }

    /// Endpoints whose crashes are attributed to quarantined requests, sorted.
    fn explained_crashes(&self) -> Vec<&Incarnation> {
        let quarantined = self
            .suspects
            .iter()
            .filter(|suspect| suspect.until.is_some());
        let mut runs: Vec<&Incarnation> = quarantined
            .flat_map(|suspect| suspect.crashes.iter().map(|crash| &crash.run))
            .collect();
        runs.sort_unstable();
        runs
    }

    /// Whether two entries reported the crash, or one did and nothing disproved it for
    /// [`CONFIRM_AFTER`].
    fn confirmed(&self, now: Duration, crash: &Crash) -> bool {
        let found = self.lost.binary_search_by(|lost| lost.run.cmp(&crash.run));
        let confirmed = found.is_ok_and(|at| self.lost[at].confirmed);
        confirmed || now.saturating_sub(crash.at) >= CONFIRM_AFTER
    }

    /// The crashes and the quarantine of a request.
    pub fn status(&self, now: Duration, request: Fingerprint) -> SuspectStatus {
        let Ok(at) = self.find(request) else {
            return SuspectStatus::default();
        };
        self.suspects[at].status(now)
    }

    /// The quarantined requests and the suspects, sorted by request. If there are too
    /// many, quarantined ones take precedence.
    pub fn notices(&self, now: Duration) -> Vec<SuspectNotice> {
        // Cheap check first: after an outage there are thousands of requests with one
        // crash.
        let relevant = |suspect: &&Suspect| {
            suspect.until.is_some()
                || suspect.crashes.len() >= SUSPECT_CRASHES && !suspect.is_innocent()
        };
        let all = self
            .suspects
            .iter()
            .filter(relevant)
            .map(|suspect| SuspectNotice {
                request: suspect.request,
                status: suspect.status(now),
            });
        let mut notices: Vec<SuspectNotice> = all
            .filter(|notice| {
                let status = notice.status;
                status.remaining.is_some() || status.crashes >= SUSPECT_CRASHES
            })
            .collect();
        notices.sort_by_key(|notice| (notice.status.remaining.is_none(), notice.request));
        notices.truncate(MAX_NOTICES);
        notices.sort_by_key(|notice| notice.request);
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

/// Whether all entries have reported what they lost in a crash. Of the reports, one about
/// a part that others share may come first.
fn is_reported(now: Duration, crash: &Crash) -> bool {
    now.saturating_sub(crash.at) >= CONFIRM_AFTER
}

/// Removes the item with the least weight, ignoring those without one.
fn remove_least<T, W: Ord>(items: &mut Vec<T>, weight: impl Fn(&T) -> Option<W>) {
    let weighed = items.iter().enumerate();
    let weighed = weighed.filter_map(|(at, item)| Some((weight(item)?, at)));
    if let Some((_, at)) = weighed.min() {
        items.remove(at);
    }
}
