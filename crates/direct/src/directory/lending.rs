//! Endpoints of a service whose places are lent.

use super::{Directory, Endpoint, Placement, PlacementQuery};
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::health::Health;
use dogwoodhill_policy::lending::{EndpointSlots, MAX_ENDPOINTS};

impl Directory {
    /// The endpoints of a service, with their slots. `None` if its places cannot be lent:
    /// it has too many endpoints, or some announce a rate limit, which permits enforce.
    pub fn slots(&self, service: &str) -> Option<Vec<EndpointSlots>> {
        let snapshot = self.snapshot.load();
        let group = snapshot.group(service)?;
        let limited = group.iter().any(|endpoint| endpoint.is_limited());
        if limited || group.len() > MAX_ENDPOINTS {
            return None;
        }
        let sound = group.iter().any(|endpoint| {
            endpoint.is_available() && endpoint.health() == Health::Sound
        });
        let slots = group.iter().filter(|endpoint| !endpoint.leaving());
        let slots = slots.map(|endpoint| EndpointSlots {
            run: endpoint.run(),
            slots: endpoint.known_slots(),
            // As for placement: other endpoints are used only without a sound one.
            usable: endpoint.is_available()
                && (!sound || endpoint.health() == Health::Sound),
        });
        Some(slots.collect())
    }

    /// The placement at one endpoint of a service, if it still admits requests, was not
    /// tried, and has a version at which the request may run.
    pub fn place_at(
        &self,
        query: &PlacementQuery<'_>,
        run: &Incarnation,
    ) -> Option<Placement> {
        let endpoint = self.find_run(run)?;
        let snapshot = self.snapshot.load();
        let known = snapshot.group(query.service)?.len();
        let tried = query.tried.iter().any(|run| endpoint.runs_as(run));
        let usable = !tried && endpoint.admits() && query.version.allows(&endpoint);
        usable.then(|| Placement {
            fetch: None,
            health: endpoint.health(),
            endpoint,
            known,
            reserved: 0,
        })
    }
}

impl Endpoint {
    /// Whether the endpoint neither leaves nor requested a backoff.
    fn is_available(&self) -> bool {
        !self.leaving() && self.remaining_backoff().is_none()
    }

    /// Slots that the endpoint last named, or those of the list.
    fn known_slots(&self) -> u32 {
        let named = self.estimates().load.slots;
        if named > 0 { named } else { self.slots }
    }

    /// The number of requests that waited when the endpoint rejected one just now; 0 if
    /// it does not name it. `None` if it did not reject the request for being full: it
    /// leaves, asks for a backoff or a lower rate, or names a free slot.
    pub fn full_queue(&self) -> Option<u32> {
        let load = self.estimates().load;
        let free_slot = load.slots > 0 && load.running < load.slots;
        let full = self.is_available() && !self.is_limited() && !free_slot;
        full.then_some(load.waiting)
    }
}
