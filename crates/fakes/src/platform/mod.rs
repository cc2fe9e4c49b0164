//! The platform's other parties, scripted: a store, and discovery with its watch.

mod discovery;
mod store;

use umbertray_http::Limits;
use umbertray_http::server::response;

pub use self::discovery::Discovery;
pub use self::store::{Act, Seen, Store};

/// Largest head and body of a request, in bytes.
const LIMITS: Limits = Limits { head: 16 * 1024, body: 64 * 1024 };

/// A whole answer with this body.
pub fn ok(body: &str) -> Vec<u8> {
    response(200, &[("Content-Type", b"text/plain")], body.as_bytes(), false).to_vec()
}
