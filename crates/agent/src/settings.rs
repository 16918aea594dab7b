//! Settings of an agent.

use dogwoodhill_core::prelude::*;
use dogwoodhill_core::text::Text;
use dogwoodhill_intake::prelude::*;
use dogwoodhill_intake::resources;
use std::net::SocketAddr;
use std::path::PathBuf;

const SECOND: Duration = Duration::from_secs(1);
/// Time for which connections are still accepted after a drain begins.
const DEFAULT_LINGER: Duration = Duration::from_secs(2);
/// Interval at which the endpoint's load report and the platform's list are read.
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Duration of the endpoint's lease. It allows for three renewals, so an agent costs the
/// control instances one command in a third of it.
const DEFAULT_LEASE_DURATION: Duration = Duration::from_secs(20);
/// Largest model response that is buffered, in bytes.
const DEFAULT_MAX_ANSWER: u64 = 8 * 1024 * 1024;
/// Concurrency limit before any load was observed.
const DEFAULT_INITIAL_LIMIT: u64 = 16;
/// Upper bound of the adaptive concurrency limit.
const DEFAULT_MAX_LIMIT: u64 = 256;

/// Source of the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Platform {
    /// A file.
    File(PathBuf),
    /// An HTTP server.
    Http {
        /// Address of the server.
        address: SocketAddr,
        /// Path with its leading slash.
        path: String,
    },
}

/// Settings of an agent, from [`Settings::parse`] or from [`Settings::new`] and
/// assignments to the fields. Each field states its default.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Service to which the endpoint belongs.
    pub service: ServiceId,
    /// Name of the endpoint in the service document.
    pub endpoint: EndpointId,
    /// Address on which the agent listens for entries.
    pub listen: SocketAddr,
    /// Address of the endpoint itself.
    pub address: SocketAddr,
    /// Addresses of the control instances. Default none: the agent watches no document
    /// and acquires no lease.
    pub control: Vec<SocketAddr>,
    /// Duration of the endpoint's lease. After a crash of the agent, the endpoint gets no
    /// new requests for up to this long. Default 20 s.
    pub lease_duration: Duration,
    /// Cluster key, shared by all processes of the router.
    pub secret: String,
    /// Concurrency limit before any load was observed. Default 16.
    pub initial_limit: u32,
    /// Lower bound of the adaptive concurrency limit. Default 1.
    pub min_limit: u32,
    /// Upper bound of the adaptive concurrency limit. Default 256.
    pub max_limit: u32,
    /// Largest model response that is not an event stream, in bytes; it is buffered until
    /// complete. Default 8 MiB.
    pub max_answer: usize,
    /// Interval at which the endpoint's load report and the platform's list are read.
    /// Default 500 ms.
    pub poll_interval: Duration,
    /// Source of the platform's list of instances. Default none.
    pub platform: Option<Platform>,
    /// Time for which connections are still accepted after a drain begins. Entries that
    /// have not seen the drain yet then get a refusal, after which they can send the
    /// request elsewhere. Default 2 s.
    pub linger: Duration,
    /// Memory and descriptors of the instance. Default 110 MB, and what the process may
    /// open.
    pub resources: Resources,
}

impl Settings {
    /// Returns the default settings for an endpoint at `address`.
    pub fn new(service: ServiceId, endpoint: EndpointId, address: SocketAddr) -> Self {
        Self {
            service,
            endpoint,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            address,
            control: Vec::new(),
            lease_duration: DEFAULT_LEASE_DURATION,
            secret: String::new(),
            initial_limit: DEFAULT_INITIAL_LIMIT as u32,
            min_limit: 1,
            max_limit: DEFAULT_MAX_LIMIT as u32,
            max_answer: DEFAULT_MAX_ANSWER as usize,
            poll_interval: DEFAULT_POLL_INTERVAL,
            platform: None,
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
    let first = s.count("first_limit", 1..=65_536, Some(DEFAULT_INITIAL_LIMIT));
    let settings = Settings {
        service: s.name("service"),
        endpoint: s.name("endpoint"),
        listen: s.address("listen"),
        address: s.address("address"),
        control: s.addresses("control"),
        lease_duration: s.duration(
            "lease",
            3 * SECOND..=300 * SECOND,
            Some(DEFAULT_LEASE_DURATION),
        ),
        secret: s.text("cluster_key"),
        initial_limit: first as u32,
        min_limit: s.count("least_limit", 1..=65_536, Some(1)) as u32,
        max_limit: s.count("most_limit", 1..=65_536, Some(DEFAULT_MAX_LIMIT.max(first)))
            as u32,
        max_answer: s.count("max_answer", 1024..=1 << 30, Some(DEFAULT_MAX_ANSWER))
            as usize,
        poll_interval: s.duration(
            "poll",
            SECOND / 20..=60 * SECOND,
            Some(DEFAULT_POLL_INTERVAL),
        ),
        platform: s.section("platform", platform),
        linger: s.duration("linger", Duration::ZERO..=60 * SECOND, Some(DEFAULT_LINGER)),
        resources: resources::read(s),
    };
    if settings.control.is_empty() {
        let remedy = "list the control instances' addresses";
        s.report("control", "is empty", remedy);
    }
    if settings.min_limit > settings.max_limit {
        s.report(
            "least_limit",
            "is above most_limit",
            "lower it or raise most_limit",
        );
    }
    settings
}

fn platform(s: &mut Section<'_, '_>) -> Platform {
    if s.has("file") {
        return Platform::File(PathBuf::from(s.text("file")));
    }
    Platform::Http {
        address: s.address("address"),
        path: s.text_or("path", "/"),
    }
}
