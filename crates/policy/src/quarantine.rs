//! Which requests crash the endpoints that run them, and are not sent on any more.
//!
//! The pattern: a request ends each endpoint that begins it. Its caller sends it again, to
//! any entry, and entries that know nothing of it send it on: ten endpoints and more end in
//! a row. Some forty requests are lost with each of them, come again as well, and may be
//! beside the culprit once more; endpoints also end for reasons of their own, with a failure
//! domain, or because they are replaced.
//!
//! So entries tell one control instance which requests were lost with which endpoints
//! ([`LostRequest`]). A request that was lost with three of them, and alone explains that, is
//! quarantined: no entry sends it on until that ends. What has been found twice is
//! suspected, and is kept apart from other requests.
//!
//! Invariants:
//!
//! * an endpoint counts as crashed only if it refused connections after it had broken its
//!   own, and nobody has heard from it since;
//! * a request that was served lately is not the cause;
//! * where several requests were lost with the same endpoints, none of them is quarantined
//!   until they differ, or until six crashes;
//! * a crash that a quarantined request explains counts against no other one;
//! * endpoints of one failure domain that end in the same moment, while the request was
//!   under way at each of them, make it suspected at most;
//! * what is remembered is bounded, for each workspace too, and ends.

mod crash;
mod suspect;

use crash::{Candidate, Crash, contains};
use dogwoodhill_core::fingerprint::short_form;
use dogwoodhill_core::prelude::*;
use std::cmp::Reverse;
use suspect::Suspect;

/// Crashes from which a request is quarantined. Fewer come about by chance.
pub const QUARANTINE_CRASHES: usize = 3;
/// Crashes from which a request is suspected.
pub const SUSPECT_CRASHES: usize = 2;
/// Crashes from which a request is quarantined although others were lost with the same
/// endpoints: after two it runs apart from these, so that they would have been served.
const CERTAIN: usize = 6;
/// Time without a sign of life after which one entry's word is enough for a crash: each
/// entry tells within it whom it heard.
const QUIET: Duration = Duration::from_millis(600);
/// Time after a crash within which bytes of the endpoint may still be read: an entry that is
/// busy has not taken in all that had come.
const UNREAD: Duration = Duration::from_millis(500);
/// How long after it was lost an endpoint may still show that it lives.
const DOUBTED: Duration = Duration::from_secs(10);
/// How long after it was served a request counts as harmless.
pub const HARMLESS_PERIOD: Duration = Duration::from_secs(10);
/// How long a crash counts.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// How long the first quarantine of a request lasts; each further one lasts twice as long.
const FIRST_TERM: Duration = Duration::from_secs(600);
/// Longest quarantine.
const LONGEST_TERM: Duration = Duration::from_secs(24 * 3_600);
/// Requests that are remembered, some 200 bytes each.
const MOST: usize = 4_096;
/// The same of one workspace, so that none can make the others' be forgotten.
const MOST_OF_WORKSPACE: usize = 512;
/// Endpoints that are remembered as gone.
const MOST_GONE: usize = 1_024;
/// Requests that entries are told of, 30 bytes each.
const MOST_TOLD: usize = 256;

/// Names who told something: an entry's hash.
pub type EntryHash = u64;

/// A request that was lost with an endpoint: its connection broke, and new ones are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRequest {
    /// The request.
    pub request: Fingerprint,
    /// Hash of its workspace.
    pub workspace: u64,
    /// The endpoint's run.
    pub run: Incarnation,
    /// Hash of the endpoint's failure domain.
    pub domain: u64,
    /// When it was sent there.
    pub sent: Duration,
    /// When its connection broke.
    pub at: Duration,
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuspectStatus {
    /// Crashes under it.
    pub crashes: usize,
    /// How much longer it is not sent on; `None` where it may be.
    pub remaining: Option<Duration>,
}

/// A request that entries should know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectNotice {
    /// The request.
    pub request: Fingerprint,
    /// What is known of it.
    pub status: SuspectStatus,
}

/// A request that was just quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewQuarantine {
    /// The request.
    pub request: Fingerprint,
    /// Hash of its workspace.
    pub workspace: u64,
    /// Crashes that it explains.
    pub crashes: usize,
    /// How often it has been quarantined, this time included.
    pub times: u32,
}

impl NewQuarantine {
    /// The line that tells operators.
    pub fn event(&self) -> Event {
        Event::new("request-quarantined")
            .field("content", short_form(self.request))
            .field("crashes", self.crashes)
            .field("times", self.times)
            .field("for_s", quarantine_period(self.times).as_secs())
    }
}

/// Whether an endpoint that was heard from at `heard` did not end at `lost`.
pub fn outlived(lost: Duration, heard: Duration) -> bool {
    heard > lost + UNREAD
}

/// How long the quarantine of a request lasts that is found for the `times`th time.
pub fn quarantine_period(times: u32) -> Duration {
    let doubled = 2u32.saturating_pow(times.saturating_sub(1));
    FIRST_TERM.saturating_mul(doubled).min(LONGEST_TERM)
}

/// An endpoint that was lost.
#[derive(Clone, Debug)]
struct Gone {
    run: Incarnation,
    at: Duration,
    teller: EntryHash,
    /// Whether another one told it as well.
    confirmed: bool,
}

/// What is known of requests that were lost with their endpoints.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Sorted by request.
    suspects: Vec<Suspect>,
    /// Sorted by run.
    gone: Vec<Gone>,
}

impl Quarantine {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Takes in a loss that `teller` met.
    pub fn record_loss(&mut self, now: Duration, teller: EntryHash, loss: &LostRequest) {
        if now.saturating_sub(loss.at) >= CRASH_RETENTION {
            return;
        }
        self.note_gone(teller, loss);
        let at = self.suspect(loss.request, loss.workspace);
        self.suspects[at].add(Crash {
            run: loss.run.clone(),
            domain: loss.domain,
            sent: loss.sent,
            at: loss.at,
        });
    }

    fn note_gone(&mut self, teller: EntryHash, loss: &LostRequest) {
        match self.gone.binary_search_by(|gone| gone.run.cmp(&loss.run)) {
            Ok(at) => self.gone[at].confirmed |= self.gone[at].teller != teller,
            Err(at) => {
                let gone = Gone {
                    run: loss.run.clone(),
                    at: loss.at,
                    teller,
                    confirmed: false,
                };
                self.gone.insert(at, gone);
                if self.gone.len() > MOST_GONE {
                    remove_oldest(&mut self.gone, |gone| Some(gone.at));
                }
            }
        }
    }

    /// The place of a request, which is remembered from now on.
    fn suspect(&mut self, request: Fingerprint, workspace: u64) -> usize {
        let find = |suspects: &[Suspect]| {
            suspects.binary_search_by_key(&request, |suspect| suspect.request)
        };
        if let Ok(at) = find(&self.suspects) {
            return at;
        }
        let own = |suspect: &&Suspect| suspect.workspace == workspace;
        if self.suspects.iter().filter(own).count() >= MOST_OF_WORKSPACE {
            remove_oldest(&mut self.suspects, |suspect| {
                (suspect.workspace == workspace).then(|| suspect.newest())
            });
        }
        if self.suspects.len() >= MOST {
            remove_oldest(&mut self.suspects, |suspect| Some(suspect.newest()));
        }
        let at = find(&self.suspects).unwrap_or_else(|at| at);
        self.suspects.insert(at, Suspect::new(request, workspace));
        at
    }

    /// Endpoints that were told as lost lately.
    pub fn lost_endpoints(&self) -> impl Iterator<Item = &Incarnation> {
        self.gone.iter().map(|gone| &gone.run)
    }

    /// Bytes came from an endpoint at `heard` or later: what was told of it well before that
    /// is no crash.
    pub fn record_alive(&mut self, run: &Incarnation, heard: Duration) {
        self.gone
            .retain(|gone| gone.run != *run || !outlived(gone.at, heard));
        for suspect in &mut self.suspects {
            let crashes = &mut suspect.crashes;
            crashes.retain(|crash| crash.run != *run || !outlived(crash.at, heard));
        }
        self.forget_idle();
    }

    /// A request was served at `at`: it is not the cause of crashes before that, nor of those
    /// soon after.
    pub fn record_served(&mut self, request: Fingerprint, at: Duration) {
        if let Ok(place) = self.find(request) {
            let crashes = &mut self.suspects[place].crashes;
            crashes.retain(|crash| crash.at >= at + HARMLESS_PERIOD);
            self.forget_idle();
        }
    }

    /// Takes in that a request was quarantined elsewhere, for the `times`th time, of which
    /// `left` is left.
    pub fn take(
        &mut self,
        now: Duration,
        request: Fingerprint,
        workspace: u64,
        times: u32,
        left: Duration,
    ) {
        if left.is_zero() {
            return;
        }
        let at = self.suspect(request, workspace);
        let suspect = &mut self.suspects[at];
        suspect.until = suspect.until.max(Some(now.saturating_add(left)));
        suspect.times = suspect.times.max(times);
    }

    /// Quarantines the requests that alone explain enough crashes.
    pub fn evaluate(&mut self, now: Duration) -> Vec<NewQuarantine> {
        self.expire(now);
        let mut found = Vec::new();
        while let Some((at, crashes)) = self.culprit(now) {
            let suspect = &mut self.suspects[at];
            suspect.times += 1;
            suspect.until = Some(now + quarantine_period(suspect.times));
            found.push(NewQuarantine {
                request: suspect.request,
                workspace: suspect.workspace,
                crashes,
                times: suspect.times,
            });
        }
        found
    }

    /// The request that explains most of the crashes that no quarantined one explains, if it
    /// explains enough and no other one explains the same.
    fn culprit(&self, now: Duration) -> Option<(usize, usize)> {
        let enough = |suspect: &&Suspect| {
            suspect.until.is_none() && suspect.crashes.len() >= QUARANTINE_CRASHES
        };
        // Mostly nobody is, and nothing has to be compared.
        self.suspects.iter().find(enough)?;
        let explained = self.explained();
        let counts = |crash: &&Crash| {
            explained.binary_search(&&crash.run).is_err() && self.confirmed(now, crash)
        };
        let open: Vec<(usize, Vec<&Crash>)> = (0..)
            .zip(&self.suspects)
            .filter(|(_, suspect)| suspect.until.is_none())
            .map(|(at, suspect)| (at, suspect.crashes.iter().filter(counts).collect()))
            .collect();
        let mut candidates: Vec<Candidate<'_>> = open
            .iter()
            .map(|(at, crashes)| Candidate::new(*at, crashes))
            .filter(|candidate| candidate.events >= QUARANTINE_CRASHES)
            .collect();
        candidates.sort_by_key(|own| (Reverse(own.events), own.lasted, own.at));
        let alone = |own: &Candidate<'_>| {
            let same = |(at, crashes): &(usize, Vec<&Crash>)| {
                *at != own.at && contains(crashes, own.crashes)
            };
            !open.iter().any(same)
        };
        let culprit = candidates
            .into_iter()
            .find(|own| own.events >= CERTAIN || alone(own));
        culprit.map(|own| (own.at, own.events))
    }

    /// Endpoints that quarantined requests ended, sorted.
    fn explained(&self) -> Vec<&Incarnation> {
        let held = self
            .suspects
            .iter()
            .filter(|suspect| suspect.until.is_some());
        let mut runs: Vec<&Incarnation> = held
            .flat_map(|suspect| suspect.crashes.iter().map(|crash| &crash.run))
            .collect();
        runs.sort_unstable();
        runs
    }

    /// Whether a crash is more than one entry's word.
    fn confirmed(&self, now: Duration, crash: &Crash) -> bool {
        let found = self.gone.binary_search_by(|gone| gone.run.cmp(&crash.run));
        let told = found.is_ok_and(|at| self.gone[at].confirmed);
        told || now.saturating_sub(crash.at) >= QUIET
    }

    /// What is known of a request.
    pub fn status(&self, now: Duration, request: Fingerprint) -> SuspectStatus {
        let Ok(at) = self.find(request) else {
            return SuspectStatus::default();
        };
        self.suspects[at].status(now)
    }

    /// The requests that entries should know of, sorted: those that are quarantined, and
    /// those that are suspected.
    pub fn notices(&self, now: Duration) -> Vec<SuspectNotice> {
        // After an outage thousands were lost once.
        let known = |suspect: &&Suspect| {
            suspect.until.is_some() || suspect.crashes.len() >= SUSPECT_CRASHES
        };
        let all = self
            .suspects
            .iter()
            .filter(known)
            .map(|suspect| SuspectNotice {
                request: suspect.request,
                status: suspect.status(now),
            });
        let mut told: Vec<SuspectNotice> = all
            .filter(|told| {
                let status = told.status;
                status.remaining.is_some() || status.crashes >= SUSPECT_CRASHES
            })
            .collect();
        told.sort_by_key(|told| (told.status.remaining.is_none(), told.request));
        told.truncate(MOST_TOLD);
        told.sort_by_key(|told| told.request);
        told
    }

    /// Quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        let held = self
            .suspects
            .iter()
            .filter(|suspect| suspect.until.is_some());
        held.count()
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Duration) {
        for suspect in &mut self.suspects {
            suspect.expire(now);
        }
        self.gone
            .retain(|gone| now.saturating_sub(gone.at) < DOUBTED);
        self.forget_idle();
    }

    fn forget_idle(&mut self) {
        let known = |s: &Suspect| s.until.is_some() || !s.crashes.is_empty();
        self.suspects.retain(known);
    }

    fn find(&self, request: Fingerprint) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&request, |suspect| suspect.request)
    }
}

/// Removes the item with the earliest time, of those that have one.
fn remove_oldest<T>(items: &mut Vec<T>, time: impl Fn(&T) -> Option<Duration>) {
    let timed = items.iter().enumerate();
    let timed = timed.filter_map(|(at, item)| Some((time(item)?, at)));
    if let Some((_, at)) = timed.min() {
        items.remove(at);
    }
}
