//! Messages about the route set between entries and control instances.

use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Path of [`FollowRoutes`].
pub const ROUTES_PATH: &str = "/internal/routes";

/// Asks for a route set newer than `held`. Answered once there is one, or
/// when `wait` has passed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRoutes {
    /// Name of the entry that asks.
    pub entry: String,
    /// Version the entry has. An entry that has none is answered only after a
    /// majority confirmed that the instance knows the newest one.
    pub held: Option<Version>,
    /// How long to hold news back. An entry asks several instances; all but
    /// one hold the text back, which mostly is not needed any more then.
    pub lag: Duration,
    /// Longest wait.
    pub wait: Duration,
}

/// Answer to [`FollowRoutes`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesNews {
    /// The newer set, where there is one.
    pub newer: Option<HeldRoutes>,
    /// Internal addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// Entries that follow, as far as the instance knows.
    pub entries: u32,
}

/// A route set as it was accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRoutes {
    /// Version.
    pub version: Version,
    /// Text, as the operator sent it.
    #[serde(with = "serde_bytes")]
    pub source: Vec<u8>,
}
