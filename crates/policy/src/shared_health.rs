//! Endpoint health as observed by all entries together: replaced, silent or failing.
//!
//! Suppose thirty of 180 endpoints fall silent, or crash and are replaced, while the list
//! still names them. If each of a hundred entries detects that on its own, by a request
//! that times out after half a second or is refused, thousands of requests fail for what
//! the first few of them revealed. A refused request has used up one of its attempts, and
//! some requests have only one. An endpoint that fails a part of its requests is detected
//! even later, as one entry sends it a request only every ten seconds.
//!
//! Entries therefore report their observations to one control instance
//! ([`HealthReport`]), at once if an endpoint was lost, and receive its verdicts on
//! endpoints ([`Verdict`]).
//!
//! Invariants:
//!
//! * The report of a single entry never removes an endpoint from the others: two entries
//!   must have made the same observation.
//! * An endpoint from which any entry received data after that is neither silent nor
//!   replaced. An entry behind a network partition, or one that was refused for too many
//!   connections, therefore does not affect the others.
//! * Every verdict expires soon unless new reports confirm it, except that an endpoint
//!   was replaced: its old run does not come back.

use std::time::Duration;

/// How long a report of an unreachable endpoint counts: three of the intervals at which
/// entries report.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_600);
/// An endpoint is reported as alive if bytes of it arrived within this time before the
/// report. Bytes sent before a crash can contradict the crash for as long. Working
/// streams pause for less.
pub const RECENT_WINDOW: Duration = Duration::from_millis(250);
/// Time without a report that it is alive after which an endpoint may count as silent:
/// the interval at which each entry reports. An engine with a long queue refuses
/// connections while its streams go on. Without this bound, two entries that are refused
/// at the same moment remove it from all others for a tenth of a second, again and again.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// Time constant, in seconds, with which response counts decay. Longer than that of a
/// single entry's record: all entries together see enough responses for a failure rate
/// within a second.
const DECAY_SECONDS: f64 = 3.0;
/// Responses below which a failure rate is not significant. Ordinary endpoints fail up to
/// 14 of 100 requests, so three of ten are rare by chance.
const MIN_RESPONSES: f64 = 10.0;
/// Failure rate from which an endpoint counts as failing, as in an entry's own record
/// ([`crate::health`]).
const FAILING_RATE: f64 = 0.3;
/// Failure rate from which an endpoint counts as failing, as a multiple of that of the
/// other endpoints of its service. If all endpoints fail alike, moving requests gains
/// nothing, and their prompts would be prefilled again elsewhere.
const FAILING_FACTOR: f64 = 2.0;
/// Most failures that count from one report, so that an entry which causes failures
/// itself does not outweigh all others.
const MAX_FAILURES: f64 = 4.0;

/// Index in the list of endpoints, of which entries and control have the same version.
pub type EndpointIndex = u32;

/// One entry's observations of one endpoint since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthReport {
    /// A different run of the endpoint answered at its address.
    pub replaced: bool,
    /// No connection could be made, or no data came for too long.
    pub unreached: bool,
    /// Bytes arrived from it within [`RECENT_WINDOW`] before the report.
    pub alive: bool,
    /// Number of responses, including failures.
    pub answered: u32,
    /// Number of failures among the responses.
    pub failed: u32,
}

/// Why entries should avoid an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its failure rate is well above that of the others.
    Failing,
    /// It cannot be reached and sends nothing.
    Silent,
    /// A different run of the endpoint answers at its address.
    Replaced,
}

/// The newest reports of the same observation by two different entries.
#[derive(Clone, Copy, Debug, Default)]
struct Confirmation([Option<(u64, Duration)>; 2]);

impl Confirmation {
    fn add(&mut self, now: Duration, entry: u64) {
        let [newest, other] = self.0;
        let same = newest.is_some_and(|(known, _)| known == entry);
        self.0 = [Some((entry, now)), if same { other } else { newest }];
    }

    /// Time of the older of the two reports; `None` if only one entry has reported.
    fn confirmed(&self) -> Option<Duration> {
        let [newest, other] = self.0;
        newest.and(other).map(|(_, at)| at)
    }
}

#[derive(Clone, Debug, Default)]
struct EndpointRecord {
    replaced: Confirmation,
    unreached: Confirmation,
    failing: Confirmation,
    /// When an entry last reported it alive.
    alive: Option<Duration>,
    /// Responses, decayed to time `at`.
    answered: f64,
    /// Failures, decayed to time `at`.
    failed: f64,
    at: Duration,
}

impl EndpointRecord {
    fn add(&mut self, now: Duration, entry: u64, report: &HealthReport) {
        if report.replaced {
            self.replaced.add(now, entry);
        }
        if report.unreached {
            self.unreached.add(now, entry);
        }
        if report.alive {
            self.alive = Some(now);
        }
        if report.answered > 0 {
            let decay = self.decay(now);
            let failed = f64::from(report.failed.min(report.answered)).min(MAX_FAILURES);
            if failed > 0.0 {
                self.failing.add(now, entry);
            }
            self.answered = self.answered * decay + f64::from(report.answered);
            self.failed = self.failed * decay + failed;
            self.at = now;
        }
    }

    fn decay(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.at).as_secs_f64() / DECAY_SECONDS).exp()
    }

    /// Responses and failures, decayed to `now`.
    fn counts(&self, now: Duration) -> (f64, f64) {
        let decay = self.decay(now);
        (self.answered * decay, self.failed * decay)
    }

    /// `others` is the failure rate of the other endpoints of its service.
    fn verdict(&self, now: Duration, others: f64) -> Option<Verdict> {
        let valid = |at: &Duration| self.alive.is_none_or(|alive| alive < *at);
        let fresh = |at: &Duration| now.saturating_sub(*at) < REPORT_VALIDITY;
        let replaced = self.replaced.confirmed().filter(valid);
        let quiet = self
            .alive
            .is_none_or(|alive| now.saturating_sub(alive) >= SILENT_AFTER);
        let silent = self.unreached.confirmed().filter(valid).filter(fresh);
        let silent = silent.filter(|_| quiet);
        let failing = self.failing.confirmed();
        let recent = |at: Duration| now.saturating_sub(at).as_secs_f64() < DECAY_SECONDS;
        let (answered, failed) = self.counts(now);
        let threshold = FAILING_RATE.max(others * FAILING_FACTOR);
        let failing = failing.is_some_and(recent)
            && answered >= MIN_RESPONSES
            && failed >= answered * threshold;
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

/// An endpoint on a new version of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSlot {
    /// Its index in the version before, if it was on it.
    pub previous: Option<usize>,
    /// Hash of the name of its service.
    pub service: u64,
}

/// The combined reports of all entries on the endpoints of one list.
#[derive(Clone, Debug, Default)]
pub struct SharedHealth {
    /// By index in the list.
    records: Vec<EndpointRecord>,
    /// Hash of the service's name, by index in the list.
    services: Vec<u64>,
}

impl SharedHealth {
    /// Replaces the list. The records of endpoints that stay are kept.
    pub fn update_list(&mut self, endpoints: impl Iterator<Item = ListSlot>) {
        let old = std::mem::take(&mut self.records);
        self.services.clear();
        for endpoint in endpoints {
            let record = endpoint.previous.and_then(|index| old.get(index));
            self.records.push(record.cloned().unwrap_or_default());
            self.services.push(endpoint.service);
        }
    }

    /// Records the reports of an entry, given as the hash of its name. Indexes beyond the
    /// list are ignored.
    pub fn record(
        &mut self,
        now: Duration,
        entry: u64,
        reports: impl Iterator<Item = (EndpointIndex, HealthReport)>,
    ) {
        for (index, report) in reports {
            if let Some(record) = self.records.get_mut(index as usize) {
                record.add(now, entry, &report);
            }
        }
    }

    /// The verdicts in force, by index in the list.
    pub fn verdicts(&self, now: Duration) -> Vec<(EndpointIndex, Verdict)> {
        let sums = self.sums(now);
        let records = (0..).zip(self.records.iter().zip(&self.services));
        let verdicts = records.filter_map(|(index, (record, service))| {
            let found = sums.binary_search_by_key(service, |item| item.0);
            let (_, answered, failed) = sums[found.ok()?];
            let own = record.counts(now);
            let others = (failed - own.1) / (answered - own.0).max(1.0);
            Some((index, record.verdict(now, others)?))
        });
        verdicts.collect()
    }

    /// Responses and failures of each service; sorted by service.
    fn sums(&self, now: Duration) -> Vec<(u64, f64, f64)> {
        let mut sums: Vec<(u64, f64, f64)> = Vec::new();
        for (record, service) in self.records.iter().zip(&self.services) {
            let (answered, failed) = record.counts(now);
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
