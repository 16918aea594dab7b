//! Passive health checks of an endpoint, and when a request is moved to another one.

use dogwoodhill_policy::health::{Health, HealthRecord};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An endpoint with a long queue refuses new connections and still serves accepted
/// requests: it gets no new requests, but the waiting ones stay.
#[test]
fn should_abandon_not_on_refused_connection() {
    let mut record = HealthRecord::default();
    record.sent(ms(1_000));
    record.mark_unreachable(ms(1_100));
    assert_eq!(record.health(ms(1_200)), Health::Silent, "no new requests");
    assert!(!record.should_abandon(ms(1_200), ms(1_000)));
}

/// An endpoint behind a network partition closes no connection: waiting requests are
/// abandoned after silence, or once a later connection gets no answer.
#[test]
fn should_abandon_silent_endpoint() {
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
        "bytes received again"
    );
}

/// An endpoint crashes behind a network partition, which closes no connection, and
/// restarts within a second: requests that wait for the earlier run are abandoned. They
/// stay if the run still sends bytes, whatever a list says of it.
#[test]
fn should_abandon_superseded_run() {
    let mut record = HealthRecord::default();
    record.sent(ms(1_000));
    record.mark_superseded(ms(1_500));
    assert!(
        record.should_abandon(ms(1_500), ms(1_000)),
        "500 ms of silence"
    );
    assert!(
        !record.should_abandon(ms(1_500), ms(1_400)),
        "sent a moment ago"
    );
    record.received(ms(1_550));
    assert!(
        !record.should_abandon(ms(1_600), ms(1_000)),
        "bytes received"
    );
    assert!(record.should_abandon(ms(1_900), ms(1_000)));
}

/// After the pause of an unreachable endpoint a single request probes it; the others
/// follow only once bytes are received.
#[test]
fn health_single_probe_after_pause() {
    let mut record = HealthRecord::default();
    record.sent(ms(1_000));
    record.connect_timed_out(ms(1_400));
    record.ended(false);
    assert_eq!(record.health(ms(1_500)), Health::Silent, "paused");
    assert_eq!(
        record.health(ms(1_701)),
        Health::Sound,
        "one request may probe it"
    );
    record.sent(ms(1_701));
    assert_eq!(
        record.health(ms(1_702)),
        Health::Silent,
        "the others wait for the probe"
    );
    record.received(ms(1_760));
    assert_eq!(record.health(ms(1_761)), Health::Sound, "recovered");
}

#[test]
fn health_silent_endpoint_is_retried() {
    let mut record = HealthRecord::default();
    record.sent(ms(1_000));
    record.record_first_byte(ms(100));
    record.received(ms(1_100));
    assert_eq!(record.health(ms(1_900)), Health::Sound, "a short pause");
    assert_eq!(record.health(ms(2_100)), Health::Silent);
    record.mark_unreachable(ms(2_100));
    record.ended(true);
    assert_eq!(record.health(ms(2_200)), Health::Silent, "paused");
    assert_eq!(record.health(ms(2_500)), Health::Sound, "retried");
}

/// Under load an endpoint queues requests for a few seconds, which is not silence.
#[test]
fn health_queueing_endpoint_is_sound() {
    let mut record = HealthRecord::default();
    record.sent(ms(1_000));
    assert_eq!(record.health(ms(4_900)), Health::Sound);
    assert_eq!(record.health(ms(5_100)), Health::Silent);
}

/// An endpoint of a plain service that answers in 15 ms becomes silent with a request
/// outstanding: it is detected within 260 ms, so that few callers, who wait for a second,
/// are affected.
#[test]
fn health_silence_limit_follows_first_byte() {
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

/// An endpoint fails half of its requests while it reports itself healthy; without
/// further requests the failure rate decays and it is tried again. A failure rate of 14%
/// is usual.
#[test]
fn health_failing_endpoint_recovers() {
    let mut record = HealthRecord::default();
    for i in 0..20 {
        record.record_outcome(ms(i * 10), i % 2 == 0);
    }
    assert_eq!(record.health(ms(200)), Health::Failing);
    assert_eq!(
        record.health(ms(10_000)),
        Health::Sound,
        "tried again without outcomes"
    );
    let mut usual = HealthRecord::default();
    for i in 0..100 {
        usual.record_outcome(ms(i * 10), i % 7 == 0);
    }
    assert_eq!(usual.health(ms(1_000)), Health::Sound, "14% are usual");
}
