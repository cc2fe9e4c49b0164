//! Queue of bytes to send to a client.

use std::collections::VecDeque;
use std::io;

use bytes::Bytes;
use umbertray_routing::BufferGuard;
use umbertray_socket::Socket;

use crate::buffer_queue::{advance, slices};

/// Bytes to write, in order, and the guards to keep until they are written.
#[derive(Default)]
pub(super) struct WriteQueue {
    buffers: VecDeque<Bytes>,
    queued_bytes: usize,
    holds: VecDeque<Hold>,
}

/// A guard that is kept until `remaining_bytes` more bytes are written.
struct Hold {
    remaining_bytes: usize,
    _guard: BufferGuard,
}

impl WriteQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.buffers.is_empty()
    }

    pub(super) fn push(&mut self, bytes: Bytes) {
        if !bytes.is_empty() {
            self.queued_bytes += bytes.len();
            self.buffers.push_back(bytes);
        }
    }

    /// Keeps a guard until all bytes queued so far are written.
    pub(super) fn hold_until_written(&mut self, guard: BufferGuard) {
        self.holds.push_back(Hold { remaining_bytes: self.queued_bytes, _guard: guard });
    }

    /// Writes as much as the socket accepts without blocking.
    ///
    /// # Errors
    /// The socket failed.
    pub(super) fn write(&mut self, socket: &Socket) -> io::Result<()> {
        while !self.buffers.is_empty() {
            let written = match socket.try_write_vectored(&slices(&self.buffers)) {
                Ok(written) => written,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            };
            advance(&mut self.buffers, written);
            self.queued_bytes -= written;
            self.release_holds(written);
        }
        Ok(())
    }

    fn release_holds(&mut self, written: usize) {
        for hold in &mut self.holds {
            hold.remaining_bytes = hold.remaining_bytes.saturating_sub(written);
        }
        while self.holds.front().is_some_and(|hold| hold.remaining_bytes == 0) {
            self.holds.pop_front();
        }
    }
}
