//! The lock of a data folder. In a test binary of its own, because snapshot tests may
//! start a process to find their folder, and between fork and exec that process holds
//! all locks of this one.

use dogwoodhill_consensus::log::{Entry, Payload};
use dogwoodhill_store::{Batch, DiskFiles, Identity, Store, StoreError};

const IDENTITY: Identity = Identity {
    cluster: 7,
    node: 9,
};

#[test]
fn open_second_time_locked_out() {
    let folder = std::env::temp_dir().join(format!("dwh-lock-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let first = DiskFiles::open(&folder).unwrap();
    assert!(matches!(DiskFiles::open(&folder), Err(StoreError::Locked)));
    drop(first);
    let files = DiskFiles::open(&folder).unwrap();
    assert!(Store::is_uninitialized(&files).unwrap());
    let mut store = Store::create(Box::new(files), IDENTITY).unwrap().store;
    let entry = Entry {
        index: 1,
        term: 1,
        payload: Payload::Command(vec![1]),
    };
    let batch = Batch {
        append: std::slice::from_ref(&entry),
        ..Batch::default()
    };
    store.write(&batch).unwrap();
    drop(store);
    let files = DiskFiles::open(&folder).unwrap();
    assert!(!Store::is_uninitialized(&files).unwrap());
    let opened = Store::open(Box::new(files)).unwrap();
    assert_eq!(opened.identity, IDENTITY);
    assert_eq!(opened.durable.entries, vec![entry]);
    drop(opened);
    std::fs::remove_dir_all(&folder).unwrap();
}
