//! Fetching cached prefixes: when, from where, and what it does to placement under load.

use dogwoodhill_policy::affinity::{Candidate, choose, hash, mix};
use dogwoodhill_policy::prefixes::link::{SETUP_TIME, is_worth};
use dogwoodhill_policy::prefixes::source::{MAX_SLOWNESS, MAX_TRANSFERS};
use dogwoodhill_policy::prefixes::{Holder, Link, MIN_TOKENS, Offer, Ranges, offers};
use proptest::prelude::*;
use std::time::Duration;

/// Shared tokens of a large prompt.
const TOKENS: u32 = 6_300;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// 160 KiB a token over 550 Gbit/s.
fn link() -> Link {
    Link::new(163_840, 68.75e9).expect("it is usable")
}

/// Endpoints by rank for `key`; the first is the home.
fn holders(key: u64, count: usize) -> Vec<Holder> {
    let mut all: Vec<Holder> = (0..count)
        .map(|at| Holder {
            weight: 1.0,
            hash: hash(format!("endpoint-{at}").as_bytes()),
            usable: true,
            slowness: 1.0,
            transfers: 0,
            answered: None,
            started: None,
            domain: 0,
            prefill: ms(165),
        })
        .collect();
    all.sort_by_key(|holder| std::cmp::Reverse(mix(key ^ holder.hash)));
    all
}

fn sources(key: u64, holders: &[Holder]) -> Vec<Option<usize>> {
    let offers = offers(key, TOKENS, &link(), holders);
    let sources = offers.iter().map(|offer| offer.map(|offer| offer.source));
    sources.collect()
}

/// A large prompt away from the home of its prefix: its 6,300 shared tokens are fetched
/// in a ninth of the time that reading them takes.
#[test]
fn fetch_time_by_size_link_and_queue() {
    let link = link();
    let transfer =
        |crosses, pending| link.fetch_time(TOKENS, crosses, pending) - SETUP_TIME;
    let one = transfer(false, 0);
    assert!(one > ms(14) && one < ms(16), "{one:?}");
    let close = |a: Duration, b: Duration| a.abs_diff(b) < Duration::from_micros(1);
    assert!(close(transfer(true, 0), one * 2), "between failure domains");
    assert!(close(transfer(false, 2), one * 3), "one after another");
    assert_eq!(link.bytes(TOKENS), 163_840 * 6_300);
    assert_eq!(link.fetch_time(0, true, 9), SETUP_TIME);
}

#[test]
fn link_unusable() {
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY, f64::MIN_POSITIVE] {
        assert_eq!(Link::new(163_840, rate), None, "{rate}");
    }
    assert_eq!(Link::new(0, 1e9), None);
    let slow = Link::new(u64::MAX, 1e-3).expect("slow, but a link");
    assert!(slow.fetch_time(u32::MAX, true, u32::MAX) > ms(1_000_000));
    assert_eq!(slow.bytes(2), u64::MAX, "saturates");
}

#[test]
fn is_worth_by_margin_and_length() {
    assert!(is_worth(TOKENS, ms(165), ms(82)));
    assert!(
        !is_worth(TOKENS, ms(165), ms(83)),
        "less than twice as fast"
    );
    assert!(is_worth(MIN_TOKENS, ms(165), ms(5)));
    assert!(!is_worth(MIN_TOKENS - 1, ms(165), ms(5)), "too short");
    assert!(!is_worth(TOKENS, ms(165), Duration::MAX));
}

/// Prompts with one prefix arrive at all endpoints: all but the home fetch from the home,
/// or from an endpoint that this entry knows to have it where that is quicker.
#[test]
fn offers_from_home_or_endpoint_sent_to() {
    let key = hash(b"chapter");
    let mut all = holders(key, 5);
    assert_eq!(
        sources(key, &all),
        [None, Some(0), Some(0), Some(0), Some(0)]
    );
    all[3].answered = Some(ms(1_000));
    assert_eq!(sources(key, &all)[3], None, "it holds the prefix");
    assert_eq!(sources(key, &all)[4], Some(0), "equally quick");
    all[0].transfers = 1;
    assert_eq!(sources(key, &all)[4], Some(3), "no queue");
    all[0].transfers = 0;
    all[3].domain = 1;
    all[4].domain = 1;
    assert_eq!(sources(key, &all)[4], Some(3), "same failure domain");
    all[3].answered = Some(ms(60_000));
    assert_eq!(
        sources(key, &all)[4],
        Some(0),
        "replaced in the cache since"
    );
    let known = |all: &[Holder]| {
        let offer = offers(key, TOKENS, &link(), all)[4];
        offer.expect("a source").known
    };
    assert!(!known(&all), "the home by rank is a guess");
    all[0].answered = Some(ms(1_000));
    assert!(known(&all));
}

/// The home of a prefix drains, hangs, fails, backs off, or is slow, as under a partial
/// failure at high load: no endpoint fetches from it.
#[test]
fn offers_none_from_unusable_home() {
    let key = hash(b"chapter");
    let change = |change: fn(&mut Holder)| {
        let mut all = holders(key, 4);
        change(&mut all[0]);
        sources(key, &all)
    };
    assert_eq!(change(|home| home.usable = false), [None; 4]);
    assert_eq!(
        change(|home| home.slowness = MAX_SLOWNESS * 1.01),
        [None; 4]
    );
    assert_eq!(change(|home| home.transfers = MAX_TRANSFERS), [None; 4]);
    assert_eq!(change(|home| home.slowness = MAX_SLOWNESS)[1], Some(0));
    assert_eq!(
        change(|home| home.transfers = MAX_TRANSFERS - 1)[1],
        Some(0)
    );
    let mut all = holders(key, 4);
    all.iter_mut().for_each(|holder| holder.slowness = 6.0);
    assert_eq!(
        sources(key, &all)[1],
        Some(0),
        "under load all respond late"
    );
    all[0].slowness = 13.0;
    assert_eq!(sources(key, &all), [None; 4], "slower than the others");
    let mut all = holders(key, 4);
    all[0].usable = false;
    all[2].answered = Some(ms(500));
    assert_eq!(sources(key, &all), [None, Some(2), None, Some(2)]);
}

/// An endpoint restarts under load and has lost its cache: its prefixes come from the
/// endpoints that are next by rank, which stood in for it, until it has been up for as
/// long as a cache lasts or has answered a prompt with the prefix.
#[test]
fn offers_to_restarted_home() {
    let key = hash(b"chapter");
    let mut all = holders(key, 4);
    all[0].started = Some(ms(300));
    assert_eq!(sources(key, &all), [Some(1), None, Some(1), Some(1)]);
    all[0].answered = Some(ms(100));
    assert_eq!(sources(key, &all)[0], None);
    all[0].answered = None;
    all[0].started = Some(ms(30_000));
    assert_eq!(sources(key, &all), [None, Some(0), Some(0), Some(0)]);
    for holder in &mut all {
        holder.started = Some(ms(300));
    }
    assert_eq!(sources(key, &all), [None; 4], "nobody has anything");
}

/// A burst of short streams reserves more endpoints for them, and some prefixes lose
/// their home; when it is over, they get it back. Endpoints that take prompts again are
/// new to them, and the former range is known for as long as a cache lasts.
#[test]
fn ranges_after_burst() {
    let mut ranges = Ranges::default();
    assert_eq!((ranges.lowest(), ranges.age(ms(1), 5)), (0, None));
    ranges.record(ms(1_000), 4);
    ranges.record(ms(5_000), 10);
    assert_eq!(ranges.lowest(), 4, "where prefixes were before the burst");
    assert_eq!(ranges.age(ms(6_000), 12), None, "in use from the start");
    ranges.record(ms(24_000), 10);
    assert_eq!(ranges.lowest(), 10, "replaced in the caches since");
    ranges.record(ms(26_000), 4);
    assert_eq!(ranges.age(ms(27_000), 5), Some(ms(1_000)));
    assert_eq!(ranges.age(ms(27_000), 10), Some(ms(22_000)));
    assert_eq!(ranges.age(ms(27_000), 3), None, "not in use");
    for at in 27..40 {
        ranges.record(ms(at * 1_000), 4 + at as usize % 2);
    }
    assert_eq!(ranges.age(ms(40_000), 4), Some(ms(14_000)), "off and on");
}

/// Time of the last of `prompts` prompts, in virtual time: one hot prefix gets every
/// fifth prompt, all others have prefixes of their own. Each endpoint prefills one prompt
/// after another. Returns also the shared tokens of the hot prefix read again.
fn play(link: Option<&Link>, prompts: u32) -> (Duration, u32) {
    let hot = hash(b"hot chapter");
    let suffix = ms(75);
    let prefill = ms(165);
    let mut free = [Duration::ZERO; 8];
    let mut holds_hot = [false; 8];
    let mut read_again = 0;
    let mut worst = Duration::ZERO;
    for number in 0..prompts {
        let now = ms(u64::from(number) * 15);
        let is_hot = number % 5 == 0;
        let key = if is_hot {
            hot
        } else {
            hash(&number.to_le_bytes())
        };
        let mut all = holders(key, 8);
        all.sort_by_key(|holder| holder.hash);
        for (holder, held) in all.iter_mut().zip(holds_hot) {
            holder.answered = (held && is_hot).then_some(ms(1_000));
        }
        let offers = match link {
            Some(link) => offers(key, TOKENS, link, &all),
            None => vec![None; 8],
        };
        let candidate = |at: usize| Candidate {
            share: None,
            hash: all[at].hash,
            wait: free[at].saturating_sub(now),
            prefill,
            distance: Duration::ZERO,
            last_sent: all[at].answered,
            fetch: offers[at].filter(|o| o.known).map(|o| o.time),
        };
        let candidates: Vec<Candidate> = (0..8).map(candidate).collect();
        let at = choose(key, &candidates).expect("some");
        let missing = match offers[at] {
            _ if is_hot && holds_hot[at] => Duration::ZERO,
            Some(offer) if is_hot => offer.time,
            _ if is_hot => {
                read_again += TOKENS;
                prefill
            }
            _ => Duration::ZERO,
        };
        holds_hot[at] |= is_hot;
        free[at] = free[at].max(now) + missing + suffix;
        if is_hot {
            worst = worst.max(free[at] - now);
        }
    }
    (worst, read_again)
}

/// A fifth of all prompts share one hot prefix, and the endpoints are busy to three
/// fifths. Fetching spreads the prefix before the queue of its home grows, and it is read
/// once.
#[test]
fn hot_prefix_spreads_before_queue() {
    let (queued, read) = play(None, 2_000);
    let (spread, read_once) = play(Some(&link()), 2_000);
    assert!(spread * 2 < queued, "{spread:?} and {queued:?}");
    assert_eq!(read_once, TOKENS, "by the home; {read} without fetching");
}

proptest! {
    /// Whatever is known of the endpoints, a prefix is never fetched from the target
    /// itself, nor from an endpoint that is unusable, slow or busy with transfers, and
    /// only where it is at least twice as fast as reading.
    #[test]
    fn offers_sound(
        key in any::<u64>(),
        tokens in 0u32..20_000,
        seeds in proptest::collection::vec(
            (any::<bool>(), 0.5f64..4.0, 0u32..6, prop::option::of(0u64..40_000),
             prop::option::of(0u64..40_000), 0u64..3, 0u64..400),
            0..17,
        ),
    ) {
        let mut all = holders(key, seeds.len());
        for (holder, seed) in all.iter_mut().zip(&seeds) {
            (holder.usable, holder.slowness, holder.transfers) = (seed.0, seed.1, seed.2);
            holder.answered = seed.3.map(ms);
            holder.started = seed.4.map(ms);
            holder.domain = seed.5;
            holder.prefill = ms(seed.6);
        }
        let offers = offers(key, tokens, &link(), &all);
        prop_assert_eq!(offers.len(), all.len());
        for (target, offer) in offers.iter().enumerate() {
            let Some(Offer { source, time, known }) = *offer else { continue };
            let from = &all[source];
            prop_assert!(source != target && from.usable);
            prop_assert!(!known || from.answered.is_some());
            let slower = all.iter().filter(|one| one.slowness * MAX_SLOWNESS >= from.slowness);
            prop_assert!(from.slowness <= MAX_SLOWNESS || slower.count() * 2 >= all.len());
            prop_assert!(from.transfers < MAX_TRANSFERS);
            prop_assert!(tokens >= MIN_TOKENS && time * 2 <= all[target].prefill);
        }
    }
}
