//! Helpers for queues of buffers that are written with vectored writes.

use std::collections::VecDeque;
use std::io;

use bytes::Bytes;

/// Maximum number of buffers passed to one system call.
const MAX_SLICES: usize = 64;

/// Returns the front of a queue, to be written in one call.
pub(crate) fn slices(queue: &VecDeque<Bytes>) -> Vec<io::IoSlice<'_>> {
    queue.iter().take(MAX_SLICES).map(|bytes| io::IoSlice::new(bytes)).collect()
}

/// Removes the written bytes from the front of a queue, and empty buffers that follow them.
pub(crate) fn advance(queue: &mut VecDeque<Bytes>, mut written: usize) {
    while let Some(front) = queue.front_mut() {
        if front.len() > written {
            _ = front.split_to(written);
            return;
        }
        written -= front.len();
        queue.pop_front();
    }
}
