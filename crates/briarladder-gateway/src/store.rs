//! Reading and watching the platform's store, with peers as a second source.
//!
//! One call waits for changes of all keys, so a daemon at rest makes one call
//! in each wait. When the store turns this daemon away, the same changes are
//! asked of a peer, whose copy answers the same questions.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use briarladder_core::fleet::mirror::Item;
use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use rand::{RngExt, seq::IndexedRandom};

use crate::{
    board::StoreContact,
    context::Gateway,
    dialect::{FormatError, ItemKind},
    metrics::Metrics,
    peers::messages::{CHANGES_PATH, ChangesReply, ChangesRequest},
    pool::Freshness,
};

/// How long one call waits for changes. A connection that has gone silent is
/// noticed after it, which keeps a daemon within the bounds for new
/// configurations; longer waits save calls, which are billed.
const WATCH_WAIT: Duration = Duration::from_secs(3);

/// A call is given up this long after its wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// The wait after a failed call; a random part of it is added, so that the
/// daemons of a fleet don't ask at once.
const RETRY_WAIT: Duration = Duration::from_millis(250);

/// The time between two questions to peers while the store does not answer.
const PEER_INTERVAL: Duration = Duration::from_millis(400);

/// The store may be silent for this long before peers are asked.
const PEERS_AFTER: Duration = Duration::from_millis(300);

/// The longest time for a question to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// The largest answer of the store: a page and its encoding.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A call to the store that brought nothing.
#[derive(Debug, Display, Error)]
enum StoreError {
    /// The history since the revision is gone; list all items again.
    #[display("the history is gone; listing all items")]
    HistoryGone,
    /// The store does not answer.
    #[display("the store does not answer: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The answer can't be read.
    #[display("the store's answer can't be read: {_0}")]
    Unreadable(FormatError),
}

impl From<FormatError> for StoreError {
    fn from(error: FormatError) -> StoreError {
        StoreError::Unreadable(error)
    }
}

/// Follows the store for as long as the process runs.
pub async fn run(gateway: Rc<Gateway>, store: SocketAddr) {
    let reader = Reader { gateway, store };
    let mut listed = false;
    loop {
        let result =
            if listed { reader.watch().await } else { reader.list().await };
        match result {
            Ok(()) => {
                listed = true;
                reader.answered();
            }
            Err(StoreError::HistoryGone) => {
                log::info!("store: history=gone action=list");
                listed = false;
            }
            Err(error) => {
                reader.failed(&error);
                let spread = rand::rng().random_range(0.0..1.0);
                tokio::time::sleep(RETRY_WAIT.mul_f64(1.0 + spread)).await;
            }
        }
    }
}

struct Reader {
    gateway: Rc<Gateway>,
    store: SocketAddr,
}

impl Reader {
    /// Lists all items.
    async fn list(&self) -> Result<(), StoreError> {
        let mut items = Vec::new();
        let mut after: Option<Arc<str>> = None;
        let mut first_revision = None;
        loop {
            let path = self.gateway.dialect.list_path(after.as_deref());
            let body = self.get(&path, ANSWER_TIMEOUT).await?;
            let page = self.gateway.dialect.decode_page(&body)?;
            // Pages are not a snapshot; only what was current at the first
            // is known to be complete.
            let revision = *first_revision.get_or_insert(page.revision);
            after = page.items.last().map(|item| Arc::clone(&item.key));
            items.extend(page.items);
            if !page.more || after.is_none() {
                apply_list(&self.gateway, &items, revision);
                return Ok(());
            }
        }
    }

    /// Waits for changes.
    async fn watch(&self) -> Result<(), StoreError> {
        let after = self.gateway.board.mirror.borrow().revision();
        let path = self.gateway.dialect.watch_path(after, WATCH_WAIT);
        let body = self.get(&path, WATCH_WAIT + ANSWER_TIMEOUT).await?;
        let changes = self.gateway.dialect.decode_changes(&body)?;
        for item in changes.items {
            apply(&self.gateway, &item);
        }
        self.gateway.board.mirror.borrow_mut().advance(changes.revision);
        Ok(())
    }

    async fn get(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<Bytes, StoreError> {
        let answer = tokio::time::timeout(timeout, self.exchange(path)).await;
        answer.unwrap_or_else(|_| {
            Err(StoreError::Unavailable("no answer in time".to_owned()))
        })
    }

    async fn exchange(&self, path: &str) -> Result<Bytes, StoreError> {
        let unavailable = |error: String| StoreError::Unavailable(error);
        let host = HeaderValue::from_str(&self.store.to_string())
            .map_err(|error| unavailable(error.to_string()))?;
        let request = Request::get(path)
            .header(header::HOST, host)
            .body(Full::default())
            .map_err(|error| unavailable(error.to_string()))?;
        let pool = &self.gateway.pool;
        let sent = pool.send(self.store, request, Freshness::Any).await;
        let (response, lease) =
            sent.map_err(|error| unavailable(error.to_string()))?;
        let status = response.status();
        let body = http_body_util::Limited::new(
            response.into_body(),
            MAX_ANSWER_BYTES,
        )
        .collect()
        .await
        .map_err(|error| unavailable(error.to_string()))?
        .to_bytes();
        lease.give_back(None);
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            status => Err(unavailable(format!("status {status}"))),
        }
    }

    fn answered(&self) {
        let board = &self.gateway.board;
        if board.store_contact.get() != StoreContact::Regular {
            let revision = board.mirror.borrow().revision();
            log::info!("store: contact=regained revision={revision}");
            board.store_contact.set(StoreContact::Regular);
        }
        self.count("answered");
    }

    fn failed(&self, error: &StoreError) {
        let board = &self.gateway.board;
        if board.store_contact.get() == StoreContact::Regular {
            let revision = board.mirror.borrow().revision();
            log::warn!(
                "store: contact=lost revision={revision} cause={error}"
            );
            board.store_contact.set(StoreContact::LostAt(board.now()));
        }
        self.count("failed");
    }

    fn count(&self, outcome: &'static str) {
        Metrics::count(&self.gateway.metrics.store_calls, "store", outcome);
    }
}

/// Asks peers while the store does not answer, for as long as the process
/// runs.
pub async fn follow_peers(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(PEER_INTERVAL).await;
        let lost = gateway.board.store_lost_for();
        if lost.is_some_and(|lost| lost > PEERS_AFTER) {
            ask_peer(&gateway).await;
        }
    }
}

async fn ask_peer(gateway: &Gateway) {
    let now = gateway.board.now();
    let peer = {
        let peers = gateway.board.peers.borrow();
        let live: Vec<_> = peers.live_peers(now).collect();
        live.choose(&mut rand::rng()).map(|beat| beat.address)
    };
    let Some(address) = peer else { return };
    let after = gateway.board.mirror.borrow().revision();
    let message = ChangesRequest { after };
    let answer: Result<ChangesReply, _> = gateway
        .peers
        .call(address, CHANGES_PATH, &message, PEER_TIMEOUT)
        .await;
    let reply = match answer {
        Ok(reply) => reply,
        Err(error) => {
            log::debug!("store: {error}");
            return;
        }
    };
    if reply.revision <= after {
        return;
    }
    log::info!(
        "store: source=peer peer={address} items={} revision={}",
        reply.items.len(),
        reply.revision
    );
    let items: Vec<Item> = reply
        .items
        .iter()
        .filter_map(|message| match Item::try_from(message) {
            Ok(item) => Some(item),
            Err(error) => {
                log::warn!("store: key={} from a peer: {error}", message.key);
                None
            }
        })
        .collect();
    if reply.complete {
        apply_list(gateway, &items, reply.revision);
    } else {
        for item in items {
            apply(gateway, &item);
        }
        gateway.board.mirror.borrow_mut().advance(reply.revision);
    }
}

fn apply_list(gateway: &Gateway, items: &[Item], revision: u64) {
    for item in items {
        apply(gateway, item);
    }
    let removed =
        gateway.board.mirror.borrow_mut().apply_full(items, revision);
    for item in removed {
        take_effect(gateway, &item);
    }
}

fn apply(gateway: &Gateway, item: &Item) {
    let news = gateway.board.mirror.borrow_mut().apply(item.clone());
    if news {
        take_effect(gateway, item);
    }
}

/// Puts a changed item into force.
fn take_effect(gateway: &Gateway, item: &Item) {
    match gateway.dialect.item_kind(&item.key) {
        ItemKind::Config => config_changed(gateway, item),
        ItemKind::Server(name) => server_changed(gateway, name, item),
        ItemKind::Other => {}
    }
}

fn config_changed(gateway: &Gateway, item: &Item) {
    // A configuration that is taken away leaves the last one in force.
    let Some(value) = &item.value else { return };
    match gateway.dialect.decode_config(value) {
        Ok(config) => {
            let version = config.version;
            let routes = config.routes.len();
            if gateway.board.adopt(config) {
                let shown = i64::try_from(version).unwrap_or(i64::MAX);
                gateway.metrics.config_version.set(shown);
                log::info!(
                    "config: version={version} routes={routes} revision={} \
                     outcome=in_force",
                    item.revision
                );
            }
        }
        Err(error) => log::error!(
            "config: revision={} outcome=rejected cause={error}",
            item.revision
        ),
    }
}

fn server_changed(gateway: &Gateway, name: &str, item: &Item) {
    let mut servers = gateway.board.servers.borrow_mut();
    let decoded = item
        .value
        .as_ref()
        .map(|value| gateway.dialect.decode_server(name, value));
    match decoded {
        Some(Ok(server)) => {
            log::info!(
                "servers: server={name} service={} zone={} state={:?} \
                 revision={}",
                server.service,
                server.zone,
                server.state,
                item.revision
            );
            servers.insert(server);
        }
        Some(Err(error)) => {
            log::warn!(
                "servers: server={name} outcome=ignored cause={error} \
                 revision={}",
                item.revision
            );
            servers.remove(name);
        }
        None => {
            log::info!(
                "servers: server={name} state=gone revision={}",
                item.revision
            );
            servers.remove(name);
            gateway.board.placement.borrow_mut().forget(name);
        }
    }
}
