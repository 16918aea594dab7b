//! Trials of suspected requests, as exchanged between entries and control.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::quarantine::trials;
use serde::{Deserialize, Serialize};

/// A send of a suspected request that control granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Fingerprint of the request's content.
    pub request: Fingerprint,
    /// Run of the endpoint.
    pub run: Incarnation,
    /// Whether it is the only suspect on trial there.
    pub alone: bool,
}

impl From<trials::Trial> for Trial {
    fn from(trial: trials::Trial) -> Self {
        Self {
            request: trial.request,
            run: trial.run,
            alone: trial.alone,
        }
    }
}

impl From<Trial> for trials::Trial {
    fn from(trial: Trial) -> Self {
        Self {
            request: trial.request,
            run: trial.run,
            alone: trial.alone,
        }
    }
}

/// A suspected request that an entry wants to send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedTrial {
    /// Fingerprint of the request's content.
    pub request: Fingerprint,
    /// Number of endpoints that crashed while running it.
    pub crashes: u32,
    /// Endpoints that may run it, the preferred one first.
    pub endpoints: Vec<Incarnation>,
}

impl From<trials::WantedTrial> for WantedTrial {
    fn from(wanted: trials::WantedTrial) -> Self {
        Self {
            request: wanted.request,
            crashes: wanted.crashes as u32,
            endpoints: wanted.endpoints,
        }
    }
}

impl From<WantedTrial> for trials::WantedTrial {
    fn from(wanted: WantedTrial) -> Self {
        Self {
            request: wanted.request,
            crashes: wanted.crashes as usize,
            endpoints: wanted.endpoints,
        }
    }
}

/// All suspected requests that an entry sends or wants to send.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Granted sends whose outcome is not known and reported yet.
    pub running: Vec<Trial>,
    /// Requests that wait to be sent.
    pub wanted: Vec<WantedTrial>,
}
