//! Shares of a service at one entry, in virtual time and before a small endpoint.

use crate::control::ControlInstance;
use crate::endpoint::{Act, ScriptedEndpoint};
use crate::entry::{Entry, demo_workspace, route_set};
use dogwoodhill_core::prelude::*;
use dogwoodhill_direct::shares::{LEVEL_TTL, ShareRequest, ShareTicket, Shares};
use dogwoodhill_policy::shares::Standing::{Above, Within};
use dogwoodhill_policy::shares::admission::Outlook;
use dogwoodhill_policy::shares::cost::{Capacity, Cost, Size};
use dogwoodhill_route::prelude::*;
use dogwoodhill_wire::shares::{ServiceShares, WorkspaceUse};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::Semaphore;
use tokio::time::sleep;

const HOT: u64 = 7;
const QUIET: u64 = 8;
/// Time until the level is in force: control collects reports for two seconds.
const SETTLE: Duration = Duration::from_secs(4);
/// How long the quiet workspace is observed.
const OBSERVED: Duration = Duration::from_secs(6);
/// Callers of the hot workspace, which ask for several times what the endpoint can serve.
const HOT_CALLERS: usize = 20;
/// Callers of the quiet workspace.
const QUIET_CALLERS: usize = 2;
/// Pause of a hot caller after each response.
const HOT_PAUSE: Duration = Duration::from_millis(5);
/// Pause of a quiet one. Both together ask for an eighth of what the endpoint can serve,
/// a quarter of their share, so that a slow machine does not put them above it.
const QUIET_PAUSE: Duration = Duration::from_millis(30);
/// Part of its requests that a workspace within its share keeps.
const KEPT: f64 = 0.95;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn open(shares: &Arc<Shares>, now: Duration, workspace: u64) -> ShareTicket {
    let request = ShareRequest {
        service: "chat".to_string(),
        workspace: Some((workspace, 1.0)),
        tier: 0,
        cost: Cost::of(Size::default(), Capacity::default()),
        objective: millis(100),
    };
    shares.open(now, request)
}

/// A level by which a tenth of the hot workspace's work is within its share.
fn level() -> Vec<ServiceShares> {
    let hot = WorkspaceUse {
        workspace: HOT,
        weight: 1,
        asked: vec![10.0],
    };
    vec![ServiceShares {
        service: "chat".to_string(),
        level: 1.0,
        above: vec![hot],
    }]
}

/// Of 100 requests of a workspace, those within its share, and served.
fn within(shares: &Arc<Shares>, now: Duration, workspace: u64) -> usize {
    let tickets = (0..100).map(|_| {
        let mut ticket = open(shares, now, workspace);
        ticket.responded(now);
        ticket.standing()
    });
    tickets.filter(|standing| *standing == Within).count()
}

/// A tenth of 100 requests, up to one.
fn assert_tenth(within: usize) {
    assert!((9..=11).contains(&within), "{within}");
}

/// A level of control applies to the hot workspace only, and ends with control's word.
#[test]
fn apply_level_of_control() {
    let shares = Arc::new(Shares::new(None));
    assert_eq!(within(&shares, millis(0), HOT), 100);
    shares.apply(millis(100), Some(&level()));
    assert_tenth(within(&shares, millis(200), HOT));
    assert_eq!(within(&shares, millis(200), QUIET), 100);
    above(&shares, millis(200)).responded(millis(200));
    assert_eq!(shares.standing("chat", HOT, 0), Above);
    assert_eq!(shares.standing("chat", QUIET, 0), Within);
    assert_eq!(shares.standing("unknown", HOT, 0), Within);
    shares.apply(millis(300), Some(&[]));
    assert_eq!(within(&shares, millis(300), HOT), 100);
}

/// Another control instance takes over and does not know all demand yet: the entry keeps
/// the last level.
#[test]
fn apply_unknown_demand_keeps_level() {
    let shares = Arc::new(Shares::new(None));
    open(&shares, millis(0), HOT).responded(millis(0));
    shares.apply(millis(100), Some(&level()));
    shares.apply(millis(600), None);
    shares.report(millis(1_100));
    assert_tenth(within(&shares, millis(1_100), HOT));
}

/// Control is lost: the last level holds for a stated time, and no workspace is above a level
/// after that unless the entry itself sees a shortage.
#[test]
fn report_without_control_ends_level() {
    let shares = Arc::new(Shares::new(None));
    within(&shares, millis(0), HOT);
    shares.apply(millis(100), Some(&level()));
    let end = millis(100) + LEVEL_TTL;
    shares.report(end - millis(1));
    assert_tenth(within(&shares, end, HOT));
    shares.report(end);
    assert_eq!(within(&shares, end, HOT), 100);
}

/// Without control from the start, the entry divides by what it sees alone: a workspace
/// that sends 20 times as much as the quiet one is above its share.
#[test]
fn report_without_control_own_view() {
    let shares = Arc::new(Shares::new(None));
    let mut now = Duration::ZERO;
    while now < LEVEL_TTL * 2 {
        for number in 0..21 {
            let workspace = if number == 0 { QUIET } else { HOT };
            let mut ticket = open(&shares, now, workspace);
            if number < 5 {
                ticket.responded(now + millis(50));
            } else {
                ticket.refused(now + millis(1), true);
            }
        }
        shares.report(now);
        now += millis(100);
    }
    assert_eq!(within(&shares, now, QUIET), 100);
    let hot = within(&shares, now, HOT);
    assert!((15..=25).contains(&hot), "four of twenty are served: {hot}");
}

/// A level that is no number, or negative, is no level.
#[test]
fn apply_bad_level_ignored() {
    for bad in [f32::NAN, -1.0] {
        let shares = Arc::new(Shares::new(None));
        let mut bad_level = level();
        bad_level[0].level = bad;
        within(&shares, millis(0), HOT);
        shares.apply(millis(100), Some(&bad_level));
        assert_eq!(within(&shares, millis(200), HOT), 100);
    }
}

/// The next request of the hot workspace that is above its share.
fn above(shares: &Arc<Shares>, now: Duration) -> ShareTicket {
    loop {
        let mut ticket = open(shares, now, HOT);
        if ticket.standing() == Above {
            return ticket;
        }
        ticket.responded(now);
    }
}

/// Work above a share is refused at a plain service, and where its wait is too long.
/// Callers return one after the other.
#[test]
fn refuses_above_share_only() {
    let shares = Arc::new(Shares::new(None));
    let now = millis(10);
    within(&shares, millis(0), HOT);
    shares.apply(millis(1), Some(&level()));
    let hopeless = Outlook::Prompt {
        wait: millis(2_000),
        remaining: millis(1_000),
    };
    let mut quiet = open(&shares, now, QUIET);
    assert!(!quiet.refuses(now, None) && !quiet.refuses(now, Some(hopeless)));
    assert!(!quiet.yields(None));
    quiet.responded(now);
    let mut first = above(&shares, now);
    assert!(first.refuses(now, None) && first.refuses(now, Some(hopeless)));
    let first = first.refuse(now, "r-1", 0.5);
    let second = above(&shares, now).refuse(now, "r-2", 0.5);
    assert!(first.retry_after < second.retry_after);
}

/// Work is reported with the workspaces only while some of it is late.
#[test]
fn report_lists_workspaces_when_late() {
    let shares = Arc::new(Shares::new(None));
    within(&shares, millis(0), QUIET);
    let calm = shares.report(millis(100));
    assert_eq!((calm[0].workspaces.len(), calm[0].others), (0, 1));
    for _ in 0..10 {
        open(&shares, millis(200), HOT).refused(millis(200), true);
    }
    let late = shares.report(millis(300));
    assert_eq!((late[0].workspaces.len(), late[0].others), (2, 0));
    assert!(late[0].late > 0.0);
}

/// A hot workspace fills the slots of a small endpoint with requests that it repeats at
/// once. The quiet workspace is never refused for it, and gets nearly all of its requests
/// served.
#[tokio::test(flavor = "multi_thread")]
async fn hot_workspace_quiet_one_served() {
    let slots = Arc::new(Semaphore::new(4));
    let acts = (0..200_000).map(|_| Act::InSlot(Arc::clone(&slots), millis(10)));
    let endpoint = ScriptedEndpoint::start(acts.collect()).await;
    let control = ControlInstance::start(0).await;
    let mut set = route_set();
    let quiet = RouteWorkspace {
        name: "quiet".to_string(),
        keys: vec!["q".to_string()],
        ..demo_workspace()
    };
    set.workspaces = Some(vec![demo_workspace(), quiet]);
    let entry = Entry::with_shares(&[&endpoint], set, vec![control.address]).await;
    let entry = Arc::new(entry);
    let started = Instant::now();
    let end = started + SETTLE + OBSERVED;
    let caller = |key: &'static str, pause: Duration| {
        let entry = Arc::clone(&entry);
        tokio::spawn(async move {
            let mut statuses = Vec::new();
            while Instant::now() < end {
                let key = format!("x-key: {key}\r\n");
                let response = entry.call("GET /once/", &key, "").await;
                if response.status == 429 {
                    assert!(response.body.contains("not-run"), "{response:?}");
                    assert!(response.header("retry-after").is_some());
                }
                if started.elapsed() > SETTLE {
                    statuses.push(response.status);
                }
                sleep(pause).await;
            }
            statuses
        })
    };
    let hot: Vec<_> = (0..HOT_CALLERS).map(|_| caller("k", HOT_PAUSE)).collect();
    let quiet: Vec<_> = (0..QUIET_CALLERS)
        .map(|_| caller("q", QUIET_PAUSE))
        .collect();
    let (mut of_hot, mut of_quiet) = (Vec::new(), Vec::new());
    for task in hot {
        of_hot.extend(task.await.expect("callers do not panic"));
    }
    for task in quiet {
        of_quiet.extend(task.await.expect("callers do not panic"));
    }
    assert!(of_hot.contains(&429), "the hot workspace is refused");
    assert!(
        !of_quiet.contains(&429),
        "the quiet one is within its share"
    );
    let served = of_quiet.iter().filter(|status| **status == 200).count();
    let asked = of_quiet.len();
    assert!(
        served as f64 >= KEPT * asked as f64,
        "{served} of {asked} served"
    );
}
