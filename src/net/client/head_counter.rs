//! Counts the request heads that have arrived on a connection and have not been answered yet.

/// Counts the ends of request heads (`CR LF CR LF`) among the bytes of a connection.
///
/// A body may contain what looks like the end of a head. It is then counted as a request that is still
/// pending, until the connection is idle again; the connection is merely kept open a little longer for it.
#[derive(Clone, Copy, Default)]
pub struct RequestHeadCounter {
    /// Complete heads of requests that the handler has not received yet.
    pending: u32,
    /// How many bytes of the four that end a head have arrived.
    matched_bytes: u8,
}

impl RequestHeadCounter {
    /// The counter after these bytes.
    pub fn after(mut self, bytes: &[u8]) -> Self {
        for byte in bytes {
            self.matched_bytes = match (self.matched_bytes, byte) {
                (2, b'\r') => 3,
                (_, b'\r') => 1,
                (1, b'\n') => 2,
                (3, b'\n') => {
                    self.pending += 1;
                    0
                }
                _ => 0,
            };
        }
        self
    }

    /// The counter after the handler has received one request.
    pub fn after_request(self) -> Self {
        RequestHeadCounter { pending: self.pending.saturating_sub(1), ..self }
    }

    /// Whether a complete head waits behind the request that was received last.
    pub fn has_pending(self) -> bool {
        self.pending > 0
    }
}
