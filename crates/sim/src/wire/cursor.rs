//! Reads the big-endian fields of a record in order.

use super::RecordError;

/// A position in a record.
pub(super) struct Cursor<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Cursor<'a> {
    /// Creates a cursor at the first byte of a record.
    pub(super) fn new(bytes: &'a [u8]) -> Cursor<'a> {
        Cursor { bytes, position: 0 }
    }

    fn take<const N: usize>(&mut self) -> Result<[u8; N], RecordError> {
        let rest = self.bytes.get(self.position..).unwrap_or_default();
        let field = rest.first_chunk::<N>().ok_or(RecordError::EndsEarly)?;
        self.position += N;
        Ok(*field)
    }

    pub(super) fn u8(&mut self) -> Result<u8, RecordError> {
        Ok(u8::from_be_bytes(self.take()?))
    }

    pub(super) fn u16(&mut self) -> Result<u16, RecordError> {
        Ok(u16::from_be_bytes(self.take()?))
    }

    pub(super) fn u32(&mut self) -> Result<u32, RecordError> {
        Ok(u32::from_be_bytes(self.take()?))
    }

    pub(super) fn u64(&mut self) -> Result<u64, RecordError> {
        Ok(u64::from_be_bytes(self.take()?))
    }

    /// Reads a single-precision number.
    pub(super) fn f32(&mut self) -> Result<f64, RecordError> {
        Ok(f64::from(f32::from_be_bytes(self.take()?)))
    }

    /// Reads a `u32` that is a size, a count or an offset.
    pub(super) fn size(&mut self) -> Result<usize, RecordError> {
        Ok(self.u32()? as usize)
    }
}
