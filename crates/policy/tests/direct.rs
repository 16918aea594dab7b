//! Decisions of an entry that sends requests to endpoints without agents.

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
        fetch: None,
        share: None,
    }
}

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count).map(candidate).collect()
}

/// Some hundred prefixes spread evenly over all endpoints.
#[test]
fn choose_spreads_prefixes() {
    let mut counts = [0; 9];
    for key in 0..900u64 {
        let key = hash(&key.to_le_bytes());
        counts[choose(key, &candidates(9)).expect("some")] += 1;
    }
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(*least > 50 && *most < 170, "{counts:?}");
}

/// When an endpoint is removed, only its own prefixes move.
#[test]
fn choose_removed_endpoint_moves_own_prefixes() {
    let all = candidates(9);
    let fewer: Vec<Candidate> = all[..8].to_vec();
    for key in 0..300u64 {
        let key = hash(&key.to_le_bytes());
        let before = choose(key, &all).expect("some");
        let after = choose(key, &fewer).expect("some");
        assert!(before == 8 || before == after);
    }
}

/// With one more waiting request the endpoint that holds the prefix is still chosen,
/// since prefilling the prefix elsewhere would delay all requests there. A long queue
/// moves it.
#[test]
fn choose_stays_under_load_leaves_hot_spot() {
    let key = hash(b"chapter");
    let mut all = candidates(9);
    let home = choose(key, &all).expect("some");
    all[home].wait = ms(200);
    assert_eq!(choose(key, &all), Some(home), "one more request");
    all[home].wait = ms(2_000);
    assert_ne!(
        choose(key, &all),
        Some(home),
        "one prefix gets all the traffic"
    );
}

/// An entry that has recently sent a prefix to another endpoint uses that one if the
/// first has a queue.
#[test]
fn choose_prefers_endpoint_sent_to() {
    let key = hash(b"chapter");
    let mut all = candidates(9);
    let home = choose(key, &all).expect("some");
    let other = (home + 1) % 9;
    all[other].last_sent = Some(ms(1_000));
    all[home].wait = ms(50);
    assert_eq!(choose(key, &all), Some(other));
}

/// Moderate load on twelve endpoints, as one of eight entries receives it: 18 sensitive
/// streams per second with 70 events each (about 70 ms of an endpoint's time) beside 24
/// prompts of 9,190 tokens (300 ms) and 28 of 2,400 (80 ms).
#[test]
fn work_mix_moderate_load() {
    let mut mix = WorkMix::default();
    for i in 0..400u64 {
        let now = ms(i * 114);
        let (sensitive, work) = match i % 70 {
            0..18 => (true, ms(70)),
            18..42 => (false, ms(300)),
            _ => (false, ms(80)),
        };
        mix.record(now, sensitive, work);
    }
    let reserved = mix.reserved(12);
    assert!((2..=3).contains(&reserved), "{reserved}");
}

#[test]
fn work_mix_never_all_nor_none() {
    let mut mix = WorkMix::default();
    assert_eq!(mix.reserved(1), 0, "one endpoint serves both");
    for i in 0..1_000 {
        mix.record(ms(i), true, ms(500));
    }
    assert_eq!(mix.reserved(4), 3);
    for i in 1_000..60_000 {
        mix.record(ms(i), false, ms(500));
    }
    assert_eq!(mix.reserved(4), 1);
}

/// An entry that has just started reserves about as many endpoints as the others.
#[test]
fn work_mix_at_start() {
    assert_eq!(WorkMix::default().reserved(12), 4);
    assert_eq!(WorkMix::default().reserved(9), 3);
}

/// Endpoints that are not slow are all used; slow ones, which come last, only once the
/// others are filled to three fifths. On endpoints slower by a third, pauses beside a
/// prompt are too long for sensitive streams.
#[test]
fn endpoints_used_slow_ones_last() {
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
    assert_eq!(with(&[64.0, 20.0, 0.0, 0.0], 2), 3, "excess counts");
    assert_eq!(with(&[64.0, 64.0], 1), 2, "all of them if none has room");
    assert_eq!(with(&[], 0), 0);
}

/// 42 streams per second of 0.9 s, with prompts of 30 ms of prefill, on six endpoints:
/// the share of time that the busiest endpoint prefills determines how many streams are
/// late. It is two fifths on as few endpoints as have room, and a fifth on all.
#[test]
fn endpoints_used_spreads_prompts() {
    let busiest = |quick: usize| {
        let mut ends: Vec<Vec<u64>> = vec![Vec::new(); 6];
        let mut prefill = [0u64; 6];
        for stream in 0..420u64 {
            let now = stream * 1_000 / 42;
            ends.iter_mut()
                .for_each(|ends| ends.retain(|end| *end > now));
            let occupancies: Vec<Occupancy> = ends
                .iter()
                .map(|ends| Occupancy {
                    busy: ends.len() as f64,
                    slots: 64.0,
                })
                .collect();
            let most = endpoints_used(occupancies.iter().copied(), quick);
            let least = (0..most).min_by_key(|at| ends[*at].len()).expect("some");
            ends[least].push(now + 900);
            prefill[least] += 30;
        }
        *prefill.iter().max().expect("some") as f64 / 10_000.0
    };
    let (few, all) = (busiest(1), busiest(6));
    assert!(few > 0.35, "{few}");
    assert!(all < 0.25, "{all}");
}

/// Two endpoints of nine are slower by a third, and one becomes five times slower. The
/// first are detected after a single stream, the last after a few events.
#[test]
fn event_gap_slow_endpoints_found() {
    let mut all = [EventGap::default(); 9];
    for (at, gap) in all.iter_mut().enumerate() {
        let pause = if at < 7 { ms(21) } else { ms(28) };
        for event in 0..81u64 {
            gap.record(ms(event * 21), pause);
        }
    }
    let slow = |all: &[EventGap], now| {
        let from = slow_threshold(all.iter().filter_map(|gap| gap.mean(now)));
        let slow = |gap: &EventGap| gap.mean(now).is_some_and(|known| known > from);
        all.iter().map(slow).collect::<Vec<bool>>()
    };
    let mut found = [vec![false; 7], vec![true; 2]].concat();
    assert_eq!(slow(&all, ms(2_000)), found);
    for event in 0..5 {
        all[0].record(ms(2_000 + event * 105), ms(105));
    }
    found[0] = true;
    assert_eq!(slow(&all, ms(2_600)), found);
    assert_eq!(slow(&all, ms(60_000)), vec![false; 9], "expired");
}

/// A burst that slows all endpoints alike makes none of them slow, and neither does a
/// single long pause.
#[test]
fn event_gap_burst_slows_all_alike() {
    let all = [ms(45), ms(42), ms(48), ms(47), ms(44)];
    let from = slow_threshold(all.into_iter());
    assert!(all.iter().all(|gap| *gap <= from), "{from:?}");
    let mut gap = EventGap::default();
    (0..20).for_each(|event| gap.record(ms(event * 45), ms(45)));
    gap.record(ms(1_000), ms(150));
    assert!(gap.mean(ms(1_000)).expect("fresh") <= from);
}

/// Without own prompts at an endpoint, the wait of the last ones predicts the queue of
/// prompts that other entries sent; it decays within seconds.
#[test]
fn queue_wait_predicts_from_last_wait() {
    let mut queue_wait = QueueWait::default();
    assert_eq!(queue_wait.predicted(ms(900)), ms(0));
    queue_wait.sent(ms(1_000), 9_000.0, false);
    queue_wait.dequeued(ms(1_000), 9_000.0, false);
    queue_wait.record(ms(3_000), ms(2_000));
    assert!(queue_wait.tokens_ahead(false) < 1.0);
    let now = queue_wait.predicted(ms(3_000));
    assert!(now >= ms(700), "{now:?}");
    queue_wait.record(ms(3_300), ms(2_000));
    assert!(
        queue_wait.predicted(ms(3_300)) > now,
        "the second one confirms it"
    );
    assert!(
        queue_wait.predicted(ms(13_300)) < ms(50),
        "ten seconds later"
    );
}

/// The age of the oldest waiting prompt counts before any answer has arrived. Prompts in
/// the background wait by design and do not count.
#[test]
fn queue_wait_oldest_in_foreground() {
    let mut queue_wait = QueueWait::default();
    queue_wait.sent(ms(1_000), 9_000.0, false);
    queue_wait.sent(ms(2_000), 9_000.0, false);
    assert_eq!(queue_wait.predicted(ms(3_000)), ms(2_000));
    queue_wait.dequeued(ms(1_000), 9_000.0, false);
    assert_eq!(queue_wait.predicted(ms(3_000)), ms(1_000));
    queue_wait.dequeued(ms(2_000), 9_000.0, false);
    queue_wait.sent(ms(3_000), 9_000.0, true);
    assert_eq!(queue_wait.predicted(ms(9_000)), ms(0));
    assert_eq!(
        (
            queue_wait.tokens_ahead(false),
            queue_wait.tokens_ahead(true)
        ),
        (0.0, 9_000.0)
    );
}

proptest! {
    /// In any window, at most the cap plus the earnings of the requests in it is spent.
    #[test]
    fn budget_bounded_in_any_window(steps in proptest::collection::vec(any::<bool>(), 1..400)) {
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

/// The caps of all entries together stay within the additional second sends.
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

/// Sums over all entries take precedence over own work. Without fresh sums, for example
/// behind a network partition, an entry uses its own work again.
#[test]
fn reservation_total_then_own() {
    let mut reservation = Reservation::default();
    (0..100).for_each(|at| reservation.record(ms(at * 10), true, ms(100)));
    let own = reservation.reserved(ms(1_000), 34);
    reservation.set_total(ms(1_000), 10.0, 90.0);
    let total = reservation.reserved(ms(1_000), 34);
    assert!(total < own, "{total} of {own}");
    assert_eq!(reservation.reserved(ms(2_500), 34), total);
    let after = reservation.reserved(ms(2_700), 34);
    assert!(after > total, "{after}");
}

/// Reported work decays, so that an entry without new requests soon counts for nothing.
#[test]
fn reservation_local_work_decays() {
    let mut reservation = Reservation::default();
    reservation.record(ms(0), true, ms(500));
    reservation.record(ms(0), false, ms(1_500));
    let (sensitive, other) = reservation.local_work(ms(0));
    assert!((sensitive - 0.5).abs() < 1e-9 && (other - 1.5).abs() < 1e-9);
    let (sensitive, other) = reservation.local_work(ms(12_500));
    assert!(sensitive < 0.01 && other < 0.02);
}

/// Overload of 34 endpoints: long prompts for 57 endpoints and sensitive streams for 10.
/// Only foreground work is recorded, which is what the endpoints left to long prompts can
/// do, so the sensitive streams get what they need and long prompts get the rest.
#[test]
fn work_mix_overload() {
    let endpoints = 34;
    let mut mix = WorkMix::default();
    let mut reserved = mix.reserved(endpoints);
    for step in 0..200u64 {
        let now = ms(step * 100);
        mix.record(now, true, ms(1_000));
        let foreground = (endpoints - reserved) as u64 * 100;
        mix.record(now, false, ms(foreground.min(5_700)));
        reserved = mix.reserved(endpoints);
    }
    assert!((11..=15).contains(&reserved), "{reserved}");
}

/// Simulates prompts of 9,000 tokens that arrive at two and a half times the prefill rate
/// of twenty endpoints, 30 tokens per millisecond each, through ten entries that exchange
/// no messages. `choose` returns whether a prompt goes to the foreground. Returns the
/// number of prompts that were prefilled within the objective, and of all that were
/// prefilled.
fn burst(choose: impl Fn(&Backlog, Duration) -> bool) -> (usize, usize) {
    const TOKENS: f64 = 9_000.0;
    const RATE: f64 = 20.0 * 30.0;
    const ENTRIES: usize = 10;
    let objective = ms(1_500);
    let time_limit = ms(6_000);
    let mut entries = vec![Backlog::default(); ENTRIES];
    let mut foreground: VecDeque<(u64, usize)> = VecDeque::new();
    let mut background = foreground.clone();
    let (mut in_time, mut all, mut budget, mut due) = (0, 0, 0.0, 0.0);
    for now in 0..15_000u64 {
        // The burst lasts nine seconds; before and after it the load is half of the
        // capacity.
        let load = if (2_000..11_000).contains(&now) {
            2.5
        } else {
            0.5
        };
        due += load * RATE / TOKENS;
        while due >= 1.0 {
            due -= 1.0;
            let entry = (now as usize * 7 + all) % ENTRIES;
            if choose(&entries[entry], ms(now)) {
                entries[entry].sent(ms(now), 0, TOKENS, false);
                foreground.push_back((now, entry));
            } else {
                background.push_back((now, entry));
            }
        }
        budget = (budget + RATE).min(TOKENS);
        while budget >= TOKENS {
            let (next, in_foreground) = match foreground.pop_front() {
                Some(next) => (next, true),
                None => match background.pop_front() {
                    Some(next) => (next, false),
                    None => break,
                },
            };
            let (arrived, entry) = next;
            let waited = ms(now - arrived);
            if in_foreground {
                entries[entry].dequeued(ms(arrived), 0, TOKENS, false);
                entries[entry].record_wait(ms(now), waited);
            }
            if waited > time_limit {
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

/// In one FIFO queue less than half of the prompts of a burst are in time. With a
/// background about as many prompts are prefilled, and more than four in five of them in
/// time.
#[test]
fn backlog_burst_in_time() {
    let least = 20.0 * 30_000.0 / 10.0 * 0.5;
    let (fifo_in_time, fifo_prefilled) = burst(|_, _| true);
    let (in_time, prefilled) =
        burst(|backlog, now| backlog.can_meet_objective(now, 0, least, ms(1_500)));
    assert!(
        prefilled + 20 >= fifo_prefilled,
        "{prefilled} prefilled, {fifo_prefilled} in one queue"
    );
    assert!(
        fifo_in_time * 2 < fifo_prefilled,
        "{fifo_in_time} of {fifo_prefilled} in one queue"
    );
    assert!(in_time * 10 > prefilled * 8, "{in_time} of {prefilled}");
}

/// At low load an entry gets one prompt per second and now and then three at once, each
/// prefilled on an endpoint of its own in a third of a second. Three together look like a
/// queue, but none goes to the background.
#[test]
fn backlog_low_load_all_in_foreground() {
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
            let prefilled = now + ms(350);
            backlog.dequeued(now, 0, 12_000.0, false);
            backlog.prefilled(prefilled, 12_000.0);
            backlog.record_wait(prefilled, ms(20));
        }
    }
    assert!(
        queue_suspected,
        "the rate alone would send some to the background"
    );
}

/// More urgent prompts are prefilled first and do not wait for less urgent ones.
#[test]
fn backlog_counts_more_urgent_only() {
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
