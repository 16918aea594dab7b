//! Exchanging state with control: demand per service, the endpoint list, and endpoints
//! that are lost or failing.
//!
//! Twice a second, an entry reports its demand and observations to one control instance,
//! and receives the sums over all entries, the newest read of the list, and verdicts on
//! its endpoints. It reports at once after reading the list, and soon after losing an
//! endpoint. All entries use the same instance while it responds: the first by address of
//! the instances that control announced, or of those in the settings until then.

use crate::dispatch::crash;
use crate::request::SharedState;
use crate::route_follower::RouteFollower;
use derive_more::Display;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_wire::client::CallError;
use dogwoodhill_wire::contention::ContentionReport;
use dogwoodhill_wire::demand::{DEMAND_PATH, DemandReply, DemandReport, Echo, Stamp};
use dogwoodhill_wire::trials::TrialReport;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{sleep, timeout};

/// Interval between reports. All entries receive a change in demand within two intervals.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Interval until an entry that starts has the endpoint list. The entry cannot serve
/// until then, and a hundred entries may start at once.
const FIRST_SYNC_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of the report after an endpoint was lost; losses within it are reported
/// together. Where thirty endpoints are lost at once, each entry reports six times a
/// second instead of once per endpoint.
const LOSS_DELAY: Duration = Duration::from_millis(150);
/// Interval while suspected requests wait for trials.
const TRIAL_SYNC_INTERVAL: Duration = Duration::from_millis(100);
/// Jitter of the interval, so that entries do not report at the same moment.
const JITTER: std::ops::Range<f64> = 0.8..1.2;
/// Timeout of a report.
const SYNC_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout while the entry has no list. The response carries the whole list then, which
/// takes a second where hundreds of entries start at once and use one instance on 100
/// Mbit/s. A shorter timeout would request the list again while it is in transit.
const FIRST_SYNC_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Control instances tried per interval: one more than may fail at once where five
/// instances replicate the log.
const MAX_INSTANCES: usize = 3;

/// Exchanges state with control in an endless loop.
pub async fn run(follower: Arc<RouteFollower>, shared: Arc<SharedState>) {
    let mut synced = false;
    let mut stamps = Stamps::default();
    loop {
        let jitter = rand::rng().random_range(JITTER);
        let has_list = shared.list_tracker.has_read();
        let interval = if !has_list {
            FIRST_SYNC_INTERVAL
        } else if shared.suspects.trials.has_waiting() {
            TRIAL_SYNC_INTERVAL
        } else {
            SYNC_INTERVAL
        };
        tokio::select! {
            () = sleep(interval.mul_f64(jitter)) => {}
            () = shared.list_tracker.list_read.notified() => {}
            () = shared.suspects.refresh_requested.notified() => {}
            () = shared.list_tracker.endpoint_lost.notified() => sleep(LOSS_DELAY).await,
        }
        let result = sync(&follower, &shared, &mut stamps).await;
        shared.suspects.notify_refreshed();
        if result.is_ok() != synced {
            synced = result.is_ok();
            let reason = result.as_ref().err();
            Event::new("demand-agreed")
                .field("agreed", synced)
                .field(
                    "reason",
                    reason.map_or("-".to_string(), SyncError::to_string),
                )
                .info();
        }
        match result {
            Ok(reply) => shared.directory.apply_totals(&reply),
            // Without control, the entry relies on its own observations.
            Err(_) => {
                shared.suspects.control_failed();
                let entries = shared.entries.load(Ordering::Relaxed);
                shared.directory.limits_unavailable(entries);
                shared.contention.control_failed(uptime(), entries);
            }
        }
    }
}

/// Why the exchange failed, at the instance tried last.
#[derive(Debug, Display)]
enum SyncError {
    #[display("no control instance known")]
    NoInstance,
    #[display("{_0} did not respond in time")]
    TimedOut(SocketAddr),
    #[display("{_0}")]
    Failed(CallError),
}

/// The last stamp of each control instance, with the time of the request for it.
#[derive(Debug, Default)]
struct Stamps(Vec<(SocketAddr, Stamp, Duration)>);

impl Stamps {
    /// Capacity; larger than the number of instances ever contacted.
    const CAPACITY: usize = 16;

    fn record(&mut self, address: SocketAddr, stamp: Stamp, sent_at: Duration) {
        self.0.retain(|known| known.0 != address);
        self.0.truncate(Self::CAPACITY - 1);
        self.0.insert(0, (address, stamp, sent_at));
    }

    fn echo(&self, address: SocketAddr) -> Option<Echo> {
        let known = self.0.iter().find(|known| known.0 == address);
        known.map(|(_, stamp, sent_at)| Echo {
            stamp: *stamp,
            since: uptime().saturating_sub(*sent_at),
        })
    }
}

fn contention_report(shared: &SharedState) -> Option<ContentionReport> {
    let report = shared.contention.report(uptime()).unwrap_or_default();
    let paces = shared.directory.pace_report();
    ContentionReport { paces, ..report }.non_empty()
}

async fn sync(
    follower: &RouteFollower,
    shared: &SharedState,
    stamps: &mut Stamps,
) -> Result<DemandReply, SyncError> {
    for endpoint in shared.list_tracker.endpoints_with_lost_sends() {
        crash::record_ended(shared, &endpoint, None);
    }
    let (list_mark, list) = shared.list_tracker.report();
    let observations = shared.list_tracker.take_observations();
    let (limits, limits_mark) = shared.directory.limit_report();
    let mut report = DemandReport {
        entry: follower.name.clone(),
        services: shared.directory.demand_report(),
        list_mark,
        list,
        observations: observations.outcomes,
        responding: observations.responding,
        answers: observations.answers,
        echo: None,
        losses: Vec::new(),
        served: Vec::new(),
        trials: TrialReport::default(),
        suspects_mark: 0,
        limits,
        limits_mark,
        preferred: true,
        streams: Vec::new(),
        contention: contention_report(shared),
    };
    let instances = follower.control().instances();
    let call_timeout = if shared.list_tracker.has_read() {
        SYNC_TIMEOUT
    } else {
        FIRST_SYNC_TIMEOUT
    };
    let mut error = SyncError::NoInstance;
    for address in instances.into_iter().take(MAX_INSTANCES) {
        report.echo = stamps.echo(address);
        let run = report.echo.map_or(0, |echo| echo.stamp.run);
        let suspect_report = shared.suspects.report(run);
        report.losses.clone_from(&suspect_report.losses);
        report.served.clone_from(&suspect_report.served);
        report.trials.clone_from(&suspect_report.trials);
        report.suspects_mark = suspect_report.mark;
        let mut stream_report = shared.streams.report(run);
        report.streams = std::mem::take(&mut stream_report.begun);
        let sent_at = uptime();
        let call = follower.client.call(address, DEMAND_PATH, &report);
        let result: Result<Result<DemandReply, CallError>, _> =
            timeout(call_timeout, call).await;
        error = match result {
            Ok(Ok(mut reply)) => {
                stamps.record(address, reply.stamp, sent_at);
                shared
                    .suspects
                    .acknowledged(reply.stamp.run, &suspect_report);
                // A new run of the instance lacks what was reported to the previous one.
                if reply.stamp.run == run {
                    shared.streams.acknowledged(run, &stream_report);
                }
                shared.suspects.apply_control(reply.suspects.take());
                let granted = reply.trials.drain(..).map(Into::into);
                shared.suspects.trials.apply(sent_at, granted);
                shared.directory.apply_limits(
                    sent_at,
                    &report.limits,
                    reply.limits.as_ref(),
                    &reply.permits,
                );
                shared.contention.apply(sent_at, reply.contention.as_ref());
                let paces = reply.contention.as_ref();
                let paces = paces.and_then(|contention| contention.paces.as_ref());
                shared.directory.apply_paces(paces);
                shared
                    .list_tracker
                    .apply_control(&shared.directory, sent_at, &mut reply);
                return Ok(reply);
            }
            Ok(Err(error)) => SyncError::Failed(error),
            Err(_) => SyncError::TimedOut(address),
        };
        report.preferred = false;
    }
    Err(error)
}
