//! Merging of rings, windows, and the rendered report.

use dogwoodhill_core::burn::{Counts, MINUTES, Ring};
use dogwoodhill_report::burn::{BurnReport, merge, row};
use dogwoodhill_report::page::render_page;
use dogwoodhill_report::table::render_table;

const NOW: u64 = 1_000_000;

fn counts(attained: u64, missed: u64) -> Counts {
    Counts {
        attained,
        missed,
        tokens: attained * 10,
        ..Counts::default()
    }
}

fn ring(class: &str, buckets: &[(u64, Counts)]) -> Ring {
    let mut ring = Ring::new("chat".to_string(), class.to_string());
    ring.objective = 0.95;
    ring.target = "first_token 500ms".to_string();
    for (ago, counts) in buckets {
        ring.add(NOW - ago, *counts);
    }
    ring
}

fn sample() -> BurnReport {
    let first = vec![ring(
        "interactive",
        &[(90, counts(5, 5)), (30, counts(80, 20))],
    )];
    let second = vec![
        ring("batch", &[(2, counts(0, 0))]),
        ring("interactive", &[(30, counts(100, 0)), (1, counts(99, 1))]),
    ];
    let rings = merge(vec![first, second]);
    BurnReport {
        minute: NOW,
        read: vec!["127.0.0.1:1".to_string()],
        unread: vec!["127.0.0.1:2".to_string()],
        rows: rings.iter().map(|ring| row(ring, NOW)).collect(),
    }
}

#[test]
fn merge_adds_same_minutes() {
    let report = sample();
    let row = &report.rows[1];
    assert_eq!(row.class, "interactive");
    assert_eq!(row.short.counts, counts(99, 1));
    assert_eq!(row.long.counts.eligible(), 300);
    assert_eq!(row.long.counts.missed, 21);
    assert_eq!(row.total.counts.eligible(), 310);
    // 21 of 300 requests missed the target, and the objective of 0.95 allows 15.
    assert!((row.long.burn.unwrap() - 1.4).abs() < 1e-9);
}

#[test]
fn merge_ignores_order() {
    let lists = || {
        vec![
            vec![ring("a", &[(3, counts(1, 0))])],
            vec![ring("a", &[(3, counts(0, 2)), (1, counts(4, 0))])],
        ]
    };
    let mut reversed = lists();
    reversed.reverse();
    assert_eq!(merge(lists()), merge(reversed));
}

#[test]
fn ring_drops_buckets_beyond_an_hour() {
    let mut ring = ring("a", &[]);
    for minute in 0..200 {
        ring.add(minute, counts(1, 0));
    }
    assert_eq!(ring.buckets.len(), MINUTES);
    assert_eq!(ring.total.attained, 200);
}

#[test]
fn table_shows_rows_and_unread_entries() {
    insta::assert_snapshot!(render_table(&sample()));
}

#[test]
fn page_self_contained_and_escaped() {
    let mut report = sample();
    report.rows[0].class = "<script>".to_string();
    let page = render_page(&report).unwrap();
    assert!(page.contains("<svg"), "the plot is inline");
    assert!(!page.contains("<script"), "names are escaped");
    assert!(!page.contains("http://") || page.contains("w3.org"));
    assert!(page.contains("not read: 127.0.0.1:2"));
}
