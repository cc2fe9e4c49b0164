//! Encoding of replies.

use std::time::Duration;

use super::{ACTION_BYTES, Address};

/// A reply under construction, with one method for each wire action in use.
#[derive(Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u8, instance: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.push(code);
        self.records.extend(instance.to_le_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        debug_assert!(self.records.len() <= end);
        self.records.resize(end, 0);
        self.count += 1;
    }

    fn text(&mut self, code: u8, instance: u16, text: &str) {
        let offset = (self.tail.len() as u32).to_le_bytes();
        let length = (text.len() as u32).to_le_bytes();
        self.tail.extend(text.as_bytes());
        self.record(code, instance, &[&offset, &length]);
    }

    /// Subscribes to the endpoint list.
    pub fn observe(&mut self, instance: u16) {
        self.record(1, instance, &[&[1]]);
    }

    /// Final response: the request is rejected; the client should wait for `come_back` before it retries.
    pub fn bounce(&mut self, instance: u16, tid: u64, come_back: Duration) {
        self.record(2, instance, &[&tid.to_le_bytes(), &seconds(come_back)]);
    }

    /// Sets a timer for an absolute clock time.
    pub fn after(&mut self, instance: u16, label: u64, at: Duration) {
        self.record(3, instance, &[&label.to_le_bytes(), &seconds(at)]);
    }

    /// Starts an attempt at a store, with a timeout.
    pub fn place(&mut self, instance: u16, tid: u64, address: Address, allow: Duration) {
        self.record(4, instance, &[&tid.to_le_bytes(), &address, &seconds(allow)]);
    }

    /// Starts a health check of a store.
    pub fn ping(&mut self, instance: u16, address: Address) {
        self.record(5, instance, &[&address]);
    }

    /// Requests the complete endpoint list.
    pub fn get_list(&mut self, instance: u16) {
        self.record(7, instance, &[]);
    }

    /// Writes a log line.
    pub fn emit(&mut self, instance: u16, text: &str) {
        self.text(8, instance, text);
    }

    /// Reports that the instance cannot run, with the reason.
    pub fn fatal(&mut self, instance: u16, text: &str) {
        self.text(9, instance, text);
    }

    /// Final response: the request failed.
    pub fn fail(&mut self, instance: u16, tid: u64) {
        self.record(10, instance, &[&tid.to_le_bytes()]);
    }

    /// Abandons an attempt: stops waiting for its response.
    pub fn undo_send(&mut self, instance: u16, tid: u64, n: u8) {
        self.record(11, instance, &[&tid.to_le_bytes(), &[n]]);
    }

    /// The complete frame, including its length field.
    pub fn frame(&self) -> Vec<u8> {
        let length = (4 + self.records.len() + self.tail.len()) as u32;
        [&length.to_le_bytes()[..], &self.count.to_le_bytes(), &self.records, &self.tail].concat()
    }
}

fn seconds(time: Duration) -> [u8; 8] {
    time.as_secs_f64().to_le_bytes()
}
