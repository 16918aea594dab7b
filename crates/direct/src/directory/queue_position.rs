//! A request's position in its service's queue of prompts awaiting prefill.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::backlog::Backlog;
use std::sync::{Arc, Mutex, PoisonError};

/// A request's position in its service's queue of prompts awaiting prefill.
#[derive(Clone, Debug, Default)]
pub struct QueuePosition {
    /// `None` for requests without a long prompt.
    pub(super) backlog: Option<Arc<Mutex<Backlog>>>,
    pub(super) rank: usize,
    /// Predicted wait when the request arrived.
    pub predicted_wait: Duration,
    /// Predicted wait in the background of its tier; `None` for requests without a long
    /// prompt.
    pub background_wait: Option<Duration>,
    /// Whether the request yields to the others of its tier.
    pub background: bool,
}

impl QueuePosition {
    pub(super) fn sent(&self, now: Duration, tokens: f64) {
        self.update(|queue| queue.sent(now, self.rank, tokens, self.background));
    }

    pub(super) fn dequeued(&self, since: Duration, tokens: f64) {
        self.update(|queue| queue.dequeued(since, self.rank, tokens, self.background));
    }

    pub(super) fn prefilled(&self, now: Duration, tokens: f64) {
        self.update(|queue| queue.prefilled(now, tokens));
    }

    pub(super) fn record_wait(&self, now: Duration, wait: Duration) {
        self.update(|queue| queue.record_wait(now, wait));
    }

    fn update(&self, act: impl FnOnce(&mut Backlog)) {
        if let Some(backlog) = &self.backlog {
            act(&mut backlog.lock().unwrap_or_else(PoisonError::into_inner));
        }
    }
}
