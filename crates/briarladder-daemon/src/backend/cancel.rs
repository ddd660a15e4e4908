//! Cancels an attempt whose request ends early: the caller left, or the
//! deadline passed.

use std::net::SocketAddr;

use briarladder_core::ids::RequestId;

use crate::backend::BackendClient;

/// Cancels at the backend server when it is dropped while armed.
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
    /// Arms a cancel.
    #[must_use]
    pub fn new(
        client: BackendClient,
        address: SocketAddr,
        request_id: RequestId,
    ) -> CancelOnDrop {
        let target = Target { client, address, request_id };
        CancelOnDrop { target: Some(target) }
    }

    /// Leaves the attempt alone, because it ended.
    pub fn disarm(mut self) {
        self.target = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let Some(target) = self.target.take() else { return };
        // Without a runtime the process is ending, and the connection
        // closes with it.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                target.client.cancel(target.address, target.request_id).await;
            });
        }
    }
}
