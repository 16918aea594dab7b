//! Estimates of the prefill rate for engines of many kinds.

use dogwoodhill_policy::prefill_rate::PrefillRate;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// A prompt at an engine that prefills `rate` tokens per millisecond. One of three waits
/// for up to twice its own time, one of ten has lost its cached prefix, one of
/// twenty-five is mostly cached already, and one of three endpoints is slower by three
/// tenths.
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

/// For engines from 15 to 120 tokens per millisecond, the estimate starts from a fixed
/// initial value and is within a fifth of the true rate on average after sixty prompts.
#[test]
fn observe_converges_for_many_engines() {
    let mut random = StdRng::seed_from_u64(5);
    for profile in 0..24 {
        let rate = 15.0 * 8f64.powf(f64::from(profile) / 23.0);
        let mut estimate = PrefillRate::default();
        for _ in 0..60 {
            let (tokens, took) = prompt(&mut random, rate);
            estimate.observe(tokens, took);
        }
        let mut sum = 0.0;
        for _ in 0..100 {
            let (tokens, took) = prompt(&mut random, rate);
            estimate.observe(tokens, took);
            sum += estimate.tokens_per_ms() / 100.0;
        }
        let error = (sum / rate - 1.0).abs();
        assert!(error < 0.2, "{rate} estimated as {sum}");
    }
}

/// Short prompts are ignored, and the prefill time is proportional to the prompt.
#[test]
fn observe_ignores_short_prompts() {
    let mut rate = PrefillRate::default();
    for _ in 0..1_000 {
        rate.observe(900.0, Duration::ZERO);
    }
    assert_eq!(rate, PrefillRate::default());
    assert_eq!(rate.prefill_time(3_000.0), Duration::from_millis(100));
}

proptest! {
    /// Absurd observations move the estimate by a few hundredths each, and never beyond
    /// its bounds.
    #[test]
    fn observe_bounded_steps(
        prompts in proptest::collection::vec((any::<f64>(), any::<u64>()), 1..300),
    ) {
        let mut rate = PrefillRate::default();
        for (tokens, micros) in prompts {
            let before = rate.tokens_per_ms();
            rate.observe(tokens, Duration::from_micros(micros));
            let after = rate.tokens_per_ms();
            prop_assert!((after / before - 1.0).abs() < 0.08);
            prop_assert!((3.0..=1_000.0).contains(&after));
        }
    }
}
