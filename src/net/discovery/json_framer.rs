//! Splits a byte stream into JSON objects.

use super::error::DiscoveryError;
use super::json_scanner::{ByteScanner, JsonScanner, ScanResult};

/// Share of the memory limit that one object's bytes may take. While a complete list is decoded, its bytes
/// stand in a buffer of up to twice their size, beside the decoded list and the list before it: at most four
/// times this share, where connections may hold 0.6.
const MEMORY_SHARE: f64 = 1.0 / 16.0;
/// Lower limit of [`max_object_bytes`], for memory limits too small to run with.
const MIN_OBJECT_BYTES: f64 = (1 << 20) as f64;
/// An empty buffer over this capacity, bytes, is freed.
const MAX_KEPT_BUFFER: usize = 1 << 16;

/// Bytes that one object may hold under a memory limit, MB.
pub fn max_object_bytes(memory_mb: f64) -> usize {
    (memory_mb * 1e6 * MEMORY_SHARE).max(MIN_OBJECT_BYTES) as usize
}

/// Puts objects together from pieces that end anywhere, and scans each byte once. An object may stand on one
/// line or several; between two objects there is only white space, such as the empty lines of an idle watch.
pub(super) struct JsonFramer<S = JsonScanner> {
    buffer: Vec<u8>,
    /// Where in the buffer the incomplete object begins.
    start: usize,
    /// Up to where the buffer has been scanned.
    scanned: usize,
    scanner: S,
    max_bytes: usize,
}

impl JsonFramer {
    /// A framer for objects of up to `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        JsonFramer::with_scanner(JsonScanner::default(), max_bytes)
    }
}

impl<S: ByteScanner> JsonFramer<S> {
    fn with_scanner(scanner: S, max_bytes: usize) -> Self {
        JsonFramer { buffer: Vec::new(), start: 0, scanned: 0, scanner, max_bytes }
    }

    /// Takes in a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        // Here and not after each object: a run of objects in one piece moves each byte once at most.
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.scanned -= self.start;
            self.start = 0;
            if self.buffer.is_empty() && self.buffer.capacity() > MAX_KEPT_BUFFER {
                self.buffer = Vec::new();
            }
        }
        self.buffer.extend_from_slice(piece);
    }

    /// The bytes of the next complete object; `None` while more of it has to come.
    ///
    /// # Errors
    /// When the bytes cannot be those of an object, or the object is over the limit.
    pub fn next_object(&mut self) -> Result<Option<&[u8]>, DiscoveryError> {
        if !self.find_end()? {
            if self.scanned - self.start > self.max_bytes {
                return Err(DiscoveryError::ObjectTooLarge { max_bytes: self.max_bytes });
            }
            return Ok(None);
        }
        let object = &self.buffer[self.start..self.scanned];
        self.start = self.scanned;
        Ok(Some(object))
    }

    /// Whether an object has begun and is not complete.
    pub fn in_object(&self) -> bool {
        self.scanner.in_object()
    }

    fn find_end(&mut self) -> Result<bool, DiscoveryError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            let offset = self.scanned - self.start;
            self.scanned += 1;
            match self.scanner.scan(byte) {
                ScanResult::BetweenObjects => self.start = self.scanned,
                ScanResult::InObject => {}
                ScanResult::ObjectEnd => return Ok(true),
                ScanResult::Invalid => return Err(DiscoveryError::InvalidByte { byte, offset }),
            }
        }
        Ok(false)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/json_framer.rs"]
mod tests;
