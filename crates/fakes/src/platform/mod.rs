//! Scripted counterparts of a gateway on the HTTP platform: a store, and the discovery service with its
//! watch.

mod discovery;
mod store;

use umbertray_http::Limits;
use umbertray_http::server::response;

pub use self::discovery::Discovery;
pub use self::store::{Store, StoreAction, StoreEvent};

/// Largest accepted head and body of a request, in bytes.
const LIMITS: Limits = Limits { head: 16 * 1024, body: 64 * 1024 };

/// A complete HTTP response with status 200 and a plain-text body.
pub fn ok(body: &str) -> Vec<u8> {
    response(200, &[("Content-Type", b"text/plain")], body.as_bytes(), false).to_vec()
}
