//! What an evaluation of the suspects has found, with its log events.

use super::quarantine_period;
use derive_more::Display;
use dogwoodhill_core::fingerprint::short_form;
use dogwoodhill_core::prelude::*;

/// Result of [`super::Quarantine::evaluate`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Requests and parts that were quarantined.
    pub quarantined: Vec<NewQuarantine>,
    /// Quarantines that were ended early.
    pub lifted: Vec<LiftedQuarantine>,
    /// Parts with enough crashes that were not quarantined.
    pub deferred: Vec<Deferred>,
}

/// A request or part that was quarantined by [`super::Quarantine::evaluate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewQuarantine {
    /// Fingerprint of the request's content, or of the part.
    pub request: Fingerprint,
    /// Whether it is a part of prompts.
    pub is_part: bool,
    /// Hash of its workspace.
    pub workspace: u64,
    /// Crashes attributed to it.
    pub crashes: usize,
    /// Number of its quarantines so far, including this one.
    pub times: u32,
}

impl NewQuarantine {
    /// The log event for operators.
    pub fn event(&self) -> Event {
        let (event, key) = if self.is_part {
            ("part-quarantined", "part")
        } else {
            ("request-quarantined", "content")
        };
        Event::new(event)
            .field(key, short_form(self.request))
            .field("crashes", self.crashes)
            .field("times", self.times)
            .field("for_s", quarantine_period(self.times).as_secs())
    }
}

/// A quarantine that was ended early, since other causes account for its crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiftedQuarantine {
    /// Fingerprint of the request's content, or of the part.
    pub request: Fingerprint,
    /// Hash of its workspace.
    pub workspace: u64,
}

impl LiftedQuarantine {
    /// The log event for operators.
    pub fn event(&self) -> Event {
        Event::new("quarantine-lifted").field("content", short_form(self.request))
    }
}

/// Why a part with enough crashes is not quarantined.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Deferral {
    /// More likely suspects together account for all of its crashes.
    #[display("accounted")]
    Accounted,
    /// A request with enough crashes shares the newest.
    #[display("contested")]
    Contested,
}

/// A part with enough crashes that is not quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deferred {
    /// Fingerprint of the part.
    pub part: Fingerprint,
    /// Its crashes that are not attributed to requests.
    pub crashes: usize,
    /// Why it is not quarantined.
    pub deferral: Deferral,
}

impl Deferred {
    /// The log event for operators.
    pub fn event(&self) -> Event {
        Event::new("verdict-deferred")
            .field("part", short_form(self.part))
            .field("crashes", self.crashes)
            .field("reason", self.deferral)
    }
}
