//! Leases of duties, which only one machine performs at a time, and their fencing tokens.
//!
//! A duty is identified by its kind and its subject. The holder renews its lease; after
//! the lease expires, another machine can acquire it. Invariants:
//!
//! * A fencing token is the log index of the command that issued it. Tokens are therefore
//!   unique and increase even if all state outside the log is lost.
//! * Each run of a machine's process gets its own token, since it has no record of calls
//!   that the previous run started.
//! * A machine that lost the lease can't acquire it again for one lease duration, so two
//!   machines never alternate within one lease.

use dogwoodhill_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// No lease for a new duty is granted beyond this number of duties.
const MAX_DUTIES: usize = 10_000;

/// Holder of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyHolder {
    /// Internal address of the machine's control instance.
    pub machine: SocketAddr,
    /// Id of the process run.
    pub run: u64,
}

/// Acquires or renews the lease of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcquireDuty {
    /// Kind of duty.
    pub duty: String,
    /// What the duty applies to; empty where there is only one.
    pub subject: String,
    /// Requesting holder.
    pub holder: DutyHolder,
    /// Requested lease duration.
    pub duration: Duration,
    /// A fencing token that was rejected as stale, or 0. The lease is granted with a
    /// newer one.
    pub refused_fence: Fence,
}

/// Reply to [`AcquireDuty`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireOutcome {
    /// The lease is granted with this fencing token.
    Held(Fence),
    /// The requester can't hold the lease for at least this long.
    Other(Duration),
}

/// Releases a lease before it expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseDuty {
    /// Kind of duty.
    pub duty: String,
    /// What the duty applies to.
    pub subject: String,
    /// Ignored unless it is the current holder.
    pub holder: DutyHolder,
}

/// A machine that held the lease previously.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct PastHolder {
    machine: SocketAddr,
    /// Cluster time from which the machine may acquire the lease again.
    eligible_at: Duration,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Lease {
    duty: String,
    subject: String,
    holder: DutyHolder,
    fence: Fence,
    expires_at: Duration,
    past_holders: Vec<PastHolder>,
}

/// A duty and its holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyAssignment {
    /// Kind of duty.
    pub duty: String,
    /// What the duty applies to.
    pub subject: String,
    /// Current or last holder.
    pub holder: DutyHolder,
    /// Fencing token of the holder.
    pub fence: Fence,
}

/// All leases, sorted by duty and subject. Expired leases are retained for their holder
/// and token.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Duties {
    leases: Vec<Lease>,
}

impl Duties {
    /// Grants or renews a lease with the command at `index`.
    pub fn acquire(
        &mut self,
        index: Revision,
        now: Duration,
        request: &AcquireDuty,
    ) -> AcquireOutcome {
        match self.position(&request.duty, &request.subject) {
            Ok(at) => self.leases[at].renew_or_move(index, now, request),
            Err(_) if self.leases.len() >= MAX_DUTIES => {
                AcquireOutcome::Other(request.duration)
            }
            Err(at) => {
                let lease = Lease {
                    duty: request.duty.clone(),
                    subject: request.subject.clone(),
                    holder: request.holder,
                    fence: index,
                    expires_at: now + request.duration,
                    past_holders: Vec::new(),
                };
                self.leases.insert(at, lease);
                AcquireOutcome::Held(index)
            }
        }
    }

    /// Ends the lease if `request.holder` still holds it.
    pub fn release(&mut self, now: Duration, request: &ReleaseDuty) {
        if let Ok(at) = self.position(&request.duty, &request.subject) {
            let lease = &mut self.leases[at];
            if lease.holder == request.holder {
                lease.expires_at = lease.expires_at.min(now);
            }
        }
    }

    /// All duties that have ever been held.
    pub fn assignments(&self) -> Vec<DutyAssignment> {
        let assignments = self.leases.iter().map(|lease| DutyAssignment {
            duty: lease.duty.clone(),
            subject: lease.subject.clone(),
            holder: lease.holder,
            fence: lease.fence,
        });
        assignments.collect()
    }

    fn position(&self, duty: &str, subject: &str) -> Result<usize, usize> {
        self.leases.binary_search_by(|lease| {
            (lease.duty.as_str(), lease.subject.as_str()).cmp(&(duty, subject))
        })
    }
}

impl Lease {
    fn renew_or_move(
        &mut self,
        index: Revision,
        now: Duration,
        request: &AcquireDuty,
    ) -> AcquireOutcome {
        let expires_at = now + request.duration;
        if self.holder == request.holder {
            if request.refused_fence >= self.fence {
                self.fence = index;
            }
            self.expires_at = self.expires_at.max(expires_at);
            return AcquireOutcome::Held(self.fence);
        }
        let changes_machine = self.holder.machine != request.holder.machine;
        if changes_machine {
            self.past_holders.retain(|past| past.eligible_at > now);
            let same_machine =
                |past: &&PastHolder| past.machine == request.holder.machine;
            let eligible_at = self
                .past_holders
                .iter()
                .find(same_machine)
                .map(|past| past.eligible_at);
            let available_at = self.expires_at.max(eligible_at.unwrap_or_default());
            if now < available_at {
                return AcquireOutcome::Other(available_at - now);
            }
            self.past_holders.push(PastHolder {
                machine: self.holder.machine,
                eligible_at: expires_at,
            });
        }
        self.holder = request.holder;
        self.fence = index;
        self.expires_at = expires_at;
        AcquireOutcome::Held(index)
    }
}
