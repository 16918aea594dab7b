//! Parsing the settings of an entry.

use dogwoodhill_core::prelude::*;
use dogwoodhill_direct::Settings;
use dogwoodhill_direct::settings::{Features, ShareMode};

fn parse(extra_fields: &str) -> Result<Settings, String> {
    let text = format!(
        r#"{{"name": "e", "domain": "d", "listen": "127.0.0.1:1", "status": "127.0.0.1:2",
            "control": ["127.0.0.1:3"], "cluster_key": "k", "list": "127.0.0.1:4", {extra_fields}}}"#
    );
    Settings::parse("entry.json", &text).map_err(|faults| faults.to_string())
}

/// The default read interval shrinks to fit the bound for leaving endpoints; an explicit
/// one that is too long is rejected with the longest valid one.
#[test]
fn parse_list_every_fits_leaving_within() {
    let settings = parse("").expect("defaults fit");
    assert_eq!(settings.leaving_within, Duration::from_secs(4));
    assert_eq!(settings.list_interval, Duration::from_secs(1));
    let settings = parse(r#""leaving_within": "2s""#).expect("the default shrinks");
    assert_eq!(settings.list_interval, Duration::from_millis(800));
    let refused = parse(r#""leaving_within": "2s", "list_every": "1s""#);
    let text = refused.expect_err("the interval is too long");
    assert!(
        text.contains("list_every") && text.contains("800ms"),
        "{text}"
    );
}

/// The behaviour under contention is off unless the settings name it.
#[test]
fn parse_features_off_by_default() {
    let settings = parse("").expect("defaults are valid");
    assert_eq!(settings.features, Features::default());
    let settings = parse(r#""shares": "yield", "lending": true"#).expect("valid words");
    assert_eq!(settings.features.shares, ShareMode::Yield);
    assert!(settings.features.lending);
    assert!(!settings.features.pace && !settings.features.prefixes);
    parse(r#""pace": 3"#).expect_err("a number is no flag");
    let refused = parse(r#""shares": "some""#).expect_err("an unknown word");
    assert!(refused.contains("off, yield, refuse"), "{refused}");
}
