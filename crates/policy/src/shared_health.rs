//! Endpoint health as observed by all entries together: replaced, silent or failing.
//!
//! Suppose thirty of 180 endpoints stop responding, or crash and are replaced, while the
//! list still contains them. If each of a hundred entries detects that on its own, by a
//! request that times out after half a second or is refused, thousands of requests fail
//! although the first few failures already showed the cause. A refused request has used
//! one of its attempts, and some requests have only one. An endpoint that fails part of
//! its requests is detected even later, as each entry sends it a request only every ten
//! seconds.
//!
//! Entries therefore report their observations to one control instance
//! ([`HealthReport`]), at once if an endpoint was lost, and receive its verdicts on
//! endpoints ([`Verdict`]).
//!
//! Invariants:
//!
//! * The reports of a single entry never cause a verdict: two entries must have made the
//!   same observation.
//! * An endpoint from which any entry received data after the older of these two reports
//!   is neither silent nor replaced. An entry behind a network partition, or one whose
//!   connections are refused because it opened too many, therefore does not affect the
//!   other entries.
//! * Verdicts expire within seconds unless new reports confirm them. Only
//!   [`Verdict::Replaced`] does not expire, since a run that ended does not return.

use std::time::Duration;

/// How long a report of an unreachable endpoint is valid: three report intervals of
/// 500 ms, and 100 ms for the delivery.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_600);
/// An endpoint is reported as alive if bytes from it arrived within this time before the
/// report. After a crash, it can therefore be reported as alive for this long. Streams of
/// a working endpoint pause for less than this.
pub const RECENT_WINDOW: Duration = Duration::from_millis(250);
/// An endpoint counts as silent only if no entry reported it alive for this time, which
/// is the report interval. An endpoint with a long queue refuses connections while its
/// streams continue. Without this bound, two entries that it refuses at the same time
/// would repeatedly make all entries avoid it for a tenth of a second.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// Time constant, in seconds, with which response counts decay, and validity of the last
/// reports of failures. Longer than the time constant of a single entry's record: all
/// entries together see enough responses for a failure rate within a second.
const DECAY_SECONDS: f64 = 3.0;
/// Number of responses below which a failure rate is not significant. Ordinary endpoints
/// fail up to 14 of 100 requests, so three failures of ten are rare by chance.
const MIN_RESPONSES: f64 = 10.0;
/// Failure rate from which an endpoint counts as failing, as in an entry's own record
/// ([`crate::health`]).
const FAILING_RATE: f64 = 0.3;
/// Failure rate from which an endpoint counts as failing, as a multiple of that of the
/// other endpoints of its service. If all endpoints have similar failure rates, moving
/// requests has no benefit, and their prompts would be prefilled again elsewhere.
const FAILING_FACTOR: f64 = 2.0;
/// Maximum number of failures that are counted from one report, so that an entry that
/// causes failures itself does not outweigh all others.
const MAX_FAILURES: f64 = 4.0;

/// Index in the list of endpoints. Valid only between parties with the same version of
/// the list.
pub type EndpointIndex = u32;

/// One entry's observations of one endpoint since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthReport {
    /// A different run of the endpoint responded at its address.
    pub replaced: bool,
    /// No connection could be made, or no data arrived for too long.
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
    /// Its failure rate is well above that of the other endpoints of its service.
    Failing,
    /// It cannot be reached, and no entry receives data from it.
    Silent,
    /// A different run of the endpoint responds at its address.
    Replaced,
}

/// The newest reports of one observation by two different entries: hash of the entry's
/// name, and time of its report.
#[derive(Clone, Copy, Debug, Default)]
struct Confirmation([Option<(u64, Duration)>; 2]);

impl Confirmation {
    fn add(&mut self, now: Duration, entry: u64) {
        let [newest, other] = self.0;
        let same = newest.is_some_and(|(known, _)| known == entry);
        self.0 = [Some((entry, now)), if same { other } else { newest }];
    }

    /// Time of the older of the two reports; `None` if only one entry has reported.
    fn confirmed_at(&self) -> Option<Duration> {
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
    /// Number of responses, decayed to time `at`.
    answered: f64,
    /// Number of failures, decayed to time `at`.
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

    /// The verdict on the endpoint. `other_failure_rate` is the failure rate of the other
    /// endpoints of its service.
    fn verdict(&self, now: Duration, other_failure_rate: f64) -> Option<Verdict> {
        let is_uncontradicted =
            |at: &Duration| self.alive.is_none_or(|alive| alive < *at);
        let is_unexpired = |at: &Duration| now.saturating_sub(*at) < REPORT_VALIDITY;
        let replaced = self.replaced.confirmed_at().filter(is_uncontradicted);
        let no_recent_data = self
            .alive
            .is_none_or(|alive| now.saturating_sub(alive) >= SILENT_AFTER);
        let unreachable_since = self
            .unreached
            .confirmed_at()
            .filter(is_uncontradicted)
            .filter(is_unexpired);
        let unreachable_since = unreachable_since.filter(|_| no_recent_data);
        let failing = self.failing.confirmed_at();
        let recent = |at: Duration| now.saturating_sub(at).as_secs_f64() < DECAY_SECONDS;
        let (answered, failed) = self.counts(now);
        let threshold = FAILING_RATE.max(other_failure_rate * FAILING_FACTOR);
        let failing = failing.is_some_and(recent)
            && answered >= MIN_RESPONSES
            && failed >= answered * threshold;
        if replaced.is_some() {
            Some(Verdict::Replaced)
        } else if unreachable_since.is_some() {
            Some(Verdict::Silent)
        } else if failing {
            Some(Verdict::Failing)
        } else {
            None
        }
    }
}

/// Position of an endpoint on a new version of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSlot {
    /// Index of the endpoint in the previous version of the list, if it was on it.
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
    /// Replaces the list. Endpoints that are on both versions keep their records.
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

    /// The verdicts at time `now`, by index in the list.
    pub fn verdicts(&self, now: Duration) -> Vec<(EndpointIndex, Verdict)> {
        let totals = self.service_totals(now);
        let records = (0..).zip(self.records.iter().zip(&self.services));
        let verdicts = records.filter_map(|(index, (record, service))| {
            let found = totals.binary_search_by_key(service, |item| item.0);
            let (_, answered, failed) = totals[found.ok()?];
            let own = record.counts(now);
            let other_failure_rate = (failed - own.1) / (answered - own.0).max(1.0);
            Some((index, record.verdict(now, other_failure_rate)?))
        });
        verdicts.collect()
    }

    /// Number of responses and failures of each service, decayed to `now`; sorted by the
    /// hash of the service's name.
    fn service_totals(&self, now: Duration) -> Vec<(u64, f64, f64)> {
        let mut totals: Vec<(u64, f64, f64)> = Vec::new();
        for (record, service) in self.records.iter().zip(&self.services) {
            let (answered, failed) = record.counts(now);
            match totals.binary_search_by_key(service, |item| item.0) {
                Ok(index) => {
                    totals[index].1 += answered;
                    totals[index].2 += failed;
                }
                Err(index) => totals.insert(index, (*service, answered, failed)),
            }
        }
        totals
    }
}
