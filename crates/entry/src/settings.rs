//! Settings of an entry.

use dogwoodhill_core::prelude::*;
use dogwoodhill_core::text::Text;
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_policy::queue::Bounds;
use std::net::SocketAddr;

const SECOND: Duration = Duration::from_secs(1);
const MIB: u64 = 1024 * 1024;
/// How long connections are still accepted after a drain began; longer than
/// a balancer's usual interval between health checks.
const DEFAULT_LINGER: Duration = Duration::from_secs(5);
/// Largest body of a request.
const DEFAULT_BODY: u64 = 4 * MIB;
/// Largest answer of a plain service that is held until it is whole.
const DEFAULT_HELD: u64 = MIB;
/// Most requests that wait for one service.
const DEFAULT_WAITING: u64 = 20_000;
/// Most memory of requests that wait for one service.
const DEFAULT_WAITING_BYTES: u64 = 256 * MIB;

/// Settings of an entry. Made by [`Settings::parse`] or [`Settings::new`] and
/// the fields that follow, each with the default stated.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry, unique in the deployment.
    pub name: String,
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Control instances. Default none: documents are installed by the
    /// program itself.
    pub control: Vec<SocketAddr>,
    /// Key shared by the router's processes.
    pub secret: String,
    /// Largest body of a request. Default 4 MiB.
    pub max_body: usize,
    /// Largest answer that is held until it is whole; a larger one of a plain
    /// service is passed on as it arrives. Default 1 MiB.
    pub max_held: usize,
    /// Bounds of what waits for one service; the lowest tier gives way beyond
    /// them. Default 20,000 requests and 256 MiB.
    pub waiting: Bounds,
    /// Placement policy. Default `predicted`; the others are baselines.
    pub placement: Policy,
    /// Entries that share the workspaces' limits where control does not tell.
    /// Default 1.
    pub entries: u32,
    /// How long connections are still accepted after a drain began. Default
    /// 5 s.
    pub linger: Duration,
}

impl Settings {
    /// Settings with defaults.
    pub fn new(name: String, domain: DomainId) -> Self {
        Self {
            name,
            domain,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: Vec::new(),
            secret: String::new(),
            max_body: DEFAULT_BODY as usize,
            max_held: DEFAULT_HELD as usize,
            waiting: Bounds {
                count: DEFAULT_WAITING as usize,
                bytes: DEFAULT_WAITING_BYTES as usize,
            },
            placement: Policy::default(),
            entries: 1,
            linger: DEFAULT_LINGER,
        }
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
    let settings = Settings {
        name: s.name("name"),
        domain: s.name("domain"),
        listen: s.address("listen"),
        control: s.addresses("control"),
        secret: s.text("cluster_key"),
        max_body: s.count("max_body", 1024..=1024 * MIB, Some(DEFAULT_BODY)) as usize,
        max_held: s.count("max_held", 1024..=1024 * MIB, Some(DEFAULT_HELD)) as usize,
        waiting: Bounds {
            count: s.count("max_waiting", 1..=10_000_000, Some(DEFAULT_WAITING)) as usize,
            bytes: s.count(
                "max_waiting_bytes",
                MIB..=65_536 * MIB,
                Some(DEFAULT_WAITING_BYTES),
            ) as usize,
        },
        placement: Policy::ALL[s.word("placement", &Policy::NAMES, Some(0))],
        entries: s.count("entries", 1..=10_000, Some(1)) as u32,
        linger: s.duration("linger", Duration::ZERO..=60 * SECOND, Some(DEFAULT_LINGER)),
    };
    if settings.control.is_empty() {
        let remedy = "list the control instances' addresses";
        s.report("control", "is empty", remedy);
    }
    settings
}
