//! Tests of negotiation and transmission without I/O: all forms of the protocol, and the input of faulty
//! peers.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use quickcheck::{Gen, QuickCheck};
use umbertray_nbd::client::Negotiation;
use umbertray_nbd::proto::*;
use umbertray_nbd::{
    BlockSizes, Chunk, Client, ClientEvent, Command, Errno, Export, Exports, Extent, Limits, ProtocolError,
    Reply, Request, Session, SessionEvent,
};

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

fn client_flags() -> BytesMut {
    let mut out = BytesMut::new();
    out.put_u32(u32::from(FLAG_FIXED_NEWSTYLE | FLAG_NO_ZEROES));
    out
}

fn option(out: &mut BytesMut, option: u32, data: &[u8]) {
    out.put_u64(IHAVEOPT);
    out.put_u32(option);
    out.put_u32(data.len() as u32);
    out.put_slice(data);
}

/// The data of an INFO or GO option that requests no information.
fn info_data(name: &str) -> Vec<u8> {
    let mut data = (name.len() as u32).to_be_bytes().to_vec();
    data.extend_from_slice(name.as_bytes());
    data.extend_from_slice(&[0, 0]);
    data
}

/// Passes the input to the session in pieces of `piece_length` bytes. Returns its events except `More` and
/// `Pending`, its result, and its output.
fn feed(
    session: &mut Session,
    input: &[u8],
    piece_length: usize,
) -> (Vec<SessionEvent>, Result<(), ProtocolError>, Bytes) {
    let (mut buffer, mut events) = (BytesMut::new(), Vec::new());
    for piece in input.chunks(piece_length) {
        buffer.put_slice(piece);
        loop {
            match session.receive(&mut buffer, &OneExport) {
                Ok(SessionEvent::Incomplete) => break,
                Ok(SessionEvent::HeaderReceived { .. }) => {}
                Ok(event) => events.push(event),
                Err(error) => return (events, Err(error), session.output().split().freeze()),
            }
        }
    }
    (events, Ok(()), session.output().split().freeze())
}

/// The options and kinds of all option replies in an output, which begins with the greeting.
fn option_replies(mut out: Bytes) -> Vec<(u32, u32)> {
    out.advance(18);
    let mut replies = Vec::new();
    while out.len() >= 20 && out[..8] == OPTION_REPLY.to_be_bytes() {
        out.advance(8);
        replies.push((out.get_u32(), out.get_u32()));
        let length = out.get_u32() as usize;
        out.advance(length);
    }
    replies
}

/// A session in transmission.
fn session_in_transmission(structured: bool) -> Session {
    let mut session = Session::new(Limits::default());
    let mut input = client_flags();
    if structured {
        option(&mut input, OPT_STRUCTURED_REPLY, &[]);
        let mut context = info_data("vol");
        context.truncate(7);
        context.extend_from_slice(&1u32.to_be_bytes());
        context.extend_from_slice(&(BASE_ALLOCATION.len() as u32).to_be_bytes());
        context.extend_from_slice(BASE_ALLOCATION.as_bytes());
        option(&mut input, OPT_SET_META_CONTEXT, &context);
    }
    option(&mut input, OPT_GO, &info_data("vol"));
    let (events, result, _) = feed(&mut session, &input, usize::MAX);
    assert!(
        matches!(&events[..], [SessionEvent::ExportSelected(export)] if export.name == "vol")
            && result.is_ok()
    );
    session
}

fn request_bytes(command: u16, flags: u16, cookie: u64, offset: u64, length: u32) -> BytesMut {
    let mut out = BytesMut::new();
    out.put_u32(REQUEST_MAGIC);
    out.put_u16(flags);
    out.put_u16(command);
    out.put_u64(cookie);
    out.put_u64(offset);
    out.put_u32(length);
    out
}

#[test]
fn negotiation_unknown_or_invalid_options_continues() {
    let mut input = client_flags();
    option(&mut input, 4711, b"what");
    option(&mut input, OPT_LIST, b"junk");
    option(&mut input, OPT_LIST, &[]);
    option(&mut input, OPT_INFO, &info_data("nothing"));
    option(&mut input, OPT_INFO, &[0, 0, 0, 99, 1]);
    option(&mut input, OPT_SET_META_CONTEXT, &[0, 0, 0, 0, 0, 0, 0, 0]);
    option(&mut input, OPT_STRUCTURED_REPLY, &[]);
    option(&mut input, OPT_INFO, &info_data("vol"));
    option(&mut input, OPT_GO, &info_data("vol"));
    for piece_length in [1, 7, usize::MAX] {
        let mut session = Session::new(Limits::default());
        let (events, result, out) = feed(&mut session, &input, piece_length);
        assert!(result.is_ok() && events.len() == 1 && session.has_structured_replies(), "{events:?}");
        let kinds: Vec<u32> = option_replies(out).into_iter().map(|(_, kind)| kind).collect();
        let before_context =
            [REP_ERR_UNSUP, REP_ERR_INVALID, REP_SERVER, REP_ACK, REP_ERR_UNKNOWN, REP_ERR_INVALID];
        let info = [REP_INFO, REP_INFO, REP_ACK];
        assert_eq!(kinds, [&before_context[..], &[REP_ERR_INVALID, REP_ACK], &info, &info].concat());
    }
}

#[test]
fn export_name_pads_reply_unless_declined_and_abort_ends() {
    for (client_flags, padding) in [(1u32, 124), (3, 0)] {
        let mut input = BytesMut::from(&client_flags.to_be_bytes()[..]);
        option(&mut input, OPT_EXPORT_NAME, b"vol");
        let mut session = Session::new(Limits::default());
        let (events, _, out) = feed(&mut session, &input, usize::MAX);
        assert!(matches!(events[..], [SessionEvent::ExportSelected(_)]));
        assert_eq!(out.len(), 18 + 10 + padding);
    }
    let mut input = client_flags();
    option(&mut input, OPT_ABORT, &[]);
    let (events, _, out) = feed(&mut Session::new(Limits::default()), &input, usize::MAX);
    assert_eq!((events, option_replies(out)), (vec![SessionEvent::Disconnected], vec![(OPT_ABORT, REP_ACK)]));
}

#[test]
fn protocol_violation_returns_its_error() {
    let negotiation_error = |input: &[u8]| {
        feed(&mut Session::new(Limits::default()), input, 5).1.expect_err("a protocol violation")
    };
    assert_eq!(negotiation_error(&[0, 0, 0, 9]), ProtocolError::ClientFlags(9));
    let mut input = client_flags();
    input.put_slice(&[7; 16]);
    assert!(matches!(negotiation_error(&input), ProtocolError::WrongMagic { message: "an option", .. }));
    let mut input = client_flags();
    option(&mut input, OPT_LIST, &[0; 9000]);
    assert!(matches!(negotiation_error(&input), ProtocolError::OptionTooLong { length: 9000, .. }));
    let mut input = client_flags();
    (0..200).for_each(|_| option(&mut input, OPT_LIST, &[]));
    assert_eq!(negotiation_error(&input), ProtocolError::TooManyOptions(101));
    let mut input = client_flags();
    option(&mut input, OPT_EXPORT_NAME, b"other");
    assert_eq!(negotiation_error(&input), ProtocolError::NoSuchExport("other".into()));
    let transmission_error = |input: &[u8]| {
        feed(&mut session_in_transmission(true), input, 5).1.expect_err("a protocol violation")
    };
    assert!(matches!(transmission_error(&[1; 28]), ProtocolError::WrongMagic { message: "a request", .. }));
    let too_long = ProtocolError::PayloadTooLong { length: 65537, limit: 65536 };
    assert_eq!(transmission_error(&request_bytes(1, 0, 1, 0, 65537)), too_long);
    let same_cookie_twice = [request_bytes(0, 0, 5, 0, 512), request_bytes(0, 0, 5, 0, 512)].concat();
    assert_eq!(transmission_error(&same_cookie_twice), ProtocolError::ReusedCookie(5));
}

#[test]
fn invalid_requests_are_rejected_and_session_continues() {
    let cases = [
        (99, 0, 0, 512, Errno::Inval),
        (0, CMD_FLAG_FUA, 0, 512, Errno::Inval),
        (0, 0, 100, 512, Errno::Inval),
        (0, 0, 0, 0, Errno::Inval),
        (0, 0, 1 << 20, 512, Errno::Inval),
        (0, 0, u64::MAX - 511, 512, Errno::Inval),
        (0, 0, 0, 65536 + 512, Errno::Inval),
        (4, 0, 1 << 20, 512, Errno::NoSpc),
        (6, CMD_FLAG_REQ_ONE, 0, 512, Errno::Inval),
        (3, 0, 512, 0, Errno::Inval),
    ];
    let mut session = session_in_transmission(true);
    for (cookie, (command, flags, offset, length, expected)) in cases.into_iter().enumerate() {
        let input = request_bytes(command, flags, cookie as u64, offset, length);
        let (events, result, _) = feed(&mut session, &input, 9);
        let is_rejected = matches!(&events[..], [SessionEvent::Rejected { errno, .. }] if *errno == expected);
        assert!(is_rejected && result.is_ok(), "command {command}, offset {offset}: {events:?}");
    }
    let (events, ..) = feed(&mut session, &request_bytes(0, CMD_FLAG_DF, 0, 0, 512), 1);
    assert!(
        matches!(&events[..], [SessionEvent::Request(_)]),
        "the cookie of a rejected request can be reused"
    );
    let (events, ..) = feed(&mut session_in_transmission(false), &request_bytes(7, 0, 1, 0, 512), 28);
    assert!(matches!(&events[..], [SessionEvent::Rejected { .. }]), "no context was selected");
    session.shut_down();
    let (events, ..) = feed(&mut session, &request_bytes(0, 0, 9, 0, 512), 28);
    assert!(matches!(&events[..], [SessionEvent::Rejected { errno: Errno::Shutdown, .. }]));
    let (events, ..) = feed(&mut session, &request_bytes(2, 0, 9, 0, 0), 28);
    assert_eq!(events, [SessionEvent::Disconnected]);
}

/// Moves bytes between client and server until the client has an event.
fn exchange(client: &mut Client, session: &mut Session) -> ClientEvent {
    let (mut to_client, mut to_server) = (BytesMut::new(), BytesMut::new());
    loop {
        to_client.put_slice(&session.output().split());
        let event = client.receive(&mut to_client).expect("a correct server");
        to_server.put_slice(&client.output().split());
        if event != ClientEvent::Incomplete {
            return event;
        }
        assert_ne!(session.receive(&mut to_server, &OneExport), Ok(SessionEvent::Request(read(0))));
    }
}

fn read(cookie: u64) -> Request {
    Request { cookie, command: Command::Read, flags: 0, offset: 0, length: 1024, payload: Bytes::new() }
}

#[test]
fn client_and_server_exchange_requests_and_replies() {
    let negotiation = |structured_replies| Negotiation::Export { name: "vol".into(), structured_replies };
    let mut session = Session::new(Limits::default());
    assert_eq!(
        exchange(&mut Client::new(Negotiation::List), &mut session),
        ClientEvent::Names(vec!["vol".into()])
    );
    for structured in [false, true] {
        let (mut client, mut session) =
            (Client::new(negotiation(structured)), Session::new(Limits::default()));
        let event = exchange(&mut client, &mut session);
        assert!(matches!(&event, ClientEvent::Ready(export) if export.size == 1 << 20), "{event:?}");
        client.request(&read(1));
        let mut input = client.output().split();
        assert_eq!(session.receive(&mut input, &OneExport), Ok(SessionEvent::HeaderReceived { bytes: 1024 }));
        assert_eq!(session.receive(&mut input, &OneExport), Ok(SessionEvent::Request(read(1))));
        let chunks = [
            Chunk::Data { offset: 512, data: Bytes::from_static(&[7; 512]) },
            Chunk::Hole { offset: 0, length: 512 },
            Chunk::BlockStatus { context: 1, extents: vec![Extent { length: 9, flags: 3 }] },
            Chunk::Error { errno: Errno::Io, message: "aborted".into(), offset: Some(512) },
            Chunk::None,
        ];
        if !structured {
            session.put_simple_reply(1);
            let mut out = session.output().split();
            out.put_slice(&[3; 1024]);
            let data = Bytes::from_static(&[3; 1024]);
            let expected = Reply::Simple { cookie: 1, error: None, data };
            assert_eq!(client.receive(&mut out), Ok(ClientEvent::Reply(expected)));
            continue;
        }
        for (i, chunk) in chunks.iter().enumerate() {
            let is_last = i + 1 == chunks.len();
            let data = session.put_chunk(1, chunk.clone(), is_last);
            let mut out = session.output().split();
            data.into_iter().for_each(|data| out.put_slice(&data));
            let expected = Reply::Chunk { cookie: 1, chunk: chunk.clone(), is_last };
            assert_eq!(client.receive(&mut out), Ok(ClientEvent::Reply(expected)));
        }
        assert_eq!(session.open_requests(), 0);
    }
}

#[test]
fn arbitrary_bytes_never_panic_either_end() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes owned arguments")]
    fn receives_without_panic(bytes: Vec<u8>, transmission: bool) -> bool {
        let mut session =
            if transmission { session_in_transmission(true) } else { Session::new(Limits::default()) };
        let mut input = if transmission { BytesMut::new() } else { client_flags() };
        input.put_slice(&bytes);
        _ = feed(&mut session, &input, 3);
        let mut client = Client::new(Negotiation::Export { name: "vol".into(), structured_replies: true });
        exchange(&mut client, &mut Session::new(Limits::default()));
        let mut replies = BytesMut::new();
        replies.put_u32(STRUCTURED_REPLY_MAGIC);
        replies.put_u16(0);
        replies.put_u16(u16::from(bytes.first().copied().unwrap_or(0) % 8) | 1 << 15);
        replies.put_u64(1);
        replies.put_u32(bytes.len() as u32);
        replies.put_slice(&bytes);
        _ = client.receive(&mut replies);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 1))
        .tests(500)
        .quickcheck(receives_without_panic as fn(Vec<u8>, bool) -> bool);
}

/// A request that is rejected for lack of a buffer gets its reply immediately, and its payload is discarded
/// in pieces of any size. The requests after it are still read correctly. A disconnect is never rejected.
#[test]
fn rejected_request_is_answered_and_its_payload_discarded() {
    for piece_length in [1, 7, 64, 8192] {
        let mut session = Session::new(Limits::default());
        let mut negotiation = client_flags();
        option(&mut negotiation, OPT_GO, &info_data("vol"));
        assert!(feed(&mut session, &negotiation, 64).1.is_ok());
        let mut input = BytesMut::new();
        let request = |cookie, command, payload: Bytes| {
            let length = if command == Command::Disc { 0 } else { 4096 };
            Request { cookie, command, flags: 0, offset: 0, length, payload }
        };
        put_request(&mut input, &request(1, Command::Write, Bytes::from(vec![9; 4096])));
        put_request(&mut input, &request(2, Command::Read, Bytes::new()));
        put_request(&mut input, &request(3, Command::Disc, Bytes::new()));
        let (mut buffer, mut rejected, mut accepted) = (BytesMut::new(), Vec::new(), Vec::new());
        for piece in input.chunks(piece_length) {
            buffer.put_slice(piece);
            loop {
                match session.receive(&mut buffer, &OneExport).expect("a correct client") {
                    SessionEvent::Incomplete => break,
                    SessionEvent::HeaderReceived { bytes } => {
                        rejected.push((bytes, session.reject(Errno::NoMem, "full".into())));
                    }
                    event => accepted.push(event),
                }
            }
            assert!(buffer.len() < 64, "the payload of a rejected request is not kept");
        }
        assert_eq!(rejected, [(4096, true), (4096, true), (0, false)]);
        assert_eq!(accepted, [SessionEvent::Disconnected]);
        let out = session.output().split().freeze();
        let cookies: Vec<u64> = out
            .windows(4)
            .enumerate()
            .filter(|(_, word)| *word == SIMPLE_REPLY_MAGIC.to_be_bytes())
            .map(|(start, _)| u64::from_be_bytes(*out[start + 8..].first_chunk().expect("a complete reply")))
            .collect();
        assert_eq!(cookies, [1, 2]);
    }
}
