//! Settings of a control instance and their parsing from JSON with comments.

use crate::reporter::{CALL_TIMEOUT, DUTY, UsageSettings};
use dogwoodhill_core::keys::KeyHash;
use dogwoodhill_core::prelude::*;
use dogwoodhill_core::text::Text;
use dogwoodhill_intake::prelude::*;
use dogwoodhill_intake::resources;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::sync::watch;

const SECOND: Duration = Duration::from_secs(1);
const DEFAULT_COMPACT_AFTER: u64 = 2_000;
const DEFAULT_LINGER: Duration = Duration::from_secs(1);

const DEFAULT_LEASE: Duration = Duration::from_secs(3);
/// Time after the end of a lease during which actions of a suspended holder may still
/// take effect.
const DEFAULT_SLACK: Duration = Duration::from_millis(300);
/// A holder sends one report per usage window, so the limit only matters for catching up.
const DEFAULT_CALLS: f64 = 10.0;

/// A team of operators and the keys that authenticate it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Matched against `owner` in service documents.
    pub name: TeamId,
    /// A request with any of these keys acts for the team.
    pub keys: Vec<KeyHash>,
}

/// How an instance finds or creates its cluster at start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Start {
    /// Restarts with the state in its data folder.
    #[default]
    Existing,
    /// Creates a new cluster with itself as the first member.
    Bootstrap,
    /// Joins the cluster that its peers belong to.
    Join,
    /// Creates or joins a cluster as [`Seeds`] describes.
    Seeded,
}

/// Addresses that are configured identically on every instance, for deployments in which
/// no instance is designated as the first.
///
/// During the first start of a deployment, the seeds that have a disk decide by majority
/// which cluster is created ([`crate::founding`]), and the other instances join it. Later,
/// an instance without state joins through any seed that answers and takes the place of a
/// failed member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seeds {
    /// Internal addresses of some instances; may include this one.
    pub addresses: Vec<SocketAddr>,
    /// Whether the whole deployment is starting for the first time.
    pub founding: bool,
}

/// Settings of a control instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance; a replacement for a failed instance reuses it.
    pub name: String,
    /// Address of the operator API.
    pub listen: SocketAddr,
    /// Address for calls from other processes of the router.
    pub internal: SocketAddr,
    /// Internal addresses of the other control instances.
    pub peers: Vec<SocketAddr>,
    /// Used in place of `peers`.
    pub seeds: Seeds,
    /// Number of simultaneous instance losses that acknowledged changes survive. Changes
    /// are refused while there are fewer than `2 * losses + 1` voters. Default 0.
    pub tolerated_losses: usize,
    /// Data folder; empty on an instance without a disk, which only forwards requests.
    pub data: PathBuf,
    /// Cluster key, shared by all processes of the router.
    pub secret: String,
    /// Teams that may change documents.
    pub teams: Vec<Team>,
    /// Log entries after which the log is compacted. With the default of 2,000, replay
    /// takes a fraction of a second and snapshots are rare.
    pub compact_after: u64,
    /// How long connections are still accepted after a drain has begun. Default 1 s.
    pub linger: Duration,
    /// Memory and descriptors of the instance. Default 110 MB, and what the process may
    /// open.
    pub resources: Resources,
    /// Usage reporting; `None` where it is not among the instance's duties.
    pub usage: Option<UsageSettings>,
    /// Set on the command line.
    pub start: Start,
    /// Addresses of other instances as they change at run time; `None` where they are
    /// fixed.
    pub address_updates: Option<watch::Receiver<Vec<SocketAddr>>>,
}

impl Settings {
    /// Default settings, with listeners on free loopback ports.
    pub fn new(name: String, data: PathBuf) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name,
            listen: free,
            internal: free,
            peers: Vec::new(),
            seeds: Seeds::default(),
            tolerated_losses: 0,
            data,
            secret: String::new(),
            teams: Vec::new(),
            compact_after: DEFAULT_COMPACT_AFTER,
            linger: DEFAULT_LINGER,
            resources: Resources::default(),
            usage: None,
            start: Start::Existing,
            address_updates: None,
        }
    }

    /// Addresses of other instances as they change at run time.
    pub(crate) fn peer_addresses(&self) -> watch::Receiver<Vec<SocketAddr>> {
        let fixed = || watch::channel(crate::control::configured_addresses(self)).1;
        self.address_updates.clone().unwrap_or_else(fixed)
    }

    /// Parses settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// All faults of the text, not only the first.
    pub fn parse(file: &str, source: &str) -> Result<Self, Diagnostics> {
        Text::read(file, source, read)
    }
}

fn read(s: &mut Section<'_, '_>) -> Settings {
    let mut settings = Settings {
        name: s.name("name"),
        listen: s.address("listen"),
        internal: s.address("internal"),
        peers: s.addresses("peers"),
        seeds: Seeds::default(),
        tolerated_losses: s.count("losses", 0..=2, Some(0)) as usize,
        data: PathBuf::from(s.text("data")),
        secret: s.text("cluster_key"),
        teams: s.sections("teams", team),
        compact_after: s.count(
            "compact_after",
            16..=1_000_000,
            Some(DEFAULT_COMPACT_AFTER),
        ),
        linger: s.duration("linger", Duration::ZERO..=60 * SECOND, Some(DEFAULT_LINGER)),
        resources: resources::read(s),
        usage: usage(s),
        start: Start::Existing,
        address_updates: None,
    };
    settings.seeds = seeds(s);
    if !settings.seeds.addresses.is_empty() {
        settings.start = Start::Seeded;
    }
    if settings.peers.contains(&settings.internal) {
        let remedy = "list only the other instances";
        s.report("peers", "name this instance itself", remedy);
    }
    settings
}

/// Reads the duties and their settings. An unknown duty is logged and skipped, since
/// another program may perform it.
fn usage(s: &mut Section<'_, '_>) -> Option<UsageSettings> {
    let duties = s.texts("duties");
    for duty in duties.iter().filter(|duty| *duty != DUTY) {
        Event::new("duty-not-done")
            .field("duty", duty)
            .field("reason", "unknown")
            .warn();
    }
    let settings = s.section("usage", usage_settings);
    let required = duties.iter().any(|duty| duty == DUTY);
    if required && settings.is_none() {
        s.report(
            "usage",
            "is missing",
            "say how usage is reported, or drop the duty",
        );
    }
    settings.filter(|_| required)
}

fn usage_settings(s: &mut Section<'_, '_>) -> UsageSettings {
    let window = s.duration("window", SECOND / 10..=86_400 * SECOND, None);
    let deadline = s.duration("within", SECOND..=86_400 * SECOND, Some(2 * window));
    let lease = s.duration("lease", SECOND / 10..=3_600 * SECOND, Some(DEFAULT_LEASE));
    let slack = s.duration("slack", Duration::ZERO..=60 * SECOND, Some(DEFAULT_SLACK));
    // A platform that does not check fencing tokens may still process a call until the
    // caller stops waiting for its response.
    let fenced = s.flag("fenced", false);
    let call_time = if fenced { Duration::ZERO } else { CALL_TIMEOUT };
    let calls = s.number("calls_per_second", 0.01..=10_000.0, Some(DEFAULT_CALLS));
    UsageSettings {
        reporter: s.name("reporter"),
        platform: s.address("platform"),
        windows: Windows::new(window),
        deadline,
        lease,
        slack: slack + call_time,
        call_interval: Duration::from_secs_f64(1.0 / calls),
    }
}

fn seeds(s: &mut Section<'_, '_>) -> Seeds {
    let mut addresses = s.addresses("seeds");
    // 0 keeps the ports given in `seeds`.
    let port = s.count("seed_port", 0..=65_535, Some(0)) as u16;
    for address in addresses.iter_mut().filter(|_| port > 0) {
        address.set_port(port);
    }
    Seeds {
        addresses,
        founding: s.flag("founding", false),
    }
}

fn team(s: &mut Section<'_, '_>) -> Team {
    let texts = s.texts("keys");
    let keys: Vec<KeyHash> = texts.iter().filter_map(|t| KeyHash::parse(t)).collect();
    if keys.len() != texts.len() || keys.is_empty() {
        let remedy = "list at least one as sha256: and 64 hexadecimal digits";
        s.report("keys", "are not hashed keys", remedy);
    }
    Team {
        name: s.name("name"),
        keys,
    }
}
