//! Settings of a control instance.

use crate::reporter::{CALL_TIMEOUT, DUTY, UsageSettings};
use dogwoodhill_core::keys::KeyHash;
use dogwoodhill_core::prelude::*;
use dogwoodhill_core::text::Text;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::sync::watch;

const SECOND: Duration = Duration::from_secs(1);
/// Entries in the log after which it is compacted.
const DEFAULT_COMPACT: u64 = 2_000;
/// How long connections are still accepted after a drain began.
const DEFAULT_LINGER: Duration = Duration::from_secs(1);

/// Lease of a duty.
const DEFAULT_LEASE: Duration = Duration::from_secs(3);
/// Time after a lease in which its holder may still act on it.
const DEFAULT_SLACK: Duration = Duration::from_millis(300);
/// Calls to the platform in a second: far more than a report a window.
const DEFAULT_CALLS: f64 = 10.0;

/// A team of operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name, as documents' `owner` writes it.
    pub name: TeamId,
    /// Hashes of its keys.
    pub keys: Vec<KeyHash>,
}

/// How an instance without state comes to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Start {
    /// It has state already.
    #[default]
    Again,
    /// It is the first one of a new cluster.
    Bootstrap,
    /// It joins the cluster its peers belong to.
    Join,
    /// The seeds decide: see [`Seeds`].
    Seeded,
}

/// Addresses that every instance is given alike, for deployments in which
/// nobody names the first instance.
///
/// While the deployment starts for the first time, the instance with the
/// lowest of the seeds' addresses founds the cluster and the others join it.
/// Two can't found, since all are given the same seeds. Later an instance
/// without state joins through whichever seed answers, and takes the place of
/// one that is gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seeds {
    /// Internal addresses of some instances; may name this one.
    pub addresses: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    pub founding: bool,
}

/// Settings of a control instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance; a replacement of a lost one has the same.
    pub name: String,
    /// Address for operators.
    pub listen: SocketAddr,
    /// Address for the router's own processes.
    pub internal: SocketAddr,
    /// Internal addresses of the other control instances.
    pub peers: Vec<SocketAddr>,
    /// Seeds, in place of peers.
    pub seeds: Seeds,
    /// Losses at the same time that no acknowledged change may be lost by.
    /// Changes are refused until twice as many voters and one more are there.
    /// Default 0.
    pub losses: usize,
    /// Data folder; empty on an instance without a disk, which only sends
    /// others on.
    pub data: PathBuf,
    /// Key shared by the router's processes.
    pub secret: String,
    /// Teams that may change documents.
    pub teams: Vec<Team>,
    /// Log entries after which the log is compacted. Default 2,000: replaying
    /// them takes a fraction of a second, and a snapshot is written seldom.
    pub compact: u64,
    /// How long connections are still accepted after a drain began. Default
    /// 1 s.
    pub linger: Duration,
    /// How usage is reported, where that is one of the instance's duties.
    pub usage: Option<UsageSettings>,
    /// How an instance without state comes to be; from the command line.
    pub start: Start,
    /// Addresses of other instances, as they change while the instance runs;
    /// `None` where they don't.
    pub known: Option<watch::Receiver<Vec<SocketAddr>>>,
}

impl Settings {
    /// Settings with defaults, on free ports of loopback.
    pub fn new(name: String, data: PathBuf) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name,
            listen: free,
            internal: free,
            peers: Vec::new(),
            seeds: Seeds::default(),
            losses: 0,
            data,
            secret: String::new(),
            teams: Vec::new(),
            compact: DEFAULT_COMPACT,
            linger: DEFAULT_LINGER,
            usage: None,
            start: Start::Again,
            known: None,
        }
    }

    /// Addresses of other instances, as they change.
    pub(crate) fn known(&self) -> watch::Receiver<Vec<SocketAddr>> {
        let fixed = || watch::channel(crate::control::addresses(self)).1;
        self.known.clone().unwrap_or_else(fixed)
    }

    /// Reads settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// Every fault of the text.
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
        losses: s.count("losses", 0..=2, Some(0)) as usize,
        data: PathBuf::from(s.text("data")),
        secret: s.text("cluster_key"),
        teams: s.sections("teams", team),
        compact: s.count("compact_after", 16..=1_000_000, Some(DEFAULT_COMPACT)),
        linger: s.duration("linger", Duration::ZERO..=60 * SECOND, Some(DEFAULT_LINGER)),
        usage: usage(s),
        start: Start::Again,
        known: None,
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

/// The duties and how they are done. One that is not known is left to whoever knows it.
fn usage(s: &mut Section<'_, '_>) -> Option<UsageSettings> {
    let duties = s.texts("duties");
    for duty in duties.iter().filter(|duty| *duty != DUTY) {
        Event::new("duty-not-done")
            .field("duty", duty)
            .field("reason", "unknown")
            .warn();
    }
    let settings = s.section("usage", usage_settings);
    let owed = duties.iter().any(|duty| duty == DUTY);
    if owed && settings.is_none() {
        s.report(
            "usage",
            "is missing",
            "say how usage is reported, or drop the duty",
        );
    }
    settings.filter(|_| owed)
}

fn usage_settings(s: &mut Section<'_, '_>) -> UsageSettings {
    let window = s.duration("window", SECOND / 10..=86_400 * SECOND, None);
    let within = s.duration("within", SECOND..=86_400 * SECOND, Some(2 * window));
    let lease = s.duration("lease", SECOND / 10..=3_600 * SECOND, Some(DEFAULT_LEASE));
    let slack = s.duration("slack", Duration::ZERO..=60 * SECOND, Some(DEFAULT_SLACK));
    // Where fencing numbers are not checked, a call may be carried out for as long as
    // somebody waits for its answer.
    let checked = s.flag("fenced", false);
    let late = if checked {
        Duration::ZERO
    } else {
        CALL_TIMEOUT
    };
    let calls = s.number("calls_per_second", 0.01..=10_000.0, Some(DEFAULT_CALLS));
    UsageSettings {
        reporter: s.name("reporter"),
        platform: s.address("platform"),
        windows: Windows::new(window),
        within,
        lease,
        slack: slack + late,
        spacing: Duration::from_secs_f64(1.0 / calls),
    }
}

fn seeds(s: &mut Section<'_, '_>) -> Seeds {
    let mut addresses = s.addresses("seeds");
    // 0: the seeds' own ports.
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
