//! Parsing of messages that are split arbitrarily over reads, and of invalid bytes.

use bytes::BytesMut;
use quickcheck::quickcheck;
use umbertray_http::client::{self, Response, ResponseReader};
use umbertray_http::server::{self, Request, RequestEvent, RequestReader};
use umbertray_http::{Limits, Malformed};

const LIMITS: Limits = Limits { head: 1024, body: 512 };

const REQUESTS: &[u8] = b"PUT /a/b HTTP/1.1\r\nHost: x\r\nX-Own: 1\r\nContent-Length: 5\r\n\r\nhello\
    GET /c?d=e HTTP/1.1\r\nhost: x\r\n\r\n\
    \r\nPUT /f HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n\
    3;kind=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nTail: 1\r\n\r\n\
    GET /g HTTP/1.0\r\n\r\n";

const RESPONSES: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n\
    HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nabc\
    HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n\
    HTTP/1.1 204 None\r\nConnection: close\r\n\r\n";

/// Splits bytes at the given positions.
fn split(bytes: &[u8], positions: &[usize]) -> Vec<Vec<u8>> {
    let mut positions: Vec<usize> = positions.iter().map(|position| position % (bytes.len() + 1)).collect();
    positions.extend([0, bytes.len()]);
    positions.sort_unstable();
    positions.windows(2).map(|pair| bytes[pair[0]..pair[1]].to_vec()).collect()
}

fn read_requests(parts: &[Vec<u8>]) -> Result<Vec<Request>, Malformed> {
    let (mut reader, mut complete) = (RequestReader::new(LIMITS), Vec::new());
    for part in parts {
        reader.bytes.extend_from_slice(part);
        while let RequestEvent::Request(request) = reader.next_event()? {
            complete.push(request);
        }
    }
    Ok(complete)
}

fn read_responses(parts: &[Vec<u8>]) -> Result<Vec<Response>, Malformed> {
    let (mut reader, mut complete) = (ResponseReader::new(LIMITS), Vec::new());
    for part in parts {
        reader.bytes.extend_from_slice(part);
        while let Some(response) = reader.response()? {
            complete.push(response);
        }
    }
    Ok(complete)
}

quickcheck! {
    fn splits_do_not_change_requests(positions: Vec<usize>) -> bool {
        read_requests(&split(REQUESTS, &positions)) == read_requests(&[REQUESTS.to_vec()])
    }

    fn splits_do_not_change_responses(positions: Vec<usize>) -> bool {
        read_responses(&split(RESPONSES, &positions)) == read_responses(&[RESPONSES.to_vec()])
    }

    /// Arbitrary bytes are accepted or rejected, and never buffered beyond the limits.
    fn noise_is_rejected_or_buffered_within_limits(noise: Vec<u8>, copies: u8) -> bool {
        let noise = noise.repeat(usize::from(copies));
        let is_buffered = read_requests(std::slice::from_ref(&noise)).is_ok();
        read_responses(std::slice::from_ref(&noise)).ok();
        !is_buffered || noise.len() < LIMITS.head || noise.iter().all(|byte| b"\r\n".contains(byte))
    }
}

fn single_bytes(bytes: &[u8]) -> Vec<Vec<u8>> {
    bytes.iter().map(|byte| vec![*byte]).collect()
}

#[test]
fn requests_split_into_single_bytes_are_read_unchanged() {
    let complete = read_requests(&single_bytes(REQUESTS)).expect("well formed");
    let parsed: Vec<_> = complete.iter().map(|r| (&*r.method, &*r.target, &r.body[..], r.persists)).collect();
    let expected: [(&str, &str, &[u8], bool); 4] = [
        ("PUT", "/a/b", b"hello", true),
        ("GET", "/c?d=e", b"", true),
        ("PUT", "/f", b"abc0123456789", true),
        ("GET", "/g", b"", false),
    ];
    assert_eq!(parsed, expected);
    assert_eq!(complete[0].headers.single("x-own"), Ok(Some(&b"1"[..])));
}

#[test]
fn responses_split_into_single_bytes_are_read_unchanged() {
    let complete = read_responses(&single_bytes(RESPONSES)).expect("well formed");
    let parsed: Vec<_> = complete.iter().map(|a| (a.head.status, &a.body[..], a.head.persists)).collect();
    assert_eq!(parsed, [(200, &b"abc"[..], true), (503, &b"no"[..], true), (204, &b""[..], false)]);
}

fn request_error(head: &str) -> Malformed {
    read_requests(&[head.as_bytes().to_vec()]).expect_err(head)
}

fn error_with_fields(fields: &str) -> Malformed {
    request_error(&format!("PUT /a HTTP/1.1\r\nHost: x\r\n{fields}\r\n\r\n"))
}

#[test]
fn ambiguous_body_length_is_malformed() {
    for length in ["", "-1", "+5", "5, 5", "5 5", "0x5", "1e3", "99999999999999999999", " "] {
        assert_eq!(error_with_fields(&format!("Content-Length: {length}")), Malformed::Length, "{length:?}");
    }
    assert_eq!(error_with_fields("Content-Length: 5\r\nContent-Length: 5"), Malformed::Length);
    assert_eq!(
        error_with_fields("Content-Length: 5\r\nTransfer-Encoding: chunked"),
        Malformed::ConflictingFraming
    );
    assert_eq!(
        error_with_fields("Transfer-Encoding: chunked\r\ncontent-length: 5"),
        Malformed::ConflictingFraming
    );
    for coding in ["gzip, chunked", "identity", "chunked, chunked", "xchunked", ""] {
        assert_eq!(
            error_with_fields(&format!("Transfer-Encoding: {coding}")),
            Malformed::Coding,
            "{coding:?}"
        );
    }
    assert_eq!(
        error_with_fields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
        Malformed::Coding
    );
    assert_eq!(request_error("PUT /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"), Malformed::Coding);
}

#[test]
fn bytes_behind_malformed_head_are_not_read() {
    let mut reader = RequestReader::new(LIMITS);
    let hidden = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\
                  Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n\
                  GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
    reader.bytes.extend_from_slice(hidden.as_bytes());
    assert_eq!(reader.next_event(), Err(Malformed::ConflictingFraming));
}

#[test]
fn head_over_limit_or_malformed_is_rejected() {
    assert_eq!(
        request_error(&format!("GET /{} HTTP/1.1\r\nHost: x\r\n\r\n", "a".repeat(1024))),
        Malformed::HeadTooLong(1024)
    );
    assert_eq!(request_error(&format!("GET /{}", "a".repeat(1024))), Malformed::HeadTooLong(1024));
    assert_eq!(error_with_fields(&"A: 1\r\n".repeat(80)), Malformed::HeadTooLong(1024));
    assert_eq!(request_error("GET /a HTTP/2.0\r\nHost: x\r\n\r\n"), Malformed::Version);
    assert_eq!(request_error("GET /a HTTP/1.1\r\n\r\n"), Malformed::Host);
    assert_eq!(error_with_fields("Host: y"), Malformed::Host);
    assert!(matches!(error_with_fields("Bad Name: 1"), Malformed::Head(_)));
    assert!(matches!(error_with_fields("Folded: 1\r\n 2"), Malformed::Head(_)));
    assert!(matches!(request_error("\u{1}\u{2}\u{3}"), Malformed::Head(_)));
    assert_eq!(error_with_fields("Content-Length: 513"), Malformed::BodyTooLong(512), "from the head alone");
    assert_eq!(error_with_fields("Content-Length: 60000000"), Malformed::BodyTooLong(512));
}

#[test]
fn chunk_over_limit_or_malformed_is_rejected() {
    let chunked = |chunks: &str| {
        request_error(&format!("PUT /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}"))
    };
    assert_eq!(chunked("zz\r\n"), Malformed::Chunk);
    assert_eq!(chunked("3\r\nabcd\r\n"), Malformed::Chunk);
    assert_eq!(chunked("fffffffffffffffff\r\n"), Malformed::Chunk);
    assert_eq!(chunked(&format!("1;{}", "x".repeat(300))), Malformed::Chunk);
    assert_eq!(
        chunked(
            &"80\r\n"
                .to_string()
                .chars()
                .chain("a".repeat(128).chars())
                .chain("\r\n".chars())
                .collect::<String>()
                .repeat(5)
        ),
        Malformed::BodyTooLong(512)
    );
    assert_eq!(chunked(&format!("0\r\n{}", "T: 1\r\n".repeat(1000))), Malformed::Chunk);
}

fn malformed_response(response: &str) -> Malformed {
    read_responses(&[response.as_bytes().to_vec()]).expect_err(response)
}

#[test]
fn response_of_ambiguous_end_is_malformed() {
    assert_eq!(
        malformed_response("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"),
        Malformed::Length
    );
    assert_eq!(
        malformed_response("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"),
        Malformed::ConflictingFraming
    );
    assert_eq!(
        malformed_response(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}",
            "a".repeat(513)
        )),
        Malformed::BodyTooLong(512)
    );
    assert_eq!(malformed_response(&"HTTP/1.1 100 Continue\r\n\r\n".repeat(9)), Malformed::Interim);
    assert_eq!(malformed_response("HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"), Malformed::Interim);
    assert_eq!(
        malformed_response(&format!("HTTP/1.1 200 {}", "x".repeat(1024))),
        Malformed::HeadTooLong(1024)
    );
    assert!(matches!(malformed_response("noise noise noise\r\n"), Malformed::Head(_) | Malformed::Version));
}

/// Regression test: complete responses without a length were rejected, so their operations were lost. Such a
/// response is complete once its connection is closed regularly, and not before.
#[test]
fn response_without_length_ends_at_close_only() {
    for (text, complete) in [
        ("HTTP/1.1 200 OK\r\n\r\nuntil the end", Some("until the end")),
        ("HTTP/1.0 200 OK\r\n\r\n", Some("")),
        ("HTTP/1.1 200 OK\r\n", None),
        ("", None),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", None),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", None),
    ] {
        let mut reader = ResponseReader::new(LIMITS);
        for byte in text.bytes() {
            reader.bytes.extend_from_slice(&[byte]);
            assert_eq!(reader.response(), Ok(None), "{text}");
        }
        let response = reader.on_close().expect("well formed");
        assert_eq!(
            response.as_ref().map(|response| &response.body[..]),
            complete.map(str::as_bytes),
            "{text}"
        );
    }
    let endless = format!("HTTP/1.1 200 OK\r\n\r\n{}", "a".repeat(513));
    assert_eq!(malformed_response(&endless), Malformed::BodyTooLong(512));
}

#[test]
fn bytes_behind_response_stay_in_buffer() {
    let mut reader = ResponseReader::new(LIMITS);
    reader.bytes.extend_from_slice(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab");
    assert!(reader.response().expect("well formed").is_some());
    assert_eq!(reader.bytes, BytesMut::from(&b"b"[..]));
}

#[test]
fn expecting_client_gets_continue_once() {
    let mut reader = RequestReader::new(LIMITS);
    reader.bytes.extend_from_slice(
        b"PUT /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n",
    );
    assert_eq!(reader.next_event(), Ok(RequestEvent::Continue));
    assert_eq!(reader.next_event(), Ok(RequestEvent::More));
    reader.bytes.extend_from_slice(b"a");
    assert!(matches!(reader.next_event(), Ok(RequestEvent::Request(request)) if &request.body[..] == b"a"));
}

#[test]
fn encoded_message_is_read_back() {
    let bytes = client::request("PUT", "/a?b", "x:1", &[("X-Own", b"7")], b"body");
    let read = read_requests(&[bytes.to_vec()]).expect("our own message");
    assert_eq!((&*read[0].target, &read[0].body[..]), ("/a?b", &b"body"[..]));
    let bytes = server::response(429, &[("Retry-After", b"0.110")], b"", true);
    let read = read_responses(&[bytes.to_vec()]).expect("our own message");
    assert_eq!((read[0].head.status, read[0].head.persists), (429, false));
    assert_eq!(read[0].head.headers.single("retry-after"), Ok(Some(&b"0.110"[..])));
}

/// The end of a discarded request is found, in any framing and however it is split, so that the next request
/// is read.
#[test]
fn discarded_request_holds_no_memory_and_next_one_is_read() {
    for body in ["Content-Length: 400\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n190\r\n"] {
        let end = if body.starts_with('T') { "\r\n0\r\n\r\n" } else { "" };
        let mut reader = RequestReader::new(LIMITS);
        let head = format!("PUT /a HTTP/1.1\r\nHost: x\r\n{body}");
        reader.bytes.extend_from_slice(head.as_bytes());
        reader.bytes.extend_from_slice(&[b'x'; 300]);
        assert_eq!(reader.next_event(), Ok(RequestEvent::More));
        assert!(reader.memory() >= 300 && reader.is_receiving_body());
        reader.discard_partial();
        reader.bytes = BytesMut::new();
        assert!(reader.memory() == 0 && !reader.is_receiving_body() && reader.has_begun());
        reader.bytes.extend_from_slice(
            &[&[b'x'; 100][..], end.as_bytes(), b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n"].concat(),
        );
        assert_eq!(reader.next_event(), Ok(RequestEvent::Discarded { persists: true }), "{body}");
        match reader.next_event() {
            Ok(RequestEvent::Request(request)) => assert_eq!(&*request.target, "/b"),
            other => panic!("{other:?}"),
        }
    }
}

/// A discarded body is as long as another one may be.
#[test]
fn limit_of_body_holds_for_discarded_request() {
    let mut reader = RequestReader::new(LIMITS);
    let head = b"PUT /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    reader.discard_requests(true);
    reader.bytes.extend_from_slice(head);
    for _ in 0..2 {
        reader.bytes.extend_from_slice(&[b"ff\r\n", &[b'x'; 255][..], b"\r\n"].concat());
        assert_eq!(reader.next_event(), Ok(RequestEvent::More));
    }
    reader.bytes.extend_from_slice(&[b"ff\r\n", &[b'x'; 255][..], b"\r\n"].concat());
    assert_eq!(reader.next_event(), Err(Malformed::BodyTooLong(LIMITS.body)));
}

/// The memory that a read may need is known before it: of the buffer, and of the body that grows.
#[test]
fn memory_of_reader_is_within_what_was_foretold() {
    let mut reader = RequestReader::new(Limits { head: 1024, body: 1 << 16 });
    reader.bytes.extend_from_slice(b"PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 65536\r\n\r\n");
    assert_eq!(reader.next_event(), Ok(RequestEvent::More));
    for _ in 0..64 {
        let count = reader.read_size(64, 1000);
        assert_eq!(count, 1000);
        let foretold = reader.memory_to_receive(count);
        reader.bytes.reserve(count);
        reader.bytes.extend_from_slice(&[b'x'; 1000]);
        assert_eq!(reader.next_event(), Ok(RequestEvent::More));
        assert!(reader.memory() <= foretold, "{} and not {foretold}", reader.memory());
    }
    assert!(reader.memory() < 1 << 17);
}
