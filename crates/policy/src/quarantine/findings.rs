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
    /// Suspects with enough crashes that were not quarantined.
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

/// Why a suspect with enough crashes is not quarantined.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Deferral {
    /// Another suspect accounts for all of its crashes.
    #[display("rival")]
    Rival(Fingerprint),
    /// More likely suspects together account for all of its crashes.
    #[display("accounted")]
    Accounted,
    /// So many requests share most of its crashes that one of them may share all by chance.
    #[display("chance")]
    Chance,
    /// Its crashes are attributed to quarantined requests or parts.
    #[display("attributed")]
    Attributed,
    /// It is a part, and a request with enough crashes shares the newest.
    #[display("contested")]
    Contested,
}

/// A suspect with enough crashes that is not quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deferred {
    /// Fingerprint of the request's content, or of the part.
    pub request: Fingerprint,
    /// Whether it is a part of prompts.
    pub is_part: bool,
    /// Its crashes that are not attributed to others.
    pub crashes: usize,
    /// Why it is not quarantined.
    pub deferral: Deferral,
}

impl Deferred {
    /// The log event for operators.
    pub fn event(&self) -> Event {
        let key = if self.is_part { "part" } else { "content" };
        let event = Event::new("verdict-deferred")
            .field(key, short_form(self.request))
            .field("crashes", self.crashes)
            .field("reason", self.deferral);
        match self.deferral {
            Deferral::Rival(rival) => event.field("rival", short_form(rival)),
            _ => event,
        }
    }
}
