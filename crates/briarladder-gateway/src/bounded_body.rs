//! Reads bodies into memory, up to a limit.
//!
//! Any peer may send bytes without end, or in chunks of one byte each: a
//! faulty server, or another process that has taken over its address. The
//! chunks are therefore copied into one buffer, since a list of chunks takes
//! many times the memory of their bytes. docs/read-bounds.md lists the limits.

use std::{future::poll_fn, pin::Pin, task::Poll};

use briarladder_core::fleet::caller_memory::CallerMemoryExhausted;
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body::Body;
use http_body_util::BodyExt;

use crate::caller_memory::{CallerConnection, ChargedBuffer};

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
    /// There is no memory for it, or another caller needs it more.
    #[display("{_0}")]
    MemoryUsedUp(CallerMemoryExhausted),
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

/// Reads the whole body of a caller's request. Its bytes are charged to the
/// connection until their last copy is dropped.
///
/// # Errors
///
/// If the body exceeds the limit, which is known before it is read if its
/// length is announced, if it ends early, or if the memory for callers is used
/// up and this request is to make room.
pub async fn read_caller_body<B>(
    mut body: B,
    limit_bytes: usize,
    connection: &CallerConnection,
) -> Result<Bytes, ReadError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint();
    if usize::try_from(announced.lower()).is_ok_and(|len| len > limit_bytes) {
        return Err(ReadError::TooLong { limit_bytes });
    }
    let expected = announced.exact().and_then(|len| usize::try_from(len).ok());
    let max_capacity_bytes = expected.unwrap_or(limit_bytes);
    let mut read = ChargedBuffer::new(connection, max_capacity_bytes)
        .map_err(ReadError::MemoryUsedUp)?;
    loop {
        let frame = tokio::select! {
            biased;
            () = connection.wait_refused() => {
                return Err(ReadError::MemoryUsedUp(CallerMemoryExhausted));
            }
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(ReadError::Incomplete)?;
        let Ok(data) = frame.into_data() else { continue };
        if read.len() + data.len() > limit_bytes {
            return Err(ReadError::TooLong { limit_bytes });
        }
        read.push(&data).map_err(ReadError::MemoryUsedUp)?;
    }
    if connection.is_evicted() {
        return Err(ReadError::MemoryUsedUp(CallerMemoryExhausted));
    }
    Ok(read.into_bytes())
}

/// How much of the rest of a body is read that nobody needs.
const MAX_SKIPPED_BYTES: usize = 64 * 1024;

/// After so many turns without a frame, the rest of a body counts as not
/// arrived. In the first one, the connection is asked to read.
const MAX_EMPTY_TURNS: u32 = 3;

/// Reads the rest of a body that has already arrived, without waiting for
/// more. Returns whether it has ended, so that a request may follow it on its
/// connection.
pub async fn skip_arrived<B>(mut body: B) -> bool
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut skipped_bytes = 0;
    let mut empty_turns = 0;
    while empty_turns < MAX_EMPTY_TURNS && skipped_bytes <= MAX_SKIPPED_BYTES {
        if body.is_end_stream() {
            return true;
        }
        let polled =
            poll_fn(|cx| Poll::Ready(Pin::new(&mut body).poll_frame(cx)));
        match polled.await {
            Poll::Ready(None) => return true,
            Poll::Ready(Some(Err(_))) => return false,
            Poll::Ready(Some(Ok(frame))) => {
                skipped_bytes += frame.data_ref().map_or(0, Bytes::len);
                empty_turns = 0;
            }
            Poll::Pending => {
                empty_turns += 1;
                tokio::task::yield_now().await;
            }
        }
    }
    false
}

/// Reads a reply for a caller until it ends or exceeds a limit by one frame.
/// Its bytes are charged to the caller's connection. If there is no room for
/// them, the limit counts as exceeded.
///
/// # Errors
///
/// If the reply ends early.
pub async fn read_reply_prefix<B>(
    body: &mut B,
    limit_bytes: usize,
    connection: &CallerConnection,
) -> Result<BodyPrefix, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let expected = body.size_hint().exact();
    let expected = expected.and_then(|len| usize::try_from(len).ok());
    let max_capacity_bytes = expected.unwrap_or(limit_bytes);
    let Ok(mut read) = ChargedBuffer::new(connection, max_capacity_bytes)
    else {
        return Ok(BodyPrefix::Exceeding(Bytes::new()));
    };
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if read.push(&data).is_err() {
            read.push_uncharged(&data);
            return Ok(BodyPrefix::Exceeding(read.into_bytes()));
        }
        if read.len() > limit_bytes {
            return Ok(BodyPrefix::Exceeding(read.into_bytes()));
        }
    }
    Ok(BodyPrefix::Whole(read.into_bytes()))
}

#[cfg(test)]
mod tests;
