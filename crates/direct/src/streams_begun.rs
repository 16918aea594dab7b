//! The software versions at which streams began: reported to control, and looked up when a
//! caller resumes a stream.
//!
//! The version of a stream is that of the endpoint whose event reached the caller first.
//! An entry that does not know it must not guess, since the output of two versions does
//! not fit together: it asks control, and refuses the request if no instance has a
//! record.
//!
//! Callers name the attempt that began the stream. Older ones do not; their streams are
//! found by the content of the request, which is the same in all attempts. It may be that of
//! another stream as well, so all who know a version for it have to agree.

use crate::dialect::RequestMeta;
use crate::directory::Directory;
use crate::list_tracker::ListTracker;
use crate::response::RefusalCause;
use crate::route_follower::ControlAddresses;
use crate::stats::Stats;
use derive_more::Display;
use dogwoodhill_core::fingerprint::Fingerprinter;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::stream_versions::{
    STREAM_RETENTION, StreamKey, StreamVersions, VersionTag,
};
use dogwoodhill_route::prelude::*;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::streams::{BegunStreams, FIND_STREAM_PATH, FindStream};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Control instances asked for a version: one more than may fail at once where five
/// instances replicate the log.
const MAX_INSTANCES: usize = 3;
/// Timeout of a lookup at control.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after the first answer in which other instances may contradict it.
const CONTRADICTION_WAIT: Duration = Duration::from_millis(100);
/// Delay after which a stream that control does not know is looked up once more: by then
/// a running entry has reported the streams that it began before.
const LOOKUP_RETRY_DELAY: Duration = Duration::from_millis(650);
/// Keys per report. An instance that starts gets those of the last minute in several
/// reports.
const MAX_REPORTED: usize = 1_024;
/// Upper bound on the keys kept for reports: two for each stream of a minute, at 15 times
/// the rate of the design size.
const MAX_KEPT: usize = 65_536;
/// Runs of control instances whose progress is kept; more than answer at a time.
const MAX_RUNS: usize = 4;

/// The streams that this entry began.
#[derive(Debug)]
pub struct StreamsBegun {
    fingerprinter: Fingerprinter,
    client: PeerClient,
    control: Arc<Mutex<ControlAddresses>>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    versions: StreamVersions,
    /// Streams to report to instances that start, with the time, oldest first.
    kept: VecDeque<(Duration, StreamKey, VersionTag)>,
    /// Number of the first of them, counted since the start of the entry.
    first: u64,
    /// Runs of control instances, with the number of the next stream to report.
    reported: Vec<(u64, u64)>,
}

/// The streams of one report.
#[derive(Debug, Default)]
pub struct StreamReport {
    /// By version.
    pub begun: Vec<BegunStreams>,
    /// Number of the stream after them.
    next: u64,
}

/// What determined the version of a resumed stream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Origin {
    /// This entry began the stream.
    #[display("own")]
    Own,
    /// A control instance knew it.
    #[display("control")]
    Control,
    /// The service has had one version for longer than a stream lasts, and control knows of
    /// no other.
    #[display("sole")]
    Sole,
}

/// Result of looking for the version of a stream.
enum Found {
    Known(Origin, VersionTag),
    /// Control answers, and nobody has a record.
    NotRecorded,
    /// Control does not answer, or records contradict each other.
    Unclear,
}

impl StreamsBegun {
    /// Creates an empty record; `client` and `control` are used for lookups.
    pub fn new(
        fingerprinter: Fingerprinter,
        client: PeerClient,
        control: Arc<Mutex<ControlAddresses>>,
    ) -> Self {
        Self {
            fingerprinter,
            client,
            control,
            state: Mutex::default(),
        }
    }

    /// Records that the stream of `attempt` began at `version`: its first event goes to
    /// the caller.
    pub fn record(
        &self,
        workspace: Option<&WorkspaceId>,
        attempt: &str,
        content: Fingerprint,
        version: VersionTag,
    ) {
        let now = uptime();
        let named = self.fingerprinter.of_attempt(workspace, attempt);
        let mut state = self.state();
        for stream in [named, content_key(content)] {
            state.versions.record(now, stream, version);
            state.kept.push_back((now, stream, version));
        }
        state.expire(now);
    }

    /// What to report to a control instance whose run is `run`.
    pub fn report(&self, run: u64) -> StreamReport {
        let mut state = self.state();
        state.expire(uptime());
        let known = state.reported.iter().find(|known| known.0 == run);
        let from = known.map_or(state.first, |known| known.1.max(state.first));
        let mut report = StreamReport::default();
        let skipped = (from - state.first) as usize;
        let streams = state.kept.iter().skip(skipped).take(MAX_REPORTED);
        for (_, stream, version) in streams {
            let same = |begun: &BegunStreams| begun.version == *version;
            let found = report.begun.iter().position(same);
            let at = found.unwrap_or_else(|| {
                let (version, streams) = (*version, Vec::new());
                report.begun.push(BegunStreams { version, streams });
                report.begun.len() - 1
            });
            report.begun[at].streams.push(*stream);
        }
        let count = (state.kept.len() - skipped).min(MAX_REPORTED);
        report.next = from + count as u64;
        report
    }

    /// Called when the instance with this run has processed `report`.
    pub fn acknowledged(&self, run: u64, report: &StreamReport) {
        let mut state = self.state();
        state.reported.retain(|known| known.0 != run);
        state.reported.truncate(MAX_RUNS - 1);
        state.reported.insert(0, (run, report.next));
    }

    /// The version at which the stream began that a caller resumes; `None` for a request
    /// that resumes none.
    ///
    /// # Errors
    ///
    /// [`RefusalCause::UnknownStream`] if no record of it is found.
    pub(crate) async fn resumed_version(
        &self,
        meta: &RequestMeta,
        admitted: &Admitted,
        content: Fingerprint,
        lists: (&Directory, &ListTracker),
        stats: &Stats,
    ) -> Result<Option<VersionTag>, RefusalCause> {
        let events = admitted.route.events;
        let resumable = events.is_some_and(|events| events.resumable);
        if meta.resume_after.is_none() || !resumable {
            return Ok(None);
        }
        let started = uptime();
        let workspace = admitted.workspace.as_ref();
        let named = meta.resumes.as_deref();
        let named = named.map(|first| self.fingerprinter.of_attempt(workspace, first));
        let found = match named {
            Some(first) => self.find(first, false).await,
            None => self.find(content_key(content), true).await,
        };
        let found = match found {
            Found::Known(origin, version) => Some((origin, version)),
            Found::NotRecorded => {
                let (directory, list_tracker) = lists;
                let sole = directory.sole_version(&admitted.route);
                let sole = sole.filter(|_| !list_tracker.is_expired());
                sole.map(|version| (Origin::Sole, version))
            }
            // Another entry may have begun it at a version that is new to this one.
            Found::Unclear => None,
        };
        let origin = found.map_or("none".to_string(), |found| found.0.to_string());
        stats.stream_looked_up(&origin);
        Event::new("stream-looked-up")
            .field("request", &meta.id)
            .field("named", meta.resumes.is_some())
            .field("by", origin)
            .field("ms", uptime().saturating_sub(started).as_millis())
            .info();
        let found = found.ok_or(RefusalCause::UnknownStream)?;
        Ok(Some(found.1))
    }

    /// Looks for the version of `stream`. If the key may be `shared` by several streams,
    /// whatever this entry and the control instances know has to be the same.
    async fn find(&self, stream: StreamKey, shared: bool) -> Found {
        let own = self.state().versions.find_all(uptime(), stream);
        if let ([version], false) = (&own[..], shared) {
            return Found::Known(Origin::Own, *version);
        }
        let mut known = own.clone();
        known.extend(self.ask_control(stream, shared).await.unwrap_or_default());
        if known.is_empty() {
            sleep(LOOKUP_RETRY_DELAY).await;
            match self.ask_control(stream, shared).await {
                Some(versions) => known = versions,
                None => return Found::Unclear,
            }
        }
        known.sort_unstable();
        known.dedup();
        let origin = if own.is_empty() {
            Origin::Control
        } else {
            Origin::Own
        };
        match known[..] {
            [] => Found::NotRecorded,
            [version] => Found::Known(origin, version),
            _ => Found::Unclear,
        }
    }

    /// Asks some control instances at once, and returns the versions that they know; `None`
    /// if none answered. They answer differently where entries have changed from one to
    /// another; all of them are awaited only if the key may be `shared`.
    async fn ask_control(
        &self,
        stream: StreamKey,
        shared: bool,
    ) -> Option<Vec<VersionTag>> {
        let message = FindStream { stream };
        let mut lookups = JoinSet::new();
        for address in self.instances().into_iter().take(MAX_INSTANCES) {
            let client = self.client.clone();
            lookups.spawn(async move {
                let call = client.call(address, FIND_STREAM_PATH, &message);
                timeout(LOOKUP_TIMEOUT, call).await
            });
        }
        let mut found: Vec<VersionTag> = Vec::new();
        let mut answered = false;
        let mut end = Instant::now() + LOOKUP_TIMEOUT;
        while let Ok(Some(answer)) = timeout_at(end, lookups.join_next()).await {
            let answer: Result<Result<Result<Vec<VersionTag>, _>, _>, _> = answer;
            let Ok(Ok(Ok(versions))) = answer else {
                continue;
            };
            answered = true;
            if versions.is_empty() {
                continue;
            }
            found.extend(versions);
            if !shared {
                break;
            }
            end = end.min(Instant::now() + CONTRADICTION_WAIT);
        }
        answered.then_some(found)
    }

    fn instances(&self) -> Vec<SocketAddr> {
        let control = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        control.instances()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The key of streams that are found by the content of their requests.
fn content_key(content: Fingerprint) -> StreamKey {
    // The lower half of a digest is one as well.
    content as StreamKey
}

impl State {
    fn expire(&mut self, now: Duration) {
        let expired = |(at, ..): &(Duration, StreamKey, VersionTag)| {
            now.saturating_sub(*at) >= STREAM_RETENTION
        };
        while self.kept.len() > MAX_KEPT || self.kept.front().is_some_and(expired) {
            self.kept.pop_front();
            self.first += 1;
        }
    }
}
