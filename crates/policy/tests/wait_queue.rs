//! Requests of an entry that wait for a place, in virtual time.

use dogwoodhill_policy::lending::{Priority, WaitQueue};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn queue_with(hold: Duration, places: u32) -> WaitQueue<u32> {
    let mut queue = WaitQueue::default();
    queue.record_free(ms(0), hold);
    queue.set_places(places);
    queue
}

/// Load: requests of two tiers, some of a workspace above its share, and some that can no
/// longer meet their objectives.
#[test]
fn pop_waiting_in_order() {
    let mut queue = queue_with(ms(1), 100);
    let priority = |tier, above, due| Priority {
        tier,
        above,
        due: ms(due),
    };
    let all = [
        priority(1, false, 50),
        priority(0, true, 40),
        priority(0, false, 5),
        priority(0, false, 90),
        priority(0, false, 60),
    ];
    for (item, priority) in all.into_iter().enumerate() {
        let pushed = queue.push(ms(0), priority, ms(900), 1, item as u32);
        assert!(pushed.is_ok());
    }
    let order: Vec<u32> = std::iter::from_fn(|| queue.pop(ms(10), |_| Some(())))
        .map(|(waiting, ())| waiting.item)
        .collect();
    assert_eq!(order, [4, 3, 2, 1, 0]);
}

/// Load: a place comes free every 10 ms, and requests have 100 ms. The eleventh is
/// refused at once, and one that slips back is refused when its wait can't end in time.
#[test]
fn push_wait_cannot_end_refused_at_once() {
    let mut queue = queue_with(ms(10), 1);
    let low = Priority {
        tier: 1,
        ..Priority::default()
    };
    for item in 0..10 {
        assert!(queue.push(ms(0), low, ms(100), 1, item).is_ok());
    }
    let refused = queue.push(ms(0), low, ms(100), 1, 10);
    let verdict = refused.expect_err("ten are ahead");
    assert_eq!((verdict.ahead, verdict.wait), (10, Some(ms(110))));
    let first = Priority::default();
    assert!(queue.push(ms(0), first, ms(100), 1, 11).is_ok());
    let late = queue.remove_late(ms(0));
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].0.item, 9, "the last one");
}

/// Load: a place comes free every 10 ms. A request that can no longer meet its objective
/// still waits, and is refused once those that can push its wait beyond its deadline.
#[test]
fn push_objective_missed_waits_until_passed() {
    let mut queue = queue_with(ms(10), 1);
    let due = |due| Priority {
        due: ms(due),
        ..Priority::default()
    };
    assert!(queue.push(ms(10), due(5), ms(60), 1, 0).is_ok());
    for item in 1..5 {
        assert!(queue.push(ms(10), due(300), ms(900), 1, item).is_ok());
    }
    assert!(queue.remove_late(ms(10)).is_empty());
    assert!(queue.push(ms(10), due(300), ms(900), 1, 5).is_ok());
    let late = queue.remove_late(ms(10));
    assert_eq!(late.iter().map(|late| late.0.item).collect::<Vec<_>>(), [0]);
}

/// Load: few requests before a burst, so that few places came free. The wait is expected
/// from the places held; without any estimate a request waits until its time is over.
#[test]
fn push_after_calm_waits() {
    let mut queue = queue_with(ms(10), 4);
    let hour = Duration::from_hours(1);
    for item in 0..8 {
        let pushed = queue.push(hour, Priority::default(), hour + ms(25), 1, item);
        assert!(pushed.is_ok(), "{item}");
    }
    queue.set_places(0);
    assert!(queue.remove_late(hour + ms(24)).is_empty());
    assert_eq!(queue.remove_late(hour + ms(25)).len(), 8);
}

/// Load: more requests, or more bytes, than an entry may keep.
#[test]
fn push_beyond_bounds_refused() {
    let mut queue = queue_with(ms(1), 10_000);
    let mut push = |bytes| queue.push(ms(0), Priority::default(), ms(900), bytes, 0);
    assert!(push(8 * 1024 * 1024).is_ok());
    assert!(push(1).is_err());
    let id = push(0).expect("there is room for it");
    assert!(queue.remove(id).is_some());
    let pushed = (0..1_000).filter(|_| {
        queue
            .push(ms(0), Priority::default(), ms(900), 0, 0)
            .is_ok()
    });
    assert_eq!(pushed.count(), 511);
}
