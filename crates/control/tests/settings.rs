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
fn usage_read_with_the_duty() {
    let settings = parse(&format!(r#""duties": ["usage"], {USAGE}"#));
    let usage = settings.expect("valid settings").usage.expect("a duty");
    assert_eq!(usage.windows, Windows::new(Duration::from_secs(5)));
    assert_eq!(usage.close_rules().majority_wait, Duration::from_secs(4));
    assert_eq!(usage.slack, Duration::from_millis(300));
    assert_eq!(usage.call_interval, Duration::from_millis(20));
}

/// Without fencing, a lease passes on only after calls have ended.
#[test]
fn usage_unfenced_waits_for_calls() {
    let usage = USAGE.replace("true", "false");
    let settings = parse(&format!(r#""duties": ["usage"], {usage}"#));
    let usage = settings.expect("valid settings").usage.expect("a duty");
    assert_eq!(usage.slack, Duration::from_millis(300) + CALL_TIMEOUT);
}

#[test]
fn usage_none_without_the_duty() {
    for duties in [r#""duties": [], "#, "", r#""duties": ["autoscale"], "#] {
        let settings = parse(&format!("{duties}{USAGE}")).expect("valid settings");
        assert_eq!(settings.usage, None, "{duties}");
    }
}

/// An unknown duty does not prevent an instance from starting.
#[test]
fn duties_unknown_are_skipped() {
    let settings = parse(&format!(r#""duties": ["usage", "sweeping"], {USAGE}"#));
    assert!(settings.expect("valid settings").usage.is_some());
}

#[test]
fn usage_bad_input_names_the_setting() {
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
