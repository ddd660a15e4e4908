//! Cancels an attempt whose request ends early, because the caller
//! disconnected or the deadline passed.

use std::net::SocketAddr;

use briarladder_core::ids::RequestId;

use crate::backend::BackendClient;

/// A guard that cancels a request at its backend server when it is dropped
/// before [`disarm`](CancelOnDrop::disarm).
#[derive(Debug)]
pub struct CancelOnDrop {
    target: Option<Target>,
}

#[derive(Debug)]
struct Target {
    client: BackendClient,
    address: SocketAddr,
    request_id: RequestId,
}

impl CancelOnDrop {
    /// Creates an armed guard.
    #[must_use]
    pub fn new(
        client: BackendClient,
        address: SocketAddr,
        request_id: RequestId,
    ) -> CancelOnDrop {
        let target = Target { client, address, request_id };
        CancelOnDrop { target: Some(target) }
    }

    /// Drops the guard without a cancellation, because the attempt ended.
    pub fn disarm(mut self) {
        self.target = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(target) = self.target.take() else { return };
        // Without a runtime the process is exiting, which closes the
        // connection.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                target.client.cancel(target.address, target.request_id).await;
            });
        }
    }
}
