//! Parsing of user-written text: any input gives a value or diagnostics, never a panic.

use dogwoodhill_core::document::Delta;
use dogwoodhill_core::event::Event;
use dogwoodhill_core::keys::{KeyHash, KeyRing};
use dogwoodhill_core::prelude::*;
use proptest::prelude::*;

const DOCUMENT: &str = r#"{
  "service": "svc", "version": 3, "owner": "team", "kind": "model",
  "workspaces": [ { "name": "w", "in_flight": 4, "rate": 2.5 } ],
  "classes": [ { "name": "c", "priority": 0, "target": { "token_gap": "46ms" } } ],
  "endpoints": [ { "name": "e", "agent": "127.0.0.1:1", "address": "[::1]:2",
    "domain": "d" } ]
}"#;

/// Returns a document with workspaces and endpoints derived from the numbers: `n / 2`
/// gives the name, `n % 2` a variant of the item.
fn document(version: u64, workspaces: &[u8], endpoints: &[u8]) -> ServiceDocument {
    let mut document = ServiceDocument::parse("base", DOCUMENT).unwrap();
    document.version = version;
    let workspace = document.workspaces[0].clone();
    let endpoint = document.endpoints[0].clone();
    let mut names: Vec<u8> = workspaces.to_vec();
    names.sort_unstable();
    names.dedup();
    document.workspaces = names
        .iter()
        .map(|n| Workspace {
            name: format!("w-{:03}", n / 2),
            weight: u32::from(n % 2) + 1,
            ..workspace.clone()
        })
        .collect();
    document.workspaces.dedup_by(|a, b| a.name == b.name);
    let mut names: Vec<u8> = endpoints.to_vec();
    names.sort_unstable();
    names.dedup();
    document.endpoints = names
        .iter()
        .map(|n| Endpoint {
            name: format!("e-{:03}", n / 2),
            leaving: n % 2 == 0,
            ..endpoint.clone()
        })
        .collect();
    document.endpoints.dedup_by(|a, b| a.name == b.name);
    document
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        ..ProptestConfig::default()
    })]

    #[test]
    fn parse_any_text_gives_diagnostics(text in ".{0,200}") {
        let diagnostics = ServiceDocument::parse("any", &text).unwrap_err();
        prop_assert!(!diagnostics.0.is_empty());
    }

    #[test]
    fn parse_corrupt_document_never_panics(at in 0usize..400, with in any::<char>()) {
        let mut text: Vec<char> = DOCUMENT.chars().collect();
        let at = at % text.len();
        text[at] = with;
        let text: String = text.into_iter().collect();
        if let Err(diagnostics) = ServiceDocument::parse("damaged", &text) {
            prop_assert!(diagnostics.0.iter().all(|item| !item.remedy.is_empty()));
        }
    }

    #[test]
    fn delta_apply_gives_newer_document(
        old in proptest::collection::vec(any::<u8>(), 0..40),
        new in proptest::collection::vec(any::<u8>(), 0..40),
    ) {
        let old = document(1, &old, &new);
        let new = document(2, &new, &old.workspaces.iter().map(|w| w.weight as u8).collect::<Vec<_>>());
        let delta = Delta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old), new);
    }

    #[test]
    fn event_any_value_is_one_line(value in any::<String>()) {
        let event = Event::new("test").field("value", value);
        prop_assert!(!event.line().contains('\n'));
        prop_assert!(event.line().starts_with("event=test value="));
    }
}

#[test]
fn parse_same_content_compares_equal() {
    let first = ServiceDocument::parse("a", DOCUMENT).unwrap();
    let commented = format!("// changed layout\n{}", DOCUMENT.replace("  ", " "));
    assert_eq!(first, ServiceDocument::parse("b", &commented).unwrap());
}

#[test]
fn parse_loose_json_refused() {
    for text in ["{service: 1}", "{'service': 1}", "{\"a\" 1}", "[]", ""] {
        assert!(ServiceDocument::parse("loose", text).is_err(), "{text}");
    }
}

#[test]
fn key_ring_finds_by_full_hash() {
    let one = KeyHash::of("one");
    let ring = KeyRing::new(vec![(KeyHash::of("two"), 2), (one, 1), (one, 3)]);
    let mut found: Vec<i32> = ring.find(&one).copied().collect();
    found.sort_unstable();
    assert_eq!(found, [1, 3]);
    assert_eq!(ring.find(&KeyHash::of("three")).count(), 0);
    assert_eq!(KeyHash::parse(&one.text()), Some(one));
}
