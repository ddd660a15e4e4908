//! The configuration as it travels between daemons.
//!
//! A configuration with thousands of routes has most of a megabyte. One daemon
//! feeds eight others, which takes seconds over the link of a small VM, so
//! that the daemon which reads the store compresses it once.

use std::sync::Arc;

use derive_more::{Display, Error};
use lz4_flex::block::{
    DecompressError, compress_prepend_size, decompress, uncompressed_size,
};

/// The longest configuration. The store's values have at most a megabyte; a
/// message that claims more must not take that memory.
const MAX_CONFIG_BYTES: usize = 16 * 1024 * 1024;

/// Bytes that are no compressed configuration.
#[derive(Debug, Display, Error)]
pub enum CompressionError {
    /// They can't be decompressed.
    #[display("the bytes of a peer are damaged: {_0}; check its version")]
    Damaged(DecompressError),
    /// There are fewer of them than they claim.
    #[display("the bytes of a peer end early; check its version")]
    TooShort,
    /// They claim to be too long.
    #[display("the bytes of a peer claim {_0} bytes; check its version")]
    TooLong(#[error(not(source))] usize),
}

impl From<DecompressError> for CompressionError {
    fn from(error: DecompressError) -> CompressionError {
        CompressionError::Damaged(error)
    }
}

/// Compresses a configuration.
#[must_use]
pub fn compress(config: &[u8]) -> Arc<[u8]> {
    compress_prepend_size(config).into()
}

/// Returns the configuration that was compressed.
///
/// # Errors
///
/// If the bytes are damaged or claim to be longer than any configuration.
pub fn restore(compressed: &[u8]) -> Result<Vec<u8>, CompressionError> {
    let (len, rest) = uncompressed_size(compressed)?;
    if len > MAX_CONFIG_BYTES {
        return Err(CompressionError::TooLong(len));
    }
    let config = decompress(rest, len)?;
    if config.len() == len {
        Ok(config)
    } else {
        Err(CompressionError::TooShort)
    }
}

#[cfg(test)]
mod tests {
    use std::fmt::Write;

    use super::*;

    /// The bytes that a link of 10 Mbit/s carries in a second.
    const LINK_BYTES_PER_S: usize = 1_250_000;

    /// The daemons that one daemon feeds.
    const FED: usize = 8;

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

    /// Guards against a change of 1,400 routes that takes seconds to reach
    /// the daemons that one feeds: with raw bytes it broke the bound of 4 s.
    #[test]
    fn compress_many_routes() {
        let raw = config(1450);
        let compressed = compress(raw.as_bytes());
        assert_eq!(restore(&compressed).unwrap(), raw.as_bytes());
        assert!(raw.len() * FED > 2 * LINK_BYTES_PER_S, "{}", raw.len());
        let copies = compressed.len() * FED;
        assert!(copies < LINK_BYTES_PER_S, "{copies} bytes");
    }

    /// Guards against a message that takes all memory, or the process down.
    #[test]
    fn restore_hostile() {
        let cases: [&[u8]; 5] = [
            b"",
            b"\xff",
            b"\xff\xff\xff\xffabc",
            b"\x10\0\0\0\xff\xff\xff",
            b"\0\0\0\x01\0",
        ];
        for case in cases {
            assert!(restore(case).is_err(), "{case:?}");
        }
    }
}
