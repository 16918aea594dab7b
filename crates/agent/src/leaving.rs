//! The four sources that can mark an endpoint as leaving.
//!
//! The platform's list, the service document, the agent's own drain and the endpoint
//! itself each set a flag. The gate closes as soon as one flag is set and reopens only
//! when all of them are clear.

use std::sync::atomic::{AtomicBool, Ordering};

/// One flag for each source that can mark the endpoint as leaving.
#[derive(Debug, Default)]
pub struct LeavingFlags {
    platform: AtomicBool,
    document: AtomicBool,
    agent: AtomicBool,
    endpoint: AtomicBool,
}

/// A source of the leaving state. The name of the variant is written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's list of instances.
    Platform,
    /// The service document: the endpoint is not listed or is listed as leaving.
    Document,
    /// The agent itself, while it drains.
    Agent,
    /// The endpoint, in its answers or load reports.
    Endpoint,
}

impl LeavingFlags {
    /// Sets or clears the flag of `source`.
    pub fn set(&self, source: Source, leaving: bool) {
        self.flag(source).store(leaving, Ordering::Release);
    }

    /// Returns whether any source marks the endpoint as leaving.
    pub fn is_leaving(&self) -> bool {
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
