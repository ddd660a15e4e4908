//! The frames that hold what a server sends on a relayed connection.
//!
//! A frame is a length in bytes, of 32 bits in network byte order, and so many
//! bytes. A length of zero marks the end of the server's connection. The
//! number of bytes that the server's kernel had received by then follows it,
//! in 64 bits. A stream that ends without it was cut off.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, ReadBuf};

/// The length of the header of a frame.
pub(super) const HEADER_BYTES: usize = 4;

/// The length of the frame that marks the end.
const END_BYTES: usize = HEADER_BYTES + size_of::<u64>();

/// Stands for a number of received bytes that isn't known.
const UNKNOWN: u64 = u64::MAX;

/// Writes the header of a frame to its first bytes. What follows these is the
/// content of the frame.
pub(super) fn write_header(frame: &mut [u8]) {
    let (header, content) = frame.split_at_mut(HEADER_BYTES);
    let content_bytes = u32::try_from(content.len());
    // OK because frames are no longer than a read buffer.
    let content_bytes = content_bytes.expect("a frame is short");
    header.copy_from_slice(&content_bytes.to_be_bytes());
}

/// Returns the frame that marks the end. `received_bytes` is what the server's
/// kernel has received, if that is known.
pub(super) fn end_frame(received_bytes: Option<u64>) -> [u8; END_BYTES] {
    let mut frame = [0; END_BYTES];
    let received_bytes = received_bytes.unwrap_or(UNKNOWN);
    frame[HEADER_BYTES..].copy_from_slice(&received_bytes.to_be_bytes());
    frame
}

/// A field of fixed length that is read in parts.
#[derive(Debug)]
struct Field<const N: usize> {
    bytes: [u8; N],
    read_bytes: usize,
}

impl<const N: usize> Field<N> {
    const EMPTY: Field<N> = Field { bytes: [0; N], read_bytes: 0 };

    fn poll_read(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        context: &mut Context<'_>,
    ) -> Poll<io::Result<[u8; N]>> {
        while self.read_bytes < N {
            let mut missing = ReadBuf::new(&mut self.bytes[self.read_bytes..]);
            self.read_bytes +=
                ready!(poll_some(stream, context, &mut missing))?;
        }
        Poll::Ready(Ok(self.bytes))
    }
}

/// What the decoder reads next.
#[derive(Debug)]
enum Position {
    Header(Field<HEADER_BYTES>),
    Content { remaining_bytes: usize },
    End(Field<8>),
    Ended { received_bytes: Option<u64> },
}

/// Decodes frames while they are read.
#[derive(Debug)]
pub(super) struct FrameDecoder {
    position: Position,
}

impl Default for FrameDecoder {
    fn default() -> FrameDecoder {
        FrameDecoder { position: Position::Header(Field::EMPTY) }
    }
}

impl FrameDecoder {
    /// Returns how many bytes the server's kernel had received when its
    /// connection ended, or `None` if that is unknown or there was no end.
    pub(super) fn received_bytes(&self) -> Option<u64> {
        match self.position {
            Position::Ended { received_bytes } => received_bytes,
            _ => None,
        }
    }

    /// Reads content of frames into a buffer, and nothing after the end.
    ///
    /// # Errors
    ///
    /// If the stream fails or ends before the frame that marks the end.
    pub(super) fn poll_read(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        loop {
            self.position = match &mut self.position {
                Position::Header(header) => {
                    let header = ready!(header.poll_read(stream, context))?;
                    match u32::from_be_bytes(header) as usize {
                        0 => Position::End(Field::EMPTY),
                        remaining_bytes => {
                            Position::Content { remaining_bytes }
                        }
                    }
                }
                Position::Content { remaining_bytes: 0 } => {
                    Position::Header(Field::EMPTY)
                }
                Position::Content { remaining_bytes } => {
                    let len = buffer.remaining().min(*remaining_bytes);
                    let part = buffer.initialize_unfilled_to(len);
                    let mut part = ReadBuf::new(part);
                    let read = ready!(poll_some(stream, context, &mut part))?;
                    buffer.advance(read);
                    *remaining_bytes -= read;
                    return Poll::Ready(Ok(()));
                }
                Position::End(received) => {
                    let received = ready!(received.poll_read(stream, context));
                    let received = u64::from_be_bytes(received?);
                    let received_bytes =
                        (received != UNKNOWN).then_some(received);
                    Position::Ended { received_bytes }
                }
                Position::Ended { .. } => return Poll::Ready(Ok(())),
            };
        }
    }
}

/// Reads at least one byte and returns how many.
fn poll_some(
    stream: &mut (impl AsyncRead + Unpin),
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<usize>> {
    ready!(Pin::new(stream).poll_read(context, buffer))?;
    Poll::Ready(match buffer.filled().len() {
        0 => Err(io::Error::new(
            io::ErrorKind::ConnectionReset,
            "the relayed connection was cut off",
        )),
        read_bytes => Ok(read_bytes),
    })
}

#[cfg(test)]
mod tests;
