//! A cluster that forms itself from seeds, over loopback and real folders.

mod support;

use dogwoodhill_control::settings::{Seeds, Start};
use dogwoodhill_control::{Extensions, Settings, run_until_drained};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::control::ControlReply;
use dogwoodhill_wire::demand::{DEMAND_PATH, DemandReply, DemandReport, RequestLoss};
use dogwoodhill_wire::routes::{
    FetchRoutes, PIECE_PATH, ROUTES_PATH, RoutesPiece, RoutesStatus, WatchRoutes,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use support::{SECRET, address};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Far longer than anything takes; only a test that fails waits so long.
const LONG: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(50);

struct Place {
    settings: Settings,
    running: Option<(Drain, JoinHandle<Result<(), String>>)>,
}

impl Place {
    fn new(name: &str) -> Self {
        let folder = format!("dogwoodhill-{}-{name}", std::process::id());
        let data = std::env::temp_dir().join(folder);
        let _ = std::fs::remove_dir_all(&data);
        let mut settings = Settings::new(name.to_string(), data);
        settings.listen = address();
        settings.internal = address();
        settings.secret = SECRET.to_string();
        settings.start = Start::Seeded;
        settings.losses = 1;
        settings.linger = Duration::ZERO;
        Self {
            settings,
            running: None,
        }
    }

    fn start(&mut self, seeds: &[SocketAddr], founding: bool) {
        self.settings.seeds = Seeds {
            addresses: seeds.to_vec(),
            founding,
        };
        let drain = Drain::default();
        let (_unchanged, changed) = watch::channel(None);
        let settings = self.settings.clone();
        let run =
            run_until_drained(settings, drain.clone(), changed, Extensions::default());
        self.running = Some((drain, tokio::spawn(run)));
    }

    /// Kills it: its folder stays as it is.
    async fn kill(&mut self) {
        if let Some((_, task)) = self.running.take() {
            task.abort();
            let _ = task.await;
        }
    }

    fn wipe(&self) {
        std::fs::remove_dir_all(&self.settings.data).expect("the folder was there");
    }

    /// Asks for the route set as an entry does that has none.
    async fn routes(&self) -> Option<RoutesStatus> {
        let caller = PeerClient::new(SECRET.to_string());
        let follow = WatchRoutes {
            entry: "entry".to_string(),
            known: None,
            wait: Duration::from_millis(200),
        };
        let call = caller.call(self.settings.internal, ROUTES_PATH, &follow);
        let answer: ControlReply<RoutesStatus> =
            timeout(Duration::from_secs(4), call).await.ok()?.ok()?;
        answer.ok()
    }

    /// Tells it what an entry met, until it answers that a request is quarantined.
    async fn held(&self, tell: &DemandReport) {
        let caller = PeerClient::new(SECRET.to_string());
        let end = Instant::now() + LONG;
        while Instant::now() < end {
            let call = caller.call(self.settings.internal, DEMAND_PATH, tell);
            let answer: Option<DemandReply> = timeout(Duration::from_secs(4), call)
                .await
                .ok()
                .and_then(Result::ok);
            let suspects = answer.and_then(|totals| totals.suspects);
            let requests = suspects.map_or_else(Vec::new, |told| told.requests);
            if requests.iter().any(|told| told.remaining.is_some()) {
                return;
            }
            sleep(PAUSE).await;
        }
        panic!("{} never told of it", self.settings.name);
    }

    /// Fetches the set of a version as an entry does, where it fits one piece.
    async fn piece(&self, version: Version) -> Option<RoutesPiece> {
        let caller = PeerClient::new(SECRET.to_string());
        let fetch = FetchRoutes {
            version,
            offset: 0,
            max_bytes: usize::MAX,
        };
        let call = caller.call(self.settings.internal, PIECE_PATH, &fetch);
        timeout(Duration::from_secs(4), call).await.ok()?.ok()?
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        // A folder that was never made needs no removal.
        let _ = std::fs::remove_dir_all(&self.settings.data);
    }
}

/// A set without routes.
fn source(version: Version) -> Vec<u8> {
    format!(r#"{{"version":{version},"routes":[],"services":[]}}"#).into_bytes()
}

/// Sends a change as any control instance would on behalf of an operator.
async fn put(place: &Place, version: Version) -> bool {
    use dogwoodhill_control::command::{Action, Reply};
    use dogwoodhill_wire::routes::StoredRoutes;
    let caller = PeerClient::new(SECRET.to_string());
    let action = Action::Routes(StoredRoutes {
        version,
        source: source(version),
    });
    let call = caller.call(place.settings.internal, "/internal/submit", &action);
    let answer: Option<ControlReply<Reply>> = timeout(Duration::from_secs(2), call)
        .await
        .ok()
        .and_then(Result::ok);
    matches!(answer, Some(Ok(Reply::Routes(held))) if held >= version)
}

/// Tries at every place until one, the leader, accepts.
async fn accept(places: &[Place], version: Version) {
    let end = Instant::now() + LONG;
    while Instant::now() < end {
        for place in places {
            if place.running.is_some() && put(place, version).await {
                return;
            }
        }
        sleep(PAUSE).await;
    }
    panic!("version {version} was never accepted");
}

async fn told(place: &Place, version: Version) {
    let end = Instant::now() + LONG;
    while Instant::now() < end {
        let newest = place.routes().await.and_then(|news| news.newest);
        if newest == Some(version) {
            let piece = place.piece(version).await.expect("what is told is kept");
            assert_eq!(piece.bytes, source(version));
            assert_eq!(piece.total, piece.bytes.len() as u64);
            return;
        }
        sleep(PAUSE).await;
    }
    panic!("version {version} was never told");
}

fn internals(places: &[Place]) -> Vec<SocketAddr> {
    places.iter().map(|place| place.settings.internal).collect()
}

async fn found(names: [&str; 4]) -> (Vec<Place>, Vec<SocketAddr>) {
    let mut places: Vec<Place> = names.iter().map(|name| Place::new(name)).collect();
    // The fourth is no seed.
    let seeds = internals(&places)[..3].to_vec();
    for place in places.iter_mut().rev() {
        place.start(&seeds, true);
    }
    (places, seeds)
}

#[tokio::test(flavor = "multi_thread")]
async fn seeds_form_one_cluster() {
    let (places, _) = found(["form-1", "form-2", "form-3", "form-4"]).await;
    accept(&places, 5).await;
    for place in &places {
        told(place, 5).await;
    }
    let news = places[3].routes().await.expect("it is told");
    let mut members = news.control;
    members.sort();
    let mut all = internals(&places);
    all.sort();
    assert_eq!(members, all, "one cluster with everyone in it");
}

#[tokio::test(flavor = "multi_thread")]
async fn disk_lost_then_another_kept() {
    let (mut places, seeds) = found(["wipe-1", "wipe-2", "wipe-3", "wipe-4"]).await;
    accept(&places, 5).await;
    for place in &places {
        told(place, 5).await;
    }
    // One after the other loses its disk, each right after the last repair.
    for i in 0..4 {
        places[i].kill().await;
        places[i].wipe();
        places[i].start(&seeds, false);
        told(&places[i], 5 + i as u64).await;
        accept(&places, 6 + i as u64).await;
        for place in &places {
            told(place, 6 + i as u64).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_killed_come_back() {
    let (mut places, _) = found(["kill-1", "kill-2", "kill-3", "kill-4"]).await;
    accept(&places, 9).await;
    for place in &mut places {
        place.kill().await;
    }
    // The settings still say that this is the first start: a folder with
    // state goes before that.
    let seeds = internals(&places)[..3].to_vec();
    for place in &mut places {
        place.start(&seeds, true);
    }
    for place in &places {
        told(place, 9).await;
    }
}

/// Three endpoints ended under a request, and then every process. Whichever instance an entry
/// asks after that knows of it.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_outlives_all_processes() {
    let names = ["held-1", "held-2", "held-3", "held-4"];
    let (mut places, seeds) = found(names).await;
    accept(&places, 9).await;
    let loss = |number: u64| RequestLoss {
        request: 7,
        run: Incarnation::new(format!("i-{number}"), None),
        domain: number,
        age: Duration::from_secs(1),
        ..RequestLoss::default()
    };
    let lost = DemandReport {
        entry: "entry".to_string(),
        losses: (0..3).map(loss).collect(),
        ..DemandReport::default()
    };
    places[0].held(&lost).await;
    // The others have it of the log alone.
    let nothing = DemandReport {
        entry: "other".to_string(),
        ..DemandReport::default()
    };
    for place in &places {
        place.held(&nothing).await;
    }
    for place in &mut places {
        place.kill().await;
    }
    for place in &mut places {
        place.start(&seeds, true);
    }
    for place in &places {
        place.held(&nothing).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_without_disk_names_the_others() {
    let mut forward = Place::new("forward");
    forward.settings.data = PathBuf::new();
    let mut places: Vec<Place> = ["keep-1", "keep-2", "keep-3"]
        .iter()
        .map(|name| Place::new(name))
        .collect();
    let seeds = internals(&places);
    for place in &mut places {
        place.start(&seeds, true);
    }
    forward.start(&seeds, true);
    accept(&places, 3).await;
    // The seeds are exchanged: the only one left has no disk. An instance that
    // lost its disk finds its cluster through it, an entry its instances.
    let only = [forward.settings.internal];
    for place in &mut places {
        place.kill().await;
        if place.settings.name == "keep-2" {
            place.wipe();
        }
        place.start(&only, false);
    }
    for place in &places {
        told(place, 3).await;
    }
    let end = Instant::now() + LONG;
    loop {
        let named = forward.routes().await.map(|news| news.control);
        if named.is_some_and(|named| named.len() == 3) {
            break;
        }
        assert!(Instant::now() < end, "all three announce themselves");
        sleep(PAUSE).await;
    }
}

/// An entry's poll at `place`, which waits for longer than any test.
fn poll(place: &Place, known: Version) -> JoinHandle<()> {
    let caller = PeerClient::new(SECRET.to_string());
    let address = place.settings.internal;
    let follow = WatchRoutes {
        entry: "entry".to_string(),
        known: Some(known),
        wait: LONG * 2,
    };
    tokio::spawn(async move {
        // However it ends: with a word, or with the connection.
        let _ = caller
            .call::<_, ControlReply<RoutesStatus>>(address, ROUTES_PATH, &follow)
            .await;
    })
}

/// What was seen: an instance that was told to stop stood for as long as the polls of
/// entries that waited there, seconds with its listeners closed. The others took it for
/// gone and removed it; it found that out, and joined again, with a seat, a moment before
/// it ended. The cluster then kept a place for one that never came, could not replace the
/// next one that was lost, and had no majority after the one after that.
#[tokio::test(flavor = "multi_thread")]
async fn drain_ends_polls() {
    let (mut places, _) = found(["drain-1", "drain-2", "drain-3", "drain-4"]).await;
    accept(&places, 5).await;
    told(&places[1], 5).await;
    let polling = poll(&places[1], 5);
    sleep(PAUSE).await;
    let (drain, task) = places[1].running.take().expect("runs");
    drain.begin();
    // Half of the longest poll there is.
    let ended = timeout(LONG / 2, task).await;
    let ended = ended.expect("polls hold nothing up");
    assert_eq!(ended.expect("no panic"), Ok(()));
    polling.await.expect("no panic");
}

/// An instance that was removed while it was away comes back without the seat, which its
/// replacement has: the cluster does not grow by it, and goes on removing what is gone.
#[tokio::test(flavor = "multi_thread")]
async fn returned_instance_has_no_seat() {
    let names = ["seat-1", "seat-2", "seat-3", "seat-4"];
    let (mut places, seeds) = found(names).await;
    accept(&places, 1).await;
    places[2].kill().await;
    places.push(Place::new("seat-5"));
    places[4].start(&seeds, false);
    members_are(&places, &[0, 1, 3, 4]).await;
    // Its settings still speak of the first start.
    places[2].start(&seeds, true);
    members_are(&places, &[0, 1, 2, 3, 4]).await;
    places[4].kill().await;
    members_are(&places, &[0, 1, 2, 3]).await;
}

/// Waits until the cluster consists of these instances.
async fn members_are(places: &[Place], expected: &[usize]) {
    let mut expected: Vec<SocketAddr> = expected
        .iter()
        .map(|at| places[*at].settings.internal)
        .collect();
    expected.sort();
    let end = Instant::now() + LONG;
    let mut last = Vec::new();
    while Instant::now() < end {
        let news = places[0].routes().await;
        last = news.map_or(Vec::new(), |news| news.control);
        last.sort();
        if last == expected {
            return;
        }
        sleep(PAUSE).await;
    }
    panic!("members are {last:?}, not {expected:?}");
}
