//! Reads the body of a message into one buffer.

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;

/// Capacity of a buffer after its first chunk, bytes, unless the chunk or the body is longer or the limit is
/// lower.
const MIN_CAPACITY_BYTES: usize = 1024;

/// The reason why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError<E> {
    /// The body is longer than the limit.
    #[error("the body is longer than {max_bytes} bytes")]
    TooLong {
        /// The limit, bytes.
        max_bytes: usize,
    },
    /// The connection failed, or the body violates the protocol.
    #[error("the body could not be read: {0}")]
    Read(#[source] E),
}

/// Reads a body of up to `max_bytes` completely.
///
/// Each chunk is copied and released before the next one is read. A chunk refers to the read buffer of its
/// connection, and a connection whose buffer is still in use allocates another one. If the chunks were kept, a
/// peer that sends a body byte by byte would occupy several kilobytes for each byte.
///
/// # Errors
/// Returns an error if the body is too long or cannot be read.
pub async fn read_to_end<B>(mut body: B, max_bytes: usize) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.map_err(BodyError::Read)?.into_data() else { continue };
        if chunk.remaining() > max_bytes - buffer.len() {
            return Err(BodyError::TooLong { max_bytes });
        }
        reserve(&mut buffer, chunk.len(), max_bytes);
        buffer.extend_from_slice(&chunk);
    }
    Ok(buffer.into())
}

/// Makes room for `additional` bytes. The capacity doubles each time, but does not exceed `max_bytes`.
fn reserve(buffer: &mut Vec<u8>, additional: usize, max_bytes: usize) {
    let required = buffer.len() + additional;
    if required > buffer.capacity() {
        let doubled = buffer.capacity().saturating_mul(2).max(MIN_CAPACITY_BYTES);
        let capacity = doubled.min(max_bytes).max(required);
        buffer.reserve_exact(capacity - buffer.len());
    }
}

#[cfg(test)]
#[path = "../../tests/unit/body.rs"]
mod tests;
