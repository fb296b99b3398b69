//! Reads the little-endian fields of a frame with bounds checks, and writes the fields of action records.

use super::error::FrameError;
use super::layout::{record, ACTION_BYTES};

/// Reads the fields of one section of a frame: the header, an event record, the tail or an endpoint in the
/// tail. `section` is the name of the section in errors.
#[derive(Clone, Copy)]
pub(super) struct FieldReader<'a> {
    pub bytes: &'a [u8],
    pub section: &'static str,
}

impl<'a> FieldReader<'a> {
    fn read_array<const N: usize>(&self, offset: usize) -> Result<[u8; N], FrameError> {
        let end = offset.checked_add(N);
        end.and_then(|end| self.bytes.get(offset..end))
            .and_then(|field| field.try_into().ok())
            .ok_or(FrameError::FieldOutOfBounds { section: self.section, offset, size: N })
    }

    pub fn u8(&self, offset: usize) -> Result<u8, FrameError> {
        self.read_array(offset).map(u8::from_le_bytes)
    }

    pub fn u16(&self, offset: usize) -> Result<u16, FrameError> {
        self.read_array(offset).map(u16::from_le_bytes)
    }

    pub fn u32(&self, offset: usize) -> Result<u32, FrameError> {
        self.read_array(offset).map(u32::from_le_bytes)
    }

    pub fn u64(&self, offset: usize) -> Result<u64, FrameError> {
        self.read_array(offset).map(u64::from_le_bytes)
    }

    /// Reads a 4-byte floating-point number, which must be finite.
    pub fn f32(&self, offset: usize) -> Result<f64, FrameError> {
        let value = self.read_array(offset).map(f32::from_le_bytes)?;
        self.require_finite(f64::from(value), offset)
    }

    /// Reads an 8-byte floating-point number, which must be finite.
    pub fn f64(&self, offset: usize) -> Result<f64, FrameError> {
        let value = self.read_array(offset).map(f64::from_le_bytes)?;
        self.require_finite(value, offset)
    }

    fn require_finite(&self, value: f64, offset: usize) -> Result<f64, FrameError> {
        if value.is_finite() {
            Ok(value)
        } else {
            Err(FrameError::NotFinite { section: self.section, offset })
        }
    }

    /// Returns the bytes of `count` items of `size` bytes each, the first of which is at `offset`.
    pub fn items(&self, offset: u32, count: u32, size: usize) -> Result<&'a [u8], FrameError> {
        let offset = offset as usize;
        let end = (count as usize).checked_mul(size).and_then(|bytes| bytes.checked_add(offset));
        end.and_then(|end| self.bytes.get(offset..end)).ok_or(FrameError::ItemsOutOfBounds {
            section: self.section,
            count,
            size,
            offset,
        })
    }
}

/// Builds an action record. Fields that are not set stay zero.
pub(super) struct ActionRecord([u8; ACTION_BYTES]);

impl ActionRecord {
    pub fn new(code: u16, instance: u32) -> Self {
        ActionRecord([0; ACTION_BYTES])
            .write_bytes(record::CODE, &code.to_le_bytes())
            .with_u32(record::INSTANCE, instance)
    }

    pub fn with_u8(self, offset: usize, value: u8) -> Self {
        self.write_bytes(offset, &[value])
    }

    pub fn with_u32(self, offset: usize, value: u32) -> Self {
        self.write_bytes(offset, &value.to_le_bytes())
    }

    pub fn with_u64(self, offset: usize, value: u64) -> Self {
        self.write_bytes(offset, &value.to_le_bytes())
    }

    pub fn with_f32(self, offset: usize, value: f32) -> Self {
        self.write_bytes(offset, &value.to_le_bytes())
    }

    pub fn with_f64(self, offset: usize, value: f64) -> Self {
        self.write_bytes(offset, &value.to_le_bytes())
    }

    fn write_bytes(mut self, offset: usize, bytes: &[u8]) -> Self {
        self.0[offset..offset + bytes.len()].copy_from_slice(bytes);
        self
    }

    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}
