//! Reading and watching the platform's store, with peers as a second source.
//!
//! One call waits for changes of all keys, so a daemon at rest makes one call
//! in each wait, and lets changes collect between two calls. In a large zone
//! one daemon reads the store and the others are fed by it, directly or
//! through others. When the store turns a daemon away, the same changes are
//! asked of a peer, whose copy answers the same questions.

mod apply;
mod compression;
mod feed;

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use briarladder_core::fleet::store_roles::{Role, reader_poll_interval};
use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use rand::RngExt;

use crate::{
    board::StoreContact, context::Gateway, dialect::FormatError,
    metrics::Metrics, pool::Freshness,
};

use self::apply::{advance, apply, apply_list, decode};

pub use self::feed::{follow_peers, follow_source};

/// A call is given up this long after its wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// The wait after a failed call; a random part of it is added, so that the
/// daemons of a fleet don't ask at once.
const RETRY_WAIT: Duration = Duration::from_millis(250);

/// How often a daemon that is fed by others looks whether it still is.
const FED_CHECK: Duration = Duration::from_millis(100);

/// How often a daemon that has just started looks for others.
const JOIN_CHECK: Duration = Duration::from_millis(20);

/// A daemon that has just started waits this long for others of the fleet,
/// which know what is published, before it reads the store.
const JOIN_WAIT: Duration = Duration::from_secs(1);

/// After another daemon has answered, the members of the zone become known
/// within this time.
const SETTLE_WAIT: Duration = Duration::from_millis(120);

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
    reader.wait_to_join().await;
    let mut listed = false;
    let mut reads = true;
    loop {
        let reads_now = !reader.is_fed();
        if reads_now != reads {
            reads = reads_now;
            log::info!("store: reads={reads}");
            reader.gateway.board.store_contact.set(StoreContact::Fed);
        }
        if !reads {
            tokio::time::sleep(FED_CHECK).await;
            continue;
        }
        let read = async {
            if listed { reader.watch().await } else { reader.list().await }
        };
        // What a suspended VM waited for may never come.
        let result = tokio::select! {
            result = read => result,
            () = reader.gateway.board.woken.notified() => continue,
        };
        match result {
            Ok(changed) => {
                listed = true;
                reader.answered();
                if changed {
                    let bound = reader.gateway.board.change_bound;
                    tokio::time::sleep(reader_poll_interval(bound)).await;
                }
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
    /// Waits until other daemons had the time to answer.
    async fn wait_to_join(&self) {
        let board = &self.gateway.board;
        loop {
            let now = board.now();
            let settled = board.joined_at.get().is_some_and(|joined| {
                now.duration_since(joined) >= SETTLE_WAIT
            });
            if settled || now.duration_since(board.started_at) >= JOIN_WAIT {
                return;
            }
            tokio::time::sleep(JOIN_CHECK).await;
        }
    }

    /// Returns whether this daemon leaves the reading to others.
    fn is_fed(&self) -> bool {
        let board = &self.gateway.board;
        let Role::Follower { takeover_delay: stands_in_after, .. } =
            board.store_role().role
        else {
            return false;
        };
        let now = board.now();
        let stale_for = board
            .feeds
            .borrow()
            .stale_for(now)
            .or_else(|| now.checked_duration_since(board.started_at));
        board.feeds.borrow().is_fresh(now)
            || stale_for.is_some_and(|stale| stale < stands_in_after)
    }

    /// Lists all items, and returns that there may be changes.
    async fn list(&self) -> Result<bool, StoreError> {
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
            let decoded = page.items.iter();
            let decoded = decoded.filter_map(|i| decode(&self.gateway, i));
            items.extend(decoded);
            if !page.more || after.is_none() {
                apply_list(&self.gateway, &items, revision);
                return Ok(true);
            }
        }
    }

    /// Waits for changes, and returns whether there were any.
    async fn watch(&self) -> Result<bool, StoreError> {
        let after = self.gateway.board.mirror.borrow().revision();
        let wait = self.gateway.board.store_role().reader_wait;
        let path = self.gateway.dialect.watch_path(after, wait);
        let body = self.get(&path, wait + ANSWER_TIMEOUT).await?;
        let changes = self.gateway.dialect.decode_changes(&body)?;
        for item in &changes.items {
            if let Some(item) = decode(&self.gateway, item) {
                apply(&self.gateway, &item);
            }
        }
        advance(&self.gateway, changes.revision);
        Ok(!changes.items.is_empty())
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
        if matches!(
            board.store_contact.get(),
            StoreContact::Never | StoreContact::LostAt(_)
        ) {
            let revision = board.mirror.borrow().revision();
            log::info!("store: contact=regained revision={revision}");
        }
        board.store_contact.set(StoreContact::Regular);
        self.count("answered");
    }

    fn failed(&self, error: &StoreError) {
        let board = &self.gateway.board;
        if matches!(
            board.store_contact.get(),
            StoreContact::Regular | StoreContact::Fed
        ) {
            let revision = board.mirror.borrow().revision();
            log::warn!(
                "store: contact=lost revision={revision} cause={error}"
            );
            board.store_contact.set(StoreContact::LostAt(board.now()));
            // Those that wait for changes here look elsewhere.
            board.mirror_changed.notify_waiters();
        }
        self.count("failed");
    }

    fn count(&self, outcome: &'static str) {
        Metrics::count(&self.gateway.metrics.store_calls, "store", outcome);
    }
}
