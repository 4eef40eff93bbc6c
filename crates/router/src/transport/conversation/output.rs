//! Bytes that wait to be written to a client.

use std::collections::VecDeque;
use std::io::IoSlice;

/// Messages to be written, in order; the first may have been written in part.
#[derive(Debug, Default)]
pub struct OutputQueue {
    parts: VecDeque<Vec<u8>>,
    /// Bytes of all parts that are not written yet.
    unwritten: usize,
    /// Bytes of the first part that have been written.
    written_of_first: usize,
}

impl OutputQueue {
    /// Appends a part.
    pub fn push(&mut self, bytes: Vec<u8>) {
        self.unwritten += bytes.len();
        self.parts.push_back(bytes);
    }

    /// Whether everything is written.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Bytes that are not written yet.
    pub fn unwritten(&self) -> usize {
        self.unwritten
    }

    /// Fills `slices` with the next bytes to write, a part each; how many were filled.
    pub fn fill<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let mut skip = self.written_of_first;
        let mut count = 0;
        for (slice, part) in slices.iter_mut().zip(&self.parts) {
            *slice = IoSlice::new(&part[skip..]);
            skip = 0;
            count += 1;
        }
        count
    }

    /// Drops `len` bytes that have been written; whether a part is complete with them.
    pub fn mark_written(&mut self, len: usize) -> bool {
        let parts_before = self.parts.len();
        self.written_of_first += len;
        self.unwritten -= len;
        while let Some(first) = self.parts.front().map(Vec::len).filter(|len| *len <= self.written_of_first) {
            self.written_of_first -= first;
            self.parts.pop_front();
        }
        self.parts.len() < parts_before
    }
}
