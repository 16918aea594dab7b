//! Requests that crash their endpoints, in virtual time, beside hundreds of sound ones that
//! are lost with the same few endpoints and are sent again, by clients that repeat a request
//! at several entries at once.
//!
//! Guards against requests that are sent on to endpoint after endpoint while others share
//! their crashes or are blamed for them.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::quarantine::trials::{MAX_TRIAL, Trial, Trials, WantedTrial};
use dogwoodhill_policy::quarantine::{
    LostRequest, Quarantine, SUSPECT_CRASHES, SuspectNotice, SuspectStatus,
};
use dogwoodhill_policy::served::ServedRequests;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::sync::OnceLock;
use std::thread;

const STEP: Duration = Duration::from_millis(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const JUDGEMENT_INTERVAL: Duration = Duration::from_millis(100);
const ENTRIES: usize = 9;
const ENDPOINTS: usize = 9;
/// Time until a crashed endpoint is replaced.
const RESTART_DELAY: Duration = Duration::from_secs(3);
/// How long callers of crashing requests send them.
const CRASHING_PERIOD: Duration = Duration::from_secs(20);
/// When the first crashing request is sent, and how much later each further one is.
const FIRST_CRASHING: Duration = Duration::from_secs(4);
const CRASHING_DELAY: Duration = Duration::from_secs(3);
const RUN_TIME: Duration = Duration::from_secs(40);
/// Crashes under one request after which it may be sent only a few times more.
const CERTAIN_CRASHES: usize = 3;
/// Time after that within which all entries know it.
const CONTACT: Duration = Duration::from_secs(3);
/// Sends of one request that may still follow.
const MAX_LATE_SENDS: usize = 3;
/// Sends of a sound request before its caller gives up.
const MAX_SENDS: usize = 6;
/// Time for which a request waits for a trial.
const PATIENCE: Duration = Duration::from_secs(3);
/// Interval at which entries with waiting requests report.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);

/// A load before endpoints that crash.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Sound requests a second, over all entries.
    sound: f64,
    /// Number of different requests that crash their endpoints.
    crashing: Fingerprint,
    /// Copies of a crashing request that its caller sends at once, at different entries.
    copies: usize,
}

const BURST: Load = Load {
    sound: 250.0,
    crashing: 3,
    copies: 4,
};

#[derive(Clone, Copy, Debug)]
struct Running {
    content: Fingerprint,
    entry: usize,
    sent: Duration,
    ends: Duration,
    sends: usize,
    /// Whether it was granted by control, alone on its endpoint or not.
    granted: Option<bool>,
}

/// A suspected request that waits for a trial.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    content: Fingerprint,
    sends: usize,
    since: Duration,
}

#[derive(Debug)]
struct Endpoint {
    run: u64,
    /// When it serves again, if it is down.
    down_until: Option<Duration>,
    running: Vec<Running>,
}

/// What one entry reports next, and what it knows.
#[derive(Debug, Default)]
struct Entry {
    losses: Vec<LostRequest>,
    served: ServedRequests,
    cleared: Vec<(Fingerprint, Duration)>,
    notices: Vec<SuspectNotice>,
    waiting: Vec<Waiting>,
}

impl Entry {
    fn status(&self, request: Fingerprint) -> SuspectStatus {
        let notices = &self.notices;
        let found = notices.binary_search_by_key(&request, |one| one.request);
        found.map_or_else(|_| SuspectStatus::default(), |at| notices[at].status)
    }

    fn crashes(&self, content: Fingerprint) -> usize {
        self.status(content).crashes
    }

    fn is_quarantined(&self, content: Fingerprint) -> bool {
        self.status(content).remaining.is_some()
    }
}

/// A sound request to be sent again.
#[derive(Clone, Copy, Debug)]
struct Retry {
    at: Duration,
    content: Fingerprint,
    sends: usize,
}

/// Sends of one crashing request, and the endpoints that it crashed.
#[derive(Clone, Debug, Default)]
struct Culprit {
    sends: Vec<Duration>,
    crashes: Vec<Duration>,
}

impl Culprit {
    /// Sends later than [`CONTACT`] after [`CERTAIN_CRASHES`].
    fn late_sends(&self) -> usize {
        let Some(certain) = self.crashes.get(CERTAIN_CRASHES - 1) else {
            return 0;
        };
        let late = |sent: &&Duration| **sent >= *certain + CONTACT;
        self.sends.iter().filter(late).count()
    }
}

struct Simulation {
    load: Load,
    random: SmallRng,
    now: Duration,
    quarantine: Quarantine,
    trials: Trials,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    retries: Vec<Retry>,
    next_content: Fingerprint,
    next_run: u64,
    culprits: Vec<Culprit>,
    /// Sound requests and parts that were quarantined, and those of them that stay so.
    blamed: usize,
    quarantined: Vec<Fingerprint>,
}

impl Simulation {
    fn new(load: Load, seed: u64) -> Self {
        let endpoints = (0..ENDPOINTS as u64).map(|run| Endpoint {
            run,
            down_until: None,
            running: Vec::new(),
        });
        Self {
            load,
            random: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            quarantine: Quarantine::default(),
            trials: Trials::default(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            endpoints: endpoints.collect(),
            retries: Vec::new(),
            next_content: 1_000,
            next_run: ENDPOINTS as u64,
            culprits: vec![Culprit::default(); load.crashing as usize],
            blamed: 0,
            quarantined: Vec::new(),
        }
    }

    fn run(mut self) -> Self {
        while self.now < RUN_TIME {
            self.step_endpoints();
            self.send_sound();
            self.send_crashing();
            self.report();
            if self.is_due(JUDGEMENT_INTERVAL) {
                self.judge();
            }
            self.now += STEP;
        }
        self
    }

    fn is_due(&self, interval: Duration) -> bool {
        self.now.as_millis().is_multiple_of(interval.as_millis())
    }

    fn judge(&mut self) {
        let findings = self.quarantine.evaluate(self.now);
        let found = findings.quarantined.iter().map(|one| one.request);
        let sound: Vec<Fingerprint> =
            found.filter(|one| !self.is_crashing(*one)).collect();
        self.blamed += sound.len();
        self.quarantined.extend(sound);
        let is_lifted = |one: &Fingerprint| {
            findings.lifted.iter().any(|lifted| lifted.request == *one)
        };
        self.quarantined.retain(|one| !is_lifted(one));
    }

    fn is_crashing(&self, content: Fingerprint) -> bool {
        content <= self.load.crashing
    }

    fn random_time(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn drawn(&mut self, rate: f64) -> bool {
        self.random
            .random_bool((rate * STEP.as_secs_f64()).min(1.0))
    }

    fn send_sound(&mut self) {
        let due: Vec<Retry> = self
            .retries
            .extract_if(.., |retry| retry.at <= self.now)
            .collect();
        for retry in due {
            let entry = self.random.random_range(0..ENTRIES);
            self.send(entry, retry.content, retry.sends);
        }
        for _ in 0..10 {
            if self.drawn(self.load.sound / 10.0) {
                self.next_content += 1;
                let entry = self.random.random_range(0..ENTRIES);
                self.send(entry, self.next_content, 0);
            }
        }
    }

    fn send_crashing(&mut self) {
        for content in 1..=self.load.crashing {
            let begin = FIRST_CRASHING + CRASHING_DELAY * (content - 1) as u32;
            let active = (begin..begin + CRASHING_PERIOD).contains(&self.now);
            if !active || !self.drawn(1.5) {
                continue;
            }
            for _ in 0..self.load.copies {
                let entry = self.random.random_range(0..ENTRIES);
                self.send(entry, content, 0);
            }
        }
    }

    /// Sends a request from an entry, or lets it wait if it is a suspect.
    fn send(&mut self, entry: usize, content: Fingerprint, sends: usize) {
        if self.entries[entry].crashes(content) >= SUSPECT_CRASHES {
            let since = self.now;
            let waiting = &mut self.entries[entry].waiting;
            waiting.push(Waiting {
                content,
                sends,
                since,
            });
            return self.exchange(entry);
        }
        let serving = |at: &usize| self.endpoints[*at].down_until.is_none();
        let serving: Vec<usize> = (0..ENDPOINTS).filter(serving).collect();
        if serving.is_empty() || self.entries[entry].is_quarantined(content) {
            return self.retry(content, sends);
        }
        let at = serving[self.random.random_range(0..serving.len())];
        self.start(at, entry, content, sends, None);
    }

    fn start(
        &mut self,
        at: usize,
        entry: usize,
        content: Fingerprint,
        sends: usize,
        granted: Option<bool>,
    ) {
        let duration = if self.is_crashing(content) {
            self.culprits[content as usize - 1].sends.push(self.now);
            self.random_time(100..1_500)
        } else {
            self.random_time(300..4_000)
        };
        self.endpoints[at].running.push(Running {
            content,
            entry,
            sent: self.now,
            ends: self.now + duration,
            sends: sends + 1,
            granted,
        });
    }

    /// Endpoints that serve, in the order in which a suspect prefers them.
    fn candidates(&self, content: Fingerprint) -> Vec<Incarnation> {
        let serving = self.endpoints.iter().filter(|one| one.down_until.is_none());
        let mut runs: Vec<u64> = serving.map(|one| one.run).collect();
        runs.sort_by_key(|run| mix(content ^ u128::from(*run)));
        runs.into_iter().map(incarnation).collect()
    }

    /// A sound request is sent again after a while.
    fn retry(&mut self, content: Fingerprint, sends: usize) {
        if !self.is_crashing(content) && sends < MAX_SENDS {
            let at = self.now + self.random_time(100..1_200);
            self.retries.push(Retry { at, content, sends });
        }
    }

    fn step_endpoints(&mut self) {
        for at in 0..ENDPOINTS {
            let now = self.now;
            let endpoint = &mut self.endpoints[at];
            if endpoint.down_until.is_some_and(|until| until <= now) {
                endpoint.down_until = None;
                endpoint.run = self.next_run;
                self.next_run += 1;
            }
            let ended: Vec<Running> = endpoint
                .running
                .extract_if(.., |one| one.ends <= now)
                .collect();
            let mut crashed = false;
            for one in ended {
                if self.is_crashing(one.content) {
                    crashed = true;
                    self.culprits[one.content as usize - 1].crashes.push(now);
                    self.endpoints[at].running.push(one);
                } else {
                    self.serve(one);
                }
            }
            if crashed {
                self.crash(at);
            }
        }
    }

    fn serve(&mut self, one: Running) {
        let entry = &mut self.entries[one.entry];
        entry.served.record(self.now, one.content);
        let lost = |loss: &LostRequest| loss.request == one.content;
        let known = entry
            .notices
            .iter()
            .any(|known| known.request == one.content);
        if known || entry.losses.iter().any(lost) {
            entry.losses.retain(|loss| !lost(loss));
            entry.cleared.push((one.content, self.now));
        }
    }

    fn crash(&mut self, at: usize) {
        let endpoint = &mut self.endpoints[at];
        endpoint.down_until = Some(self.now + RESTART_DELAY);
        let run = incarnation(endpoint.run);
        for one in std::mem::take(&mut endpoint.running) {
            let entry = &mut self.entries[one.entry];
            let served = entry.served.recently_served(self.now, one.content);
            if served.is_none() {
                entry.losses.push(LostRequest {
                    request: one.content,
                    parts: vec![part_of(one.content)],
                    workspace: part_of(one.content) as u64 % 4,
                    run: run.clone(),
                    domain: at as u64 % 3,
                    sent: one.sent,
                    at: self.now,
                    trial: one.granted == Some(true),
                });
            }
            self.retry(one.content, one.sends);
        }
    }

    /// Entries report twice a second, at different moments, and soon after a loss.
    fn report(&mut self) {
        for at in 0..ENTRIES {
            let offset = REPORT_INTERVAL * at as u32 / ENTRIES as u32;
            let since = self.now.saturating_sub(offset);
            let due = since.as_millis() % REPORT_INTERVAL.as_millis() < STEP.as_millis();
            let losses = &self.entries[at].losses;
            let lost = losses.iter().any(|loss| self.now >= loss.at + 8 * STEP);
            let waits =
                !self.entries[at].waiting.is_empty() && self.is_due(WAIT_INTERVAL);
            if due || lost || waits {
                self.exchange(at);
            }
        }
    }

    /// Reports to control what an entry lost, served and wants to send, and takes its
    /// findings.
    fn exchange(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        let tried = entry.losses.iter().any(|loss| loss.trial);
        for loss in std::mem::take(&mut entry.losses) {
            self.quarantine.record_loss(self.now, &loss);
        }
        for (request, served) in std::mem::take(&mut entry.cleared) {
            self.quarantine.record_served(at as u64, request, served);
        }
        if tried {
            self.judge();
        }
        self.entries[at].notices = self.quarantine.notices(self.now);
        self.release_waiting(at);
        let running = self.running_trials(at);
        let waiting = self.entries[at].waiting.clone();
        let (now, quarantine) = (self.now, &self.quarantine);
        let waiting = waiting.iter();
        let waiting = waiting.filter(|one| quarantine.may_be_tried(now, one.content));
        let wanted = waiting.map(|one| WantedTrial {
            request: one.content,
            crashes: self.entries[at].crashes(one.content),
            endpoints: self.candidates(one.content),
        });
        let wanted: Vec<WantedTrial> = wanted.collect();
        let granted = self.trials.report(self.now, at as u64, &running, &wanted);
        for trial in granted {
            self.start_trial(at, &trial);
        }
    }

    /// Ends the waits of requests that are quarantined, no longer suspected, or too late.
    fn release_waiting(&mut self, at: usize) {
        for one in std::mem::take(&mut self.entries[at].waiting) {
            let entry = &mut self.entries[at];
            let late = self.now >= one.since + PATIENCE;
            if entry.is_quarantined(one.content) || late {
                self.retry(one.content, one.sends);
            } else if entry.crashes(one.content) < SUSPECT_CRASHES {
                self.send(at, one.content, one.sends);
            } else {
                entry.waiting.push(one);
            }
        }
    }

    fn running_trials(&self, at: usize) -> Vec<Trial> {
        let running = self.endpoints.iter().flat_map(|endpoint| {
            let running = endpoint.running.iter();
            running.map(|one| (endpoint.run, one))
        });
        let own = running.filter(|(_, one)| {
            let recent = self.now < one.sent + MAX_TRIAL;
            one.entry == at && one.granted.is_some() && recent
        });
        let trials = own.map(|(run, one)| Trial {
            request: one.content,
            run: incarnation(run),
            alone: one.granted == Some(true),
        });
        trials.collect()
    }

    fn start_trial(&mut self, entry: usize, trial: &Trial) {
        let waiting = &mut self.entries[entry].waiting;
        let Some(at) = waiting.iter().position(|one| one.content == trial.request) else {
            return;
        };
        let one = waiting.remove(at);
        let runs = |endpoint: &Endpoint| incarnation(endpoint.run) == trial.run;
        let Some(endpoint) = self.endpoints.iter().position(runs) else {
            return;
        };
        self.start(endpoint, entry, one.content, one.sends, Some(trial.alone));
    }
}

/// The part that a request's prompt shares with others.
fn part_of(content: Fingerprint) -> Fingerprint {
    500 + content % 20
}

fn incarnation(run: u64) -> Incarnation {
    Incarnation::new(format!("i-{run}"), None)
}

/// Order of endpoints for one request.
fn mix(value: u128) -> u64 {
    let folded = (value as u64) ^ (value >> 64) as u64;
    folded.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23)
}

/// The runs that all tests check.
fn runs() -> &'static [Simulation] {
    static RUNS: OnceLock<Vec<Simulation>> = OnceLock::new();
    RUNS.get_or_init(|| {
        let seeds = 0..12;
        let started = seeds.map(|seed| thread::spawn(move || play(seed)));
        let started: Vec<_> = started.collect();
        let runs = started.into_iter().map(|run| run.join());
        runs.map(|run| run.expect("a run ends")).collect()
    })
}

fn play(seed: u64) -> Simulation {
    Simulation::new(BURST, seed).run()
}

/// A request under which three endpoints crashed is hardly sent any more, whatever was lost
/// with them.
#[test]
fn crashing_requests_in_burst_contained() {
    for (seed, run) in runs().iter().enumerate() {
        for (at, culprit) in run.culprits.iter().enumerate() {
            let late = culprit.late_sends();
            assert!(
                late <= MAX_LATE_SENDS,
                "seed {seed}, request {at}: {late} late sends, {} crashes",
                culprit.crashes.len()
            );
        }
    }
}

/// No sound request is quarantined beside requests that crash endpoints.
#[test]
fn crashing_requests_in_burst_sound_ones_spared() {
    for (seed, run) in runs().iter().enumerate() {
        assert_eq!(run.blamed, 0, "seed {seed}");
    }
}

/// A sound request that was on trial beside two of them does not stay quarantined.
#[test]
fn crashing_requests_in_burst_wrong_verdicts_lifted() {
    for (seed, run) in runs().iter().enumerate() {
        assert_eq!(run.quarantined, [], "seed {seed}");
    }
}
