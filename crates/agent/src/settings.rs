//! Settings of an agent.

use dogwoodhill_core::prelude::*;
use dogwoodhill_core::text::Text;
use std::net::SocketAddr;
use std::path::PathBuf;

const SECOND: Duration = Duration::from_secs(1);
/// How long connections are still accepted after a drain began.
const DEFAULT_LINGER: Duration = Duration::from_secs(2);
/// How often the endpoint's report and the platform's list are read.
const DEFAULT_POLL: Duration = Duration::from_millis(500);
/// Length of the endpoint's lease: three renewals fit in it, and an agent
/// costs the control instances one command in a third of it.
const DEFAULT_LEASE: Duration = Duration::from_secs(20);
/// Largest whole answer of a model that is held in memory.
const DEFAULT_ANSWER: u64 = 8 * 1024 * 1024;
/// Concurrency limit before anything is learned.
const DEFAULT_FIRST: u64 = 16;
/// Largest concurrency limit that may be learned.
const DEFAULT_MOST: u64 = 256;

/// Where the platform's list is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Platform {
    /// From a file.
    File(PathBuf),
    /// From an HTTP server.
    Http {
        /// Server.
        address: SocketAddr,
        /// Path, starting with a slash.
        path: String,
    },
}

/// Settings of an agent. Made by [`Settings::parse`], or by [`Settings::new`]
/// and the fields that follow, each with the default stated.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Endpoint, as the service document names it.
    pub endpoint: EndpointId,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Control instances. Default none: no document is followed and no lease
    /// taken.
    pub control: Vec<SocketAddr>,
    /// Length of the endpoint's lease. After a crash the endpoint gets no new
    /// work for up to this long. Default 20 s.
    pub lease: Duration,
    /// Key shared by the router's processes.
    pub secret: String,
    /// Concurrency limit before anything is learned. Default 16.
    pub first_limit: u32,
    /// Smallest limit that may be learned. Default 1.
    pub least_limit: u32,
    /// Largest limit that may be learned. Default 256.
    pub most_limit: u32,
    /// Largest whole answer of a model, in bytes; it is held in memory until
    /// complete. Default 8 MiB.
    pub max_answer: usize,
    /// How often the endpoint's report and the platform's list are read.
    /// Default 500 ms.
    pub poll: Duration,
    /// Platform's list. Default none.
    pub platform: Option<Platform>,
    /// How long connections are still accepted after a drain began; a
    /// refusal then costs an entry nothing. Default 2 s.
    pub linger: Duration,
}

impl Settings {
    /// Settings with defaults, for an endpoint at `address`.
    pub fn new(service: ServiceId, endpoint: EndpointId, address: SocketAddr) -> Self {
        Self {
            service,
            endpoint,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            address,
            control: Vec::new(),
            lease: DEFAULT_LEASE,
            secret: String::new(),
            first_limit: DEFAULT_FIRST as u32,
            least_limit: 1,
            most_limit: DEFAULT_MOST as u32,
            max_answer: DEFAULT_ANSWER as usize,
            poll: DEFAULT_POLL,
            platform: None,
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
    let first = s.count("first_limit", 1..=65_536, Some(DEFAULT_FIRST));
    let settings = Settings {
        service: s.name("service"),
        endpoint: s.name("endpoint"),
        listen: s.address("listen"),
        address: s.address("address"),
        control: s.addresses("control"),
        lease: s.duration("lease", 3 * SECOND..=300 * SECOND, Some(DEFAULT_LEASE)),
        secret: s.text("cluster_key"),
        first_limit: first as u32,
        least_limit: s.count("least_limit", 1..=65_536, Some(1)) as u32,
        most_limit: s.count("most_limit", 1..=65_536, Some(DEFAULT_MOST.max(first)))
            as u32,
        max_answer: s.count("max_answer", 1024..=1 << 30, Some(DEFAULT_ANSWER)) as usize,
        poll: s.duration("poll", SECOND / 20..=60 * SECOND, Some(DEFAULT_POLL)),
        platform: s.section("platform", platform),
        linger: s.duration("linger", Duration::ZERO..=60 * SECOND, Some(DEFAULT_LINGER)),
    };
    if settings.control.is_empty() {
        let remedy = "list the control instances' addresses";
        s.report("control", "is empty", remedy);
    }
    if settings.least_limit > settings.most_limit {
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
