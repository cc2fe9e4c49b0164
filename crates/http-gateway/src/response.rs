//! What clients' connections are answered, as bytes.

use bytes::Bytes;
use umbertray_http::Malformed;
use umbertray_http::server;
use umbertray_http_api::{FinalResponse, RequestError, fields};

pub fn refused(error: &Malformed) -> RequestError {
    RequestError { status: error.status(), message: error.to_string() }
}

pub fn rendered(reply: &FinalResponse, close: bool) -> Bytes {
    match reply {
        FinalResponse::Succeeded { content_type: kind, body } => {
            let kind = kind.as_ref().map(|kind| ("Content-Type", &kind[..]));
            server::response(200, kind.as_slice(), body, close)
        }
        FinalResponse::Rejected { retry_after } => {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            server::response(503, &[(fields::RETRY_AFTER, seconds.as_bytes())], b"", close)
        }
        FinalResponse::Failed => server::response(500, &[], b"", close),
    }
}

pub fn refusal(RequestError { status, message: what }: &RequestError) -> Bytes {
    server::response(*status, &[("Content-Type", b"text/plain")], format!("{what}\n").as_bytes(), true)
}

#[cfg(test)]
mod tests;
