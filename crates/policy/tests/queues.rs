//! How long prompts wait at each endpoint, as all entries together see it.

use dogwoodhill_policy::affinity::{Candidate, choose, hash, mix};
use dogwoodhill_policy::queues::{Queues, Sight, decode, encode};
use dogwoodhill_policy::wait::Waits;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn sight(work: u64, oldest: u64, learned: Option<u64>) -> Sight {
    Sight {
        work: ms(work),
        oldest: ms(oldest),
        learned: learned.map(ms),
    }
}

/// Three queues of five places: none, `count` entries' work together, and one that is
/// longer than the work in it because memory is full.
fn queues(count: usize) -> Queues {
    let mut queues = Queues::default();
    queues.relist((0..3).map(|_| None));
    for entry in 0..count {
        let seen = vec![(1, sight(200, 100, None)), (2, sight(10, 900, None))];
        queues.tell(ms(0), &format!("entry-{entry}"), seen);
    }
    queues
}

#[test]
fn waits_sum_of_work_or_what_was_waited() {
    let waits = queues(4).waits(ms(100));
    assert_eq!(waits, [ms(0), ms(800), ms(900)]);
}

/// An entry that tells again replaces what it told; one that tells no more stops
/// counting after three intervals.
#[test]
fn tell_again_replaces_and_silence_ends() {
    let mut queues = queues(4);
    queues.tell(ms(500), "entry-0", Vec::new());
    assert_eq!(queues.waits(ms(600))[1], ms(600));
    assert_eq!(queues.waits(ms(1_700)), [ms(0); 3]);
}

/// Places that no list has, and the same from a thousand entries: nothing breaks, and
/// nobody else's news are lost.
#[test]
fn tell_unknown_places_ignored() {
    let mut queues = queues(1);
    for entry in 0..1_000 {
        let seen = vec![(7, sight(9, 9, Some(9))), (u32::MAX, sight(9, 9, None))];
        queues.tell(ms(1), &format!("other-{entry}"), seen);
    }
    assert_eq!(queues.waits(ms(2))[1], ms(200));
}

/// An endpoint leaves the list: what was learned of the others stays with them.
#[test]
fn relist_keeps_what_was_learned() {
    let mut queues = Queues::default();
    queues.relist((0..3).map(|_| None));
    queues.tell(ms(0), "a", vec![(2, sight(0, 0, Some(1_000)))]);
    queues.relist([Some(0), Some(2), None].into_iter());
    let waits = queues.waits(ms(0));
    assert!(
        waits[1] > ms(300) && waits[0] == ms(0) && waits[2] == ms(0),
        "{waits:?}"
    );
}

/// What was told a moment ago goes before what an entry remembers, and what it has sent
/// since comes on top; old news are not used.
#[test]
fn wait_told_goes_first_while_fresh() {
    let reading = |tokens: f64| Duration::from_secs_f64(tokens / 50_000.0);
    let mut waits = Waits::default();
    waits.learn(ms(0), ms(4_000));
    waits.told(ms(100), ms(300));
    assert_eq!(waits.wait(ms(100), false, reading), ms(300));
    waits.sent(ms(100), 5_000.0, false);
    assert_eq!(waits.wait(ms(100), false, reading), ms(400));
    assert!(waits.wait(ms(1_800), false, reading) > ms(500), "by itself");
}

/// A rejection is news of a long queue, and is told once.
#[test]
fn rejected_is_told_once() {
    let mut waits = Waits::default();
    waits.rejected(ms(0));
    let told = waits.sight(ms(10), |_| Duration::ZERO).expect("it is news");
    assert!(told.learned.expect("a wait") >= ms(2_000));
    assert_eq!(waits.sight(ms(20), |_| Duration::ZERO), None);
}

/// What one run of [`Load`] led to.
#[derive(Debug)]
struct Outcome {
    /// Share of the prompts that endpoints had no room for.
    rejected: f64,
    /// Share that waited for more than 1.2 s: with its own reading and the first step a
    /// chapter is late then, of 1.5 s.
    late: f64,
    /// Share of all reading that was of beginnings read there before.
    anew: f64,
}

/// The load of the pattern: entries that send prompts of 9,190 tokens, 6,300 of them one
/// of `BOOKS` beginnings an endpoint, a few of which get much of the traffic, to endpoints that read
/// one prompt after the other, 50 tokens a millisecond, keep the last sixteen beginnings
/// and hold `ROOM` prompts that wait.
struct Load {
    entries: usize,
    endpoints: usize,
    /// Prompts a second, for each endpoint.
    rate: f64,
    /// Whether entries tell each other what they see.
    together: bool,
}

/// Beginnings for each endpoint.
const BOOKS: u64 = 5;
const ROOM: usize = 24;
const SECONDS: u64 = 20;

#[derive(Default)]
struct Engine {
    free: Duration,
    /// When prompts that wait begin to be read.
    begins: VecDeque<Duration>,
    /// Newest at the end.
    kept: VecDeque<u64>,
}

struct Entry {
    waits: Vec<Waits>,
    seen: Vec<Vec<(u64, Duration)>>,
    /// Prompts under way: when they are read, when they were sent, where.
    under_way: Vec<(Duration, Duration, usize, f64)>,
}

impl Load {
    fn play(&self, seed: u64) -> Outcome {
        let mut random = StdRng::seed_from_u64(seed);
        let mut engines: Vec<Engine> = Vec::new();
        engines.resize_with(self.endpoints, Engine::default);
        let mut entries: Vec<Entry> = (0..self.entries)
            .map(|_| Entry {
                waits: vec![Waits::default(); self.endpoints],
                seen: vec![Vec::new(); self.endpoints],
                under_way: Vec::new(),
            })
            .collect();
        let hashes: Vec<u64> = (0..self.endpoints)
            .map(|at| hash(format!("endpoint-{at}").as_bytes()))
            .collect();
        let mut queues = Queues::default();
        queues.relist((0..self.endpoints).map(|_| None));
        let (mut sent, mut rejected, mut late) = (0, 0, 0);
        let (mut read, mut anew) = (0.0, 0.0);
        let per_ms = self.rate * self.endpoints as f64 / 1_000.0;
        for now in 0..SECONDS * 1_000 {
            let now = ms(now);
            if self.together {
                self.tell(now, &mut entries, &mut queues);
            }
            let whole = per_ms.floor() as usize;
            let count = whole + usize::from(random.random::<f64>() < per_ms.fract());
            for _ in 0..count {
                let entry = random.random_range(0..entries.len());
                let skewed = random.random::<f64>().powi(2);
                let books = (BOOKS * self.endpoints as u64) as f64;
                let key = hash(&((skewed * books) as u64).to_le_bytes());
                let at = self.place(now, &mut entries[entry], &hashes, key);
                let engine = &mut engines[at];
                while engine.begins.front().is_some_and(|begin| *begin <= now) {
                    engine.begins.pop_front();
                }
                sent += 1;
                if engine.begins.len() >= ROOM {
                    rejected += 1;
                    entries[entry].waits[at].rejected(now);
                    continue;
                }
                let known = engine.kept.iter().position(|kept| *kept == key);
                if let Some(known) = known {
                    engine.kept.remove(known);
                }
                engine.kept.push_back(key);
                if engine.kept.len() > 16 {
                    engine.kept.pop_front();
                }
                let tokens = if known.is_some() { 2_890.0 } else { 9_190.0 };
                let begin = engine.free.max(now);
                engine.begins.push_back(begin);
                engine.free = begin + reading(tokens);
                late += usize::from(begin - now > ms(1_200));
                read += tokens;
                anew += tokens - 2_890.0;
                let entry = &mut entries[entry];
                entry.waits[at].sent(now, tokens, false);
                entry.under_way.push((engine.free, now, at, tokens));
            }
            for entry in &mut entries {
                entry.hear(now);
            }
        }
        Outcome {
            rejected: rejected as f64 / sent as f64,
            late: late as f64 / sent as f64,
            anew: anew / read,
        }
    }

    /// One in five hundred milliseconds is each entry's turn.
    fn tell(&self, now: Duration, entries: &mut [Entry], queues: &mut Queues) {
        let turn = now.as_millis() as usize % 500;
        for (at, entry) in entries.iter_mut().enumerate() {
            if at * 500 / self.entries != turn {
                continue;
            }
            let sights = entry
                .waits
                .iter_mut()
                .enumerate()
                .filter_map(|(at, waits)| Some((at as u32, waits.sight(now, reading)?)));
            queues.tell(now, &format!("entry-{at}"), sights.collect());
            for (waits, wait) in entry.waits.iter_mut().zip(queues.waits(now)) {
                waits.told(now, decode(encode(wait)));
            }
        }
    }

    /// Sixteen endpoints are looked at, as an entry does.
    fn place(&self, now: Duration, entry: &mut Entry, hashes: &[u64], key: u64) -> usize {
        let mut ranked: Vec<usize> = (0..hashes.len()).collect();
        ranked.sort_by_key(|at| std::cmp::Reverse(mix(key ^ hashes[*at])));
        ranked.truncate(16);
        let candidates: Vec<Candidate> = ranked
            .iter()
            .map(|at| {
                let seen = entry.seen[*at].iter().find(|item| item.0 == key);
                Candidate {
                    hash: hashes[*at],
                    wait: entry.waits[*at].wait(now, false, reading),
                    reading: reading(6_300.0),
                    distance: Duration::ZERO,
                    seen: seen.map(|item| now - item.1),
                }
            })
            .collect();
        let at = ranked[choose(key, &candidates).expect("there are some")];
        entry.seen[at].retain(|item| item.0 != key);
        entry.seen[at].push((key, now));
        at
    }
}

impl Entry {
    /// Hears of prompts that are read by now.
    fn hear(&mut self, now: Duration) {
        let Self {
            under_way, waits, ..
        } = self;
        under_way.retain(|(done, sent, at, tokens)| {
            if *done > now {
                return true;
            }
            waits[*at].left(*sent, *tokens, false);
            let took = *done - *sent;
            waits[*at].learn(now, took.saturating_sub(reading(*tokens)));
            false
        });
    }
}

fn reading(tokens: f64) -> Duration {
    Duration::from_secs_f64(tokens / 50_000.0)
}

/// A hundred entries before as many endpoints as they have callers for, at nine tenths
/// of what the endpoints read: alone they fill some while others have room. Together
/// they reject hardly any, and no more of what is read is read anew than a few
/// hundredths.
#[test]
fn load_of_a_hundred_entries_together_few_rejected() {
    let load = |together| Load {
        entries: 100,
        endpoints: 60,
        rate: 11.0,
        together,
    };
    for seed in 1..4 {
        let (alone, together) = (load(false).play(seed), load(true).play(seed));
        assert!(together.rejected < 0.03, "{alone:?} {together:?}");
        assert!(together.late < alone.late / 2.0, "{alone:?} {together:?}");
        assert!(together.anew < alone.anew + 0.03, "{alone:?} {together:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A code tells its wait to within a fiftieth, longer waits never have smaller codes,
    /// and absurd ones have the largest.
    #[test]
    fn code_near_its_wait(a in 0u64..18_000, b in 0u64..u64::MAX / 1_000_000) {
        let told = decode(encode(ms(a)));
        let error = told.as_secs_f64() - ms(a).as_secs_f64();
        prop_assert!(error.abs() <= 0.02 * ms(a).as_secs_f64() || a <= 10, "{a} {told:?}");
        prop_assert!((a <= b) == (encode(ms(a)) <= encode(ms(b))) || encode(ms(a)) == encode(ms(b)));
    }
}
