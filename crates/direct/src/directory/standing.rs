//! A request's place among those of its service that wait to be read.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::backlog::Backlog;
use std::sync::{Arc, Mutex, PoisonError};

/// A request's place among those of its service that wait to be read.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    /// `None` for requests without a long prompt.
    pub(super) backlog: Option<Arc<Mutex<Backlog>>>,
    pub(super) rank: usize,
    /// Predicted wait, when it came.
    pub wait: Duration,
    /// Whether the others of its tier go first.
    pub background: bool,
}

impl Standing {
    pub(super) fn sent(&self, now: Duration, tokens: f64) {
        self.with(|backlog| backlog.sent(now, self.rank, tokens, self.background));
    }

    pub(super) fn left(&self, since: Duration, tokens: f64) {
        self.with(|backlog| backlog.dequeued(since, self.rank, tokens, self.background));
    }

    pub(super) fn read(&self, now: Duration, tokens: f64) {
        self.with(|backlog| backlog.prefilled(now, tokens));
    }

    pub(super) fn waited(&self, now: Duration, wait: Duration) {
        self.with(|backlog| backlog.record_wait(now, wait));
    }

    fn with(&self, act: impl FnOnce(&mut Backlog)) {
        if let Some(backlog) = &self.backlog {
            act(&mut backlog.lock().unwrap_or_else(PoisonError::into_inner));
        }
    }
}
