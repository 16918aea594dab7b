//! How far an endpoint is trusted, and when a request had better leave it. Each test
//! names the load it answers.

use dogwoodhill_policy::health::{Health, HealthRecord};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A burst: an endpoint whose queue is long refuses new connections and goes on
/// with what it has taken. Requests that wait there stay.
#[test]
fn deserted_refused_connection_is_no_reason() {
    let mut record = HealthRecord::default();
    record.sent(ms(1_000));
    record.mark_unreachable(ms(1_100));
    assert_eq!(record.health(ms(1_200)), Health::Silent, "no new requests");
    assert!(!record.should_abandon(ms(1_200), ms(1_000)));
}

/// An endpoint is cut off without a word: whoever waits there finds out by the
/// next connection that nobody answers, and new requests by their own silence.
#[test]
fn deserted_dark_endpoint_is_left() {
    let mut record = HealthRecord::default();
    record.sent(ms(1_000));
    record.record_first_byte(ms(100));
    record.received(ms(1_100));
    assert!(!record.should_abandon(ms(1_900), ms(1_000)));
    assert!(
        record.should_abandon(ms(2_000), ms(1_000)),
        "900 ms of silence"
    );
    assert!(
        !record.should_abandon(ms(2_000), ms(1_950)),
        "sent a moment ago"
    );
    let mut record = HealthRecord::default();
    record.sent(ms(1_000));
    record.connect_timed_out(ms(1_400));
    assert!(record.should_abandon(ms(1_401), ms(1_000)));
    record.received(ms(1_500));
    assert!(
        !record.should_abandon(ms(1_501), ms(1_000)),
        "it speaks again"
    );
}

/// An endpoint crashes behind a cut, which closes no connection, and is back within a
/// second: a prompt that waits at the earlier run is waited for by nobody any more. One
/// that still answers is left alone, whatever a list says of it.
#[test]
fn deserted_run_that_is_over() {
    let mut record = HealthRecord::default();
    record.sent(ms(1_000));
    record.mark_superseded(ms(1_500));
    assert!(
        record.should_abandon(ms(1_500), ms(1_000)),
        "nothing came for 500 ms"
    );
    assert!(
        !record.should_abandon(ms(1_500), ms(1_400)),
        "sent a moment ago"
    );
    record.received(ms(1_550));
    assert!(!record.should_abandon(ms(1_600), ms(1_000)), "it speaks");
    assert!(record.should_abandon(ms(1_900), ms(1_000)));
}

/// An endpoint lies dark for some seconds while every entry gets ten requests a
/// second: after its rest one request tries it, and the others don't follow
/// before something came back.
#[test]
fn trust_rested_endpoint_gets_one_trial() {
    let mut record = HealthRecord::default();
    record.sent(ms(1_000));
    record.connect_timed_out(ms(1_400));
    record.ended(false);
    assert_eq!(record.health(ms(1_500)), Health::Silent, "it rests");
    assert_eq!(record.health(ms(1_701)), Health::Sound, "one may try it");
    record.sent(ms(1_701));
    assert_eq!(record.health(ms(1_702)), Health::Silent, "the others wait");
    record.received(ms(1_760));
    assert_eq!(record.health(ms(1_761)), Health::Sound, "it is back");
}

#[test]
fn trust_silent_endpoint_left_and_tried_again() {
    let mut record = HealthRecord::default();
    record.sent(ms(1_000));
    record.record_first_byte(ms(100));
    record.received(ms(1_100));
    assert_eq!(
        record.health(ms(1_900)),
        Health::Sound,
        "a pause is no silence"
    );
    assert_eq!(record.health(ms(2_100)), Health::Silent);
    record.mark_unreachable(ms(2_100));
    record.ended(true);
    assert_eq!(record.health(ms(2_200)), Health::Silent, "it is left alone");
    assert_eq!(record.health(ms(2_500)), Health::Sound, "and tried again");
}

/// Under load an endpoint lets requests wait for a few seconds.
#[test]
fn trust_queueing_endpoint_is_no_silent_one() {
    let mut record = HealthRecord::default();
    record.sent(ms(1_000));
    assert_eq!(record.health(ms(4_900)), Health::Sound);
    assert_eq!(record.health(ms(5_100)), Health::Silent);
}

/// A plain service answers in 15 ms; one of its endpoints goes dark with
/// requests under way, whose callers wait a second. Others are spared soon.
#[test]
fn trust_plain_endpoint_dark_found_soon() {
    let mut record = HealthRecord::default();
    for i in 0..50 {
        record.sent(ms(i * 20));
        record.record_first_byte(ms(15));
        record.received(ms(i * 20 + 15));
        record.ended(true);
    }
    record.sent(ms(2_000));
    assert_eq!(record.health(ms(2_200)), Health::Sound, "a slow answer");
    assert_eq!(record.health(ms(2_260)), Health::Silent);
}

/// One endpoint fails half of its requests while it calls itself healthy.
#[test]
fn trust_failing_endpoint_found_and_forgiven() {
    let mut record = HealthRecord::default();
    for i in 0..20 {
        record.record_outcome(ms(i * 10), i % 2 == 0);
    }
    assert_eq!(record.health(ms(200)), Health::Failing);
    assert_eq!(
        record.health(ms(10_000)),
        Health::Sound,
        "without news it is tried"
    );
    let mut usual = HealthRecord::default();
    for i in 0..100 {
        usual.record_outcome(ms(i * 10), i % 7 == 0);
    }
    assert_eq!(usual.health(ms(1_000)), Health::Sound, "14% are usual");
}
