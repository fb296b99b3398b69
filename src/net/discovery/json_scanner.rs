//! Finds where a JSON object ends, without decoding it.

/// What one more byte means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ScanResult {
    /// White space outside of any object.
    BetweenObjects,
    /// Part of an object that is not complete.
    InObject,
    /// The last byte of an object.
    ObjectEnd,
    /// Cannot stand here.
    Invalid,
}

/// Scans a stream of objects byte by byte.
pub(super) trait ByteScanner {
    /// Takes in the next byte. After [`ScanResult::Invalid`] the scanner is of no further use.
    fn scan(&mut self, byte: u8) -> ScanResult;

    /// Whether an object has begun and is not complete.
    fn in_object(&self) -> bool;
}

/// Open brackets that an object may hold; one bit of [`JsonScanner::brackets`] each.
const MAX_DEPTH: u32 = u128::BITS;

/// Where in an object the scan stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ScanState {
    /// Before a value or a key.
    #[default]
    BeforeValue,
    /// After a value or a key.
    AfterValue,
    /// In a number, `true`, `false` or `null`.
    Literal,
    /// In a string.
    String,
    /// In a string, after a backslash.
    Escape,
}

/// Matches brackets and strings. A byte that cannot be part of an object is found as soon as it comes;
/// whether the literals and separators make sense together is left to the decoder.
#[derive(Debug, Default)]
pub(super) struct JsonScanner {
    state: ScanState,
    depth: u32,
    /// One bit for each open bracket, the innermost lowest: whether it is a brace.
    brackets: u128,
}

impl ByteScanner for JsonScanner {
    fn scan(&mut self, byte: u8) -> ScanResult {
        if !self.step(byte) {
            return ScanResult::Invalid;
        }
        if self.depth > 0 {
            return ScanResult::InObject;
        }
        if self.state == ScanState::AfterValue {
            self.state = ScanState::BeforeValue;
            return ScanResult::ObjectEnd;
        }
        ScanResult::BetweenObjects
    }

    fn in_object(&self) -> bool {
        self.depth > 0
    }
}

impl JsonScanner {
    /// Takes in one byte; false where it cannot stand.
    fn step(&mut self, byte: u8) -> bool {
        match self.state {
            ScanState::Escape => {
                self.state = ScanState::String;
                true
            }
            ScanState::String => self.step_in_string(byte),
            ScanState::BeforeValue | ScanState::AfterValue | ScanState::Literal => self.step_outside(byte),
        }
    }

    fn step_in_string(&mut self, byte: u8) -> bool {
        match byte {
            b'"' => self.state = ScanState::AfterValue,
            b'\\' => self.state = ScanState::Escape,
            _ => return byte >= b' ',
        }
        true
    }

    fn step_outside(&mut self, byte: u8) -> bool {
        let before_value = self.state == ScanState::BeforeValue;
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => {
                if self.state == ScanState::Literal {
                    self.state = ScanState::AfterValue;
                }
                true
            }
            b'{' | b'[' if before_value => self.open(byte == b'{'),
            b'"' if before_value => {
                self.state = ScanState::String;
                self.depth > 0
            }
            b',' | b':' if !before_value => {
                self.state = ScanState::BeforeValue;
                true
            }
            b'}' | b']' => self.close(byte == b'}'),
            _ => self.step_literal(byte),
        }
    }

    fn step_literal(&mut self, byte: u8) -> bool {
        let number = matches!(byte, b'0'..=b'9' | b'+' | b'-' | b'.' | b'E' | b'e');
        let word = matches!(byte, b't' | b'r' | b'u' | b'e' | b'f' | b'a' | b'l' | b's' | b'n');
        if self.state == ScanState::AfterValue || !(number || word) {
            return false;
        }
        self.state = ScanState::Literal;
        self.depth > 0
    }

    fn open(&mut self, brace: bool) -> bool {
        let fits = self.depth < MAX_DEPTH && (brace || self.depth > 0);
        self.brackets = self.brackets << 1 | u128::from(brace);
        self.depth += 1;
        fits
    }

    fn close(&mut self, brace: bool) -> bool {
        let matches = self.depth > 0 && (self.brackets & 1 == 1) == brace;
        self.brackets >>= 1;
        self.depth = self.depth.saturating_sub(1);
        self.state = ScanState::AfterValue;
        matches
    }
}
