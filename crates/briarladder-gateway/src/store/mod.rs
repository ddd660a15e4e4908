//! Reads and watches the platform's store, with peers as a second source.
//!
//! One long-poll call waits for changes of all keys, so an idle daemon makes
//! one call per long-poll timeout. After a change it pauses, to let further
//! changes accumulate. In a large zone one daemon reads the store and the
//! others receive the changes from it, directly or through others. If the
//! store is unavailable, a daemon requests the same changes from a peer.
//!
//! A store that was restored from a copy names a new era. Its reader lists all
//! items once and feeds the others. Those that were reading the store because
//! it was away wait for that, in the order in which they replace a reader.

mod apply;
mod compression;
mod peer_source;

use std::{
    cell::Cell,
    cmp::Ordering,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::fleet::{
    store_roles::{Role, reader_poll_interval},
    store_version::StoreVersion,
};
use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use rand::RngExt;

use crate::{
    blackboard::StoreStatus, bounded_body::read_body, context::Gateway,
    dialect::FormatError, metrics::Metrics,
};

use self::{
    apply::{
        DecodedItems, apply_changes, apply_evacuation_listing, apply_listing,
    },
    peer_source::poll_peers_at_start,
};

pub use self::{
    apply::run_reconciliation,
    peer_source::{run_follower, run_peer_fallback},
};

/// Timeout of a call beyond its long-poll timeout.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause after a failed call. A random part is added, so that the daemons of a
/// fleet do not retry in lockstep.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// How often a follower checks whether it must read the store itself.
const FOLLOWER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How often a daemon that has just started checks whether others have
/// responded.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a daemon that has just started waits for other daemons, which
/// already have the items, before it reads the store.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time in which the members of the zone become known after another daemon has
/// responded.
const MEMBERS_SETTLE_TIME: Duration = Duration::from_millis(120);

/// The largest response of the store: a page with its encoding overhead.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// The most items of a listing, ten times those of the target size. A faulty
/// store may send pages without end.
const MAX_LISTED_ITEMS: usize = 100_000;

/// A failed call to the store.
#[derive(Debug, Display, Error)]
enum StoreError {
    /// The store no longer has the changes after the revision; all items must
    /// be listed again.
    #[display("the store has dropped older changes; listing all items")]
    HistoryGone {
        /// The era of the answer.
        era: u64,
    },
    /// The store was restored from a copy; all items must be listed again.
    #[display("the store was restored, era {from} to {to}; listing all items")]
    Restored {
        /// The era that was known.
        from: u64,
        /// The era of the answer.
        to: u64,
    },
    /// The answer was on its way while the store was restored.
    #[display("an answer of era {from}, after one of era {known}; ignored")]
    EarlierEra {
        /// The era of the answer.
        from: u64,
        /// The newest era that is known.
        known: u64,
    },
    /// The store did not respond, or with an error status.
    #[display("the store is unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The pages of a listing do not follow each other, or do not end.
    #[display("the listing does not end: {items} items up to {last_key:?}")]
    EndlessListing {
        /// The number of items so far.
        items: usize,
        /// The last key of the last page.
        last_key: Arc<str>,
    },
    /// The response is malformed.
    #[display("malformed response of the store: {_0}")]
    Malformed(FormatError),
}

impl From<FormatError> for StoreError {
    fn from(error: FormatError) -> StoreError {
        StoreError::Malformed(error)
    }
}

/// The shortest time between two questions for all changes. Requests that come
/// in between share the next one, since all daemons together may make only so
/// many calls.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(100);

/// A question for all changes that several requests share.
#[derive(Clone, Copy, Debug)]
pub struct CatchUp {
    began_at: Instant,
    has_succeeded: bool,
}

/// Applies all changes that the store has acknowledged when this is called.
/// Returns false if the store doesn't tell them.
pub async fn catch_up(gateway: &Rc<Gateway>) -> bool {
    let blackboard = &gateway.blackboard;
    let called_at = blackboard.now();
    let mut last = blackboard.stream_versions.last_catch_up.lock().await;
    if let Some(shared) = *last {
        if shared.began_at >= called_at {
            return shared.has_succeeded;
        }
        let next_at = shared.began_at + CATCH_UP_INTERVAL;
        tokio::time::sleep_until(next_at.into()).await;
    }
    let began_at = blackboard.now();
    let reader = StoreReader {
        gateway: Rc::clone(gateway),
        store: blackboard.store_address,
        era_learned_at: Cell::new(None),
    };
    let caught_up = reader.watch_for(Duration::ZERO).await;
    if let Err(error) = &caught_up {
        log::info!("store: outcome=not_caught_up cause={error}");
    }
    let has_succeeded = caught_up.is_ok();
    *last = Some(CatchUp { began_at, has_succeeded });
    has_succeeded
}

/// Reads and then watches the store. Never returns.
pub async fn run(gateway: Rc<Gateway>, store: SocketAddr) {
    let reader =
        StoreReader { gateway, store, era_learned_at: Cell::new(None) };
    reader.wait_for_peers().await;
    let mut asked_peers = false;
    let mut listed = false;
    let mut reads = true;
    loop {
        let reads_now = !reader.is_follower();
        if reads_now != reads {
            reads = reads_now;
            log::info!("store: reads={reads}");
            reader
                .gateway
                .blackboard
                .store_status
                .set(StoreStatus::ReadByPeers);
        }
        if !reads {
            tokio::time::sleep(FOLLOWER_CHECK_INTERVAL).await;
            continue;
        }
        let read = async {
            if listed { reader.watch().await } else { reader.list().await }
        };
        if !asked_peers {
            asked_peers = true;
            poll_peers_at_start(&reader.gateway).await;
        }
        // The response to a call from before a suspension may never arrive.
        let result = tokio::select! {
            result = read => result,
            () = reader.gateway.blackboard.suspension_detected.notified() => {
                continue;
            }
        };
        match result {
            Ok(changed) => {
                listed = true;
                reader.record_response();
                if changed {
                    let bound = reader.gateway.blackboard.max_change_delay;
                    tokio::time::sleep(reader_poll_interval(bound)).await;
                }
            }
            Err(StoreError::HistoryGone { era }) => {
                log::info!("store: history=gone action=list era={era}");
                reader.record_era(era);
                listed = false;
            }
            Err(error @ StoreError::Restored { to, .. }) => {
                log::info!("store: action=list cause={error}");
                reader.record_era(to);
                listed = false;
            }
            Err(error) => {
                reader.record_failure(&error);
                let jitter = rand::rng().random_range(0.0..1.0);
                tokio::time::sleep(RETRY_DELAY.mul_f64(1.0 + jitter)).await;
            }
        }
    }
}

struct StoreReader {
    gateway: Rc<Gateway>,
    store: SocketAddr,
    /// When an answer of the store last named a new era.
    era_learned_at: Cell<Option<Instant>>,
}

/// A successful answer of the store.
struct StoreAnswer {
    /// The era that it names.
    era: u64,
    body: Bytes,
}

impl StoreReader {
    /// Waits until other daemons had time to respond.
    async fn wait_for_peers(&self) {
        let blackboard = &self.gateway.blackboard;
        loop {
            let now = blackboard.now();
            let settled = blackboard.joined_at.get().is_some_and(|joined| {
                now.duration_since(joined) >= MEMBERS_SETTLE_TIME
            });
            if settled
                || now.duration_since(blackboard.started_at) >= JOIN_TIMEOUT
            {
                return;
            }
            tokio::time::sleep(JOIN_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether this daemon follows others instead of reading the
    /// store.
    fn is_follower(&self) -> bool {
        let blackboard = &self.gateway.blackboard;
        let Role::Follower { takeover_delay, .. } =
            blackboard.store_role().role
        else {
            return false;
        };
        let now = blackboard.now();
        let stale_for = blackboard
            .source_tracker
            .borrow()
            .stale_for(now)
            .or_else(|| now.checked_duration_since(blackboard.started_at));
        // After a restore, the daemons whose turn it is list all items, and
        // the others receive them.
        let era_known_for = self
            .era_learned_at
            .get()
            .map(|learned_at| now.duration_since(learned_at));
        let stale_for = stale_for.min(era_known_for.or(stale_for));
        blackboard.source_tracker.borrow().is_fresh(now)
            || stale_for.is_some_and(|stale| stale < takeover_delay)
    }

    /// Lists all items. Returns true, as there may be changes.
    async fn list(&self) -> Result<bool, StoreError> {
        let asked_at = self.gateway.blackboard.now();
        let mut items = DecodedItems::default();
        let mut item_count = 0;
        let mut after: Option<Arc<str>> = None;
        let mut first: Option<StoreVersion> = None;
        loop {
            let path = self.gateway.dialect.list_path(after.as_deref());
            let answer = self.get(&path, RESPONSE_TIMEOUT).await?;
            let page = self.gateway.dialect.decode_page(&answer.body)?;
            // The pages are not a consistent snapshot: only the items as of
            // the first page's revision are known to be complete.
            let version = *first.get_or_insert(StoreVersion {
                era: answer.era,
                revision: page.revision,
            });
            check_era(version.era, answer.era)?;
            item_count += page.items.len();
            for item in &page.items {
                items.add(&self.gateway, answer.era, item);
            }
            if !page.more {
                return self.apply_listing(asked_at, items, version);
            }
            let last_key = page.items.last().map(|item| Arc::clone(&item.key));
            if last_key == after || item_count > MAX_LISTED_ITEMS {
                return Err(StoreError::EndlessListing {
                    items: item_count,
                    last_key: last_key.unwrap_or_default(),
                });
            }
            after = last_key;
        }
    }

    fn apply_listing(
        &self,
        asked_at: Instant,
        items: DecodedItems,
        version: StoreVersion,
    ) -> Result<bool, StoreError> {
        apply_evacuation_listing(&self.gateway, &items.evacuations, version);
        if apply_listing(&self.gateway, asked_at, items, version) {
            self.gateway.blackboard.record_heard_of_store();
            return Ok(true);
        }
        let known = self.gateway.blackboard.mirror.borrow().version().era;
        Err(StoreError::EarlierEra { from: version.era, known })
    }

    /// Waits for changes. Returns whether there were any.
    async fn watch(&self) -> Result<bool, StoreError> {
        // The first answer of a store that was away tells whether it was
        // restored.
        let blackboard = &self.gateway.blackboard;
        let wait = match blackboard.store_status.get() {
            StoreStatus::UnreachableSince(_) => Duration::ZERO,
            _ => blackboard.store_role().reader_poll_timeout,
        };
        self.watch_for(wait).await
    }

    /// Waits for changes for some time. Returns whether there were any.
    async fn watch_for(&self, wait: Duration) -> Result<bool, StoreError> {
        let blackboard = &self.gateway.blackboard;
        let after = blackboard.mirror.borrow().version();
        let path = self.gateway.dialect.watch_path(after.revision, wait);
        let answer = self.get(&path, wait + RESPONSE_TIMEOUT).await?;
        // The changes after a revision of an earlier era leave a gap.
        check_era(after.era, answer.era)?;
        let changes = self.gateway.dialect.decode_changes(&answer.body)?;
        let mut items = DecodedItems::default();
        for item in &changes.items {
            items.add(&self.gateway, answer.era, item);
        }
        apply_changes(&self.gateway, items, after.at(changes.revision));
        blackboard.record_heard_of_store();
        Ok(!changes.items.is_empty())
    }

    /// Lets the daemons that read the store list all items first, if the store
    /// has begun a new era.
    fn record_era(&self, era: u64) {
        let blackboard = &self.gateway.blackboard;
        if era > blackboard.mirror.borrow().version().era {
            self.era_learned_at.set(Some(blackboard.now()));
            blackboard.source_tracker.borrow_mut().clear_backoffs();
        }
    }

    async fn get(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let response =
            tokio::time::timeout(timeout, self.exchange(path)).await;
        response.unwrap_or_else(|_| {
            Err(StoreError::Unavailable("timed out".to_owned()))
        })
    }

    async fn exchange(&self, path: &str) -> Result<StoreAnswer, StoreError> {
        let unavailable = |error: String| StoreError::Unavailable(error);
        let host = HeaderValue::from_str(&self.store.to_string())
            .map_err(|error| unavailable(error.to_string()))?;
        let request = Request::get(path)
            .header(header::HOST, host)
            .body(Full::default())
            .map_err(|error| unavailable(error.to_string()))?;
        let pool = &self.gateway.pool;
        let sent = pool.send(self.store, request).await;
        let (response, connection) =
            sent.map_err(|error| unavailable(error.to_string()))?;
        let status = response.status();
        let era = self.era_of(response.headers());
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| unavailable(error.to_string()))?;
        connection.return_to_pool(None);
        match status {
            StatusCode::OK => Ok(StoreAnswer { era: era?, body }),
            StatusCode::GONE => Err(StoreError::HistoryGone { era: era? }),
            status => Err(unavailable(format!("status {status}"))),
        }
    }

    /// Returns the era that an answer names. One that names none is of the era
    /// that is known: the store may have stopped to name it.
    fn era_of(&self, headers: &HeaderMap) -> Result<u64, FormatError> {
        let era = self.gateway.dialect.decode_store_era(headers)?;
        let known = self.gateway.blackboard.mirror.borrow().version().era;
        Ok(era.unwrap_or(known))
    }

    fn record_response(&self) {
        let blackboard = &self.gateway.blackboard;
        if matches!(
            blackboard.store_status.get(),
            StoreStatus::NeverReached | StoreStatus::UnreachableSince(_)
        ) {
            let version = blackboard.mirror.borrow().version();
            log::info!("store: contact=regained {version}");
        }
        blackboard.store_status.set(StoreStatus::Reachable);
        self.count("answered");
    }

    fn record_failure(&self, error: &StoreError) {
        let blackboard = &self.gateway.blackboard;
        if matches!(
            blackboard.store_status.get(),
            StoreStatus::Reachable | StoreStatus::ReadByPeers
        ) {
            let version = blackboard.mirror.borrow().version();
            log::warn!("store: contact=lost {version} cause={error}");
            blackboard
                .store_status
                .set(StoreStatus::UnreachableSince(blackboard.now()));
            // Peers that wait for changes here must find another source.
            blackboard.mirror_changed.notify_waiters();
        }
        self.count("failed");
    }

    fn count(&self, outcome: &'static str) {
        Metrics::count(&self.gateway.metrics.store_calls, "store", outcome);
    }
}

/// Checks that an answer is of the era that is known.
fn check_era(known: u64, from: u64) -> Result<(), StoreError> {
    match from.cmp(&known) {
        Ordering::Equal => Ok(()),
        Ordering::Greater => {
            Err(StoreError::Restored { from: known, to: from })
        }
        Ordering::Less => Err(StoreError::EarlierEra { from, known }),
    }
}
