//! The task that serves one client connection until it is closed.

use super::connection::Phase;
use super::connection_table::RegisteredConnection;
use super::disconnect::disconnected_while_processing;
use super::instrumented_stream::InstrumentedStream;
use super::request_handler::RequestHandler;
use crate::net::event_loop::EventLoop;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

/// Maximum size of a connection's read buffer, bytes. If the head of a request does not fit, the HTTP
/// parser answers the request with an error.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Serves a connection until it is closed or aborted, or its client disconnects.
///
/// On return the connection is dropped, together with the request that it was processing, if any. Dropping an
/// unanswered request reports the client's disconnect to the event loop, which makes no further attempts for
/// the request and cancels those in flight if the settings allow it.
pub async fn serve_connection(
    registered: RegisteredConnection,
    handler: Rc<RequestHandler>,
    event_loop: Rc<EventLoop>,
) {
    let connection = registered.connection().clone();
    // A response is usually one small write; Nagle's algorithm would delay the write until the client
    // acknowledges earlier data.
    let _ = connection.stream().set_nodelay(true);
    let service = service_fn(|request| {
        let (handler, event_loop, connection) = (handler.clone(), event_loop.clone(), connection.clone());
        async move {
            let response = handler.handle(request, &connection).await;
            connection.set_phase(Phase::Writing, event_loop.now());
            Ok::<_, Infallible>(response)
        }
    });
    let stream = InstrumentedStream::new(connection.clone(), event_loop.clone());
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let mut http_connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut disconnected = pin!(disconnected_while_processing(&connection));
    loop {
        tokio::select! {
            biased;
            _ = http_connection.as_mut() => return,
            () = disconnected.as_mut() => return,
            () = connection.close_signalled() => {
                if connection.is_aborted() {
                    return;
                }
                // Checked again, because a request may have arrived since the close was signalled.
                if connection.may_close() {
                    http_connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
