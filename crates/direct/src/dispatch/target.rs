//! The choice among the services of a route.

use dogwoodhill_core::prelude::*;
use dogwoodhill_route::prelude::*;
use rand::RngExt;

/// Chooses one of a route's services at random, by weight.
pub(super) fn pick_service(route: &Route) -> ServiceId {
    let total: u32 = route.targets.iter().map(|target| target.weight).sum();
    let mut offset = rand::rng().random_range(0..total.max(1));
    for target in &route.targets {
        if offset < target.weight {
            return target.service.clone();
        }
        offset -= target.weight;
    }
    String::new()
}
