//! Which requests count as the same.

use dogwoodhill_core::fingerprint::{Fingerprinter, RequestContent, short_form};

const LETTER: RequestContent<'_> = RequestContent {
    workspace: None,
    method: "POST",
    host: "desk.example",
    target: "/letters/2f",
    body: b"weather",
};

#[test]
fn of_same_content_at_any_daemon() {
    let (one, other) = (Fingerprinter::new("k"), Fingerprinter::new("k"));
    assert_eq!(one.of(&LETTER), other.of(&LETTER));
    assert_ne!(one.of(&LETTER), Fingerprinter::new("l").of(&LETTER));
}

#[test]
fn of_each_part_counts() {
    let (desk, nobody) = ("desk".to_string(), String::new());
    let others = [
        RequestContent {
            workspace: Some(&desk),
            ..LETTER
        },
        RequestContent {
            workspace: Some(&nobody),
            ..LETTER
        },
        RequestContent {
            method: "PUT",
            ..LETTER
        },
        RequestContent {
            host: "desk2.example",
            ..LETTER
        },
        RequestContent {
            target: "/letters/2f?a",
            ..LETTER
        },
        RequestContent {
            body: b"weather ",
            ..LETTER
        },
        // The same bytes, split in another place.
        RequestContent {
            target: "/letters/2fw",
            body: b"eather",
            ..LETTER
        },
    ];
    let maker = Fingerprinter::new("k");
    let mut all: Vec<_> = others.iter().map(|content| maker.of(content)).collect();
    all.push(maker.of(&LETTER));
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), others.len() + 1);
}

#[test]
fn shown_only_a_beginning() {
    let fingerprint = Fingerprinter::new("k").of(&LETTER);
    assert!(format!("{fingerprint:032x}").starts_with(&short_form(fingerprint)));
    assert_eq!(short_form(fingerprint).len(), 8);
    assert_eq!(short_form(7), "00000000");
}
