//! Workspace limits in one entry; a request's count is a guard.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::quota::{Excess, Limits, Quota};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// Counts of one workspace in one service.
#[derive(Debug)]
struct Count {
    service: ServiceId,
    workspace: WorkspaceId,
    quota: Quota,
}

/// Counts of all workspaces, sorted by service and workspace. Clones share
/// them.
#[derive(Clone, Debug)]
pub struct Quotas {
    counts: Arc<Mutex<Vec<Count>>>,
    start: Instant,
}

impl Default for Quotas {
    fn default() -> Self {
        Self {
            counts: Arc::default(),
            start: Instant::now(),
        }
    }
}

impl Quotas {
    /// Counts one request in.
    ///
    /// # Errors
    ///
    /// [`Excess`] where the workspace is at its limits.
    pub fn take(
        &self,
        service: &ServiceId,
        workspace: &WorkspaceId,
        limits: &Limits,
    ) -> Result<Held, Excess> {
        let now = self.start.elapsed();
        let mut counts = self.lock();
        let at = match find(&counts, service, workspace) {
            Ok(at) => at,
            Err(at) => {
                let count = Count {
                    service: service.clone(),
                    workspace: workspace.clone(),
                    quota: Quota::new(now),
                };
                counts.insert(at, count);
                at
            }
        };
        counts[at].quota.take(now, limits)?;
        Ok(Held {
            quotas: self.clone(),
            service: service.clone(),
            workspace: workspace.clone(),
        })
    }

    /// Requests of a workspace in flight.
    pub fn in_flight(&self, service: &str, workspace: &str) -> u32 {
        let counts = self.lock();
        let found = find(&counts, service, workspace);
        found.map_or(0, |at| counts[at].quota.in_flight())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Count>> {
        // Counts stay valid numbers even if a holder panicked.
        self.counts
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

fn find(counts: &[Count], service: &str, workspace: &str) -> Result<usize, usize> {
    let key = (service, workspace);
    counts.binary_search_by(|c| (c.service.as_str(), c.workspace.as_str()).cmp(&key))
}

/// One request in flight; its drop counts it out.
#[derive(Debug)]
pub struct Held {
    quotas: Quotas,
    service: ServiceId,
    workspace: WorkspaceId,
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut counts = self.quotas.lock();
        if let Ok(at) = find(&counts, &self.service, &self.workspace) {
            counts[at].quota.release();
        }
    }
}
