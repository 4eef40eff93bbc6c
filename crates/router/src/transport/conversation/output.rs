//! The queue of output to a client.

use std::collections::VecDeque;
use std::io::IoSlice;

/// The memory that a part takes besides its bytes.
const PART_OVERHEAD: usize = 64;

/// The parts to write, in order: replies and session tokens. The first may have been written partially.
#[derive(Debug, Default)]
pub struct OutputQueue {
    parts: VecDeque<Vec<u8>>,
    /// The number of bytes of all parts that have not been written.
    unwritten_bytes: usize,
    /// The number of bytes of the first part that have been written.
    first_part_written: usize,
    /// The number of bytes that all parts hold in memory.
    memory: usize,
}

/// Returns the number of bytes that a part holds in memory.
pub fn part_memory(part: &Vec<u8>) -> usize {
    part.capacity() + PART_OVERHEAD
}

impl OutputQueue {
    /// Appends a part.
    pub fn push(&mut self, bytes: Vec<u8>) {
        self.unwritten_bytes += bytes.len();
        self.memory += part_memory(&bytes);
        self.parts.push_back(bytes);
    }

    /// Returns whether everything has been written.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of bytes that have not been written, and the overhead of their parts.
    pub fn unwritten_size(&self) -> usize {
        self.unwritten_bytes + self.parts.len() * PART_OVERHEAD
    }

    /// Returns the number of bytes that all parts hold in memory.
    pub fn memory(&self) -> usize {
        self.memory
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
            if let Some(written) = self.parts.pop_front() {
                self.memory -= part_memory(&written);
            }
        }
        self.parts.len() < parts_before
    }
}
