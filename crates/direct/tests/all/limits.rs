//! Placement of requests, without sockets.

use dogwoodhill_core::prelude::*;
use dogwoodhill_direct::dialect::{EndpointRecord, Prompt};
use dogwoodhill_direct::directory::{Directory, Lane, Want};
use dogwoodhill_wire::demand::{DemandReply, ServiceDemand};
use std::collections::BTreeSet;
use std::time::Instant;

fn listed(count: usize) -> Vec<EndpointRecord> {
    let one = |i: usize| EndpointRecord {
        run: Incarnation::new(format!("endpoint-{i}"), None),
        service: "voice".to_string(),
        address: ([127, 0, 0, 1], 1_000 + i as u16).into(),
        domain: "here".to_string(),
        slots: 64,
        leaving: false,
    };
    (0..count).map(one).collect()
}

fn prompt(shared: u64, tokens: u32) -> Prompt {
    Prompt {
        shared: Some(shared),
        shared_tokens: tokens / 2,
        tokens,
        output: 50,
    }
}

fn want<'a>(prompt: &'a Prompt, lane: Lane, tried: &'a [Incarnation]) -> Want<'a> {
    Want {
        service: "voice",
        prompt,
        lane,
        background: false,
        mixed: true,
        tried,
        apart: None,
    }
}

fn place(directory: &Directory, want: &Want<'_>) -> Option<String> {
    directory
        .place(want)
        .map(|placed| placed.endpoint.id.clone())
}

#[test]
fn place_shared_prompt_agrees_between_entries() {
    let entries: Vec<Directory> = (0..3)
        .map(|_| {
            let directory = Directory::new("here".to_string());
            directory.update(listed(12));
            directory
        })
        .collect();
    for shared in 0..50 {
        let prompt = prompt(shared, 9_000);
        let chosen: BTreeSet<_> = entries
            .iter()
            .map(|directory| place(directory, &want(&prompt, Lane::Other, &[])))
            .collect();
        assert_eq!(chosen.len(), 1, "entries agree without a word");
    }
}

#[test]
fn place_long_prompts_apart_from_short_pauses() {
    let directory = Directory::new("here".to_string());
    directory.update(listed(12));
    let of = |lane| {
        let chosen = (0..200).map(|shared| {
            let prompt = prompt(shared, 9_000);
            place(&directory, &want(&prompt, lane, &[])).expect("some")
        });
        chosen.collect::<BTreeSet<String>>()
    };
    assert!(of(Lane::Fragile).is_disjoint(&of(Lane::Other)));
}

/// One entry gets short streams and another long prompts. By their own demand, they
/// reserve different numbers of endpoints, and some endpoints would serve both kinds. By
/// the sums, they reserve the same ones.
#[test]
fn place_entries_agree_on_lanes() {
    let entry = |lane| {
        let directory = Directory::new("here".to_string());
        directory.update(listed(34));
        let prompt = prompt(1, 9_000);
        (0..50).for_each(|_| directory.note(&want(&prompt, lane, &[])));
        directory
    };
    let (cues, chapters) = (entry(Lane::Fragile), entry(Lane::Other));
    let reserved = |directory: &Directory| {
        let prompt = prompt(1, 9_000);
        let placed = directory.place(&want(&prompt, Lane::Other, &[]));
        placed.expect("some").reserved
    };
    assert!(reserved(&cues) > reserved(&chapters) + 10);
    let told = [cues.demanded(), chapters.demanded()].concat();
    let total = ServiceDemand {
        service: "voice".to_string(),
        latency_sensitive: told.iter().map(|one| one.latency_sensitive).sum(),
        other: told.iter().map(|one| one.other).sum(),
        ..ServiceDemand::default()
    };
    let totals = DemandReply {
        services: vec![total],
        ..DemandReply::default()
    };
    // The sums are valid for more than a second; if the test was held up for longer, it
    // tries again.
    let both = loop {
        let begun = Instant::now();
        cues.agree(&totals);
        chapters.agree(&totals);
        let both = (reserved(&cues), reserved(&chapters));
        if begun.elapsed() < Duration::from_secs(1) {
            break both;
        }
    };
    assert_eq!(both.0, both.1);
}

#[test]
fn place_never_leaving_or_tried() {
    let directory = Directory::new("here".to_string());
    let mut list = listed(3);
    list[0].leaving = true;
    directory.update(list);
    let prompt = prompt(1, 100);
    let run = |id: &str| Incarnation::new(id, None);
    let tried = [run("endpoint-1")];
    for _ in 0..50 {
        let chosen = place(&directory, &want(&prompt, Lane::Other, &tried));
        assert_eq!(chosen.as_deref(), Some("endpoint-2"));
    }
    let tried = [run("endpoint-1"), run("endpoint-2")];
    assert_eq!(place(&directory, &want(&prompt, Lane::Other, &tried)), None);
}

#[test]
fn update_removed_endpoint_gone() {
    let directory = Directory::new("here".to_string());
    directory.update(listed(2));
    let kept = directory.all()[0].clone();
    directory.update(listed(1));
    assert_eq!(directory.all().len(), 1);
    assert!(
        std::sync::Arc::ptr_eq(&kept, &directory.all()[0]),
        "what stays is kept"
    );
}

/// Guards against long prompts that delay more urgent streams under overload, when every
/// endpoint for long prompts has a queue and some look silent.
#[test]
fn place_long_prompts_apart_under_overload() {
    let directory = Directory::new("here".to_string());
    directory.update(listed(12));
    let prompt = prompt(1, 9_000);
    let fragile: BTreeSet<_> = (0..50)
        .map(|_| place(&directory, &want(&prompt, Lane::Fragile, &[])).expect("some"))
        .collect();
    for endpoint in directory.all().iter() {
        endpoint.unreached();
    }
    let chosen = place(&directory, &want(&prompt, Lane::Other, &[])).expect("some");
    assert!(!fragile.contains(&chosen));
}
