//! Responses to clients, as bytes.

use bytes::Bytes;
use umbertray_http::Malformed;
use umbertray_http::server;
use umbertray_http_api::{FinalResponse, RequestError, fields};

/// The error response to bytes that are no request.
pub(crate) fn malformed_request(error: &Malformed) -> RequestError {
    RequestError { status: error.status(), message: error.to_string() }
}

/// Encodes a final response, the last on its connection or not.
pub(crate) fn encode(response: &FinalResponse, last: bool) -> Bytes {
    match response {
        FinalResponse::Succeeded { content_type, body } => {
            let field = content_type.as_ref().map(|content_type| ("Content-Type", &content_type[..]));
            server::response(200, field.as_slice(), body, last)
        }
        FinalResponse::Rejected { retry_after } => {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            server::response(503, &[(fields::RETRY_AFTER, seconds.as_bytes())], b"", last)
        }
        FinalResponse::Failed => server::response(500, &[], b"", last),
    }
}

/// Encodes an error response, which is the last on its connection.
pub(crate) fn encode_error(error: &RequestError) -> Bytes {
    let body = format!("{}\n", error.message);
    server::response(error.status, &[("Content-Type", b"text/plain")], body.as_bytes(), true)
}

#[cfg(test)]
mod tests;
