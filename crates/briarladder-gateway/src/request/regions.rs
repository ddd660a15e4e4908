//! Refuses requests that no server of their regions takes.

use std::time::Duration;

use crate::{blackboard::Blackboard, refusal::Refusal};

use super::{RequestRefusal, accept::AcceptedRequest};

/// When a caller should return whose service has servers only in evacuated
/// zones. The operator decides when an evacuation ends, so a caller that returns
/// sooner is most likely refused again.
const EVACUATION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the refusal of a request that is bound to regions in which no
/// server takes it. Its stages would run in vain.
#[must_use]
pub fn refused_for_regions(
    blackboard: &Blackboard,
    accepted: &AcceptedRequest,
) -> Option<RequestRefusal> {
    let AcceptedRequest { service, allowed_regions, .. } = accepted;
    if allowed_regions.is_any() {
        return None;
    }
    let is_served = blackboard
        .servers
        .borrow()
        .ready_in_service(service)
        .any(|server| blackboard.may_send(server, allowed_regions));
    (!is_served).then(|| no_server_in_regions(blackboard, accepted))
}

/// Returns the refusal of a request that no server of its regions takes. What
/// takes it next is a server that ends its pause, or else one that the
/// platform lists.
#[must_use]
pub fn no_server_in_regions(
    blackboard: &Blackboard,
    accepted: &AcceptedRequest,
) -> RequestRefusal {
    let wait = first_available_in(blackboard, accepted);
    RequestRefusal {
        refusal: Refusal::NoServerInRegions,
        retry_after: Some(wait.unwrap_or(blackboard.max_change_delay)),
    }
}

/// Returns the time until the first server accepts the request, if all that
/// may run it have asked for a pause or are in evacuated zones.
#[must_use]
pub fn first_available_in(
    blackboard: &Blackboard,
    accepted: &AcceptedRequest,
) -> Option<Duration> {
    let servers = blackboard.servers.borrow();
    let allowed = servers
        .ready_in_service(&accepted.service)
        .map(|server| &**server)
        .filter(|server| {
            let allowed = &accepted.allowed_regions;
            blackboard.regions.allow(allowed, &server.zone)
        });
    let ready =
        allowed.clone().filter(|server| !blackboard.is_evacuated(server));
    if ready.clone().next().is_none() && allowed.clone().next().is_some() {
        return Some(EVACUATION_RETRY_AFTER);
    }
    blackboard
        .availability
        .borrow()
        .first_available_in(blackboard.now(), ready)
}
