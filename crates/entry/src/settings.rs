//! Settings of an entry.

use dogwoodhill_core::prelude::*;
use dogwoodhill_core::text::Text;
use dogwoodhill_intake::prelude::*;
use dogwoodhill_intake::resources;
use dogwoodhill_policy::placement::Policy;
use dogwoodhill_policy::queue::Bounds;
use std::net::SocketAddr;

const SECOND: Duration = Duration::from_secs(1);
const MIB: u64 = 1024 * 1024;
/// Time for which connections are still accepted after a drain begins; longer than the
/// usual health check interval of a load balancer.
const DEFAULT_LINGER: Duration = Duration::from_secs(5);
/// Largest request body, in bytes.
const DEFAULT_MAX_BODY: u64 = 4 * MIB;
/// Largest answer of a plain service that is buffered until it is complete, in bytes.
const DEFAULT_MAX_BUFFERED: u64 = MIB;
/// Largest number of requests that wait for one service.
const DEFAULT_MAX_WAITING: u64 = 20_000;
/// Largest memory of the requests that wait for one service, in bytes.
const DEFAULT_MAX_WAITING_BYTES: u64 = 256 * MIB;

/// Settings of an entry, from [`Settings::parse`] or from [`Settings::new`] and
/// assignments to the fields. Each field states its default.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry, unique in the deployment.
    pub name: String,
    /// Failure domain in which this entry runs.
    pub domain: DomainId,
    /// Address on which the entry listens for callers.
    pub listen: SocketAddr,
    /// Addresses of the control instances. Default none: documents are installed with
    /// [`crate::entry::Core::install`].
    pub control: Vec<SocketAddr>,
    /// Cluster key, shared by all processes of the router.
    pub secret: String,
    /// Largest request body, in bytes. Default 4 MiB.
    pub max_body: usize,
    /// Largest answer that is buffered until it is complete, in bytes; a larger one of a
    /// plain service is streamed. Default 1 MiB.
    pub max_buffered: usize,
    /// Bounds of the queue of one service, beyond which requests of the lowest tier are
    /// shed. Default 20,000 requests and 256 MiB.
    pub queue_bounds: Bounds,
    /// Placement policy. Default `predicted`; the others are baselines for comparison.
    pub placement: Policy,
    /// Number of entries that share the workspace limits, used until control sends the
    /// actual number. Default 1.
    pub entries: u32,
    /// Time for which connections are still accepted after a drain begins. Default 5 s.
    pub linger: Duration,
    /// Memory and descriptors of the instance. Default 110 MB, and what the process may
    /// open.
    pub resources: Resources,
}

impl Settings {
    /// Returns the default settings.
    pub fn new(name: String, domain: DomainId) -> Self {
        Self {
            name,
            domain,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: Vec::new(),
            secret: String::new(),
            max_body: DEFAULT_MAX_BODY as usize,
            max_buffered: DEFAULT_MAX_BUFFERED as usize,
            queue_bounds: Bounds {
                count: DEFAULT_MAX_WAITING as usize,
                bytes: DEFAULT_MAX_WAITING_BYTES as usize,
            },
            placement: Policy::default(),
            entries: 1,
            linger: DEFAULT_LINGER,
            resources: Resources::default(),
        }
    }

    /// Parses settings from JSON with comments; `file` names the text in diagnostics.
    ///
    /// # Errors
    ///
    /// [`Diagnostics`] with every error in the text.
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
        max_body: s.count("max_body", 1024..=1024 * MIB, Some(DEFAULT_MAX_BODY)) as usize,
        max_buffered: s.count("max_held", 1024..=1024 * MIB, Some(DEFAULT_MAX_BUFFERED))
            as usize,
        queue_bounds: Bounds {
            count: s.count("max_waiting", 1..=10_000_000, Some(DEFAULT_MAX_WAITING))
                as usize,
            bytes: s.count(
                "max_waiting_bytes",
                MIB..=65_536 * MIB,
                Some(DEFAULT_MAX_WAITING_BYTES),
            ) as usize,
        },
        placement: Policy::ALL[s.word("placement", &Policy::NAMES, Some(0))],
        entries: s.count("entries", 1..=10_000, Some(1)) as u32,
        linger: s.duration("linger", Duration::ZERO..=60 * SECOND, Some(DEFAULT_LINGER)),
        resources: resources::read(s),
    };
    if settings.control.is_empty() {
        let remedy = "list the control instances' addresses";
        s.report("control", "is empty", remedy);
    }
    settings
}
