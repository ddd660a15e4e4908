//! Releases results at the servers that hold them.

use std::{rc::Rc, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::{server::ListedServer, stages::ResultHandle},
    sorted::{SortedMap, SortedSet},
};
use bytes::Bytes;

use super::{Batcher, QueueKey};

/// How long releases are collected before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Timeout of a release call to a server.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

impl Batcher {
    /// Queues results for release.
    pub fn queue_release(&self, results: Vec<ResultHandle>) {
        if !results.is_empty() {
            self.release_queue.borrow_mut().extend(results);
            self.release_queued.notify_one();
        }
    }

    /// Sends queued releases. Never returns.
    pub async fn run_releases(self: Rc<Self>) {
        loop {
            self.release_queued.notified().await;
            tokio::time::sleep(BATCH_DELAY).await;
            self.release(self.release_queue.take());
        }
    }

    /// Releases results at the servers that hold them, and reuses the freed
    /// memory at once: a call that follows arrives after the release.
    fn release(self: &Rc<Self>, results: Vec<ResultHandle>) {
        let mut by_producer: SortedMap<Arc<str>, Vec<Arc<str>>> =
            SortedMap::new();
        for ResultHandle { reference, producer } in results {
            by_producer.get_or_insert_with(producer, Vec::new).push(reference);
        }
        let mut services = SortedSet::new();
        for (producer, references) in by_producer.iter() {
            // A server that is gone has lost its results anyway.
            let server =
                self.blackboard.servers.borrow().get(producer).cloned();
            let Some(server) = server else { continue };
            // A release would take the place of a call, or is a request to
            // an evacuated zone.
            if self.blackboard.is_limited(&server)
                || self.blackboard.is_evacuated(&server)
            {
                log::debug!(
                    "collector: server={producer} gets no releases; \
                     results={} expire there",
                    references.len()
                );
                continue;
            }
            let body = self.dialect.encode_release(references);
            self.record_released(&server, references);
            services.insert(Arc::clone(&server.service));
            let batcher = Rc::clone(self);
            tokio::task::spawn_local(async move {
                batcher.send_release(&server, body).await;
            });
        }
        let keys: Vec<QueueKey> = self
            .queues
            .borrow()
            .keys()
            .filter(|key| services.contains(&*key.service))
            .cloned()
            .collect();
        for key in keys {
            self.dispatch(&key);
        }
    }

    /// Records the memory that released results free.
    fn record_released(&self, server: &ListedServer, references: &[Arc<str>]) {
        for (key, queue) in self.queues.borrow_mut().iter_mut() {
            if key.service == server.service {
                for reference in references {
                    queue.piece_queue.record_release(&server.name, reference);
                }
            }
        }
    }

    async fn send_release(&self, server: &ListedServer, body: Bytes) {
        let path = self.dialect.release_path();
        let result = tokio::time::timeout(
            RELEASE_TIMEOUT,
            self.exchange(server, path, body),
        )
        .await;
        match result {
            Ok(Ok(response)) => response.keep_connection(),
            // The server drops the results itself when they expire.
            Ok(Err(error)) => {
                log::debug!(
                    "collector: release at {} failed: {error}",
                    server.name
                );
            }
            Err(_) => {
                log::debug!("collector: release at {} timed out", server.name);
            }
        }
    }
}
