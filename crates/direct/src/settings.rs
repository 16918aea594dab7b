//! Settings of a direct entry.

use dogwoodhill_core::prelude::*;
use dogwoodhill_core::text::Text;
use dogwoodhill_intake::prelude::*;
use dogwoodhill_intake::resources;
use dogwoodhill_policy::budget::Allowance;
use dogwoodhill_policy::list_reads::{
    DEFAULT_LEAVING_WITHIN, MIN_READ_INTERVAL, max_read_interval,
};
use std::net::SocketAddr;

const SECOND: Duration = Duration::from_secs(1);
/// Upper bound on the default interval between reads of the endpoint list.
const DEFAULT_LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Resends allowed per request.
const DEFAULT_RESEND_SHARE: f64 = 0.2;
/// Resends allowed in addition, for all entries together.
const DEFAULT_RESEND_SPARE: f64 = 40.0;
/// How long new connections are accepted after the drain begins.
const DEFAULT_LINGER: Duration = Duration::from_secs(4);
/// Upper bound on the duration of a drain.
const DEFAULT_GRACE: Duration = Duration::from_secs(8);

/// Settings of a direct entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique in the cluster.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for readiness and metrics.
    pub status: SocketAddr,
    /// Internal addresses of some control instances.
    pub control: Vec<SocketAddr>,
    /// Key shared by the router's processes.
    pub secret: String,
    /// Address of the endpoint list's source.
    pub list_source: SocketAddr,
    /// How long an endpoint may still be sent new requests after the list shows it as
    /// leaving. Default 4 s.
    pub leaving_within: Duration,
    /// Interval between reads of the endpoint list. Default 1 s, or less where that is
    /// too long for `leaving_within`.
    pub list_interval: Duration,
    /// Resends allowed per service over all entries. Default a fifth of the requests plus
    /// 40.
    pub allowance: Allowance,
    /// How long new connections are accepted after the drain begins. Default 4 s: a load
    /// balancer needs two failed checks, one a second, to stop sending them.
    pub linger: Duration,
    /// Time from the start of the drain after which the process is killed. Default 8 s.
    pub grace: Duration,
    /// Memory and descriptors of the instance. Default 110 MB, and what the process may
    /// open.
    pub resources: Resources,
    /// Windows of usage counting, if control reports usage.
    pub usage: Option<Windows>,
    /// What the entry does beyond placing each request by itself.
    pub features: Features,
}

/// Optional behaviour under contention. Each takes effect only for services whose
/// configuration and endpoints provide what it needs. All are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// Share a service that is short of room among workspaces.
    pub shares: ShareMode,
    /// Ask endpoints whose pace varies for it before choosing one.
    pub pace: bool,
    /// Send to endpoints with few slots within places lent by control.
    pub lending: bool,
    /// Fetch cached prefixes from other endpoints.
    pub prefixes: bool,
}

/// What happens to requests above the share of their workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShareMode {
    /// Shares are not computed.
    #[default]
    Off,
    /// They yield within their tier where an engine orders its queue.
    Yield,
    /// They yield, and are refused where they cannot be served in time.
    Refuse,
}

impl ShareMode {
    /// All modes, in the order of [`Self::NAMES`].
    pub const ALL: [Self; 3] = [Self::Off, Self::Yield, Self::Refuse];
    /// Names in settings.
    pub const NAMES: [&'static str; 3] = ["off", "yield", "refuse"];
}

/// Name of the duty that requires usage counting.
const USAGE_DUTY: &str = "usage";

impl Settings {
    /// Parses settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// All faults found in the text.
    pub fn parse(file: &str, source: &str) -> Result<Self, Diagnostics> {
        Text::read(file, source, read)
    }
}

fn read(s: &mut Section<'_, '_>) -> Settings {
    let within = s.duration(
        "leaving_within",
        SECOND / 10..=3_600 * SECOND,
        Some(DEFAULT_LEAVING_WITHIN),
    );
    let longest = max_read_interval(within);
    let settings = Settings {
        leaving_within: within,
        name: s.name("name"),
        domain: s.name("domain"),
        listen: s.address("listen"),
        status: s.address("status"),
        control: control(s),
        secret: s.text("cluster_key"),
        list_source: s.address("list"),
        list_interval: s.duration(
            "list_every",
            MIN_READ_INTERVAL..=60 * SECOND,
            Some(DEFAULT_LIST_INTERVAL.min(longest)),
        ),
        allowance: Allowance {
            share: s.number("second_share", 0.0..=1.0, Some(DEFAULT_RESEND_SHARE)),
            spare: s.number(
                "second_spare",
                0.0..=1_000_000.0,
                Some(DEFAULT_RESEND_SPARE),
            ),
        },
        linger: s.duration("linger", Duration::ZERO..=60 * SECOND, Some(DEFAULT_LINGER)),
        grace: s.duration("grace", SECOND..=3_600 * SECOND, Some(DEFAULT_GRACE)),
        resources: resources::read(s),
        usage: usage(s),
        features: Features {
            shares: ShareMode::ALL[s.word("shares", &ShareMode::NAMES, Some(0))],
            pace: s.flag("pace", false),
            lending: s.flag("lending", false),
            prefixes: s.flag("prefixes", false),
        },
    };
    if settings.list_interval > longest {
        let problem =
            "is too long for leaving_within: list updates would arrive too late";
        let longest = longest.as_millis();
        s.report(
            "list_every",
            problem,
            &format!("set at most {longest}ms, or leave it out"),
        );
    }
    if settings.control.is_empty() {
        let remedy = "list the control instances' internal addresses";
        s.report("control", "is empty", remedy);
    }
    settings
}

/// Windows of usage counting, if usage reporting is one of the deployment's duties.
fn usage(s: &mut Section<'_, '_>) -> Option<Windows> {
    let duties = s.texts("duties");
    let range = SECOND / 10..=86_400 * SECOND;
    let window = s.duration_opt("usage_window", range);
    let has_duty = duties.iter().any(|duty| duty == USAGE_DUTY);
    if has_duty && window.is_none() {
        s.report(
            "usage_window",
            "is missing",
            "set the length of a usage window",
        );
    }
    window.filter(|_| has_duty).map(Windows::new)
}

/// Addresses of control instances; `control_port` overrides their ports.
fn control(s: &mut Section<'_, '_>) -> Vec<SocketAddr> {
    let mut addresses = s.addresses("control");
    let port = s.count("control_port", 0..=65_535, Some(0)) as u16;
    for address in addresses.iter_mut().filter(|_| port > 0) {
        address.set_port(port);
    }
    addresses
}
