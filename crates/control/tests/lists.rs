//! The list of endpoints, read by a few entries and passed on to all.

use dogwoodhill_control::lists::Lists;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::list_reads::{ListReads, STALE_AFTER};
use dogwoodhill_wire::demand::{
    DemandReport, Echo, EndpointObservation, EndpointVerdict, Stamp, WireVerdict,
};
use dogwoodhill_wire::list::{
    CompressedList, EndpointRecord, ListChanges, ListRead, ListSnapshot, Mark, mark,
};
use std::sync::Arc;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn endpoints(count: usize) -> Vec<EndpointRecord> {
    let one = |i: usize| EndpointRecord {
        run: Incarnation::new(format!("i-{i}"), None),
        service: "voice".to_string(),
        address: ([127, 0, 0, 1], 1_000 + i as u16).into(),
        domain: "here".to_string(),
        slots: 64,
        leaving: false,
    };
    (0..count).map(one).collect()
}

/// The mark of the list of `count` endpoints.
fn named(count: usize) -> Mark {
    mark(&endpoints(count))
}

/// A read of `count` endpoints, told with its content or without.
fn read(count: usize, age: Duration, content: bool) -> Option<ListRead> {
    Some(ListRead {
        mark: named(count),
        age,
        took: ms(50),
        whole: content.then(|| Arc::new(CompressedList::of(&endpoints(count)))),
        changes: None,
    })
}

/// What was read goes to those that don't have it; its age goes to all.
#[test]
fn tell_newest_read_passed_on() {
    let lists = Lists::default();
    let now = ms(60_000);
    let held = named(3);
    lists.tell(now, "a", held, read(3, ms(40), true));
    let news = lists.tell(now + ms(500), "b", 0, None).newest.expect("one");
    assert_eq!((news.mark, news.age), (held, ms(540)));
    let whole = news.whole.expect("b has none").read();
    assert_eq!(whole.expect("it is whole").len(), 3);
    let news = lists
        .tell(now + ms(900), "b", held, None)
        .newest
        .expect("one");
    assert_eq!((news.age, news.whole), (ms(940), None));
}

/// An instance that stood still has not heard of any entry for long, and not because they are
/// gone: the readers stay, and no other is asked to read as the others tell one by one.
#[test]
fn tell_after_standing_still_same_readers() {
    let lists = Lists::default();
    let now = ms(60_000);
    let names: Vec<String> = (0..100).map(|at| format!("entry-{at:02}")).collect();
    for name in &names {
        lists.tell(now, name, 0, None);
    }
    let woken = now + ms(6_000);
    let told = names
        .iter()
        .rev()
        .map(|name| lists.tell(woken, name, 0, None));
    assert_eq!(told.filter(|news| news.reader).count(), 2);
}

/// An instance stands still for five seconds while an entry's word lies before it. What the
/// entry read is dated as it was read, so a list that came in meanwhile stays; without the
/// echo it would have looked as fresh as when it was written.
#[test]
fn dated_with_the_time_under_way() {
    let lists = Lists::default();
    let now = ms(60_000);
    let stamp = lists.stamp(now);
    let echo = |since| Some(Echo { stamp, since });
    let late = lists.dated(now + ms(6_000), echo(ms(1_000)), read(3, ms(40), true));
    assert_eq!(late.as_ref().expect("told").age, ms(5_040));
    lists.tell(now + ms(5_900), "b", 0, read(4, ms(900), true));
    let news = lists.tell(now + ms(6_000), "a", 0, late).newest;
    assert_eq!(news.expect("one").mark, named(4), "the newer read stays");
    for (run, at) in [(0, stamp.at), (stamp.run.wrapping_add(1), Duration::ZERO)] {
        let other = Some(Echo {
            stamp: Stamp { run, at },
            since: ms(1_000),
        });
        let told = lists.dated(now + ms(6_000), other, read(3, ms(40), false));
        assert_eq!(
            told.expect("told").age,
            ms(40),
            "another run's time says nothing"
        );
    }
}

/// Reads that cross change nothing; one of the same content makes it fresh, also
/// without the content.
#[test]
fn tell_older_read_changes_nothing() {
    let lists = Lists::default();
    let now = ms(60_000);
    let held = named(3);
    lists.tell(now, "a", held, read(3, ms(40), true));
    let news = lists.tell(now, "b", named(9), read(9, ms(300), true));
    assert_eq!(news.newest.expect("one").mark, held);
    let news = lists.tell(now + ms(400), "b", named(4), read(4, ms(10), false));
    assert_eq!(
        news.newest.expect("one").mark,
        held,
        "nobody told its content"
    );
    let news = lists.tell(now + ms(500), "b", held, read(3, ms(20), false));
    assert_eq!(news.newest.expect("one").age, ms(20));
}

/// The two first by name read; one that can't any more is replaced by one that had
/// to read by itself, and one that is gone by the next.
#[test]
fn tell_readers_replaced() {
    let lists = Lists::default();
    let start = ms(60_000);
    let mut count = 0;
    let mut told = |lists: &Lists, at: u64, entry: &str, reads: bool| {
        count += 1;
        let list = reads.then(|| read(count, ms(5), true)).flatten();
        lists.tell(start + ms(at), entry, 0, list).reader
    };
    for entry in ["a", "b", "c"] {
        told(&lists, 0, entry, true);
    }
    let readers = |told: &mut dyn FnMut(&Lists, u64, &str, bool) -> bool, at| {
        ["a", "b", "c"].map(|entry| told(&lists, at, entry, entry != "a"))
    };
    assert_eq!(readers(&mut told, 500), [true, true, false]);
    for at in [1_000, 1_500, 2_000, 2_500] {
        readers(&mut told, at);
    }
    assert_eq!(
        readers(&mut told, 3_100),
        [false, true, true],
        "a can't read"
    );
    assert!(!told(&lists, 5_000, "a", false));
    assert!(told(&lists, 5_050, "c", true));
    assert!(told(&lists, 5_100, "a", false), "b is gone");
}

/// An entry of the day below.
#[derive(Clone, Copy, Default)]
struct Entry {
    reads: ListReads,
    mark: Mark,
    count: usize,
    own: Option<(u64, usize)>,
    next: u64,
    tells: u64,
}

/// 33 entries for a minute. The two readers are killed at 20 s, and control can't be
/// reached from 30 s to 40 s. No entry is ever longer without a fresh read than the
/// bound and a quarter; all of them together read the list about once a second,
/// and while control is away not more often than each in two.
#[test]
fn tell_minute_of_33_entries() {
    let lists = Lists::default();
    let start = ms(60_000);
    let interval = ms(1_000);
    let mut entries = [Entry::default(); 33];
    let mut counts = [0u32; 60];
    for now in 0..60_000u64 {
        for (name, entry) in entries.iter_mut().enumerate() {
            if now >= 20_000 && name < 2 {
                continue;
            }
            if now >= entry.next {
                let spread = (name * 37 % 33) as f64 / 33.0;
                let due = entry.reads.next_read_delay(ms(now), interval, spread);
                if due.is_zero() {
                    counts[(now / 1_000) as usize] += 1;
                    entry.count = 2 + now as usize / 7_000;
                    entry.reads.take(ms(now), ms(50));
                    entry.own = Some((now, entry.count));
                    entry.mark = named(entry.count);
                    entry.tells = now;
                }
                entry.next = now + (due.as_millis() as u64).max(1);
            }
            let away = (30_000..40_000).contains(&now);
            if now >= entry.tells {
                entry.tells = now + 400 + (name as u64 * 13) % 200;
                if away {
                    continue;
                }
                let own = entry.own;
                let own = own.and_then(|(at, count)| read(count, ms(now - at), true));
                let name = format!("entry-{name:02}");
                let news = lists.tell(start + ms(now), &name, entry.mark, own);
                entry.reads.set_reader(news.reader);
                if let Some(newest) = news.newest
                    && entry
                        .reads
                        .take(ms(now).saturating_sub(newest.age), newest.took)
                {
                    entry.mark = newest.mark;
                }
            }
            let bound = STALE_AFTER.mul_f64(1.25) + ms(20);
            assert!(entry.reads.next_read_delay(ms(now), interval, 0.0) <= bound);
            let overdue =
                entry
                    .reads
                    .next_read_delay(ms(now) - bound.min(ms(now)), interval, 0.0);
            assert!(now < 3_000 || overdue > Duration::ZERO, "{name} at {now}");
        }
    }
    let mean = |from: usize, to: usize| {
        let sum: u32 = counts[from..to].iter().sum();
        f64::from(sum) / (to - from) as f64
    };
    assert!(mean(2, 19) <= 2.0, "{counts:?}");
    assert!(mean(24, 30) <= 2.0, "{counts:?}");
    assert!(mean(32, 40) <= 33.0 / 2.0, "{counts:?}");
    assert!(mean(44, 60) <= 2.0, "{counts:?}");
}

/// What entry `name` met, whose list has the mark `list_mark`.
fn met(
    name: &str,
    list_mark: u64,
    observations: Vec<EndpointObservation>,
    responding: Vec<u8>,
) -> DemandReport {
    DemandReport {
        entry: name.to_string(),
        list_mark,
        observations,
        responding,
        ..DemandReport::default()
    }
}

fn lost(list_index: u32) -> Vec<EndpointObservation> {
    vec![EndpointObservation {
        list_index,
        unreached: true,
        ..EndpointObservation::default()
    }]
}

/// Two entries lost an endpoint: all are told, until a third one hears from it.
#[test]
fn sighted_lost_by_two_told_to_all() {
    let lists = Lists::default();
    let now = ms(60_000);
    let held = named(12);
    lists.tell(now, "a", held, read(12, ms(40), true));
    lists.sighted(now, &met("a", held, lost(9), Vec::new()));
    assert_eq!(lists.verdicts(now), []);
    lists.sighted(now + ms(100), &met("b", held, lost(9), Vec::new()));
    let silent = EndpointVerdict {
        list_index: 9,
        verdict: WireVerdict::Silent,
    };
    assert_eq!(lists.verdicts(now + ms(200)), [silent]);
    let heard = vec![0, 0b10];
    lists.sighted(now + ms(300), &met("c", held, Vec::new(), heard));
    assert_eq!(lists.verdicts(now + ms(400)), []);
}

/// An instance stood still, and reads what entries told it before: an endpoint that they had
/// lost then is not silent now.
#[test]
fn sighted_late_counts_for_nothing() {
    let lists = Lists::default();
    let now = ms(60_000);
    let held = named(12);
    lists.tell(now, "a", held, read(12, ms(40), true));
    let stamp = lists.stamp(now);
    let told = |name, since| DemandReport {
        echo: Some(Echo { stamp, since }),
        ..met(name, held, lost(9), Vec::new())
    };
    for name in ["a", "b"] {
        lists.sighted(now + ms(4_000), &told(name, ms(500)));
    }
    assert_eq!(lists.verdicts(now + ms(4_000)), []);
    for name in ["a", "b"] {
        lists.sighted(now + ms(5_000), &told(name, ms(4_800)));
    }
    let verdicts = lists.verdicts(now + ms(5_100));
    assert_eq!(verdicts.len(), 1, "this was under way for a moment");
}

/// Places of another list mean other endpoints: they count for nothing. Where the list
/// changes, what was met follows its endpoint to its new place.
#[test]
fn sighted_places_are_those_of_one_list() {
    let lists = Lists::default();
    let now = ms(60_000);
    let held = named(3);
    lists.tell(now, "a", held, read(3, ms(40), true));
    for entry in ["a", "b"] {
        lists.sighted(now, &met(entry, 6, lost(2), Vec::new()));
    }
    assert_eq!(lists.verdicts(now), []);
    let beyond = met("c", held, lost(99), vec![0xff; 999]);
    lists.sighted(now, &beyond);
    assert_eq!(lists.verdicts(now), [], "places that the list doesn't have");
    for entry in ["a", "b"] {
        lists.sighted(now + ms(100), &met(entry, held, lost(2), Vec::new()));
    }
    let mut longer = endpoints(3);
    longer.push(EndpointRecord {
        run: Incarnation::new("a-first", None),
        ..endpoints(1).remove(0)
    });
    let changes = ListChanges::between(
        held,
        &endpoints(3),
        &ListSnapshot::new(longer.clone()).endpoints,
    );
    let longer = ListRead {
        mark: mark(&longer),
        age: ms(40),
        took: ms(50),
        whole: None,
        changes: Some(Arc::new(changes)),
    };
    lists.tell(now + ms(200), "a", held, Some(longer));
    // Half a second after the last byte was heard from it.
    let places: Vec<u32> = lists
        .verdicts(now + ms(700))
        .iter()
        .map(|told| told.list_index)
        .collect();
    assert_eq!(places, [3]);
}

/// After all were killed 450 entries ask for a list of 3,000 endpoints every 100 ms, over
/// one link of 100 Mbit/s. Each interval no more is told than the link carries in it, so
/// that whoever is told has the list before it gives up; and all have it within two
/// seconds. Told all at once it would be 20 MB under way at the same time.
#[test]
fn tell_hundreds_that_start_in_turn() {
    let lists = Lists::default();
    let start = ms(60_000);
    lists.tell(start, "reader", named(3_000), read(3_000, ms(0), true));
    let mut waiting: Vec<usize> = (0..450).collect();
    let mut intervals = 0;
    while !waiting.is_empty() {
        let now = start + ms(100) * intervals;
        let mut bytes = 0;
        waiting.retain(|entry| {
            let told = lists.tell(now, &format!("entry-{entry}"), 0, None).newest;
            let whole = told.and_then(|told| told.whole);
            bytes += whole.as_ref().map_or(0, |whole| whole.size());
            whole.is_none()
        });
        assert!(bytes <= 1_100_000, "{bytes} in one interval");
        intervals += 1;
        assert!(intervals <= 20, "{} still wait", waiting.len());
    }
}
