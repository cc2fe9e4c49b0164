//! Encoding of responses to clients.

use bytes::Bytes;
use umbertray_http::Malformed;
use umbertray_http::server;
use umbertray_http_api::{FinalResponse, RequestError, protocol};

/// The error response to bytes that are not a valid request.
pub(crate) fn malformed_request(error: &Malformed) -> RequestError {
    RequestError { status: error.status(), message: error.to_string() }
}

/// Encodes a final response. `is_last` announces that the connection closes after it.
pub(crate) fn encode(response: &FinalResponse, is_last: bool) -> Bytes {
    match response {
        FinalResponse::Succeeded { content_type, body } => {
            let field = content_type.as_ref().map(|content_type| ("Content-Type", &content_type[..]));
            server::response(200, field.as_slice(), body, is_last)
        }
        FinalResponse::Rejected { retry_after } => {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            server::response(503, &[(protocol::RETRY_AFTER, seconds.as_bytes())], b"", is_last)
        }
        FinalResponse::Failed => server::response(500, &[], b"", is_last),
    }
}

/// Encodes an error response, after which the connection closes.
pub(crate) fn encode_error(error: &RequestError) -> Bytes {
    let body = format!("{}\n", error.message);
    server::response(error.status, &[("Content-Type", b"text/plain")], body.as_bytes(), true)
}

#[cfg(test)]
mod tests;
