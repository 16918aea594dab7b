//! The limits of workspaces, applied by one entry.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::quota::{Excess, Limits, Quota};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// The quota of one workspace in one service.
#[derive(Debug)]
struct WorkspaceQuota {
    service: ServiceId,
    workspace: WorkspaceId,
    quota: Quota,
}

/// Quotas of all workspaces, sorted by service and workspace. Clones share them.
#[derive(Clone, Debug)]
pub struct Quotas {
    quotas: Arc<Mutex<Vec<WorkspaceQuota>>>,
    start: Instant,
}

impl Default for Quotas {
    fn default() -> Self {
        Self {
            quotas: Arc::default(),
            start: Instant::now(),
        }
    }
}

impl Quotas {
    /// Counts a request against the quota until the guard is dropped.
    ///
    /// # Errors
    ///
    /// [`Excess`] if the workspace is at a limit.
    pub fn take(
        &self,
        service: &ServiceId,
        workspace: &WorkspaceId,
        limits: &Limits,
    ) -> Result<QuotaGuard, Excess> {
        let now = self.start.elapsed();
        let mut quotas = self.lock();
        let at = match position(&quotas, service, workspace) {
            Ok(at) => at,
            Err(at) => {
                let quota = WorkspaceQuota {
                    service: service.clone(),
                    workspace: workspace.clone(),
                    quota: Quota::new(now),
                };
                quotas.insert(at, quota);
                at
            }
        };
        quotas[at].quota.take(now, limits)?;
        Ok(QuotaGuard {
            quotas: self.clone(),
            service: service.clone(),
            workspace: workspace.clone(),
        })
    }

    /// Returns the number of requests that a workspace has in flight.
    pub fn in_flight(&self, service: &str, workspace: &str) -> u32 {
        let quotas = self.lock();
        let found = position(&quotas, service, workspace);
        found.map_or(0, |at| quotas[at].quota.in_flight())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<WorkspaceQuota>> {
        // The counts remain valid numbers if a thread panicked while holding the lock.
        self.quotas
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn position(
    quotas: &[WorkspaceQuota],
    service: &str,
    workspace: &str,
) -> Result<usize, usize> {
    let key = (service, workspace);
    quotas.binary_search_by(|c| (c.service.as_str(), c.workspace.as_str()).cmp(&key))
}

/// A request in flight, counted against a quota; dropping it releases the count.
#[derive(Debug)]
pub struct QuotaGuard {
    quotas: Quotas,
    service: ServiceId,
    workspace: WorkspaceId,
}

impl Drop for QuotaGuard {
    fn drop(&mut self) {
        let mut quotas = self.quotas.lock();
        if let Ok(at) = position(&quotas, &self.service, &self.workspace) {
            quotas[at].quota.release();
        }
    }
}
