//! Reads bodies into memory, up to a limit.
//!
//! Any peer may send bytes without end, or in chunks of one byte each: a
//! faulty server, or another process that has taken over its address. The
//! chunks are therefore copied into one buffer, since a list of chunks takes
//! many times the memory of their bytes. docs/read-bounds.md lists the limits.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body::Body;
use http_body_util::BodyExt;

/// The result of reading a body up to a limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyPrefix {
    /// The whole body.
    Whole(Bytes),
    /// More bytes than the limit; others may follow.
    Exceeding(Bytes),
}

/// Why a body was not read.
#[derive(Debug, Display, Error)]
pub enum ReadError<E> {
    /// It exceeds the limit.
    #[display("the body exceeds {limit_bytes} bytes")]
    TooLong {
        /// The limit.
        limit_bytes: usize,
    },
    /// It ended early.
    #[display("the body ended early: {_0}")]
    Incomplete(E),
}

/// Reads a body until it ends or exceeds a limit by one frame.
///
/// # Errors
///
/// If the body ends early.
pub async fn read_prefix<B>(
    body: &mut B,
    limit_bytes: usize,
) -> Result<BodyPrefix, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if read.is_empty() && body.is_end_stream() && data.len() <= limit_bytes
        {
            // The only frame needs no copy.
            return Ok(BodyPrefix::Whole(data));
        }
        read.extend_from_slice(&data);
        if read.len() > limit_bytes {
            return Ok(BodyPrefix::Exceeding(read.freeze()));
        }
    }
    Ok(BodyPrefix::Whole(read.freeze()))
}

/// Reads a whole body.
///
/// # Errors
///
/// If the body exceeds the limit or ends early.
pub async fn read_body<B>(
    mut body: B,
    limit_bytes: usize,
) -> Result<Bytes, ReadError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    match read_prefix(&mut body, limit_bytes).await {
        Ok(BodyPrefix::Whole(bytes)) => Ok(bytes),
        Ok(BodyPrefix::Exceeding(_)) => {
            Err(ReadError::TooLong { limit_bytes })
        }
        Err(error) => Err(ReadError::Incomplete(error)),
    }
}

#[cfg(test)]
mod tests;
