//! Validation of route sets, lookup of routes, and request ranks.

use dogwoodhill_core::prelude::*;
use dogwoodhill_route::prelude::*;
use dogwoodhill_route::set::{JsonFormat, SetFormat};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_string(),
        host: "studio.example".to_string(),
        prefix: prefix.to_string(),
        targets: vec![Target {
            service: "voice".to_string(),
            weight: 1,
        }],
        repeat: Repeat::Never,
        events: None,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        tier: 2,
        tries: 1,
        public: false,
    }
}

fn set(routes: Vec<Route>) -> RouteSet {
    RouteSet {
        version: 3,
        routes,
        services: vec!["voice".to_string()],
        declared: Vec::new(),
        ..RouteSet::default()
    }
}

fn workspace(name: &str, keys: &[&str], tier: Option<Tier>) -> RouteWorkspace {
    RouteWorkspace {
        name: name.to_string(),
        keys: keys.iter().map(|key| (*key).to_string()).collect(),
        tier,
        weight: 1,
    }
}

#[test]
fn check_valid_set() {
    assert_eq!(set(vec![route("a", "/a/")]).check(), Ok(()));
}

#[test]
fn check_invalid_routes_rejected() {
    let mut unknown = route("a", "/a/");
    unknown.targets[0].service = "other".to_string();
    let mut no_weight = route("a", "/a/");
    no_weight.targets[0].weight = 0;
    let mut no_timeout = route("a", "/a/");
    no_timeout.timeout = Duration::ZERO;
    let same = vec![route("a", "/a/"), route("b", "/a/")];
    for routes in [
        vec![unknown],
        vec![no_weight],
        vec![no_timeout],
        same,
        vec![route("a", "/a")],
    ] {
        assert!(set(routes).check().is_err());
    }
}

#[test]
fn check_shared_key_rejected() {
    let mut shared = set(vec![route("a", "/a/")]);
    shared.workspaces = Some(vec![
        workspace("x", &["k"], None),
        workspace("y", &["k"], None),
    ]);
    assert!(matches!(
        shared.check(),
        Err(InvalidRouteSet::SharedKey { .. })
    ));
}

#[test]
fn find_longest_prefix() {
    let table =
        RouteTable::new(set(vec![route("outer", "/a/"), route("inner", "/a/b/")]));
    let name = |path: &str| table.find("studio.example", path).map(|r| r.name.clone());
    assert_eq!(name("/a/b/c").as_deref(), Some("inner"));
    assert_eq!(name("/a/bc").as_deref(), Some("outer"));
    assert_eq!(name("/a"), None);
    assert!(table.find("other.example", "/a/b").is_none());
}

#[test]
fn admit_by_key_and_public_route() {
    let mut keyed = set(vec![route("a", "/a/"), route("open", "/o/")]);
    keyed.routes[1].public = true;
    keyed.workspaces = Some(vec![workspace("x", &["k"], Some(0))]);
    let table = RouteTable::new(keyed);
    let admit = |path: &str, key| table.admit("studio.example", path, key);
    let known = admit("/a/", Some("k")).expect("the key is held");
    assert_eq!((known.workspace.as_deref(), known.tier), (Some("x"), 0));
    assert_eq!(admit("/a/", Some("other")).err(), Some(Denied::Key));
    assert_eq!(admit("/a/", None).err(), Some(Denied::Key));
    assert_eq!(admit("/n/", Some("k")).err(), Some(Denied::Route));
    let open = admit("/o/", None).expect("the route is public");
    assert_eq!((open.workspace, open.tier), (None, 2));
}

#[test]
fn read_truncated_text_rejected() {
    let text = serde_json::to_vec(&set(vec![route("a", "/a/")])).expect("encodes");
    assert!(JsonFormat.read(&text).is_ok());
    assert!(JsonFormat.read(&text[..text.len() - 1]).is_err());
}

/// An engine has ten priority levels. Even if routes and workspaces together have more
/// tiers, requests of routes with different tiers must never share a level: within a
/// level the engine preempts the newer request.
#[test]
fn level_differs_between_routes() {
    for (routes, workspaces) in [(1, 3), (2, 3), (3, 3), (3, 5), (4, 4), (10, 4)] {
        let level = |route, workspace| {
            let rank = Rank {
                route,
                routes,
                workspace,
                workspaces,
            };
            rank.level(10, false)
        };
        let mut levels = Vec::new();
        for route in 0..routes {
            for workspace in 0..workspaces {
                levels.push(level(route, workspace));
                if route > 0 {
                    assert!(level(route - 1, workspaces - 1) < level(route, workspace));
                }
            }
        }
        assert!(levels.is_sorted() && levels.iter().all(|level| *level < 10));
    }
}

/// The tier of the route takes precedence over that of the workspace: an engine that runs
/// out of memory preempts a request of the less urgent route even if its workspace is
/// more urgent.
#[test]
fn admit_rank_by_route_then_workspace() {
    let mut keyed = set(vec![route("cue", "/cue/"), route("revoice", "/revoice/")]);
    keyed.routes[0].tier = 0;
    keyed.workspaces = Some(vec![
        workspace("urgent", &["u"], Some(0)),
        workspace("ordinary", &["o"], Some(1)),
    ]);
    let table = RouteTable::new(keyed);
    let level = |path: &str, key| {
        let admitted = table.admit("studio.example", path, Some(key));
        admitted.expect("the key is held").rank.level(10, false)
    };
    let levels = [
        level("/cue/", "u"),
        level("/cue/", "o"),
        level("/revoice/", "u"),
        level("/revoice/", "o"),
    ];
    assert!(levels.is_sorted_by(|a, b| a < b), "{levels:?}");
}
