//! Which requests have the same fingerprint.

use dogwoodhill_core::fingerprint::{Fingerprinter, RequestContent, short_form};

const REQUEST: RequestContent<'_> = RequestContent {
    workspace: None,
    method: "POST",
    host: "desk.example",
    target: "/letters/2f",
    body: b"weather",
};

#[test]
fn of_same_content_equal_at_any_daemon() {
    let (one, other) = (Fingerprinter::new("k"), Fingerprinter::new("k"));
    assert_eq!(one.of(&REQUEST), other.of(&REQUEST));
    assert_ne!(one.of(&REQUEST), Fingerprinter::new("l").of(&REQUEST));
}

#[test]
fn of_each_part_matters() {
    let (desk, nobody) = ("desk".to_string(), String::new());
    let others = [
        RequestContent {
            workspace: Some(&desk),
            ..REQUEST
        },
        RequestContent {
            workspace: Some(&nobody),
            ..REQUEST
        },
        RequestContent {
            method: "PUT",
            ..REQUEST
        },
        RequestContent {
            host: "desk2.example",
            ..REQUEST
        },
        RequestContent {
            target: "/letters/2f?a",
            ..REQUEST
        },
        RequestContent {
            body: b"weather ",
            ..REQUEST
        },
        // The same bytes, split at another position.
        RequestContent {
            target: "/letters/2fw",
            body: b"eather",
            ..REQUEST
        },
    ];
    let fingerprinter = Fingerprinter::new("k");
    let mut all: Vec<_> = others
        .iter()
        .map(|content| fingerprinter.of(content))
        .collect();
    all.push(fingerprinter.of(&REQUEST));
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), others.len() + 1);
}

#[test]
fn short_form_is_prefix() {
    let fingerprint = Fingerprinter::new("k").of(&REQUEST);
    assert!(format!("{fingerprint:032x}").starts_with(&short_form(fingerprint)));
    assert_eq!(short_form(fingerprint).len(), 8);
    assert_eq!(short_form(7), "00000000");
}
