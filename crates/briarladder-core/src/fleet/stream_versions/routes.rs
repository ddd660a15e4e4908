//! The services that begin streams which may be taken up.

use std::sync::Arc;

use super::super::config::{FleetConfig, Route};

/// Returns the services of routes whose streams may be taken up, in order.
#[must_use]
pub fn resumable_services(config: &FleetConfig) -> Vec<Arc<str>> {
    let routes = config.routes.iter();
    let resumable = routes.filter(|route| route.kind.is_resumable());
    sorted(resumable.flat_map(|route| services(route)))
}

/// Returns the services of all routes whose streams may be taken up and which
/// lead to other services than before, in order. A stream that has begun at
/// one of them may be taken up when the route leads to another one.
#[must_use]
pub fn rerouted_services(
    before: &FleetConfig,
    after: &FleetConfig,
) -> Vec<Arc<str>> {
    let mut rerouted = Vec::new();
    for route in after.routes.iter() {
        let known = before.routes.find(&route.host, &route.prefix);
        let Some(known) = known else { continue };
        let was = sorted(services(known));
        let is = sorted(services(route));
        if route.kind.is_resumable() && was != is {
            rerouted.extend(was);
            rerouted.extend(is);
        }
    }
    sorted(rerouted)
}

fn services(route: &Route) -> impl Iterator<Item = Arc<str>> {
    route.splits.iter().map(|split| Arc::clone(&split.service))
}

fn sorted(services: impl IntoIterator<Item = Arc<str>>) -> Vec<Arc<str>> {
    let mut services: Vec<Arc<str>> = services.into_iter().collect();
    services.sort_unstable();
    services.dedup();
    services
}
