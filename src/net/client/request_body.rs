//! Reads the body of a request completely.

use super::connection::READ_TIMEOUT;
use super::request_error::RequestError;
use crate::net::body::{read_to_end, BodyError};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::time::Duration;

/// Maximum length of a request body, bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Reads a body completely. The policy admits or rejects a request only afterwards, so a rejection never
/// reaches a client that is still sending its body.
///
/// Fails if the body is longer than [`MAX_BODY_BYTES`], is incomplete or takes longer than [`READ_TIMEOUT`].
pub async fn read_body(body: Incoming) -> Result<Bytes, RequestError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLong);
    }
    let timeout = Duration::from_secs_f64(READ_TIMEOUT / 1000.0);
    match tokio::time::timeout(timeout, read_to_end(body, MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLong { .. })) => Err(RequestError::BodyTooLong),
        Ok(Err(BodyError::Read(_))) => Err(RequestError::IncompleteBody),
        Err(_) => Err(RequestError::BodyTimeout),
    }
}
