//! Leases of endpoints and their fencing tokens.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{Acquire, LeaseReply};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EndpointLease {
    service: ServiceId,
    endpoint: EndpointId,
    holder: AttemptId,
    fence: Fence,
    expires_at: Duration,
}

/// All leases, sorted by service and endpoint. Expired leases are retained so that a
/// fencing token is never issued twice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Leases {
    leases: Vec<EndpointLease>,
}

impl Leases {
    pub(super) fn acquire(&mut self, now: Duration, acquire: &Acquire) -> LeaseReply {
        let key = (acquire.service.as_str(), acquire.endpoint.as_str());
        let found = self.leases.binary_search_by(|lease| {
            (lease.service.as_str(), lease.endpoint.as_str()).cmp(&key)
        });
        let expires_at = now + acquire.duration;
        match found {
            Ok(at) => {
                let lease = &mut self.leases[at];
                let same_holder = lease.holder == acquire.holder;
                if !same_holder && now < lease.expires_at {
                    return LeaseReply::Other(lease.expires_at - now);
                }
                lease.fence += u64::from(!same_holder);
                lease.holder = acquire.holder;
                // A request for zero time releases the lease.
                let releases = acquire.duration.is_zero();
                lease.expires_at = if releases {
                    now
                } else {
                    lease.expires_at.max(expires_at)
                };
                LeaseReply::Held(lease.fence)
            }
            Err(at) => {
                let lease = EndpointLease {
                    service: acquire.service.clone(),
                    endpoint: acquire.endpoint.clone(),
                    holder: acquire.holder,
                    fence: 1,
                    expires_at,
                };
                self.leases.insert(at, lease);
                LeaseReply::Held(1)
            }
        }
    }
}
