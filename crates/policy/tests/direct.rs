//! Decisions of an entry that talks to endpoints without agents. Each test
//! names the load it answers.

use dogwoodhill_policy::affinity::{Candidate, choose, hash};
use dogwoodhill_policy::backlog::Backlog;
use dogwoodhill_policy::budget::{Allowance, Budget};
use dogwoodhill_policy::event_gap::{EventGap, slow_threshold};
use dogwoodhill_policy::packing::{Occupancy, endpoints_used};
use dogwoodhill_policy::queue_wait::QueueWait;
use dogwoodhill_policy::reservation::{Reservation, WorkMix};
use proptest::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn candidate(at: usize) -> Candidate {
    Candidate {
        hash: hash(format!("endpoint-{at}").as_bytes()),
        wait: Duration::ZERO,
        // 3,780 shared tokens at 30 a millisecond.
        prefill: ms(126),
        distance: Duration::ZERO,
        last_sent: None,
    }
}

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count).map(candidate).collect()
}

/// Chapters of some hundred books, each with its own beginning: the beginnings
/// spread over all endpoints, and each stays where it is.
#[test]
fn choose_spreads_beginnings_evenly() {
    let mut counts = [0; 9];
    for key in 0..900u64 {
        let key = hash(&key.to_le_bytes());
        counts[choose(key, &candidates(9)).expect("some")] += 1;
    }
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(*least > 50 && *most < 170, "{counts:?}");
}

/// An endpoint is replaced: only its own beginnings move.
#[test]
fn choose_moves_only_what_must() {
    let all = candidates(9);
    let fewer: Vec<Candidate> = all[..8].to_vec();
    for key in 0..300u64 {
        let key = hash(&key.to_le_bytes());
        let before = choose(key, &all).expect("some");
        let after = choose(key, &fewer).expect("some");
        assert!(before == 8 || before == after);
    }
}

/// A burst: one more request of the entry's own waits at the endpoint that has
/// the beginning. Reading it anew elsewhere would delay all that wait there.
#[test]
fn choose_stays_under_load_and_leaves_a_hot_spot() {
    let key = hash(b"chapter");
    let mut all = candidates(9);
    let home = choose(key, &all).expect("some");
    all[home].wait = ms(200);
    assert_eq!(choose(key, &all), Some(home), "one request more");
    all[home].wait = ms(2_000);
    assert_ne!(
        choose(key, &all),
        Some(home),
        "one beginning gets all the traffic"
    );
}

/// The entry that moved a beginning knows that it is kept there as well.
#[test]
fn choose_prefers_where_it_was_sent() {
    let key = hash(b"chapter");
    let mut all = candidates(9);
    let home = choose(key, &all).expect("some");
    let other = (home + 1) % 9;
    all[other].last_sent = Some(ms(1_000));
    all[home].wait = ms(50);
    assert_eq!(choose(key, &all), Some(other));
}

/// The calm day of twelve endpoints: 18 cue streams a second with 70 events
/// each (about 70 ms of an endpoint's time) beside 24 chapters of 9,190 tokens
/// (300 ms) and 28 notes of 2,400 (80 ms), as one of eight entries sees them.
#[test]
fn lanes_calm_day_keeps_a_few_endpoints() {
    let mut lanes = WorkMix::default();
    for i in 0..400u64 {
        let now = ms(i * 114);
        let (fragile, work) = match i % 70 {
            0..18 => (true, ms(70)),
            18..42 => (false, ms(300)),
            _ => (false, ms(80)),
        };
        lanes.record(now, fragile, work);
    }
    let reserved = lanes.reserved(12);
    assert!((2..=3).contains(&reserved), "{reserved}");
}

#[test]
fn lanes_never_all_nor_none() {
    let mut lanes = WorkMix::default();
    assert_eq!(lanes.reserved(1), 0, "one endpoint serves both");
    for i in 0..1_000 {
        lanes.record(ms(i), true, ms(500));
    }
    assert_eq!(lanes.reserved(4), 3);
    for i in 1_000..60_000 {
        lanes.record(ms(i), false, ms(500));
    }
    assert_eq!(lanes.reserved(4), 1);
}

/// An entry that starts in the middle of a day, with nothing measured, keeps
/// about as many endpoints as the others.
#[test]
fn lanes_at_the_start() {
    assert_eq!(WorkMix::default().reserved(12), 4);
    assert_eq!(WorkMix::default().reserved(9), 3);
}

/// Endpoints that are not slow are all used; slow ones, which come last, only where
/// the others are filled to three fifths. The load: a burst of cues before endpoints of which
/// a third are slower by a third, where pauses beside a prompt are too long for a cue.
#[test]
fn packing_slow_endpoints_last() {
    let with = |busy: &[f64], quick| {
        let one = |busy: &f64| Occupancy {
            busy: *busy,
            slots: 64.0,
        };
        endpoints_used(busy.iter().map(one), quick)
    };
    assert_eq!(with(&[0.0; 7], 7), 7);
    assert_eq!(with(&[0.0; 7], 4), 4);
    assert_eq!(with(&[0.0; 7], 0), 1, "all are slow");
    assert_eq!(with(&[17.0, 0.0, 0.0], 1), 1);
    assert_eq!(with(&[39.0, 0.0, 0.0], 1), 2);
    assert_eq!(with(&[64.0, 20.0, 0.0, 0.0], 2), 3, "what is over counts");
    assert_eq!(with(&[64.0, 64.0], 1), 2, "all of them where none has room");
    assert_eq!(with(&[], 0), 0);
}

/// 42 streams a second that last 0.9 s, with prompts that are read in 30 ms, before
/// six endpoints: the share of its time that the busiest one reads decides how many
/// of the streams are late. On as few endpoints as have room it is two fifths, on
/// all a fifth.
#[test]
fn packing_streams_share_their_prompts() {
    let busiest = |quick: usize| {
        let mut ends: Vec<Vec<u64>> = vec![Vec::new(); 6];
        let mut reads = [0u64; 6];
        for stream in 0..420u64 {
            let now = stream * 1_000 / 42;
            ends.iter_mut()
                .for_each(|ends| ends.retain(|end| *end > now));
            let packings: Vec<Occupancy> = ends
                .iter()
                .map(|ends| Occupancy {
                    busy: ends.len() as f64,
                    slots: 64.0,
                })
                .collect();
            let most = endpoints_used(packings.iter().copied(), quick);
            let least = (0..most).min_by_key(|at| ends[*at].len()).expect("some");
            ends[least].push(now + 900);
            reads[least] += 30;
        }
        *reads.iter().max().expect("some") as f64 / 10_000.0
    };
    let (few, all) = (busiest(1), busiest(6));
    assert!(few > 0.35, "{few}");
    assert!(all < 0.25, "{all}");
}

/// Two endpoints of nine are slower by a third, as in the users' deployments,
/// and one turns five times slower. The first are known after one stream of a
/// calm hour, the last after a few events.
#[test]
fn pace_slow_endpoints_found() {
    let mut all = [EventGap::default(); 9];
    for (at, pace) in all.iter_mut().enumerate() {
        let pause = if at < 7 { ms(21) } else { ms(28) };
        for event in 0..81u64 {
            pace.record(ms(event * 21), pause);
        }
    }
    let slow = |all: &[EventGap], now| {
        let from = slow_threshold(all.iter().filter_map(|pace| pace.mean(now)));
        let slow = |pace: &EventGap| pace.mean(now).is_some_and(|known| known > from);
        all.iter().map(slow).collect::<Vec<bool>>()
    };
    let mut found = [vec![false; 7], vec![true; 2]].concat();
    assert_eq!(slow(&all, ms(2_000)), found);
    for event in 0..5 {
        all[0].record(ms(2_000 + event * 105), ms(105));
    }
    found[0] = true;
    assert_eq!(slow(&all, ms(2_600)), found);
    assert_eq!(slow(&all, ms(60_000)), vec![false; 9], "tried again");
}

/// A burst of cues slows all endpoints alike: moving streams about would help
/// nobody. One pause in a stream is no proof either.
#[test]
fn pace_burst_slows_all_alike() {
    let all = [ms(45), ms(42), ms(48), ms(47), ms(44)];
    let from = slow_threshold(all.into_iter());
    assert!(all.iter().all(|pace| *pace <= from), "{from:?}");
    let mut pace = EventGap::default();
    (0..20).for_each(|event| pace.record(ms(event * 45), ms(45)));
    pace.record(ms(1_000), ms(150));
    assert!(pace.mean(ms(1_000)).expect("fresh") <= from);
}

/// A beginning that gets much of the traffic through two dozen entries: this
/// one has nothing of its own at the endpoint, and its last prompt waited there
/// for two seconds. It knows the queue, and forgets it within seconds.
#[test]
fn waits_queue_of_others_seen() {
    let mut waits = QueueWait::default();
    assert_eq!(waits.predicted(ms(900)), ms(0));
    waits.sent(ms(1_000), 9_000.0, false);
    waits.dequeued(ms(1_000), 9_000.0, false);
    waits.record(ms(3_000), ms(2_000));
    assert!(waits.tokens_ahead(false) < 1.0);
    let now = waits.predicted(ms(3_000));
    assert!(now >= ms(700), "{now:?}");
    waits.record(ms(3_300), ms(2_000));
    assert!(
        waits.predicted(ms(3_300)) > now,
        "the second one confirms it"
    );
    assert!(waits.predicted(ms(13_300)) < ms(50), "ten seconds later");
}

/// The queue is growing: a prompt sent two seconds ago still waits, before any
/// answer could tell of it. Prompts in the background wait by design, and say
/// nothing.
#[test]
fn waits_oldest_counts_in_front_only() {
    let mut waits = QueueWait::default();
    waits.sent(ms(1_000), 9_000.0, false);
    waits.sent(ms(2_000), 9_000.0, false);
    assert_eq!(waits.predicted(ms(3_000)), ms(2_000));
    waits.dequeued(ms(1_000), 9_000.0, false);
    assert_eq!(waits.predicted(ms(3_000)), ms(1_000));
    waits.dequeued(ms(2_000), 9_000.0, false);
    waits.sent(ms(3_000), 9_000.0, true);
    assert_eq!(waits.predicted(ms(9_000)), ms(0));
    assert_eq!(
        (waits.tokens_ahead(false), waits.tokens_ahead(true)),
        (0.0, 9_000.0)
    );
}

proptest! {
    /// Whatever the order, no more is spent than the cap and the share of the
    /// requests, over any stretch of time.
    #[test]
    fn budget_bounded_over_any_stretch(steps in proptest::collection::vec(any::<bool>(), 1..400)) {
        let mut budget = Budget::empty(0.15, 3.0);
        let mut spent = vec![0u32];
        let mut earned = vec![0u32];
        for spend in steps {
            let mut now = (*spent.last().unwrap(), *earned.last().unwrap());
            if spend {
                now.0 += u32::from(budget.spend());
            } else {
                budget.earn();
                now.1 += 1;
            }
            spent.push(now.0);
            earned.push(now.1);
        }
        for from in (0..spent.len()).step_by(7) {
            for to in (from..spent.len()).step_by(5) {
                let used = f64::from(spent[to] - spent[from]);
                let allowed = 3.0 + 0.15 * f64::from(earned[to] - earned[from]);
                prop_assert!(used <= allowed + 1e-6);
            }
        }
    }
}

/// Eight to sixteen entries, or twenty-two, that all save up what they may: the
/// operators' spare second sends are not used up even then.
#[test]
fn allowance_shared_by_entries() {
    for (spare, counts) in [(58.0, 8..=16), (84.0, 8..=30)] {
        let allowance = Allowance { share: 0.2, spare };
        for entries in counts {
            let all = allowance.cap(entries) * f64::from(entries);
            assert!(all <= spare, "{entries} entries");
        }
        assert!(allowance.earn() < allowance.share);
    }
}

/// Sums over all entries go before the own count, and an entry that is told
/// nothing more goes back to its own: cut off from control it decides alone.
#[test]
fn shares_agreed_then_alone() {
    let mut shares = Reservation::default();
    (0..100).for_each(|at| shares.record(ms(at * 10), true, ms(100)));
    let alone = shares.reserved(ms(1_000), 34);
    shares.set_total(ms(1_000), 10.0, 90.0);
    let agreed = shares.reserved(ms(1_000), 34);
    assert!(agreed < alone, "{agreed} of {alone}");
    assert_eq!(shares.reserved(ms(2_500), 34), agreed);
    let after = shares.reserved(ms(2_700), 34);
    assert!(after > agreed, "{after}");
}

/// What entries tell fades, so that one which gets nothing more counts for
/// nothing soon.
#[test]
fn shares_told_work_fades() {
    let mut shares = Reservation::default();
    shares.record(ms(0), true, ms(500));
    shares.record(ms(0), false, ms(1_500));
    let (fragile, other) = shares.local_work(ms(0));
    assert!((fragile - 0.5).abs() < 1e-9 && (other - 1.5).abs() < 1e-9);
    let (fragile, other) = shares.local_work(ms(12_500));
    assert!(fragile < 0.01 && other < 0.02);
}

/// A burst of chapters at the users' larger deployment: 57 endpoints' worth of
/// long prompts and 10 of cues before 34 endpoints. Only what is in front
/// counts, which is what the endpoints left to long prompts can do; the cues
/// keep what they need, and long prompts keep the rest.
#[test]
fn lanes_under_overload_cover_what_is_urgent() {
    let endpoints = 34;
    let mut lanes = WorkMix::default();
    let mut reserved = lanes.reserved(endpoints);
    for step in 0..200u64 {
        let now = ms(step * 100);
        lanes.record(now, true, ms(1_000));
        let front = (endpoints - reserved) as u64 * 100;
        lanes.record(now, false, ms(front.min(5_700)));
        reserved = lanes.reserved(endpoints);
    }
    assert!((11..=15).contains(&reserved), "{reserved}");
}

/// How chapters of 9,000 tokens fare that come at two and a half times the rate
/// at which twenty endpoints read 30 tokens a millisecond, through ten entries
/// that don't talk. Returns the number that was read within the objective, and
/// the number that was read at all.
fn burst(choose: impl Fn(&Backlog, Duration) -> bool) -> (usize, usize) {
    const TOKENS: f64 = 9_000.0;
    const RATE: f64 = 20.0 * 30.0;
    const ENTRIES: usize = 10;
    let objective = ms(1_500);
    let patience = ms(6_000);
    let mut entries = vec![Backlog::default(); ENTRIES];
    let mut front: VecDeque<(u64, usize)> = VecDeque::new();
    let mut back = front.clone();
    let (mut in_time, mut all, mut budget, mut owed) = (0, 0, 0.0, 0.0);
    for now in 0..15_000u64 {
        // The burst lasts nine seconds; before and after it half of what is
        // possible comes.
        let load = if (2_000..11_000).contains(&now) {
            2.5
        } else {
            0.5
        };
        owed += load * RATE / TOKENS;
        while owed >= 1.0 {
            owed -= 1.0;
            let entry = (now as usize * 7 + all) % ENTRIES;
            if choose(&entries[entry], ms(now)) {
                entries[entry].sent(ms(now), 0, TOKENS, false);
                front.push_back((now, entry));
            } else {
                back.push_back((now, entry));
            }
        }
        budget = (budget + RATE).min(TOKENS);
        while budget >= TOKENS {
            let (next, in_front) = match front.pop_front() {
                Some(next) => (next, true),
                None => match back.pop_front() {
                    Some(next) => (next, false),
                    None => break,
                },
            };
            let (came, entry) = next;
            let waited = ms(now - came);
            if in_front {
                entries[entry].dequeued(ms(came), 0, TOKENS, false);
                entries[entry].record_wait(ms(now), waited);
            }
            if waited > patience {
                continue;
            }
            budget -= TOKENS;
            entries[entry].prefilled(ms(now), TOKENS);
            all += 1;
            in_time += usize::from(waited <= objective);
        }
    }
    (in_time, all)
}

/// In one queue nearly all of the burst is late. With a background as many are
/// read, and four in five of those in time.
#[test]
fn backlog_burst_served_in_time() {
    let least = 20.0 * 30_000.0 / 10.0 * 0.5;
    let (queue, read) = burst(|_, _| true);
    let (ours, also) =
        burst(|backlog, now| backlog.can_meet_objective(now, 0, least, ms(1_500)));
    assert!(also + 20 >= read, "{also} read, {read} in one queue");
    assert!(queue * 2 < read, "{queue} of {read} in one queue");
    assert!(ours * 10 > also * 8, "{ours} of {also}");
}

/// A calm day: one prompt a second at one of nine entries, and now and then
/// three at once, each read at an endpoint of its own in a third of a second.
/// Together they look like a queue, and nobody is sent to the background.
#[test]
fn backlog_calm_day_all_in_front() {
    let least = 15_000.0;
    let objective = ms(2_000);
    let mut backlog = Backlog::default();
    let mut queue_suspected = false;
    for second in 0..60u64 {
        let now = ms(second * 1_000);
        let prompts = if second % 7 == 0 { 3 } else { 1 };
        for _ in 0..prompts {
            assert!(
                backlog.can_meet_objective(now, 0, least, objective),
                "{second}"
            );
            backlog.sent(now, 0, 12_000.0, false);
        }
        queue_suspected |= backlog.predicted_wait(now, 0, least) > objective;
        for _ in 0..prompts {
            let read = now + ms(350);
            backlog.dequeued(now, 0, 12_000.0, false);
            backlog.prefilled(read, 12_000.0);
            backlog.record_wait(read, ms(20));
        }
    }
    assert!(queue_suspected, "the rate alone would have sent some back");
}

/// More urgent prompts are read first: what is less urgent doesn't make them
/// wait.
#[test]
fn backlog_counts_what_goes_first() {
    let mut backlog = Backlog::default();
    backlog.sent(ms(0), 2, 90_000.0, false);
    backlog.sent(ms(0), 1, 3_000.0, false);
    assert_eq!(backlog.predicted_wait(ms(0), 1, 30_000.0), ms(100));
    assert_eq!(backlog.predicted_wait(ms(0), 2, 30_000.0), ms(3_100));
    backlog.dequeued(ms(0), 2, 90_000.0, false);
    assert_eq!(
        backlog.predicted_wait(ms(0), 9, 30_000.0),
        ms(100),
        "shares the last"
    );
}
