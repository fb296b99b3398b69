//! Splits a byte stream into JSON objects.

use super::error::DiscoveryError;
use super::json_scanner::{ByteScanner, JsonScanner, ScanResult};

/// Share of the memory limit that the bytes of one object may use. While a complete list is decoded, memory
/// contains two buffers (`MAX_OBJECTS_IN_TRANSIT` in [`super::requests`]) of up to twice the size of the list's
/// bytes, the decoded list and the previous list: together at most six times this share. Connections may use a
/// share of 0.6 of the memory limit.
const OBJECT_MEMORY_SHARE: f64 = 1.0 / 16.0;
/// Lower limit of [`max_object_bytes`], bytes. It applies to memory limits below about 17 MB, which are too
/// small for the gateway to run.
const MIN_OBJECT_BYTES: f64 = (1 << 20) as f64;
/// Capacity, bytes, above which the buffer is freed when it is empty.
const MAX_KEPT_BUFFER_BYTES: usize = 1 << 16;

/// Returns the maximum size of one object, bytes, for a process with a memory limit of `memory_mb` MB.
pub fn max_object_bytes(memory_mb: f64) -> usize {
    (memory_mb * 1e6 * OBJECT_MEMORY_SHARE).max(MIN_OBJECT_BYTES) as usize
}

/// Assembles objects from the chunks of a stream and scans each byte once. A chunk may end anywhere in an
/// object, and an object may span several lines. Between two objects only white space is valid, such as the
/// empty lines of an idle watch.
pub(super) struct JsonFramer<S = JsonScanner> {
    buffer: Vec<u8>,
    /// Index in the buffer at which the incomplete object begins.
    object_start: usize,
    /// Number of bytes of the buffer that have been scanned.
    scanned_bytes: usize,
    /// Whether the scanned bytes end with an object that [`JsonFramer::next_object`] has not returned yet.
    object_complete: bool,
    scanner: S,
    max_object_bytes: usize,
}

impl JsonFramer {
    /// Creates a framer for objects of up to `max_object_bytes`.
    pub fn new(max_object_bytes: usize) -> Self {
        JsonFramer::with_scanner(JsonScanner::default(), max_object_bytes)
    }
}

impl<S: ByteScanner> JsonFramer<S> {
    fn with_scanner(scanner: S, max_object_bytes: usize) -> Self {
        JsonFramer {
            buffer: Vec::new(),
            object_start: 0,
            scanned_bytes: 0,
            object_complete: false,
            scanner,
            max_object_bytes,
        }
    }

    /// Appends a chunk of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        // All complete objects are removed together, here, so that each byte is moved at most once even if
        // one chunk contains many objects.
        if self.object_start > 0 {
            self.buffer.drain(..self.object_start);
            self.scanned_bytes -= self.object_start;
            self.object_start = 0;
            if self.buffer.is_empty() && self.buffer.capacity() > MAX_KEPT_BUFFER_BYTES {
                self.buffer = Vec::new();
            }
        }
        self.buffer.extend_from_slice(chunk);
    }

    /// Returns whether the next object is complete.
    ///
    /// # Errors
    /// Returns an error if the bytes cannot be part of an object, or if the incomplete object is already
    /// larger than the limit. The size is checked only while the object is incomplete, so an object that
    /// becomes larger than the limit with its last chunk is still accepted.
    pub fn has_object(&mut self) -> Result<bool, DiscoveryError> {
        if !self.object_complete {
            self.object_complete = self.scan_to_object_end()?;
        }
        if !self.object_complete && self.scanned_bytes - self.object_start > self.max_object_bytes {
            return Err(DiscoveryError::ObjectTooLarge { max_bytes: self.max_object_bytes });
        }
        Ok(self.object_complete)
    }

    /// Returns the bytes of the next object, or `None` if that object is not complete yet.
    ///
    /// # Errors
    /// See [`JsonFramer::has_object`].
    pub fn next_object(&mut self) -> Result<Option<&[u8]>, DiscoveryError> {
        if !self.has_object()? {
            return Ok(None);
        }
        let object = &self.buffer[self.object_start..self.scanned_bytes];
        self.object_start = self.scanned_bytes;
        self.object_complete = false;
        Ok(Some(object))
    }

    /// Returns whether an object has begun and is not complete.
    pub fn in_object(&self) -> bool {
        self.scanner.in_object()
    }

    fn scan_to_object_end(&mut self) -> Result<bool, DiscoveryError> {
        while let Some(&byte) = self.buffer.get(self.scanned_bytes) {
            let offset = self.scanned_bytes - self.object_start;
            self.scanned_bytes += 1;
            match self.scanner.scan(byte) {
                ScanResult::BetweenObjects => self.object_start = self.scanned_bytes,
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
