//! The client to the platform, which can only be read and watched.

use std::{net::SocketAddr, time::Duration};

use briarladder_core::config::{Digest, Manifest};
use briarladder_wire::platform::{VmList, WATCH_WAIT};
use reqwest::{Client, Response, StatusCode};
use serde::de::DeserializeOwned;

/// The longest time for an answer that does not wait for a change. The
/// platform answers in milliseconds.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest value that the platform holds, in bytes, with some room.
const MAX_VALUE_BYTES: u64 = 2 << 20;

/// A client to the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client,
    address: SocketAddr,
}

/// Whether a read waits for a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wait {
    /// Answer with what there is.
    No,
    /// Answer when something newer than this is there.
    After(u64),
}

impl PlatformClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client can't be set up.
    pub fn new(address: SocketAddr) -> reqwest::Result<PlatformClient> {
        let client = Client::builder()
            .connect_timeout(READ_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(PlatformClient { client, address })
    }

    /// Reads the manifest. Returns none if nothing newer was published in
    /// the time of the watch.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer properly.
    pub async fn manifest(
        &self,
        wait: Wait,
    ) -> anyhow::Result<Option<Manifest>> {
        self.watched("manifest", wait).await
    }

    /// Reads the list of VMs. Returns none if it did not change in the time
    /// of the watch.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer properly.
    pub async fn vms(&self, wait: Wait) -> anyhow::Result<Option<VmList>> {
        self.watched("vms", wait).await
    }

    /// Reads a chunk.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer properly.
    pub async fn chunk(&self, digest: &Digest) -> anyhow::Result<Vec<u8>> {
        let url = format!("http://{}/v1/chunks/{digest}", self.address);
        let request = self.client.get(url).timeout(READ_TIMEOUT);
        let response = request.send().await?.error_for_status()?;
        read(response).await
    }

    async fn watched<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Wait,
    ) -> anyhow::Result<Option<T>> {
        let base = format!("http://{}/v1/{path}", self.address);
        let (url, timeout) = match wait {
            Wait::No => (base, READ_TIMEOUT),
            Wait::After(version) => {
                let url = format!("{base}?after={version}");
                (url, WATCH_WAIT + READ_TIMEOUT)
            }
        };
        let request = self.client.get(url).timeout(timeout);
        let response = request.send().await?.error_for_status()?;
        if response.status() == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        Ok(Some(serde_json::from_slice(&read(response).await?)?))
    }
}

async fn read(response: Response) -> anyhow::Result<Vec<u8>> {
    let length = response.content_length().unwrap_or_default();
    anyhow::ensure!(
        length <= MAX_VALUE_BYTES,
        "a value of {length} bytes is above the platform's limit"
    );
    Ok(response.bytes().await?.to_vec())
}
