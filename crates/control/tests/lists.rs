//! The list of endpoints, read by a few entries and passed on to all.

use dogwoodhill_control::lists::Lists;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::reads::{Reads, STALE};
use dogwoodhill_wire::demand::{EndpointSight, EndpointVerdict, TellDemand, VerdictWord};
use dogwoodhill_wire::list::{ListRead, Listed};
use std::time::Duration;
use tokio::time::Instant;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn endpoints(count: usize) -> Vec<Listed> {
    let one = |i: usize| Listed {
        run: Incarnation::new(format!("i-{i}"), None),
        service: "voice".to_string(),
        address: ([127, 0, 0, 1], 1_000 + i as u16).into(),
        domain: "here".to_string(),
        slots: 64,
        leaving: false,
    };
    (0..count).map(one).collect()
}

fn read(mark: u64, age: Duration, count: Option<usize>) -> Option<ListRead> {
    Some(ListRead {
        mark,
        age,
        endpoints: count.map(endpoints),
    })
}

/// What was read goes to those that don't have it; its age goes to all.
#[test]
fn tell_newest_read_passed_on() {
    let lists = Lists::default();
    let now = Instant::now() + ms(60_000);
    lists.tell(now, "a", 7, read(7, ms(40), Some(3)));
    let news = lists.tell(now + ms(500), "b", 0, None).newest.expect("one");
    assert_eq!((news.mark, news.age), (7, ms(540)));
    assert_eq!(news.endpoints.expect("b has none").len(), 3);
    let news = lists.tell(now + ms(900), "b", 7, None).newest.expect("one");
    assert_eq!((news.age, news.endpoints), (ms(940), None));
}

/// Reads that cross change nothing; one of the same content makes it fresh, also
/// without the content.
#[test]
fn tell_older_read_changes_nothing() {
    let lists = Lists::default();
    let now = Instant::now() + ms(60_000);
    lists.tell(now, "a", 7, read(7, ms(40), Some(3)));
    let news = lists.tell(now, "b", 8, read(8, ms(300), Some(9)));
    assert_eq!(news.newest.expect("one").mark, 7);
    let news = lists.tell(now + ms(400), "b", 9, read(9, ms(10), None));
    assert_eq!(news.newest.expect("one").mark, 7, "nobody told its content");
    let news = lists.tell(now + ms(500), "b", 7, read(7, ms(20), None));
    assert_eq!(news.newest.expect("one").age, ms(20));
}

/// The two first by name read; one that can't any more is replaced by one that had
/// to read by itself, and one that is gone by the next.
#[test]
fn tell_readers_replaced() {
    let lists = Lists::default();
    let start = Instant::now() + ms(60_000);
    let mut mark = 0;
    let mut told = |lists: &Lists, at: u64, entry: &str, reads: bool| {
        mark += 1;
        let list = reads.then(|| read(mark, ms(5), Some(1))).flatten();
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
    reads: Reads,
    mark: u64,
    own: Option<(u64, u64)>,
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
    let start = Instant::now() + ms(60_000);
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
                let due = entry.reads.due(ms(now), interval, spread);
                if due.is_zero() {
                    counts[(now / 1_000) as usize] += 1;
                    entry.mark = 1 + now / 7_000;
                    entry.reads.take(ms(now));
                    entry.own = Some((now, entry.mark));
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
                let own = entry.own.map(|(at, mark)| ListRead {
                    mark,
                    age: ms(now - at),
                    endpoints: Some(endpoints(2)),
                });
                let name = format!("entry-{name:02}");
                let news = lists.tell(start + ms(now), &name, entry.mark, own);
                entry.reads.appoint(news.reader);
                if let Some(newest) = news.newest
                    && entry.reads.take(ms(now).saturating_sub(newest.age))
                {
                    entry.mark = newest.mark;
                }
            }
            let bound = STALE.mul_f64(1.25) + ms(20);
            assert!(entry.reads.due(ms(now), interval, 0.0) <= bound);
            let overdue = entry.reads.due(ms(now) - bound.min(ms(now)), interval, 0.0);
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

/// What entry `name` met, whose list has the mark `held`.
fn met(name: &str, held: u64, sights: Vec<EndpointSight>, heard: Vec<u8>) -> TellDemand {
    TellDemand {
        entry: name.to_string(),
        held,
        sights,
        heard,
        ..TellDemand::default()
    }
}

fn lost(place: u32) -> Vec<EndpointSight> {
    vec![EndpointSight {
        place,
        unreached: true,
        ..EndpointSight::default()
    }]
}

/// Two entries lost an endpoint: all are told, until a third one hears from it.
#[test]
fn sighted_lost_by_two_told_to_all() {
    let lists = Lists::default();
    let now = Instant::now() + ms(60_000);
    lists.tell(now, "a", 7, read(7, ms(40), Some(12)));
    lists.sighted(now, &met("a", 7, lost(9), Vec::new()));
    assert_eq!(lists.verdicts(now), []);
    lists.sighted(now + ms(100), &met("b", 7, lost(9), Vec::new()));
    let silent = EndpointVerdict {
        place: 9,
        verdict: VerdictWord::Silent,
    };
    assert_eq!(lists.verdicts(now + ms(200)), [silent]);
    let heard = vec![0, 0b10];
    lists.sighted(now + ms(300), &met("c", 7, Vec::new(), heard));
    assert_eq!(lists.verdicts(now + ms(400)), []);
}

/// Places of another list mean other endpoints: they count for nothing. Where the list
/// changes, what was met follows its endpoint to its new place.
#[test]
fn sighted_places_are_those_of_one_list() {
    let lists = Lists::default();
    let now = Instant::now() + ms(60_000);
    lists.tell(now, "a", 7, read(7, ms(40), Some(3)));
    for entry in ["a", "b"] {
        lists.sighted(now, &met(entry, 6, lost(2), vec![0xff; 999]));
    }
    assert_eq!(lists.verdicts(now), []);
    for entry in ["a", "b"] {
        lists.sighted(now + ms(100), &met(entry, 7, lost(2), Vec::new()));
    }
    let mut longer = read(8, ms(40), Some(3)).expect("a read");
    let earlier = Listed {
        run: Incarnation::new("a-first", None),
        ..endpoints(1).remove(0)
    };
    longer.endpoints.as_mut().expect("content").push(earlier);
    lists.tell(now + ms(200), "a", 7, Some(longer));
    let places: Vec<u32> = lists
        .verdicts(now + ms(200))
        .iter()
        .map(|told| told.place)
        .collect();
    assert_eq!(places, [3]);
}
