//! Finds the software version at which a stream that a caller takes up may go
//! on.

use std::{rc::Rc, sync::Arc};

use briarladder_core::fleet::{
    config::RouteKind, server::ListedServer, stream_versions::Software,
};
use derive_more::Display;

use crate::{
    blackboard::Blackboard, context::Gateway, metrics::Metrics,
    peers::stream_origins, refusal::Refusal, store,
};

use super::{accept::AcceptedRequest, cache_evidence::find_holder};

/// The queue priority of streams that are taken up. They go before new ones:
/// they have less time left, and what their caller has received is lost with
/// them.
const TAKE_UP_PRIORITY: u8 = 0;

/// How the version that began a stream was found.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
enum Source {
    /// This daemon has its record.
    #[display("own")]
    Own,
    /// Another daemon has its record.
    #[display("peer")]
    Peer,
    /// No other version can have begun it.
    #[display("sole")]
    Sole,
    /// Engines of this version alone keep its prompt.
    #[display("cache")]
    Cache,
}

/// Restricts a request that takes up a stream to the version that began it.
///
/// # Errors
///
/// If that version can't be told, or its servers don't serve the route any
/// more.
pub async fn restrict_to_origin(
    gateway: &Rc<Gateway>,
    accepted: &mut AcceptedRequest,
) -> Result<(), Refusal> {
    let is_stream = matches!(accepted.route.kind, RouteKind::Stream { .. });
    let Some(take_up) = accepted.caller.take_up.clone() else { return Ok(()) };
    if !is_stream {
        return Ok(());
    }
    let first = take_up.first_attempt.as_ref();
    let found = find_origin(gateway, accepted, first).await;
    let outcome = match &found {
        None => "unknown",
        Some((software, _)) if !is_served(gateway, accepted, software) => {
            "not_served"
        }
        Some(_) => "found",
    };
    let (software, source) = found.as_ref().map_or_else(
        || ("-".to_owned(), "-".to_owned()),
        |(software, source)| (software.to_string(), source.to_string()),
    );
    log::info!(
        "takeup: id={} first={} after={} software={software} \
         source={source} outcome={outcome}",
        accepted.caller.attempt,
        first.map_or("-", |first| &**first),
        take_up.last_event_id,
    );
    let service = &accepted.service;
    Metrics::count(&gateway.metrics.take_ups, service, outcome);
    match found {
        Some((software, _)) if outcome == "found" => {
            accepted.service = Arc::clone(&software.service);
            accepted.queue_priority = TAKE_UP_PRIORITY;
            accepted.software = Some(software);
            Ok(())
        }
        Some(_) => Err(Refusal::VersionGone),
        None => Err(Refusal::VersionUnknown),
    }
}

async fn find_origin(
    gateway: &Rc<Gateway>,
    accepted: &AcceptedRequest,
    first: Option<&Arc<str>>,
) -> Option<(Software, Source)> {
    let blackboard = &gateway.blackboard;
    if let Some(first) = first {
        if let Some(software) = blackboard.stream_software(first) {
            return Some((software, Source::Own));
        }
        // Other daemons may have heard of a new version earlier.
        let found = stream_origins::find_origin(gateway, first).await;
        if let Some(software) = found {
            return Some((software, Source::Peer));
        }
    }
    // Two services of one route may have begun the stream.
    let [split] = &accepted.route.splits[..] else { return None };
    if !blackboard.knows_versions() {
        stream_origins::ask_for_versions(gateway).await;
    }
    if blackboard.sole_version(&split.service).is_some()
        && store::catch_up(gateway).await
        && let Some(version) = blackboard.sole_version(&split.service)
    {
        let service = Arc::clone(&split.service);
        return Some((Software { service, version }, Source::Sole));
    }
    let holder = find_holder(gateway, accepted).await?;
    Some((holder, Source::Cache))
}

/// Returns whether the route leads to the service of a version, and a server
/// of the version takes new work.
fn is_served(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
    software: &Software,
) -> bool {
    let splits = &accepted.route.splits;
    let servers = gateway.blackboard.servers.borrow();
    splits.iter().any(|split| split.service == software.service)
        && servers
            .ready_in_service(&software.service)
            .any(|server| software.runs_at(server))
}

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
