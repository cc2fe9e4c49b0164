//! Golden examples of the platform's HTTP protocol: requests to stores and discovery, error responses to
//! invalid requests, and the parsing of lists and load reports. Every later version has to write and read
//! them byte for byte.

use std::time::Duration;

use bytes::Bytes;
use umbertray::interface::StoreState;
use umbertray_http::Limits;
use umbertray_http::client;
use umbertray_http::server::{Request, RequestEvent, RequestReader};
use umbertray_http_api::endpoint_list::{EndpointList, WatchEvent, WatchReader};
use umbertray_http_api::{ClientId, Config, Core, Effect, Input, TableLimits, protocol};

const RECORDED: &str = include_str!("golden/http.txt");
const CONFIGURATION: &str = include_str!("golden/configuration.json");
const LIMITS: Limits = Limits { head: 8192, body: 65536 };
const START: Duration = Duration::from_secs(1_700_000_000);
const READ: &str = "/look/00000000000000aa/00000000000000bb";
const WRITE: &str = "/order/00000000000000aa/00000000000000bb?part=1";
const ID: (&str, &str) = ("X-Correlation-Id", "00000000000000c1");
const PLAN: (&str, &str) = ("X-Qos-Policy", "more");
const TIME_LEFT: (&str, &str) = ("X-Time-Left-Ms", "800");
const PLACEMENT: (&str, &str) = ("X-Placement", "units=2,shard=0,hosts=2");
const KEY: (&str, &str) = ("Idempotency-Key", "own key");

fn core() -> Core {
    let configuration = Config::parse(CONFIGURATION).expect("a valid configuration");
    let mut core =
        Core::start(&configuration, TableLimits { request_ids: 100, volumes: 50 }, START).expect("it starts");
    core.handle(START, vec![]);
    core
}

fn request(method: &str, target: &str, fields: &[(&str, &str)], body: &str) -> Request {
    let fields: Vec<_> = fields.iter().map(|(name, value)| (*name, value.as_bytes())).collect();
    let mut requests = RequestReader::new(LIMITS);
    requests.bytes.extend_from_slice(&client::request(method, target, "x", &fields, body.as_bytes()));
    match requests.next_event() {
        Ok(RequestEvent::Request(request)) => request,
        other => panic!("{other:?}"),
    }
}

fn line(transcript: &mut String, name: &str, bytes: &[u8]) {
    transcript.push_str(&format!("{name}: {}\n", bytes.escape_ascii()));
}

/// The request of an operation's first attempt, as received by its store.
fn attempt(request: &Request) -> Bytes {
    let mut core = core();
    let now = START + Duration::from_secs(2);
    core.handle(now, vec![]);
    core.admit(ClientId(1), request, now).expect("an operation");
    let effects = core.handle(now, vec![Input::Request { client: ClientId(1), started_at: now }]);
    let sent = effects.iter().find_map(|effect| match effect {
        Effect::StartAttempt { attempt, .. } => Some(*attempt),
        _ => None,
    });
    core.start_attempt(sent.expect("an attempt"), now).expect("it may begin").to_bytes()
}

fn attempts(transcript: &mut String) {
    let fields = [ID, PLAN, TIME_LEFT, PLACEMENT];
    line(transcript, "attempt, read", &attempt(&request("GET", READ, &fields, "")));
    let fields = [ID, PLAN, TIME_LEFT, PLACEMENT, KEY];
    line(transcript, "attempt, write", &attempt(&request("PUT", WRITE, &fields, "data")));
    let fields = [ID, PLAN, TIME_LEFT, ("X-Placement", "units=1.5,shard=-1,hosts=3")];
    line(transcript, "attempt, new object", &attempt(&request("PUT", WRITE, &fields, "data")));
}

fn error_responses(transcript: &mut String) {
    let fields = [ID, PLAN, TIME_LEFT, PLACEMENT];
    let placed = |placement| [ID, PLAN, TIME_LEFT, ("X-Placement", placement)];
    let examples = [
        request("GET", READ, &fields, "body"),
        request("POST", READ, &fields, ""),
        request("GET", "/look", &fields, ""),
        request("GET", "/other/00000000000000aa/00000000000000bb", &fields, ""),
        request("GET", "/look/aa/bb", &fields, ""),
        request("GET", READ, &[ID, ("X-Qos-Policy", "other"), TIME_LEFT, PLACEMENT], ""),
        request("GET", READ, &[ID, TIME_LEFT, PLACEMENT], ""),
        request("GET", READ, &[ID, ID, PLAN, TIME_LEFT, PLACEMENT], ""),
        request("GET", READ, &[("X-Correlation-Id", "c1"), PLAN, TIME_LEFT, PLACEMENT], ""),
        request("GET", READ, &[ID, PLAN, TIME_LEFT, PLACEMENT, KEY, KEY], ""),
        request("GET", READ, &[ID, PLAN, ("X-Time-Left-Ms", "0"), PLACEMENT], ""),
        request("GET", READ, &[ID, PLAN, ("X-Time-Left-Ms", "+8"), PLACEMENT], ""),
        request("GET", READ, &placed("units=9,shard=0,hosts=2"), ""),
        request("GET", READ, &placed("units=2,shard=9,hosts=2"), ""),
        request("GET", READ, &placed("units=2,shard=0,hosts=0"), ""),
        request("GET", READ, &placed("units=2,hosts=2"), ""),
    ];
    for example in examples {
        let error = core().parse_request(&example).expect_err("no operation");
        transcript.push_str(&format!("refused: {} {}\n", error.status, error.message));
    }
    let (mut core, example) = (core(), request("GET", READ, &fields, ""));
    core.admit(ClientId(1), &example, START).expect("an operation");
    core.handle(START, vec![Input::Request { client: ClientId(1), started_at: START }]);
    let error = core.parse_request(&example).expect_err("an open request has this id");
    transcript.push_str(&format!("refused: {} {}\n", error.status, error.message));
}

fn other_requests(transcript: &mut String) {
    for (name, target) in [
        ("discovery, list", protocol::ENDPOINT_LIST.to_string()),
        ("discovery, watch", protocol::watch(7)),
        ("store, load report", protocol::LOAD_REPORT_PATH.to_string()),
        ("own, readiness", protocol::READY.to_string()),
        ("own, liveness", protocol::LIVE.to_string()),
    ] {
        line(transcript, name, &client::request("GET", &target, "127.0.0.1:9", &[], b""));
    }
}

fn list_text(list: &EndpointList) -> String {
    let entries = list.stores.iter().map(|entry| {
        let state = match entry.state {
            StoreState::Ready => "ready",
            StoreState::Draining => "draining",
            StoreState::Gone => "gone",
        };
        let started = entry.started.is_some();
        let (uid, address, zone, shard) = (&entry.uid, entry.address, &entry.zone, entry.shard);
        format!("[{uid} {address} {zone} {shard} {state} started {started}]")
    });
    let entries: Vec<String> = entries.collect();
    format!("{} whole {} {} unknown {:?}", list.version, list.is_complete, entries.join(" "), list.unknown)
}

fn lists(transcript: &mut String) {
    let entry = |uid: &str, state: &str, boot: u64| {
        format!(
            "{{\"uid\":\"{uid}\",\"endpoint\":\"127.0.0.1:7001\",\"az\":\"b\",\
             \"pod_group\":3,\"state\":\"{state}\",\"boot_ms\":{boot}}}"
        )
    };
    let entries = [
        entry("s0", "ready", 0),
        entry("s1", "draining", 1_700_000_000_000),
        entry("s2", "gone", 0),
        entry("s3", "odd", 0),
    ];
    let complete = format!("{{\"rev\":9,\"all\":true,\n \"targets\":[{}]}}\n\n", entries.join(","));
    let mut lines = WatchReader::new(65536);
    lines.bytes.extend_from_slice(complete.as_bytes());
    lines.bytes.extend_from_slice(b"{\"rev\":10,\"all\":false,\"targets\":[]}\n{\"rev\":11}\n");
    for _ in 0..4 {
        let text = match lines.next_event() {
            Ok(Some(WatchEvent::Heartbeat)) => "heartbeat".to_string(),
            Ok(Some(WatchEvent::List(list))) => list_text(&list),
            Ok(None) => "nothing whole".to_string(),
            Err(error) => format!("unreadable: {error}"),
        };
        transcript.push_str(&format!("watch event: {text}\n"));
    }
}

#[test]
fn requests_refusals_and_lists_match_recorded_text() {
    let mut transcript = String::new();
    attempts(&mut transcript);
    error_responses(&mut transcript);
    other_requests(&mut transcript);
    lists(&mut transcript);
    assert!(transcript == RECORDED, "differs from tests/golden/http.txt:\n{transcript}");
}

#[test]
fn configuration_becomes_recorded_settings() {
    let configuration = Config::parse(CONFIGURATION).expect("a valid configuration");
    let settings = &configuration.settings;
    let text: String = settings.iter().map(|(name, value)| format!("{name} = {value}\n")).collect();
    let recorded = include_str!("golden/settings.txt");
    assert!(text == recorded, "differs from tests/golden/settings.txt:\n{text}");
}
