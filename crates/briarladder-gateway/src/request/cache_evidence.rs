//! Finds the version that began a stream by the prompt caches of engines.
//!
//! After all daemons have ended at once, nobody has the records of streams
//! that broke off. An engine keeps the prompt that it has read, and the last
//! part of a prompt belongs to one request or session, so the engines that
//! hold that part have run the stream. Listing a cache delays the engine's
//! work, so it is the last source that is asked.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    fleet::{
        server::ListedServer,
        stream_versions::{CacheAnswer, CacheReport, Software, sole_holder},
    },
    rendezvous,
    sorted::SortedMap,
};
use bytes::Bytes;
use futures_util::future::join_all;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use tokio::{sync::Mutex, time::timeout};

use crate::{
    bounded_body::read_body, context::Gateway, dialect::Prompt,
    pool::SendError, server_client::RelayScope,
};

use super::accept::AcceptedRequest;

/// Engines that are asked for one stream. In a larger service, these are the
/// first that its prompt prefix is placed at.
const MAX_ASKED: usize = 32;

/// How long an engine is waited for.
const LIST_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a listing is used for other streams that are taken up at the same
/// time.
const MAX_LISTING_AGE: Duration = Duration::from_secs(1);

/// The longest listing of a cache that is read.
const MAX_LISTING_BYTES: usize = 1024 * 1024;

/// The listings of prompt caches, by the name of the engine.
#[derive(Debug, Default)]
pub struct CacheListings {
    listings: RefCell<SortedMap<Arc<str>, CacheListing>>,
    /// Held while engines are asked, so that streams that are taken up at the
    /// same time share the listings.
    asking: Mutex<()>,
}

#[derive(Clone, Debug)]
struct CacheListing {
    listed_at: Instant,
    /// The parts, in order.
    parts: Rc<[Arc<str>]>,
}

/// Returns the version whose engines alone hold the prompt of a stream.
pub async fn find_holder(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
) -> Option<Software> {
    let prompt = accepted.caller.prompt.as_ref()?;
    let last_part = &prompt.parts.last()?.id;
    let servers = engines_to_ask(gateway, accepted, prompt);
    let caches = &gateway.blackboard.cache_listings;
    let asking = caches.asking.lock().await;
    list_caches(gateway, &servers).await;
    drop(asking);
    let listings = caches.listings.borrow();
    let reports = servers.iter().map(|server| {
        let answer = match listings.get(&server.name) {
            None => CacheAnswer::None,
            Some(CacheListing { parts, .. })
                if parts.binary_search(last_part).is_ok() =>
            {
                CacheAnswer::Held
            }
            Some(_) => CacheAnswer::NotHeld,
        };
        CacheReport { software: Software::of(server), answer }
    });
    sole_holder(reports)
}

/// Returns the listed engines of the service that may have run a stream.
fn engines_to_ask(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
    prompt: &Prompt,
) -> Vec<Arc<ListedServer>> {
    let blackboard = &gateway.blackboard;
    let servers = blackboard.servers.borrow();
    let allowed = &accepted.allowed_regions;
    let allowed: Vec<&Arc<ListedServer>> = servers
        .in_service(&accepted.service)
        .iter()
        .filter(|server| blackboard.regions.allow(allowed, &server.zone))
        .collect();
    if allowed.len() <= MAX_ASKED {
        return allowed.into_iter().cloned().collect();
    }
    let prefix = prompt.shared_prefix().map_or("", |shared| shared.prefix);
    let names: Vec<&Arc<str>> =
        allowed.iter().map(|server| &server.name).collect();
    rendezvous::top(prefix, &names, MAX_ASKED)
        .into_iter()
        .filter_map(|name| servers.get(name).cloned())
        .collect()
}

/// Asks the engines whose listings are not recent.
async fn list_caches(gateway: &Gateway, servers: &[Arc<ListedServer>]) {
    let blackboard = &gateway.blackboard;
    let now = blackboard.now();
    let caches = &blackboard.cache_listings;
    caches.listings.borrow_mut().retain(|_, listing| {
        now.duration_since(listing.listed_at) <= MAX_LISTING_AGE
    });
    let to_ask: Vec<&Arc<ListedServer>> = servers
        .iter()
        .filter(|server| !caches.listings.borrow().contains_key(&server.name))
        .collect();
    let calls = to_ask.iter().map(|server| list_cache(gateway, server));
    let answers = join_all(calls).await;
    let listed_at = blackboard.now();
    let mut listings = caches.listings.borrow_mut();
    for (server, parts) in to_ask.iter().zip(answers) {
        // One that didn't answer is asked again for the next stream.
        let Some(parts) = parts else { continue };
        let listing = CacheListing { listed_at, parts };
        listings.insert(Arc::clone(&server.name), listing);
    }
}

/// Asks an engine which parts of prompts it holds. One whose process has ended
/// holds none.
async fn list_cache(
    gateway: &Gateway,
    server: &ListedServer,
) -> Option<Rc<[Arc<str>]>> {
    let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
    let mut request = Request::get(gateway.dialect.prompt_cache_path())
        .header(header::HOST, host)
        .body(Full::default())
        .ok()?;
    let headers = request.headers_mut();
    gateway.dialect.add_expected_server(headers, &server.name);
    let scope = RelayScope::AnyRequest;
    let sent = gateway.servers.send(server, scope, request);
    let listed = timeout(LIST_TIMEOUT, async {
        let (response, connection) = match sent.await {
            Ok(answer) => answer,
            Err(SendError { connection_refused: true, .. }) => {
                return Some(Vec::new());
            }
            Err(error) => {
                log::debug!("caches: server={} {error}", server.name);
                return None;
            }
        };
        let is_ok = response.status() == StatusCode::OK;
        let body = read_body(response.into_body(), MAX_LISTING_BYTES).await;
        let body: Bytes = body.ok()?;
        connection.return_to_pool(None);
        let parts = gateway.dialect.decode_prompt_cache(&body);
        parts.ok().filter(|_| is_ok)
    });
    let mut parts = listed.await.ok()??;
    parts.sort_unstable();
    Some(Rc::from(parts))
}
