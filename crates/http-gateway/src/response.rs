//! Encoding of responses to clients.

use bytes::Bytes;
use umbertray_http::server;
use umbertray_http::{EncodedMessage, Malformed};
use umbertray_http_api::{FinalResponse, RequestError, protocol};

/// The error response to bytes that are not a valid request.
pub(crate) fn malformed_request(error: &Malformed) -> RequestError {
    RequestError { status: error.status(), message: error.to_string() }
}

/// Encodes a final response. `is_last` announces that the connection closes after it.
pub(crate) fn encode(response: FinalResponse, is_last: bool) -> EncodedMessage {
    match response {
        FinalResponse::Succeeded { content_type, body } => {
            let field = content_type.as_ref().map(|content_type| ("Content-Type", &content_type[..]));
            server::encode_response(200, field.as_slice(), body, is_last)
        }
        FinalResponse::Rejected { retry_after } => {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            let field = (protocol::RETRY_AFTER, seconds.as_bytes());
            server::encode_response(503, &[field], Bytes::new(), is_last)
        }
        FinalResponse::Failed => server::encode_response(500, &[], Bytes::new(), is_last),
    }
}

/// Encodes an error response, after which the connection closes.
pub(crate) fn encode_error(error: &RequestError) -> EncodedMessage {
    let body = format!("{}\n", error.message);
    server::encode_response(error.status, &[("Content-Type", b"text/plain")], body.into(), true)
}

#[cfg(test)]
mod tests;
