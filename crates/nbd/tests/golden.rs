//! Golden test of the wire format: recorded messages that every later version must write and read byte for
//! byte.

use bytes::{BufMut, Bytes, BytesMut};
use umbertray_nbd::client::Negotiation;
use umbertray_nbd::proto::*;
use umbertray_nbd::{
    BlockSizes, Chunk, Client, Command, Errno, Export, Exports, Extent, Limits, ProtocolError, Request,
    Session, SessionEvent,
};

const RECORDED: &str = include_str!("golden/nbd.txt");

struct OneExport;

impl Exports for OneExport {
    fn find(&self, name: &str) -> Option<Export> {
        let flags = SEND_FLUSH | SEND_FUA | SEND_TRIM | SEND_WRITE_ZEROES | SEND_DF | CAN_MULTI_CONN;
        let block_sizes = BlockSizes { minimum: 512, preferred: 4096, maximum: 65536 };
        let (name, description) = (name.to_string(), "a volume".to_string());
        (name == "vol").then_some(Export { name, description, size: 1 << 20, flags, block_sizes })
    }
    fn names(&self) -> Vec<String> {
        vec!["vol".into()]
    }
}

/// A transcript of all examples: one line per message, with its bytes in hex.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn bytes(&mut self, name: &str, bytes: &[u8]) {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        self.0.push_str(&format!("{name}: {hex}\n"));
    }

    fn text(&mut self, name: &str, text: &str) {
        self.0.push_str(&format!("{name}: {text}\n"));
    }
}

fn client_flags() -> BytesMut {
    let mut out = BytesMut::new();
    out.put_u32(u32::from(FLAG_FIXED_NEWSTYLE | FLAG_NO_ZEROES));
    out
}

fn option(option: u32, data: &[u8]) -> BytesMut {
    let mut out = BytesMut::new();
    out.put_u64(IHAVEOPT);
    out.put_u32(option);
    out.put_u32(data.len() as u32);
    out.put_slice(data);
    out
}

/// The data of an INFO or GO option that requests no information.
fn info_data(name: &str) -> Vec<u8> {
    let mut data = (name.len() as u32).to_be_bytes().to_vec();
    data.extend_from_slice(name.as_bytes());
    data.extend_from_slice(&[0, 0]);
    data
}

/// The data of a LIST_META_CONTEXT or SET_META_CONTEXT option with one query.
fn meta_context_data(query: &str) -> Vec<u8> {
    let mut data = info_data("vol");
    data.truncate(7);
    data.extend_from_slice(&1u32.to_be_bytes());
    data.extend_from_slice(&(query.len() as u32).to_be_bytes());
    data.extend_from_slice(query.as_bytes());
    data
}

/// Passes all of the input to the session, and returns its result and its output.
fn receive(session: &mut Session, input: &[u8]) -> (Result<(), ProtocolError>, Bytes) {
    let mut buffer = BytesMut::from(input);
    let result = loop {
        match session.receive(&mut buffer, &OneExport) {
            Ok(SessionEvent::Incomplete) => break Ok(()),
            Ok(_) => {}
            Err(error) => break Err(error),
        }
    };
    (result, session.output().split().freeze())
}

fn session_in_transmission(structured: bool) -> Session {
    let mut session = Session::new(Limits::default());
    let mut input = client_flags();
    if structured {
        input.put(option(OPT_STRUCTURED_REPLY, &[]));
        input.put(option(OPT_SET_META_CONTEXT, &meta_context_data(BASE_ALLOCATION)));
    }
    input.put(option(OPT_GO, &info_data("vol")));
    receive(&mut session, &input).0.expect("a valid negotiation");
    session
}

fn commands() -> [Request; 6] {
    let request = |cookie, command, flags, length| Request {
        cookie,
        command,
        flags,
        offset: 4096,
        length,
        payload: Bytes::new(),
    };
    [
        request(1, Command::Read, CMD_FLAG_DF, 512),
        Request { payload: Bytes::from(vec![7; 16]), ..request(2, Command::Write, CMD_FLAG_FUA, 16) },
        request(4, Command::Flush, 0, 0),
        request(5, Command::Trim, 0, 512),
        request(6, Command::WriteZeroes, CMD_FLAG_NO_HOLE, 512),
        request(7, Command::BlockStatus, CMD_FLAG_REQ_ONE, 512),
    ]
}

fn record_options(transcript: &mut Transcript) {
    let mut session = Session::new(Limits::default());
    transcript.bytes("greeting", &receive(&mut session, &[]).1);
    let flags = client_flags();
    receive(&mut session, &flags).0.expect("valid flags");
    let examples: [(&str, u32, Vec<u8>); 11] = [
        ("unknown option", 4711, b"what".to_vec()),
        ("list", OPT_LIST, vec![]),
        ("list with data", OPT_LIST, b"junk".to_vec()),
        ("info", OPT_INFO, info_data("vol")),
        ("info of no export", OPT_INFO, info_data("other")),
        ("malformed info", OPT_INFO, vec![0, 0]),
        ("meta contexts before structured replies", OPT_LIST_META_CONTEXT, meta_context_data("")),
        ("structured replies", OPT_STRUCTURED_REPLY, vec![]),
        ("list meta contexts", OPT_LIST_META_CONTEXT, meta_context_data("base:")),
        ("set meta context", OPT_SET_META_CONTEXT, meta_context_data(BASE_ALLOCATION)),
        ("go", OPT_GO, info_data("vol")),
    ];
    for (name, number, data) in examples {
        let (result, written) = receive(&mut session, &option(number, &data));
        result.expect(name);
        transcript.bytes(&format!("option, {name}"), &written);
    }
    let mut session = Session::new(Limits::default());
    receive(&mut session, &flags).0.expect("valid flags");
    let (_, written) = receive(&mut session, &option(OPT_EXPORT_NAME, b"vol"));
    transcript.bytes("option, export name", &written);
    let mut session = Session::new(Limits::default());
    receive(&mut session, &flags).0.expect("valid flags");
    let (_, written) = receive(&mut session, &option(OPT_ABORT, &[]));
    transcript.bytes("option, abort", &written);
}

fn record_replies(transcript: &mut Transcript) {
    for structured in [false, true] {
        let form = if structured { "structured" } else { "simple" };
        let mut session = session_in_transmission(structured);
        for request in commands() {
            if request.command == Command::BlockStatus {
                continue;
            }
            let mut bytes = BytesMut::new();
            put_request(&mut bytes, &request);
            receive(&mut session, &bytes).0.expect("a valid request");
        }
        let data = session.put_chunk(1, Chunk::Data { offset: 4096, data: Bytes::from(vec![9; 8]) }, true);
        let mut written = session.output().split();
        written.put(data.unwrap_or_default());
        transcript.bytes(&format!("{form} reply, data"), &written);
        session.put_simple_reply(2);
        transcript.bytes(&format!("{form} reply, done"), &session.output().split());
        session.put_error(4, Errno::Io, "failed".into());
        transcript.bytes(&format!("{form} reply, error"), &session.output().split());
    }
    let mut session = session_in_transmission(true);
    for request in commands().into_iter().filter(|request| [1, 7].contains(&request.cookie)) {
        let mut bytes = BytesMut::new();
        put_request(&mut bytes, &request);
        receive(&mut session, &bytes).0.expect("a valid request");
    }
    session.put_chunk(1, Chunk::Hole { offset: 4096, length: 512 }, true);
    transcript.bytes("structured reply, hole", &session.output().split());
    let extents = vec![Extent { length: 256, flags: 0 }, Extent { length: 256, flags: STATE_HOLE }];
    session.put_chunk(7, Chunk::BlockStatus { context: ALLOCATION_ID, extents }, true);
    transcript.bytes("structured reply, block status", &session.output().split());
    for errno in Errno::ALL {
        transcript.text("errno", &errno.number().to_string());
    }
}

fn record_rejected_requests(transcript: &mut Transcript) {
    let request = |command: u16, flags: u16, offset: u64, length: u32| {
        let mut out = BytesMut::new();
        out.put_u32(REQUEST_MAGIC);
        out.put_u16(flags);
        out.put_u16(command);
        out.put_u64(1);
        out.put_u64(offset);
        out.put_u32(length);
        out
    };
    let examples = [
        ("unknown command", request(99, 0, 0, 0)),
        ("unknown flag", request(0, 1 << 9, 0, 512)),
        ("read past the end", request(0, 0, 1 << 20, 512)),
        ("zero past the end", request(6, 0, 1 << 20, 512)),
        ("empty read", request(0, 0, 0, 0)),
        ("unaligned read", request(0, 0, 1, 512)),
        ("read over the maximum", request(0, 0, 0, 65536 * 2)),
    ];
    for (name, bytes) in examples {
        for structured in [false, true] {
            let (result, written) = receive(&mut session_in_transmission(structured), &bytes);
            transcript.text(&format!("refused, {name}, structured {structured}"), &format!("{result:?}"));
            transcript.bytes("  written", &written);
        }
    }
    let (result, _) = receive(&mut session_in_transmission(false), &[0; 28]);
    transcript.text("wrong magic", &result.expect_err("the magic number is wrong").to_string());
    let mut session = Session::new(Limits::default());
    let (result, _) = receive(&mut session, &[255; 4]);
    transcript.text("wrong client flags", &result.expect_err("the flags are invalid").to_string());
}

fn record_client_messages(transcript: &mut Transcript) {
    let negotiations = [
        ("attach", Negotiation::Export { name: "vol".into(), structured_replies: true }),
        ("attach plainly", Negotiation::Export { name: "vol".into(), structured_replies: false }),
        ("list", Negotiation::List),
    ];
    for (name, negotiation) in negotiations {
        let (mut client, mut session) = (Client::new(negotiation), Session::new(Limits::default()));
        let mut to_client = BytesMut::from(&receive(&mut session, &[]).1[..]);
        for turn in 0..4 {
            while !to_client.is_empty() {
                let before = to_client.len();
                client.receive(&mut to_client).expect("a correct server");
                if to_client.len() == before {
                    break;
                }
            }
            let written = client.output().split();
            transcript.bytes(&format!("client, {name}, turn {turn}"), &written);
            to_client.put(receive(&mut session, &written).1);
        }
    }
    for request in commands() {
        let mut bytes = BytesMut::new();
        put_request(&mut bytes, &request);
        transcript.bytes(&format!("request {}", request.command.number()), &bytes);
    }
}

#[test]
fn negotiation_replies_and_errors_match_recorded_bytes() {
    let mut transcript = Transcript::default();
    record_options(&mut transcript);
    record_replies(&mut transcript);
    record_rejected_requests(&mut transcript);
    record_client_messages(&mut transcript);
    assert!(transcript.0 == RECORDED, "differs from tests/golden/nbd.txt:\n{}", transcript.0);
}
