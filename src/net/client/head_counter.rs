//! Counts the request heads that have arrived on a connection and that the handler has not received yet.

/// Counts the ends of request heads (`CR LF CR LF`) among the bytes received on a connection.
///
/// If a body contains these four bytes, they are counted as a pending head. The counter is reset when the
/// first bytes arrive on an idle connection, so the only effect is that the connection may stay open a little
/// longer.
#[derive(Clone, Copy, Default)]
pub struct RequestHeadCounter {
    /// Number of complete heads whose requests the handler has not received yet.
    pending_heads: u32,
    /// How many of the four bytes that end a head have been received in a row.
    matched_bytes: u8,
}

impl RequestHeadCounter {
    /// Returns the counter after `bytes` have been received.
    pub fn after_bytes(mut self, bytes: &[u8]) -> Self {
        for byte in bytes {
            self.matched_bytes = match (self.matched_bytes, byte) {
                (2, b'\r') => 3,
                (_, b'\r') => 1,
                (1, b'\n') => 2,
                (3, b'\n') => {
                    self.pending_heads += 1;
                    0
                }
                _ => 0,
            };
        }
        self
    }

    /// Returns the counter after the handler has received one request.
    pub fn after_request(self) -> Self {
        RequestHeadCounter { pending_heads: self.pending_heads.saturating_sub(1), ..self }
    }

    /// Whether a complete head has arrived after the request that the handler received last.
    pub fn has_pending_head(self) -> bool {
        self.pending_heads > 0
    }
}
