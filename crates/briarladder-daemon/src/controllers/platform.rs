//! The client to the platform, which supports reads and watches only.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use briarladder_core::{
    config::{Digest, Manifest},
    platform_version::{PlatformVersion, UNKNOWN_ERA},
};
use briarladder_wire::platform::{ERA_HEADER, VmList, WATCH_TIMEOUT};
use reqwest::{Client, Response, StatusCode, header::HeaderMap};
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
    NewerThan(PlatformVersion),
}

/// A response of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformRead<T> {
    /// The era of the platform. That of the request, if the platform names
    /// none.
    pub era: u64,
    /// The value; `None` if nothing was published, or nothing newer before
    /// the watch timed out.
    pub value: Option<T>,
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

    /// Reads the manifest of the published configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform can't be reached, or its response
    /// is not valid or of an earlier era than the request.
    pub async fn manifest(
        &self,
        mode: ReadMode,
    ) -> anyhow::Result<PlatformRead<Manifest>> {
        self.read_or_watch("manifest", mode).await
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform can't be reached, or its response
    /// is not valid or of an earlier era than the request.
    pub async fn vms(
        &self,
        mode: ReadMode,
    ) -> anyhow::Result<PlatformRead<VmList>> {
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
    ) -> anyhow::Result<PlatformRead<T>> {
        let (query, timeout, known_era) = match mode {
            ReadMode::Current => (String::new(), READ_TIMEOUT, UNKNOWN_ERA),
            ReadMode::NewerThan(version) => {
                let timeout = WATCH_TIMEOUT + READ_TIMEOUT;
                (watch_query(version), timeout, version.era)
            }
        };
        let url = format!("http://{}/v1/{path}{query}", self.address);
        let request = self.client.get(url).timeout(timeout);
        let response = request.send().await?.error_for_status()?;
        let era = decode_era(response.headers())?.unwrap_or(known_era);
        anyhow::ensure!(
            era >= known_era,
            "the response is of era {era}, but the platform has been in era \
             {known_era}; let it name a higher era, or restart the daemons"
        );
        if response.status() == StatusCode::NO_CONTENT {
            return Ok(PlatformRead { era, value: None });
        }
        let value = serde_json::from_slice(&read_body(response).await?)?;
        Ok(PlatformRead { era, value: Some(value) })
    }
}

/// Returns the query of a watch. A platform that names no era is not told one.
fn watch_query(after: PlatformVersion) -> String {
    match after {
        PlatformVersion { era: UNKNOWN_ERA, number } => {
            format!("?after={number}")
        }
        PlatformVersion { era, number } => {
            format!("?after={number}&era={era}")
        }
    }
}

fn decode_era(headers: &HeaderMap) -> anyhow::Result<Option<u64>> {
    let Some(era) = headers.get(ERA_HEADER) else { return Ok(None) };
    let era = era.to_str().ok().and_then(|text| text.parse().ok());
    era.map(Some).with_context(|| format!("{ERA_HEADER} is not a number"))
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
