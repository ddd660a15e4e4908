//! Finds the software version at which a stream may go on.

use briarladder_core::fleet::{
    server::ListedServer, stream_versions::Software,
};

use crate::blackboard::Blackboard;

/// Returns the software version of a server, unless it is listed with another
/// one by now: it is not known which of the two processes got the request.
#[must_use]
pub fn software_of_process(
    blackboard: &Blackboard,
    server: &ListedServer,
) -> Option<Software> {
    let software = Software::of(server)?;
    let servers = blackboard.servers.borrow();
    let listed = servers.get(&server.name);
    let is_other = listed.is_some_and(|listed| !software.runs_at(listed));
    (!is_other).then_some(software)
}
