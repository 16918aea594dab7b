//! What all entries together see of each endpoint: replaced, silent, failing.
//!
//! The pattern: thirty endpoints of 180 fall silent, or crash and are replaced, while
//! the list still names them. Each of a hundred entries finds that out by itself, by a
//! request that waits in vain for half a second or is turned away: thousands of requests
//! pay for what the first few of them showed. A request that an endpoint turns away has
//! used up one of its sends, and some have only one. An endpoint that fails part of its
//! requests is found even later: an entry sends it one in ten seconds.
//!
//! So entries tell one control instance what they met ([`HealthReport`]), at once where an
//! endpoint was lost, and are told what holds of which endpoint ([`Verdict`]).
//!
//! Invariants:
//!
//! * one entry's word takes no endpoint from the others: two have to have met the same;
//! * an endpoint that any entry heard from after that is neither silent nor replaced.
//!   An entry behind a cut, or one that was refused for too many connections, convinces
//!   nobody;
//! * nothing is believed for long that is not told again, but that an endpoint was
//!   replaced: its run does not come back.

use std::time::Duration;

/// How long what an entry met counts: three of the intervals at which entries tell.
const KEPT: Duration = Duration::from_millis(1_600);
/// An endpoint counts as heard from if bytes of it came within this time before the
/// entry told: so much of what was sent before a crash can still contradict it. Streams
/// that work pause for less.
pub const RECENT_WINDOW: Duration = Duration::from_millis(250);
/// For how long nobody may have heard from an endpoint that counts as silent: the interval
/// at which each entry tells whom it heard. An engine with a long queue refuses
/// connections while its streams go on; without this, two entries that are refused in the
/// same moment took it from all others for a tenth of a second, again and again.
const QUIET: Duration = Duration::from_millis(500);
/// Time constant with which answers are forgotten. Longer than that of a single entry's
/// record: with those of all there are enough to tell a share within a second.
const MEMORY: f64 = 3.0;
/// Answers from which a share of failures tells anything. Ordinary endpoints fail up to
/// 14 in 100, so that three of ten are rare by chance.
const ENOUGH: f64 = 10.0;
/// Share of failures from which an endpoint counts as failing, as in an entry's own
/// record ([`crate::health`]).
const FAILING: f64 = 0.3;
/// The same as a multiple of the share of the other endpoints of its service. Where all endpoints fail
/// alike nothing is gained by leaving one for another, and its prompts would be read
/// anew there.
const ABOVE_ALL: f64 = 2.0;
/// Most failures that count of one tell of an entry: one that fails by itself must not
/// outweigh all others.
const MOST_FAILED: f64 = 4.0;

/// A place in the list of endpoints that teller and listener have.
pub type EndpointIndex = u32;

/// What one entry met at one endpoint since it told last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthReport {
    /// Another run answered at its address.
    pub replaced: bool,
    /// It could not be reached, or said nothing for too long.
    pub unreached: bool,
    /// Bytes came from it within [`RECENT_WINDOW`].
    pub alive: bool,
    /// Answers, failures among them.
    pub answered: u32,
    /// Failures.
    pub failed: u32,
}

/// What holds of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It fails more of its requests than others.
    Failing,
    /// Nothing comes from it or reaches it.
    Silent,
    /// Another run answers at its address.
    Replaced,
}

/// The newest reports of two different entries.
#[derive(Clone, Copy, Debug, Default)]
struct Reports([Option<(u64, Duration)>; 2]);

impl Reports {
    fn add(&mut self, now: Duration, entry: u64) {
        let [newest, other] = self.0;
        let same = newest.is_some_and(|(known, _)| known == entry);
        self.0 = [Some((entry, now)), if same { other } else { newest }];
    }

    /// When the second of two entries said so at the latest.
    fn confirmed(&self) -> Option<Duration> {
        let [newest, other] = self.0;
        newest.and(other).map(|(_, at)| at)
    }
}

#[derive(Clone, Debug, Default)]
struct Seen {
    replaced: Reports,
    unreached: Reports,
    failing: Reports,
    heard: Option<Duration>,
    /// Answers and failures lately, fading.
    answered: f64,
    failed: f64,
    at: Duration,
}

impl Seen {
    fn add(&mut self, now: Duration, entry: u64, sight: &HealthReport) {
        if sight.replaced {
            self.replaced.add(now, entry);
        }
        if sight.unreached {
            self.unreached.add(now, entry);
        }
        if sight.alive {
            self.heard = Some(now);
        }
        if sight.answered > 0 {
            let fade = self.fade(now);
            let failed = f64::from(sight.failed.min(sight.answered)).min(MOST_FAILED);
            if failed > 0.0 {
                self.failing.add(now, entry);
            }
            self.answered = self.answered * fade + f64::from(sight.answered);
            self.failed = self.failed * fade + failed;
            self.at = now;
        }
    }

    fn fade(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.at).as_secs_f64() / MEMORY).exp()
    }

    /// Answers and failures, as they count now.
    fn answers(&self, now: Duration) -> (f64, f64) {
        let fade = self.fade(now);
        (self.answered * fade, self.failed * fade)
    }

    /// `others`: the share of failures of the other endpoints of its service.
    fn verdict(&self, now: Duration, others: f64) -> Option<Verdict> {
        let unheard = |at: &Duration| self.heard.is_none_or(|heard| heard < *at);
        let fresh = |at: &Duration| now.saturating_sub(*at) < KEPT;
        let replaced = self.replaced.confirmed().filter(unheard);
        let quiet = self
            .heard
            .is_none_or(|heard| now.saturating_sub(heard) >= QUIET);
        let silent = self.unreached.confirmed().filter(unheard).filter(fresh);
        let silent = silent.filter(|_| quiet);
        let failing = self.failing.confirmed();
        let lately = |at: Duration| now.saturating_sub(at).as_secs_f64() < MEMORY;
        let (answered, failed) = self.answers(now);
        let share = FAILING.max(others * ABOVE_ALL);
        let failing = failing.is_some_and(lately)
            && answered >= ENOUGH
            && failed >= answered * share;
        if replaced.is_some() {
            Some(Verdict::Replaced)
        } else if silent.is_some() {
            Some(Verdict::Silent)
        } else if failing {
            Some(Verdict::Failing)
        } else {
            None
        }
    }
}

/// An endpoint on a list that has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSlot {
    /// The place that it had before, if it had one.
    pub previous: Option<usize>,
    /// Hash of the name of its service.
    pub service: u64,
}

/// What all entries see of the endpoints of one list.
#[derive(Clone, Debug, Default)]
pub struct SharedHealth {
    /// By place in the list.
    seen: Vec<Seen>,
    /// The same places' services.
    services: Vec<u64>,
}

impl SharedHealth {
    /// The list has changed. What was seen of those that stay is kept.
    pub fn update_list(&mut self, endpoints: impl Iterator<Item = ListSlot>) {
        let old = std::mem::take(&mut self.seen);
        self.services.clear();
        for endpoint in endpoints {
            let seen = endpoint.previous.and_then(|place| old.get(place));
            self.seen.push(seen.cloned().unwrap_or_default());
            self.services.push(endpoint.service);
        }
    }

    /// Takes in what `entry`, a hash of its name, met; places that the list does not
    /// have are ignored.
    pub fn record(
        &mut self,
        now: Duration,
        entry: u64,
        sights: impl Iterator<Item = (EndpointIndex, HealthReport)>,
    ) {
        for (place, sight) in sights {
            if let Some(seen) = self.seen.get_mut(place as usize) {
                seen.add(now, entry, &sight);
            }
        }
    }

    /// The endpoints of which anything holds that entries should know, by place.
    pub fn verdicts(&self, now: Duration) -> Vec<(EndpointIndex, Verdict)> {
        let sums = self.sums(now);
        let places = (0..).zip(self.seen.iter().zip(&self.services));
        let verdicts = places.filter_map(|(place, (seen, service))| {
            let found = sums.binary_search_by_key(service, |item| item.0);
            let (_, answered, failed) = sums[found.ok()?];
            let own = seen.answers(now);
            let others = (failed - own.1) / (answered - own.0).max(1.0);
            Some((place, seen.verdict(now, others)?))
        });
        verdicts.collect()
    }

    /// Answers and failures of each service; sorted by service.
    fn sums(&self, now: Duration) -> Vec<(u64, f64, f64)> {
        let mut sums: Vec<(u64, f64, f64)> = Vec::new();
        for (seen, service) in self.seen.iter().zip(&self.services) {
            let (answered, failed) = seen.answers(now);
            match sums.binary_search_by_key(service, |item| item.0) {
                Ok(at) => {
                    sums[at].1 += answered;
                    sums[at].2 += failed;
                }
                Err(at) => sums.insert(at, (*service, answered, failed)),
            }
        }
        sums
    }
}
