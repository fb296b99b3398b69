//! Finds where a JSON object ends, without decoding it.

/// The result of scanning one byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ScanResult {
    /// The byte is white space outside of any object.
    BetweenObjects,
    /// The byte is part of an object that is not complete.
    InObject,
    /// The byte is the last one of an object.
    ObjectEnd,
    /// The byte is not valid at this position.
    Invalid,
}

/// Scans a stream of objects byte by byte.
pub(super) trait ByteScanner {
    /// Scans the next byte. After [`ScanResult::Invalid`] the scanner must not be used again.
    fn scan(&mut self, byte: u8) -> ScanResult;

    /// Returns whether an object has begun and is not complete.
    fn in_object(&self) -> bool;
}

/// Maximum number of brackets open at the same time. Each takes one bit of [`JsonScanner::brackets`].
const MAX_DEPTH: u32 = u128::BITS;

/// The position of the scan within the JSON syntax.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ScanState {
    /// Before a value or a key.
    #[default]
    BeforeValue,
    /// After a value or a key.
    AfterValue,
    /// Within a number, `true`, `false` or `null`.
    Literal,
    /// Within a string.
    String,
    /// Within a string, directly after a backslash.
    Escape,
}

/// Finds the end of an object by its brackets and strings. A byte that is clearly not valid at its position
/// is reported when it is scanned. The decoder checks the rest of the syntax, such as the spelling of
/// literals and the choice between `,` and `:`.
#[derive(Debug, Default)]
pub(super) struct JsonScanner {
    state: ScanState,
    depth: u32,
    /// One bit for each open bracket, which is set if the bracket is a brace. The lowest bit is the innermost
    /// bracket.
    brackets: u128,
}

impl ByteScanner for JsonScanner {
    fn scan(&mut self, byte: u8) -> ScanResult {
        if !self.scan_byte(byte) {
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
    /// Scans one byte. Returns false if the byte is not valid at this position.
    fn scan_byte(&mut self, byte: u8) -> bool {
        match self.state {
            ScanState::Escape => {
                self.state = ScanState::String;
                true
            }
            ScanState::String => self.scan_in_string(byte),
            ScanState::BeforeValue | ScanState::AfterValue | ScanState::Literal => {
                self.scan_outside_string(byte)
            }
        }
    }

    fn scan_in_string(&mut self, byte: u8) -> bool {
        match byte {
            b'"' => self.state = ScanState::AfterValue,
            b'\\' => self.state = ScanState::Escape,
            _ => return byte >= b' ',
        }
        true
    }

    fn scan_outside_string(&mut self, byte: u8) -> bool {
        let before_value = self.state == ScanState::BeforeValue;
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => {
                if self.state == ScanState::Literal {
                    self.state = ScanState::AfterValue;
                }
                true
            }
            b'{' | b'[' if before_value => self.open_bracket(byte == b'{'),
            b'"' if before_value => {
                self.state = ScanState::String;
                self.depth > 0
            }
            b',' | b':' if !before_value => {
                self.state = ScanState::BeforeValue;
                true
            }
            b'}' | b']' => self.close_bracket(byte == b'}'),
            _ => self.scan_literal(byte),
        }
    }

    fn scan_literal(&mut self, byte: u8) -> bool {
        let is_number_byte = matches!(byte, b'0'..=b'9' | b'+' | b'-' | b'.' | b'E' | b'e');
        let is_keyword_byte = matches!(byte, b't' | b'r' | b'u' | b'e' | b'f' | b'a' | b'l' | b's' | b'n');
        if self.state == ScanState::AfterValue || !(is_number_byte || is_keyword_byte) {
            return false;
        }
        self.state = ScanState::Literal;
        self.depth > 0
    }

    fn open_bracket(&mut self, is_brace: bool) -> bool {
        let is_valid = self.depth < MAX_DEPTH && (is_brace || self.depth > 0);
        self.brackets = self.brackets << 1 | u128::from(is_brace);
        self.depth += 1;
        is_valid
    }

    fn close_bracket(&mut self, is_brace: bool) -> bool {
        let is_match = self.depth > 0 && (self.brackets & 1 == 1) == is_brace;
        self.brackets >>= 1;
        self.depth = self.depth.saturating_sub(1);
        self.state = ScanState::AfterValue;
        is_match
    }
}
