//! Reading and watching the platform's store, with peers as a second source.
//!
//! One call waits for changes of all keys, so a daemon at rest makes one call
//! in each wait. In a large zone only a few daemons read the store and feed
//! the others. When the store turns a daemon away, the same changes are asked
//! of a peer, whose copy answers the same questions.

mod apply;
mod feed;

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use briarladder_core::fleet::readers::Role;
use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use rand::RngExt;

use crate::{
    board::StoreContact, context::Gateway, dialect::FormatError,
    metrics::Metrics, pool::Freshness,
};

use self::apply::{advance, apply, apply_list};

pub use self::feed::{FEEDS, follow_peers, follow_reader};

/// How long one call waits for changes. A connection that has gone silent is
/// noticed after it, which keeps a daemon within the bounds for new
/// configurations; longer waits save calls, which are billed.
const WATCH_WAIT: Duration = Duration::from_secs(3);

/// A call is given up this long after its wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// The wait after a failed call; a random part of it is added, so that the
/// daemons of a fleet don't ask at once.
const RETRY_WAIT: Duration = Duration::from_millis(250);

/// How often a daemon that is fed by others looks whether it still is.
const FED_CHECK: Duration = Duration::from_millis(100);

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
    let mut reads = true;
    loop {
        let reads_now = !reader.is_fed();
        if reads_now != reads {
            reads = reads_now;
            log::info!("store: reads={reads}");
        }
        if !reads {
            tokio::time::sleep(FED_CHECK).await;
            continue;
        }
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
    /// Returns whether other daemons tell this one of all changes.
    fn is_fed(&self) -> bool {
        let board = &self.gateway.board;
        board.feeds.borrow().is_fresh(board.now())
            && matches!(board.store_role().role, Role::Follower(_))
    }

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
        advance(&self.gateway, changes.revision);
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
