//! The client to the platform, which supports reads and watches only.

use std::{net::SocketAddr, time::Duration};

use briarladder_core::config::{Digest, Manifest};
use briarladder_wire::platform::{VmList, WATCH_TIMEOUT};
use reqwest::{Client, Response, StatusCode};
use serde::de::DeserializeOwned;

/// The timeout for a read that does not wait for a change. The platform
/// responds in milliseconds.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of a value, in bytes, with a margin above the platform's
/// own limit of 1 MB.
const MAX_VALUE_BYTES: usize = 2 << 20;

/// An HTTP client to the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client,
    address: SocketAddr,
}

/// Whether a read returns at once or waits for a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadMode {
    /// Return the current value.
    Current,
    /// Wait for a value with a version above this one.
    NewerThan(u64),
}

impl PlatformClient {
    /// Creates a client to the platform at an address.
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

    /// Reads the manifest of the published configuration. Returns `None` if
    /// nothing newer was published before the watch timed out.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform can't be reached or its response
    /// is not valid.
    pub async fn manifest(
        &self,
        mode: ReadMode,
    ) -> anyhow::Result<Option<Manifest>> {
        self.read_or_watch("manifest", mode).await
    }

    /// Reads the list of VMs. Returns `None` if it did not change before the
    /// watch timed out.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform can't be reached or its response
    /// is not valid.
    pub async fn vms(&self, mode: ReadMode) -> anyhow::Result<Option<VmList>> {
        self.read_or_watch("vms", mode).await
    }

    /// Reads a chunk of a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform can't be reached or doesn't have
    /// the chunk.
    pub async fn chunk(&self, digest: &Digest) -> anyhow::Result<Vec<u8>> {
        let url = format!("http://{}/v1/chunks/{digest}", self.address);
        let request = self.client.get(url).timeout(READ_TIMEOUT);
        let response = request.send().await?.error_for_status()?;
        read_body(response).await
    }

    async fn read_or_watch<T: DeserializeOwned>(
        &self,
        path: &str,
        mode: ReadMode,
    ) -> anyhow::Result<Option<T>> {
        let base = format!("http://{}/v1/{path}", self.address);
        let (url, timeout) = match mode {
            ReadMode::Current => (base, READ_TIMEOUT),
            ReadMode::NewerThan(version) => {
                let url = format!("{base}?after={version}");
                (url, WATCH_TIMEOUT + READ_TIMEOUT)
            }
        };
        let request = self.client.get(url).timeout(timeout);
        let response = request.send().await?.error_for_status()?;
        if response.status() == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        Ok(Some(serde_json::from_slice(&read_body(response).await?)?))
    }
}

/// Reads a body of at most [`MAX_VALUE_BYTES`]. A body without a length may
/// be endless, so the limit is checked while it is read.
async fn read_body(mut response: Response) -> anyhow::Result<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        body.extend_from_slice(&chunk);
        anyhow::ensure!(
            body.len() <= MAX_VALUE_BYTES,
            "the response exceeds {MAX_VALUE_BYTES} bytes"
        );
    }
    Ok(body)
}

#[cfg(test)]
mod tests;
