//! Golden examples of the final responses and error responses that clients receive.

use std::time::Duration;

use umbertray_http::{Limits, server::RequestReader};

use super::*;

const RECORDED: &str = include_str!("golden/responses.txt");

fn line(transcript: &mut String, name: &str, bytes: &[u8]) {
    transcript.push_str(&format!("{name}: {}\n", bytes.escape_ascii()));
}

#[test]
fn responses_match_recorded_bytes() {
    let mut transcript = String::new();
    let responses = [
        ("succeeded", FinalResponse::Succeeded { content_type: None, body: Bytes::from_static(b"body") }),
        (
            "succeeded, typed",
            FinalResponse::Succeeded {
                content_type: Some(Bytes::from_static(b"own/kind")),
                body: Bytes::new(),
            },
        ),
        ("rejected", FinalResponse::Rejected { retry_after: Duration::from_millis(250) }),
        ("failed", FinalResponse::Failed),
    ];
    for (name, response) in &responses {
        for close in [false, true] {
            line(
                &mut transcript,
                &format!("{name}, close {close}"),
                &encode(response.clone(), close).to_bytes(),
            );
        }
    }
    for status in [400, 404, 405, 408, 409] {
        let error = RequestError { status, message: "the reason".into() };
        line(&mut transcript, "refused", &encode_error(&error).to_bytes());
    }
    let long_target = format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(400));
    let malformed = [
        "noise\r\n\r\n",
        "GET / HTTP/2.0\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n",
        "PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: other\r\n\r\n",
        "PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        long_target.as_str(),
    ];
    for text in malformed {
        let mut requests = RequestReader::new(Limits { head: 256, body: 1024 });
        requests.bytes.extend_from_slice(text.as_bytes());
        let error = requests.next_event().expect_err(text);
        line(&mut transcript, "malformed", &encode_error(&malformed_request(&error)).to_bytes());
    }
    for status in [200, 503] {
        line(&mut transcript, "health", &server::response(status, &[], b"", false));
    }
    line(&mut transcript, "continue", server::CONTINUE);
    assert!(transcript == RECORDED, "differs from src/response/golden/responses.txt:\n{transcript}");
}
