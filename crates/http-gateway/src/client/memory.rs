//! The memory that a connection holds for its requests and responses.

use umbertray_http::server::Request;

use super::ClientConnection;
use crate::event_loop::MemoryKind;

impl ClientConnection {
    /// Reserves memory for the next read. If there is none, a partial request is discarded, possibly this
    /// one.
    pub(super) fn reserve_input(&self) {
        while !self.input.borrow_mut().try_reserve() {
            self.event_loop.log_memory_shortage(MemoryKind::Requests);
            if !self.event_loop.clients.evict_partial_request(self.id) {
                self.input.borrow_mut().evict();
            }
        }
    }

    /// Ties the memory of a complete request's body to the body.
    pub(super) fn account_body(&self, request: &mut Request) {
        let mut memory = self.event_loop.request_memory.reservation();
        memory.resize(request.body.len());
        request.body = memory.attach_to(std::mem::take(&mut request.body));
    }

    /// Completes once this connection has to give up the response that it writes.
    pub(super) fn must_stop_writing(&self) -> impl Future<Output = ()> + use<> {
        let event_loop = self.event_loop.clone();
        let signals = self.signals.clone();
        let id = self.id;
        async move {
            while !event_loop.clients.must_stop_writing(id) {
                signals.memory_demanded.notified().await;
            }
        }
    }
}
