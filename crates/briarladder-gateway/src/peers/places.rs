//! Asks other daemons for places at servers that limit their requests.
//!
//! A daemon without a turn at a limited server would refuse requests although
//! the holders of the turn may have places left. It asks one of them before it
//! refuses, at a rate that keeps the messages of the whole fleet small. The
//! place is taken from the holder's part, so that the limit is kept.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use briarladder_core::fleet::server::ListedServer;

use crate::{context::Gateway, request::accept::AcceptedRequest};

use super::messages::{PLACE_PATH, PlaceRequest, PlaceResponse};

/// Timeout of a request for a place, several round trips between regions. The
/// caller waits meanwhile.
const PLACE_TIMEOUT: Duration = Duration::from_millis(150);

/// A server with a limit, and the daemon to ask for a place there.
#[derive(Clone, Debug)]
pub struct PlaceOwner {
    /// The server.
    pub server: Arc<ListedServer>,
    /// The address of the daemon.
    pub address: SocketAddr,
}

/// Asks another daemon for a place at a server that could run a request, and
/// returns the server if it got one.
pub async fn borrow_place(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
    tried: &[Arc<str>],
) -> Option<Arc<ListedServer>> {
    let blackboard = &gateway.blackboard;
    let AcceptedRequest { service, allowed_regions, .. } = accepted;
    let owner =
        blackboard.place_owner(service, allowed_regions, tried, |server| {
            accepted.may_run_at(server)
        })?;
    let PlaceOwner { server, address } = owner;
    let message = PlaceRequest {
        server: Arc::clone(&server.name),
        born_ms: server.born_ms,
        rank: accepted.rank,
    };
    let call =
        gateway.peers.call(address, PLACE_PATH, &message, PLACE_TIMEOUT);
    let response: Result<PlaceResponse, _> = call.await;
    let granted = response
        .inspect_err(|error| log::debug!("limits: {error}"))
        .is_ok_and(|response| response.granted);
    blackboard.record_place_response(&server, granted);
    log::debug!(
        "limits: id={} server={} granted={granted} by={address}",
        accepted.caller.attempt,
        server.name
    );
    (granted && blackboard.may_send(&server, allowed_regions))
        .then_some(server)
}

/// Gives a place of this daemon to another one, if it has one left.
#[must_use]
pub fn grant_place(
    gateway: &Gateway,
    message: &PlaceRequest,
) -> PlaceResponse {
    let blackboard = &gateway.blackboard;
    let server = blackboard.servers.borrow().get(&message.server).cloned();
    let server = server.filter(|server| server.born_ms == message.born_ms);
    let granted = server.filter(|server| {
        let places = blackboard.places();
        places.next_place_at(server).is_some()
            && places.has_place(server, message.rank)
            && places.take(server)
    });
    if let Some(server) = &granted {
        blackboard.lend_room(server);
    }
    PlaceResponse { granted: granted.is_some() }
}
