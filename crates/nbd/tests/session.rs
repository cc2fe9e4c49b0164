//! Negotiation and transmission by bytes alone: all forms of the protocol, and what a faulty peer may send.

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
        let blocks = BlockSizes { minimum: 512, preferred: 4096, maximum: 65536 };
        let (name, description) = (name.to_string(), "a volume".to_string());
        (name == "vol").then_some(Export { name, description, size: 1 << 20, flags, blocks })
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

fn go(name: &str) -> Vec<u8> {
    let mut data = (name.len() as u32).to_be_bytes().to_vec();
    data.extend_from_slice(name.as_bytes());
    data.extend_from_slice(&[0, 0]);
    data
}

/// All events of the input, received in pieces of so many bytes, and what the session wrote.
fn feed(
    session: &mut Session,
    input: &[u8],
    piece: usize,
) -> (Vec<SessionEvent>, Result<(), ProtocolError>, Bytes) {
    let (mut buffer, mut events) = (BytesMut::new(), Vec::new());
    for part in input.chunks(piece) {
        buffer.put_slice(part);
        loop {
            match session.receive(&mut buffer, &OneExport) {
                Ok(SessionEvent::More) => break,
                Ok(SessionEvent::Pending { .. }) => {}
                Ok(event) => events.push(event),
                Err(fault) => return (events, Err(fault), session.output().split().freeze()),
            }
        }
    }
    (events, Ok(()), session.output().split().freeze())
}

/// Kinds of the option replies in an output after its greeting.
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
        let mut context = go("vol");
        context.truncate(7);
        context.extend_from_slice(&1u32.to_be_bytes());
        context.extend_from_slice(&(BASE_ALLOCATION.len() as u32).to_be_bytes());
        context.extend_from_slice(BASE_ALLOCATION.as_bytes());
        option(&mut input, OPT_SET_META_CONTEXT, &context);
    }
    option(&mut input, OPT_GO, &go("vol"));
    let (events, ended, _) = feed(&mut session, &input, usize::MAX);
    assert!(matches!(&events[..], [SessionEvent::Attached(export)] if export.name == "vol") && ended.is_ok());
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
    option(&mut input, OPT_INFO, &go("nothing"));
    option(&mut input, OPT_INFO, &[0, 0, 0, 99, 1]);
    option(&mut input, OPT_SET_META_CONTEXT, &[0, 0, 0, 0, 0, 0, 0, 0]);
    option(&mut input, OPT_STRUCTURED_REPLY, &[]);
    option(&mut input, OPT_INFO, &go("vol"));
    option(&mut input, OPT_GO, &go("vol"));
    for piece in [1, 7, usize::MAX] {
        let mut session = Session::new(Limits::default());
        let (events, ended, out) = feed(&mut session, &input, piece);
        assert!(ended.is_ok() && events.len() == 1 && session.has_structured_replies(), "{events:?}");
        let kinds: Vec<u32> = option_replies(out).into_iter().map(|(_, kind)| kind).collect();
        let facts = [REP_INFO, REP_INFO, REP_ACK];
        let wrong = [REP_ERR_UNSUP, REP_ERR_INVALID, REP_SERVER, REP_ACK, REP_ERR_UNKNOWN, REP_ERR_INVALID];
        assert_eq!(kinds, [&wrong[..], &[REP_ERR_INVALID, REP_ACK], &facts, &facts].concat());
    }
}

#[test]
fn export_name_pads_reply_unless_declined_and_abort_ends() {
    for (client, padding) in [(1u32, 124), (3, 0)] {
        let mut input = BytesMut::from(&client.to_be_bytes()[..]);
        option(&mut input, OPT_EXPORT_NAME, b"vol");
        let mut session = Session::new(Limits::default());
        let (events, _, out) = feed(&mut session, &input, usize::MAX);
        assert!(matches!(events[..], [SessionEvent::Attached(_)]));
        assert_eq!(out.len(), 18 + 10 + padding);
    }
    let mut input = client_flags();
    option(&mut input, OPT_ABORT, &[]);
    let (events, _, out) = feed(&mut Session::new(Limits::default()), &input, usize::MAX);
    assert_eq!((events, option_replies(out)), (vec![SessionEvent::Disconnected], vec![(OPT_ABORT, REP_ACK)]));
}

#[test]
fn protocol_violation_returns_its_error() {
    let fault = |input: &[u8]| {
        feed(&mut Session::new(Limits::default()), input, 5).1.expect_err("a protocol violation")
    };
    assert_eq!(fault(&[0, 0, 0, 9]), ProtocolError::ClientFlags(9));
    let mut input = client_flags();
    input.put_slice(&[7; 16]);
    assert!(matches!(fault(&input), ProtocolError::Magic { place: "an option", .. }));
    let mut input = client_flags();
    option(&mut input, OPT_LIST, &[0; 9000]);
    assert!(matches!(fault(&input), ProtocolError::LongOption { length: 9000, .. }));
    let mut input = client_flags();
    (0..200).for_each(|_| option(&mut input, OPT_LIST, &[]));
    assert_eq!(fault(&input), ProtocolError::ManyOptions(101));
    let mut input = client_flags();
    option(&mut input, OPT_EXPORT_NAME, b"other");
    assert_eq!(fault(&input), ProtocolError::NoSuchExport("other".into()));
    let fault = |input: &[u8]| {
        feed(&mut session_in_transmission(true), input, 5).1.expect_err("a protocol violation")
    };
    assert!(matches!(fault(&[1; 28]), ProtocolError::Magic { place: "a request", .. }));
    let bound = 65536;
    assert_eq!(fault(&request_bytes(1, 0, 1, 0, 65537)), ProtocolError::LongPayload { length: 65537, bound });
    let twice = [request_bytes(0, 0, 5, 0, 512), request_bytes(0, 0, 5, 0, 512)].concat();
    assert_eq!(fault(&twice), ProtocolError::ReusedCookie(5));
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
    for (cookie, (command, flags, offset, length, wanted)) in cases.into_iter().enumerate() {
        let input = request_bytes(command, flags, cookie as u64, offset, length);
        let (events, ended, _) = feed(&mut session, &input, 9);
        let refused = matches!(&events[..], [SessionEvent::Rejected { errno, .. }] if *errno == wanted);
        assert!(refused && ended.is_ok(), "{command} {offset}: {events:?}");
    }
    let (events, ..) = feed(&mut session, &request_bytes(0, CMD_FLAG_DF, 0, 0, 512), 1);
    assert!(matches!(&events[..], [SessionEvent::Request(_)]), "a cookie of a refused request is free again");
    let (events, ..) = feed(&mut session_in_transmission(false), &request_bytes(7, 0, 1, 0, 512), 28);
    assert!(matches!(&events[..], [SessionEvent::Rejected { .. }]), "no context was selected");
    session.shut_down();
    let (events, ..) = feed(&mut session, &request_bytes(0, 0, 9, 0, 512), 28);
    assert!(matches!(&events[..], [SessionEvent::Rejected { errno: Errno::Shutdown, .. }]));
    let (events, ..) = feed(&mut session, &request_bytes(2, 0, 9, 0, 0), 28);
    assert_eq!(events, [SessionEvent::Disconnected]);
}

/// Moves bytes between the two ends until the client has an event.
fn exchange(client: &mut Client, session: &mut Session) -> ClientEvent {
    let (mut to_client, mut to_server) = (BytesMut::new(), BytesMut::new());
    loop {
        to_client.put_slice(&session.output().split());
        let event = client.receive(&mut to_client).expect("a good server");
        to_server.put_slice(&client.output().split());
        if event != ClientEvent::More {
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
    let wish = |structured| Negotiation::Export { name: "vol".into(), structured };
    let mut session = Session::new(Limits::default());
    assert_eq!(
        exchange(&mut Client::new(Negotiation::List), &mut session),
        ClientEvent::Names(vec!["vol".into()])
    );
    for structured in [false, true] {
        let (mut client, mut session) = (Client::new(wish(structured)), Session::new(Limits::default()));
        let ready = exchange(&mut client, &mut session);
        assert!(matches!(&ready, ClientEvent::Ready(export) if export.size == 1 << 20), "{ready:?}");
        client.request(&read(1));
        let mut input = client.output().split();
        assert_eq!(session.receive(&mut input, &OneExport), Ok(SessionEvent::Pending { bytes: 1024 }));
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
            let whole = Reply::Simple { cookie: 1, error: None, data };
            assert_eq!(client.receive(&mut out), Ok(ClientEvent::Reply(whole)));
            continue;
        }
        for (i, chunk) in chunks.iter().enumerate() {
            let done = i + 1 == chunks.len();
            let tail = session.put_chunk(1, chunk.clone(), done);
            let mut out = session.output().split();
            tail.into_iter().for_each(|tail| out.put_slice(&tail));
            let wanted = Reply::Chunk { cookie: 1, chunk: chunk.clone(), done };
            assert_eq!(client.receive(&mut out), Ok(ClientEvent::Reply(wanted)));
        }
        assert_eq!(session.open_requests(), 0);
    }
}

#[test]
fn arbitrary_bytes_never_panic_either_end() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes owned arguments")]
    fn survives(noise: Vec<u8>, transmission: bool) -> bool {
        let mut session =
            if transmission { session_in_transmission(true) } else { Session::new(Limits::default()) };
        let mut input = if transmission { BytesMut::new() } else { client_flags() };
        input.put_slice(&noise);
        _ = feed(&mut session, &input, 3);
        let mut client = Client::new(Negotiation::Export { name: "vol".into(), structured: true });
        exchange(&mut client, &mut Session::new(Limits::default()));
        let mut replies = BytesMut::new();
        replies.put_u32(STRUCTURED_REPLY_MAGIC);
        replies.put_u16(0);
        replies.put_u16(u16::from(noise.first().copied().unwrap_or(0) % 8) | 1 << 15);
        replies.put_u64(1);
        replies.put_u32(noise.len() as u32);
        replies.put_slice(&noise);
        _ = client.receive(&mut replies);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 1))
        .tests(500)
        .quickcheck(survives as fn(Vec<u8>, bool) -> bool);
}

/// A request without a buffer is answered at once, its payload discarded in whatever pieces it comes; what follows it is
/// understood. A disconnect is never rejected.
#[test]
fn rejected_request_is_answered_and_its_payload_discarded() {
    for piece in [1, 7, 64, 8192] {
        let mut session = Session::new(Limits::default());
        let mut opening = client_flags();
        option(&mut opening, OPT_GO, &go("vol"));
        assert!(feed(&mut session, &opening, 64).1.is_ok());
        let mut input = BytesMut::new();
        let request = |cookie, command, payload: Bytes| {
            let length = if command == Command::Disc { 0 } else { 4096 };
            Request { cookie, command, flags: 0, offset: 0, length, payload }
        };
        put_request(&mut input, &request(1, Command::Write, Bytes::from(vec![9; 4096])));
        put_request(&mut input, &request(2, Command::Read, Bytes::new()));
        put_request(&mut input, &request(3, Command::Disc, Bytes::new()));
        let (mut buffer, mut rejected, mut accepted) = (BytesMut::new(), Vec::new(), Vec::new());
        for part in input.chunks(piece) {
            buffer.put_slice(part);
            loop {
                match session.receive(&mut buffer, &OneExport).expect("a good client") {
                    SessionEvent::More => break,
                    SessionEvent::Pending { bytes } => {
                        rejected.push((bytes, session.reject(Errno::NoMem, "full".into())));
                    }
                    event => accepted.push(event),
                }
            }
            assert!(buffer.len() < 64, "nothing is kept of what was rejected");
        }
        assert_eq!(rejected, [(4096, true), (4096, true), (0, false)]);
        assert_eq!(accepted, [SessionEvent::Disconnected]);
        let out = session.output().split().freeze();
        let cookies: Vec<u64> = out
            .windows(4)
            .enumerate()
            .filter(|(_, word)| *word == SIMPLE_REPLY_MAGIC.to_be_bytes())
            .map(|(at, _)| u64::from_be_bytes(*out[at + 8..].first_chunk().expect("a whole reply")))
            .collect();
        assert_eq!(cookies, [1, 2]);
    }
}
