//! The queue of output to a client.

use std::collections::VecDeque;
use std::io::IoSlice;

/// The parts to write, in order: replies and session tokens. The first may have been written partially.
#[derive(Debug, Default)]
pub struct OutputQueue {
    parts: VecDeque<Vec<u8>>,
    /// The number of bytes of all parts that have not been written.
    unwritten_bytes: usize,
    /// The number of bytes of the first part that have been written.
    first_part_written: usize,
}

impl OutputQueue {
    /// Appends a part.
    pub fn push(&mut self, bytes: Vec<u8>) {
        self.unwritten_bytes += bytes.len();
        self.parts.push_back(bytes);
    }

    /// Returns whether everything has been written.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of bytes that have not been written.
    pub fn unwritten_bytes(&self) -> usize {
        self.unwritten_bytes
    }

    /// Fills `slices` with the next bytes to write, one part per slice. Returns the number of slices filled.
    pub fn fill<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let mut skip = self.first_part_written;
        let mut count = 0;
        for (slice, part) in slices.iter_mut().zip(&self.parts) {
            *slice = IoSlice::new(&part[skip..]);
            skip = 0;
            count += 1;
        }
        count
    }

    /// Removes `len` bytes that have been written. Returns whether they complete a part.
    pub fn mark_written(&mut self, len: usize) -> bool {
        let parts_before = self.parts.len();
        self.first_part_written += len;
        self.unwritten_bytes -= len;
        while let Some(first) = self.parts.front().map(Vec::len).filter(|len| *len <= self.first_part_written)
        {
            self.first_part_written -= first;
            self.parts.pop_front();
        }
        self.parts.len() < parts_before
    }
}
