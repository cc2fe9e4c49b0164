//! What clients' connections are answered, as bytes.

use bytes::Bytes;
use umbertray_http::Malformed;
use umbertray_http::server;
use umbertray_http_api::{Refused, Reply, words};

pub fn refused(error: &Malformed) -> Refused {
    Refused { status: error.status(), what: error.to_string() }
}

pub fn rendered(reply: &Reply, close: bool) -> Bytes {
    match reply {
        Reply::Acked { kind, body } => {
            let kind = kind.as_ref().map(|kind| ("Content-Type", &kind[..]));
            server::answer(200, kind.as_slice(), body, close)
        }
        Reply::Throttled { retry_after } => {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            server::answer(503, &[(words::RETRY_AFTER, seconds.as_bytes())], b"", close)
        }
        Reply::Aborted => server::answer(500, &[], b"", close),
    }
}

pub fn refusal(Refused { status, what }: &Refused) -> Bytes {
    server::answer(*status, &[("Content-Type", b"text/plain")], format!("{what}\n").as_bytes(), true)
}

#[cfg(test)]
mod tests;
