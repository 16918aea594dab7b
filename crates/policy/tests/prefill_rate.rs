//! What is learned of engines of many kinds from the prompts that they read.

use dogwoodhill_policy::prefill_rate::PrefillRate;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// A prompt at an engine that reads `rate` tokens a millisecond: one in three waits
/// for up to twice its own time, one in ten has to be read with its beginning, one
/// in twenty-five is found read already, and one endpoint in three is slower by
/// three tenths.
fn prompt(random: &mut StdRng, rate: f64) -> (f64, Duration) {
    let tokens = random.random_range(1_000.0..9_000.0);
    let mut millis = tokens / rate;
    if random.random_bool(1.0 / 3.0) {
        millis *= random.random_range(1.0..3.0);
    }
    if random.random_bool(0.1) {
        millis *= 3.0;
    }
    if random.random_bool(0.04) {
        millis *= 0.2;
    }
    if random.random_bool(1.0 / 3.0) {
        millis *= 1.3;
    }
    (tokens, Duration::from_secs_f64(millis / 1_000.0))
}

/// Engines from 15 to 120 tokens a millisecond, some of them met after a quite other
/// one: sixty prompts later the estimate is within a fifth in the mean, and stays
/// there.
#[test]
fn learn_engines_of_many_kinds() {
    let mut random = StdRng::seed_from_u64(5);
    for profile in 0..24 {
        let rate = 15.0 * 8f64.powf(f64::from(profile) / 23.0);
        let mut learned = PrefillRate::default();
        for _ in 0..60 {
            let (tokens, took) = prompt(&mut random, rate);
            learned.observe(tokens, took);
        }
        let mut sum = 0.0;
        for _ in 0..100 {
            let (tokens, took) = prompt(&mut random, rate);
            learned.observe(tokens, took);
            sum += learned.tokens_per_ms() / 100.0;
        }
        let error = (sum / rate - 1.0).abs();
        assert!(error < 0.2, "{rate} learned as {sum}");
    }
}

/// Short prompts say nothing, and time for a prompt is in proportion to it.
#[test]
fn learn_short_prompts_say_nothing() {
    let mut rate = PrefillRate::default();
    for _ in 0..1_000 {
        rate.observe(900.0, Duration::ZERO);
    }
    assert_eq!(rate, PrefillRate::default());
    assert_eq!(rate.prefill_time(3_000.0), Duration::from_millis(100));
}

proptest! {
    /// Absurd claims move the estimate by a few hundredths each, and never beyond its
    /// bounds.
    #[test]
    fn learn_bounded_steps(
        seen in proptest::collection::vec((any::<f64>(), any::<u64>()), 1..300),
    ) {
        let mut rate = PrefillRate::default();
        for (tokens, micros) in seen {
            let before = rate.tokens_per_ms();
            rate.observe(tokens, Duration::from_micros(micros));
            let after = rate.tokens_per_ms();
            prop_assert!((after / before - 1.0).abs() < 0.08);
            prop_assert!((3.0..=1_000.0).contains(&after));
        }
    }
}
