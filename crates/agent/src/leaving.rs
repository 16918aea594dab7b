//! The four sources that can say that an endpoint is leaving.
//!
//! Whichever speaks first closes the gate: the platform's list, the service
//! document, the agent's own drain, or the endpoint itself. The gate opens
//! again only when none of them says so any more.

use std::sync::atomic::{AtomicBool, Ordering};

/// Who said that the endpoint is leaving.
#[derive(Debug, Default)]
pub struct Sources {
    platform: AtomicBool,
    document: AtomicBool,
    agent: AtomicBool,
    endpoint: AtomicBool,
}

/// One of the sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's list.
    Platform,
    /// The service document.
    Document,
    /// The agent, because it is draining.
    Agent,
    /// The endpoint's own answers or reports.
    Endpoint,
}

impl Sources {
    /// Notes what a source says.
    pub fn say(&self, source: Source, leaving: bool) {
        self.flag(source).store(leaving, Ordering::Release);
    }

    /// Whether any source says that the endpoint is leaving.
    pub fn leaving(&self) -> bool {
        let all = [
            Source::Platform,
            Source::Document,
            Source::Agent,
            Source::Endpoint,
        ];
        all.iter()
            .any(|source| self.flag(*source).load(Ordering::Acquire))
    }

    fn flag(&self, source: Source) -> &AtomicBool {
        match source {
            Source::Platform => &self.platform,
            Source::Document => &self.document,
            Source::Agent => &self.agent,
            Source::Endpoint => &self.endpoint,
        }
    }
}
