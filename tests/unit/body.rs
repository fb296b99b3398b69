//! Reading of bodies that arrive in many chunks, are too long or break off.

use super::*;
use http_body_util::Full;
use hyper::body::Frame;
use std::pin::Pin;
use std::task::{Context, Poll};

const MAX_BYTES: usize = 64 * 1024;

/// A body that arrives byte by byte and may fail at its end. It notices chunks that are kept.
struct ByteByByte {
    remaining: usize,
    fails: bool,
    last_chunk: Option<Bytes>,
}

impl ByteByByte {
    fn new(length: usize, fails: bool) -> Self {
        ByteByByte { remaining: length, fails, last_chunk: None }
    }
}

impl Body for ByteByByte {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let released = self.last_chunk.take().is_none_or(|chunk| chunk.is_unique());
        assert!(released, "the previous chunk is still in use");
        if self.remaining == 0 {
            return Poll::Ready(self.fails.then_some(Err("connection reset")));
        }
        self.remaining -= 1;
        let chunk = Bytes::from(vec![b'x'; 1]);
        self.last_chunk = Some(chunk.clone());
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }
}

fn read(body: ByteByByte) -> Result<Bytes, BodyError<&'static str>> {
    block_on(read_to_end(body, MAX_BYTES))
}

/// Polls a future that is always ready.
fn block_on<F: std::future::Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("the runtime cannot be built").block_on(future)
}

/// Regression test for an incident: each chunk of a body was kept until the body was complete, and with it a
/// read buffer of several kilobytes. Clients that sent bodies byte by byte brought a process to 500 MB.
#[test]
fn each_chunk_is_released_before_the_next_is_read() {
    let body = read(ByteByByte::new(MAX_BYTES, false)).expect("the body is not too long");
    assert_eq!(body.len(), MAX_BYTES);
}

#[test]
fn a_body_that_is_too_long_or_breaks_off_is_an_error() {
    assert!(matches!(read(ByteByByte::new(MAX_BYTES + 1, false)), Err(BodyError::TooLong { .. })));
    assert!(matches!(read(ByteByByte::new(100, true)), Err(BodyError::Read("connection reset"))));
}

#[test]
fn the_capacity_of_a_buffer_does_not_exceed_the_limit() {
    let mut buffer = Vec::new();
    for chunk in [0, 700, 1500, 30_000, 33_000, 336] {
        reserve(&mut buffer, chunk, MAX_BYTES);
        buffer.resize(buffer.len() + chunk, 0);
        assert!(buffer.capacity() <= MAX_BYTES, "{} bytes are allocated", buffer.capacity());
    }
    assert_eq!(buffer.len(), MAX_BYTES);
}

#[test]
fn a_body_in_one_chunk_is_read_unchanged() {
    let read = block_on(read_to_end(Full::new(Bytes::from_static(b"body")), MAX_BYTES));
    assert_eq!(read.expect("the body is not too long"), &b"body"[..]);
}
