//! Compression of the configuration for distribution between daemons.
//!
//! A configuration with thousands of routes has most of a megabyte, and one
//! daemon sends it to up to eight others, which would take seconds on the link
//! of a small VM. The daemon that reads the store therefore compresses it
//! once.

use std::sync::Arc;

use derive_more::{Display, Error};
use lz4_flex::block::{
    DecompressError, compress_prepend_size, decompress, uncompressed_size,
};

/// The longest configuration. Values of the store have at most a megabyte; a
/// message that claims a larger size must not allocate it.
const MAX_CONFIG_BYTES: usize = 16 * 1024 * 1024;

/// Bytes that are not a valid compressed configuration.
#[derive(Debug, Display, Error)]
pub enum CompressionError {
    /// The bytes are corrupt.
    #[display("corrupt configuration from a peer: {_0}; check its version")]
    Corrupt(DecompressError),
    /// The decompressed length is shorter than declared.
    #[display("truncated configuration from a peer; check its version")]
    Truncated,
    /// The declared length exceeds the limit.
    #[display(
        "a peer sent a configuration of {_0} bytes, too long; check its version"
    )]
    TooLong(#[error(not(source))] usize),
}

impl From<DecompressError> for CompressionError {
    fn from(error: DecompressError) -> CompressionError {
        CompressionError::Corrupt(error)
    }
}

/// Compresses a configuration.
#[must_use]
pub fn compress_config(config: &[u8]) -> Arc<[u8]> {
    compress_prepend_size(config).into()
}

/// Decompresses a configuration.
///
/// # Errors
///
/// If the bytes are corrupt or declare a length that exceeds the limit.
pub fn decompress_config(
    compressed: &[u8],
) -> Result<Vec<u8>, CompressionError> {
    let (len, rest) = uncompressed_size(compressed)?;
    if len > MAX_CONFIG_BYTES {
        return Err(CompressionError::TooLong(len));
    }
    let config = decompress(rest, len)?;
    if config.len() == len {
        Ok(config)
    } else {
        Err(CompressionError::Truncated)
    }
}

#[cfg(test)]
mod tests {
    use std::fmt::Write;

    use super::*;

    /// Bytes per second on a link of 10 Mbit/s.
    const LINK_BYTES_PER_S: usize = 1_250_000;

    /// Followers of one daemon.
    const FOLLOWERS: usize = 8;

    fn config(routes: usize) -> String {
        let mut text = String::new();
        for at in 0..routes {
            write!(
                text,
                r#"{{"name":"r-{at}","host":"h{at}.example","path":"/p{at}/",
                "repeats":"never","timeout_ms":8000,"rank":2,"tries":1,
                "target_ms":1200,"service":"s-{}","pause_ms":300,
                "stages":[],"without_key":false,"may_be_resumed":false,
                "keeps_to_one_server":true,"weights":[1,2,3,4,5]}},"#,
                at % 5
            )
            .unwrap();
        }
        text
    }

    /// Guards against a change of 1,400 routes that takes seconds to reach the
    /// followers of one daemon: uncompressed, it exceeded the bound of 4 s.
    #[test]
    fn compress_many_routes() {
        let raw = config(1450);
        let compressed = compress_config(raw.as_bytes());
        assert_eq!(decompress_config(&compressed).unwrap(), raw.as_bytes());
        assert!(raw.len() * FOLLOWERS > 2 * LINK_BYTES_PER_S, "{}", raw.len());
        let copies = compressed.len() * FOLLOWERS;
        assert!(copies < LINK_BYTES_PER_S, "{copies} bytes");
    }

    /// Guards against a malformed message that exhausts memory or crashes the
    /// process.
    #[test]
    fn decompress_malformed() {
        let cases: [&[u8]; 5] = [
            b"",
            b"\xff",
            b"\xff\xff\xff\xffabc",
            b"\x10\0\0\0\xff\xff\xff",
            b"\0\0\0\x01\0",
        ];
        for case in cases {
            assert!(decompress_config(case).is_err(), "{case:?}");
        }
    }
}
