//! Settings of a control instance.

use dogwoodhill_control::Settings;
use dogwoodhill_control::reporter::CALL_TIMEOUT;
use dogwoodhill_core::prelude::*;

const USAGE: &str = r#""usage": {"window": "5s", "within": "10s", "lease": "3s",
    "slack": "300ms", "fenced": true, "calls_per_second": 50, "reporter": "one",
    "platform": "127.0.0.1:9"}"#;

fn parse(more: &str) -> Result<Settings, String> {
    let text = format!(
        r#"{{"name": "c", "listen": "127.0.0.1:1", "internal": "127.0.0.1:2",
            "data": "", "cluster_key": "k", {more}}}"#
    );
    Settings::parse("control.json", &text).map_err(|faults| faults.to_string())
}

#[test]
fn usage_read_where_it_is_a_duty() {
    let settings = parse(&format!(r#""duties": ["usage"], {USAGE}"#));
    let usage = settings.expect("nothing is wrong").usage.expect("a duty");
    assert_eq!(usage.windows, Windows::new(Duration::from_secs(5)));
    assert_eq!(usage.closing().majority_wait, Duration::from_secs(4));
    assert_eq!(usage.slack, Duration::from_millis(300));
    assert_eq!(usage.spacing, Duration::from_millis(20));
}

/// Where nobody checks fencing numbers, a lease passes on once calls have ended.
#[test]
fn usage_unfenced_waits_for_calls() {
    let usage = USAGE.replace("true", "false");
    let settings = parse(&format!(r#""duties": ["usage"], {usage}"#));
    let usage = settings.expect("nothing is wrong").usage.expect("a duty");
    assert_eq!(usage.slack, Duration::from_millis(300) + CALL_TIMEOUT);
}

#[test]
fn usage_none_where_it_is_no_duty() {
    for duties in [r#""duties": [], "#, "", r#""duties": ["autoscale"], "#] {
        let settings = parse(&format!("{duties}{USAGE}")).expect("nothing is wrong");
        assert_eq!(settings.usage, None, "{duties}");
    }
}

/// A duty that nobody here knows keeps no instance from starting.
#[test]
fn duties_unknown_are_left() {
    let settings = parse(&format!(r#""duties": ["usage", "sweeping"], {USAGE}"#));
    assert!(settings.expect("nothing is wrong").usage.is_some());
}

#[test]
fn usage_bad_input_named_with_a_remedy() {
    let cases = [
        (r#""duties": ["usage"]"#.to_string(), "usage: is missing"),
        (
            format!(r#""duties": ["usage"], {}"#, USAGE.replace("5s", "0s")),
            "usage.window",
        ),
        (
            format!(r#""duties": ["usage"], {}"#, USAGE.replace("3s", "0s")),
            "usage.lease",
        ),
        (
            format!(r#""duties": ["usage"], {}"#, USAGE.replace("50,", "0,")),
            "usage.calls_per_second",
        ),
        (
            format!(r#""duties": ["usage"], {}"#, USAGE.replace("one", "o n e")),
            "usage.reporter",
        ),
    ];
    for (text, named) in cases {
        let faults = parse(&text).expect_err(named);
        assert!(faults.contains(named), "{faults}");
    }
}
