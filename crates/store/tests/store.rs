//! The store under crashes, damaged files and disk failures.

use dogwoodhill_consensus::log::{Entry, Payload, Snapshot};
use dogwoodhill_consensus::node::DurableState;
use dogwoodhill_consensus::ready::HardState;
use dogwoodhill_store::files::Files;
use dogwoodhill_store::memory::{MemoryFiles, TornWrite};
use dogwoodhill_store::record::{FORMAT_VERSION, HEADER_LEN};
use dogwoodhill_store::{Batch, Identity, Store, StoreError};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const IDENTITY: Identity = Identity {
    cluster: 7,
    node: 9,
};
const LOG: &str = "log-000000000000";

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 1,
        payload: Payload::Command(index.to_be_bytes().to_vec()),
    }
}

fn write(store: &mut Store, indices: std::ops::RangeInclusive<u64>) {
    let append: Vec<Entry> = indices.map(entry).collect();
    let batch = Batch {
        append: &append,
        ..Batch::default()
    };
    store.write(&batch).unwrap();
}

fn create(files: &MemoryFiles) -> Store {
    Store::create(Box::new(files.clone()), IDENTITY)
        .unwrap()
        .store
}

fn open(files: &MemoryFiles) -> Result<DurableState, StoreError> {
    Store::open(Box::new(files.clone())).map(|opened| opened.durable)
}

/// A crash that keeps no unsynced byte.
const ALL_LOST: TornWrite = TornWrite {
    kept: 0,
    damaged: false,
};

#[test]
fn open_returns_what_was_written() {
    let files = MemoryFiles::default();
    let mut store = create(&files);
    write(&mut store, 1..=3);
    let hard_state = HardState {
        term: 4,
        vote: Some(2),
    };
    let batch = Batch {
        hard_state: Some(hard_state),
        truncate: Some(3),
        append: &[],
    };
    store.write(&batch).unwrap();
    files.crash(ALL_LOST);
    let durable = open(&files).unwrap();
    assert_eq!(durable.hard_state, hard_state);
    assert_eq!(durable.entries, vec![entry(1), entry(2)]);
}

#[test]
fn open_uninitialized_refused() {
    let error = open(&MemoryFiles::default()).unwrap_err();
    insta::assert_snapshot!(error, @"the data folder holds no state; start once with --bootstrap for a new cluster, or with --join to join one");
}

#[test]
fn create_initialized_refused() {
    let files = MemoryFiles::default();
    create(&files);
    let again = Store::create(Box::new(files), IDENTITY);
    assert!(matches!(again, Err(StoreError::AlreadyInitialized)));
}

/// Guards against state of an earlier identity: a process that ran while its folder was
/// emptied left a later generation, and the next start of the new identity returned that
/// one instead of what it had acknowledged itself.
#[test]
fn create_after_lost_identity_starts_empty() {
    let mut files = MemoryFiles::default();
    let mut earlier = create(&files);
    write(&mut earlier, 1..=3);
    compact(&mut earlier, 2).unwrap();
    drop(earlier);
    files.remove("identity").unwrap();
    let mut store = create(&files);
    write(&mut store, 1..=1);
    files.crash(ALL_LOST);
    let durable = open(&files).unwrap();
    assert_eq!(durable.entries, [entry(1)]);
    assert_eq!(durable.snapshot, Snapshot::default());
}

#[test]
fn open_damaged_last_batch_truncated() {
    let files = MemoryFiles::default();
    let mut store = create(&files);
    write(&mut store, 1..=1);
    let size = store.size();
    write(&mut store, 2..=2);
    files.corrupt(LOG, size + 20);
    assert_eq!(open(&files).unwrap().entries, vec![entry(1)]);
    // The truncation is durable, and the log can be appended to.
    let mut store = Store::open(Box::new(files.clone())).unwrap().store;
    write(&mut store, 2..=2);
    assert_eq!(open(&files).unwrap().entries.len(), 2);
}

#[test]
fn open_damaged_earlier_batch_refused() {
    let files = MemoryFiles::default();
    let mut store = create(&files);
    write(&mut store, 1..=1);
    let size = store.size();
    write(&mut store, 2..=2);
    write(&mut store, 3..=3);
    files.corrupt(LOG, size + 20);
    let error = open(&files).unwrap_err();
    assert!(matches!(error, StoreError::Corrupt { offset, .. } if offset == size));
    assert_eq!(
        files.read(LOG).unwrap().len(),
        store.size(),
        "nothing is truncated"
    );
}

#[test]
fn open_unknown_format_refused() {
    let files = MemoryFiles::default();
    create(&files);
    files.corrupt("identity", 0);
    assert!(matches!(
        open(&files),
        Err(StoreError::UnknownFormat { .. })
    ));
}

#[test]
fn open_newer_format_refused() {
    let files = MemoryFiles::default();
    create(&files);
    files.corrupt(LOG, HEADER_LEN - 4);
    let newer = FORMAT_VERSION ^ 0x55;
    let error = open(&files).unwrap_err();
    assert!(matches!(error, StoreError::NewerFormat { version, .. } if version == newer));
}

#[test]
fn write_failed_sync_reported() {
    let files = MemoryFiles::default();
    let mut store = create(&files);
    files.fail_syncs();
    let batch = Batch {
        append: &[entry(1)],
        ..Batch::default()
    };
    assert!(matches!(store.write(&batch), Err(StoreError::Io { .. })));
    files.crash(ALL_LOST);
    assert!(open(&files).unwrap().entries.is_empty());
}

#[test]
fn write_full_disk_reported() {
    let files = MemoryFiles::default();
    let mut store = create(&files);
    write(&mut store, 1..=1);
    files.fill_disk();
    let batch = Batch {
        append: &[entry(2)],
        ..Batch::default()
    };
    assert!(matches!(store.write(&batch), Err(StoreError::DiskFull)));
    files.crash(TornWrite {
        kept: 255,
        damaged: false,
    });
    assert_eq!(open(&files).unwrap().entries, vec![entry(1)]);
}

#[derive(Clone, Debug)]
enum Step {
    Write(u8),
    Compact,
    Crash(TornWrite),
    /// A sync fails; the instance crashes and restarts.
    FailedWrite(u8, TornWrite),
    FailedCompact(TornWrite),
}

fn torn_write() -> impl Strategy<Value = TornWrite> {
    any::<(u8, bool)>().prop_map(|(kept, damaged)| TornWrite { kept, damaged })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1u8..5).prop_map(Step::Write),
        1 => Just(Step::Compact),
        1 => torn_write().prop_map(Step::Crash),
        1 => ((1u8..5), torn_write()).prop_map(|(n, torn)| Step::FailedWrite(n, torn)),
        1 => torn_write().prop_map(Step::FailedCompact),
    ]
}

/// Checks that acknowledged entries are present after each step; unacknowledged
/// ones may be, too.
fn check_acknowledged_survive(steps: &[Step]) -> Result<(), TestCaseError> {
    let files = MemoryFiles::default();
    let mut store = create(&files);
    let mut acknowledged = 0;
    for step in steps {
        match step {
            Step::Write(count) => {
                let start = acknowledged + 1;
                acknowledged += u64::from(*count);
                write(&mut store, start..=acknowledged);
            }
            Step::Compact => {
                let done = compact(&mut store, acknowledged);
                prop_assert!(done.is_ok());
            }
            Step::Crash(torn_write) => files.crash(*torn_write),
            Step::FailedWrite(count, torn_write) => {
                files.fail_syncs();
                let append: Vec<Entry> = (1..=u64::from(*count))
                    .map(|n| entry(acknowledged + n))
                    .collect();
                let batch = Batch {
                    append: &append,
                    ..Batch::default()
                };
                prop_assert!(store.write(&batch).is_err());
                files.crash(*torn_write);
            }
            Step::FailedCompact(torn_write) => {
                files.fail_syncs();
                prop_assert!(compact(&mut store, acknowledged).is_err());
                files.crash(*torn_write);
            }
        }
        let opened = Store::open(Box::new(files.clone())).unwrap();
        let entries = &opened.durable.entries;
        let base = opened.durable.snapshot.index;
        let last = base + entries.len() as u64;
        prop_assert!(last >= acknowledged, "{last} of {acknowledged}");
        for (index, found) in (base + 1..).zip(entries) {
            prop_assert_eq!(found, &entry(index));
        }
        acknowledged = last;
        store = opened.store;
    }
    Ok(())
}

fn compact(store: &mut Store, index: u64) -> Result<(), StoreError> {
    let snapshot = Snapshot {
        index,
        term: 1,
        ..Snapshot::default()
    };
    store.replace(HardState::default(), &snapshot, &[])
}

#[test]
fn acknowledged_survives_any_crash() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let steps = proptest::collection::vec(step(), 1..40);
    let result = runner.run(&steps, |steps| check_acknowledged_survive(&steps));
    if let Err(error) = result {
        panic!("{error}");
    }
}
