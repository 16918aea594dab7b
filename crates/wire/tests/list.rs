//! What changed between two lists, and who may take it in.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::list::{
    CompressedList, EndpointRecord, ListChanges, ListHistory, ListRead, ListSnapshot,
    mark,
};
use proptest::prelude::*;
use std::sync::Arc;

fn listed(id: u16, leaving: bool) -> EndpointRecord {
    EndpointRecord {
        run: Incarnation::new(format!("i-{id:05}"), None),
        service: "voice".to_string(),
        address: ([127, 0, 0, 1], 1_000 + id).into(),
        domain: "here".to_string(),
        slots: 48,
        leaving,
    }
}

fn list(ids: impl IntoIterator<Item = u16>) -> ListSnapshot {
    ListSnapshot::new(ids.into_iter().map(|id| listed(id, false)).collect())
}

fn told(contents: &mut ListHistory, held: u64) -> ListRead {
    contents.read_for(held, Duration::ZERO, Duration::ZERO)
}

/// A receiver that knows nothing, or a list of long ago, gets the whole; one that has an
/// earlier list what changed; one that has the newest neither.
#[test]
fn told_whole_only_where_it_must_be() {
    let mut contents = ListHistory::default();
    let lists: Vec<ListSnapshot> = (0..12).map(|n| list(n..n + 40)).collect();
    for list in &lists {
        contents.put(list.clone());
    }
    let newest = &lists[11];
    assert!(told(&mut contents, 0).whole.is_some());
    assert!(
        told(&mut contents, lists[0].mark).whole.is_some(),
        "long ago"
    );
    let read = told(&mut contents, lists[9].mark);
    assert_eq!((read.mark, read.whole), (newest.mark, None));
    assert_eq!(read.changes.expect("two came, two went").len(), 4);
    let read = told(&mut contents, newest.mark);
    assert_eq!((read.whole, read.changes), (None, None));
}

/// 2,998 endpoints leave one by one, as 300 entries hear of it twice a second: what is told
/// of one change is less than a thousandth of the list.
#[test]
fn told_one_of_thousands_is_small() {
    let mut contents = ListHistory::default();
    let first = list(0..2_998);
    contents.put(first.clone());
    let mut after = Vec::clone(&first.endpoints);
    after[1_234].leaving = true;
    contents.put(ListSnapshot::new(after));
    let size = |read: &ListRead| rmp_serde::to_vec(read).expect("it encodes").len();
    let whole = size(&told(&mut contents, 0));
    let changes = size(&told(&mut contents, first.mark));
    let plain = rmp_serde::to_vec(&*first.endpoints)
        .expect("it encodes")
        .len();
    assert!(changes * 1_000 < plain, "{changes} of {plain} bytes");
    assert!(whole * 5 < plain, "{whole} of {plain} bytes, packed");
}

/// A packed list with a damaged byte is no list, or one with another mark; only bytes
/// that say nothing of the list (the packer's time and system) change nothing.
#[test]
fn packed_list_damaged_is_not_taken() {
    let list = list(0..20);
    let text =
        rmp_serde::to_vec(&CompressedList::of(&list.endpoints)).expect("it encodes");
    let read = |text: &[u8]| rmp_serde::from_slice::<CompressedList>(text).ok()?.read();
    assert_eq!(read(&text).as_ref(), Some(&*list.endpoints));
    for at in 0..text.len() {
        let mut damaged = text.clone();
        damaged[at] ^= 0x55;
        let other = read(&damaged).filter(|other| *other != *list.endpoints);
        assert!(other.is_none_or(|other| mark(&other) != list.mark), "{at}");
        assert_eq!(read(&text[..at]), None, "{at}");
    }
}

/// Nothing is taken whose mark is not the one that was told, and changes only on the list
/// that they were worked out from.
#[test]
fn heard_only_what_has_its_mark() {
    let (old, new) = (list(0..9), list(1..12));
    let mut contents = ListHistory::default();
    contents.put(old.clone());
    let changes = ListChanges::between(old.mark, &old.endpoints, &new.endpoints);
    let read = |mark, changes: &ListChanges| ListRead {
        mark,
        age: Duration::ZERO,
        took: Duration::ZERO,
        whole: None,
        changes: Some(Arc::new(changes.clone())),
    };
    let heard = contents
        .resolve(&read(new.mark, &changes))
        .expect("it fits");
    assert_eq!(heard.endpoints, new.endpoints);
    assert!(contents.resolve(&read(new.mark + 1, &changes)).is_none());
    let elsewhere = ListChanges {
        from: new.mark,
        ..changes.clone()
    };
    assert!(contents.resolve(&read(new.mark, &elsewhere)).is_none());
    let mut damaged = changes;
    damaged.removed = vec![u32::MAX, 3, 3, 0];
    assert!(contents.resolve(&read(new.mark, &damaged)).is_none());
    assert!(
        ListHistory::default()
            .resolve(&read(0, &ListChanges::default()))
            .is_none()
    );
}

fn any_list() -> impl Strategy<Value = Vec<(u16, bool)>> {
    proptest::collection::vec((0u16..30, any::<bool>()), 0..30)
}

fn content(list: Vec<(u16, bool)>) -> ListSnapshot {
    let mut list = list;
    list.sort_unstable();
    list.dedup_by_key(|item| item.0);
    ListSnapshot::new(
        list.into_iter()
            .map(|(id, leaving)| listed(id, leaving))
            .collect(),
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn apply_between_is_the_new_list(old in any_list(), new in any_list()) {
        let (old, new) = (content(old), content(new));
        let changes = ListChanges::between(old.mark, &old.endpoints, &new.endpoints);
        let applied = changes.apply(&old);
        prop_assert_eq!(applied.mark, new.mark);
        prop_assert_eq!(applied.endpoints, new.endpoints);
    }

    /// Lists change, and what is told of them is lost, doubled and late, or the teller
    /// starts again: a receiver only ever has a list that there was, and has the newest
    /// one after its next exchange or, where changes did not fit, the one after that.
    #[test]
    fn receiver_converges(
        lists in proptest::collection::vec(any_list(), 1..20),
        steps in proptest::collection::vec((any::<bool>(), any::<bool>(), 0usize..4), 1..60),
    ) {
        let lists: Vec<ListSnapshot> = lists.into_iter().map(content).collect();
        let (mut teller, mut receiver) = (ListHistory::default(), ListHistory::default());
        let mut at = 0;
        let mut late: Vec<ListRead> = Vec::new();
        for (changes, lost, kind) in steps {
            if changes && at < lists.len() {
                teller.put(lists[at].clone());
                at += 1;
            }
            if kind == 3 && at > 0 {
                teller = ListHistory::default();
                teller.put(lists[at - 1].clone());
            }
            if teller.newest().mark == 0 {
                continue;
            }
            let read = told(&mut teller, receiver.newest().mark);
            late.push(read.clone());
            let read = if kind == 2 { late[late.len() / 2].clone() } else { read };
            if lost {
                continue;
            }
            if let Some(content) = receiver.resolve(&read) {
                prop_assert!(lists[..at].iter().any(|list| list.mark == content.mark));
                receiver.put(content);
            }
        }
        if teller.newest().mark != 0 {
            let read = told(&mut teller, receiver.newest().mark);
            if let Some(content) = receiver.resolve(&read) {
                receiver.put(content);
            }
            prop_assert_eq!(receiver.newest().mark, teller.newest().mark);
        }
    }
}
