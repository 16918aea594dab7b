//! Leases of endpoints and their fencing numbers.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{Acquire, LeaseReply};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Held {
    service: ServiceId,
    endpoint: EndpointId,
    holder: AttemptId,
    fence: Fence,
    until: Duration,
}

/// All leases, sorted by service and endpoint. One that ended stays, because
/// its number must never be given out again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Leases {
    held: Vec<Held>,
}

impl Leases {
    pub(super) fn acquire(&mut self, now: Duration, acquire: &Acquire) -> LeaseReply {
        let key = (acquire.service.as_str(), acquire.endpoint.as_str());
        let found = self
            .held
            .binary_search_by(|h| (h.service.as_str(), h.endpoint.as_str()).cmp(&key));
        let until = now + acquire.duration;
        match found {
            Ok(at) => {
                let held = &mut self.held[at];
                let same = held.holder == acquire.holder;
                if !same && now < held.until {
                    return LeaseReply::Other(held.until - now);
                }
                held.fence += u64::from(!same);
                held.holder = acquire.holder;
                // A holder that gives its lease back asks for no time at all.
                let ends = acquire.duration.is_zero();
                held.until = if ends { now } else { held.until.max(until) };
                LeaseReply::Held(held.fence)
            }
            Err(at) => {
                let held = Held {
                    service: acquire.service.clone(),
                    endpoint: acquire.endpoint.clone(),
                    holder: acquire.holder,
                    fence: 1,
                    until,
                };
                self.held.insert(at, held);
                LeaseReply::Held(1)
            }
        }
    }
}
