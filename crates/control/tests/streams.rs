//! Versions of streams that survive the processes which know them.

#[allow(dead_code, reason = "other tests use the rest")]
mod site;
mod support;

use dogwoodhill_control::streams::StreamTracker;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::stream_versions::{StreamKey, VersionTag};
use dogwoodhill_wire::demand::{DEMAND_PATH, DemandReply, DemandReport};
use dogwoodhill_wire::streams::{BegunStreams, FIND_STREAM_PATH, FindStream};
use site::{Instance, start_members, wait_until};
use std::path::{Path, PathBuf};

const VERSION: Version = 4;

/// A data folder that is removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let name = format!("dogwoodhill-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        // Left behind only by an aborted run.
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn begun(version: VersionTag, streams: &[StreamKey]) -> Vec<BegunStreams> {
    let streams = streams.to_vec();
    vec![BegunStreams { version, streams }]
}

/// Bytes of all files with reports below a data folder.
fn written(data: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(data.join("streams")) else {
        return 0;
    };
    let files = entries.filter_map(|entry| entry.ok()?.metadata().ok());
    files.map(|file| file.len()).sum()
}

/// Reports streams, and waits until they are on the disk.
async fn report(tracker: &StreamTracker, data: &Path, begun: &[BegunStreams]) {
    let before = written(data);
    tracker.report(Duration::ZERO, begun);
    wait_until("the report is written", async || written(data) > before).await;
}

/// Guards against streams whose versions are known to nobody after a restart, over several
/// of them.
#[tokio::test]
async fn streams_reopened_found() {
    let folder = Folder::new("reopened");
    for round in 0..4 {
        let (tracker, _writer) = StreamTracker::open(&folder.0).await;
        let now = Duration::from_secs(1);
        for earlier in 0..round {
            assert_eq!(tracker.find(now, 100 + earlier), [earlier], "{round}");
        }
        assert!(tracker.find(now, 100 + round).is_empty());
        report(&tracker, &folder.0, &begun(round, &[100 + round])).await;
    }
}

/// A loss of power tears the last report, which was not synced: the others are found.
#[tokio::test]
async fn streams_torn_report_unknown() {
    let folder = Folder::new("torn");
    let (tracker, writer) = StreamTracker::open(&folder.0).await;
    report(&tracker, &folder.0, &begun(1, &[10])).await;
    report(&tracker, &folder.0, &begun(1, &[11])).await;
    drop(writer);
    let file = folder.0.join("streams").join("begun-000000000001");
    let bytes = std::fs::read(&file).expect("the file is there");
    std::fs::write(&file, &bytes[..bytes.len() - 3]).expect("is writable");
    let (tracker, _writer) = StreamTracker::open(&folder.0).await;
    assert_eq!(tracker.find(Duration::ZERO, 10), [1]);
    assert!(tracker.find(Duration::ZERO, 11).is_empty());
}

/// A folder that can't be used: the tracker works without it.
#[tokio::test]
async fn streams_unusable_folder_kept_in_memory() {
    let folder = Folder::new("unusable");
    std::fs::create_dir_all(&folder.0).expect("is created");
    std::fs::write(folder.0.join("streams"), b"no folder").expect("is written");
    let (tracker, _writer) = StreamTracker::open(&folder.0).await;
    tracker.report(Duration::ZERO, &begun(3, &[12]));
    assert_eq!(tracker.find(Duration::ZERO, 12), [3]);
}

async fn find(instance: &Instance, stream: StreamKey) -> Vec<VersionTag> {
    let find = FindStream { stream };
    let found = instance.call(FIND_STREAM_PATH, &find).await;
    found.unwrap_or_default()
}

/// Guards against the loss of all versions with all entries and control instances: the
/// callers' streams were refused although endpoints of their version were there.
#[tokio::test(flavor = "multi_thread")]
async fn streams_all_instances_killed_found() {
    let names = ["streams-1", "streams-2", "streams-3"];
    let mut members = start_members(names, VERSION).await;
    let report = DemandReport {
        entry: "entry".to_string(),
        streams: begun(9, &[77, 78]),
        ..DemandReport::default()
    };
    let data = members[1].settings.data.clone();
    let before = written(&data);
    let reply: Option<DemandReply> = members[1].call(DEMAND_PATH, &report).await;
    assert!(reply.is_some());
    wait_until("the report is written", async || written(&data) > before).await;
    for member in &mut members {
        member.kill().await;
    }
    for member in &mut members {
        member.start_again();
    }
    wait_until("the version is known", async || {
        find(&members[1], 77).await == [9] && find(&members[1], 78).await == [9]
    })
    .await;
}
