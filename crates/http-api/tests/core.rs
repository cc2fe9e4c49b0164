//! The core in virtual time: requests become operations, responses become outcomes, and every operation gets
//! exactly one final response, however it ends.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use umbertray_http::client::ResponseReader;
use umbertray_http::server::{Request, RequestEvent, RequestReader};
use umbertray_http::{Limits, client};
use umbertray_http_api::endpoint_list::{EndpointList, WatchEvent, WatchReader};
use umbertray_http_api::{
    AdmissionError, AttemptId, AttemptOutcome, ClientId, Config, Core, Effect, FinalResponse, Input,
    RequestError, TableLimits,
};
use umbertray_lifecycle::reason::DenialReason;

const LIMITS: Limits = Limits { head: 8192, body: 65536 };
const START: Duration = Duration::from_secs(1_700_000_000);
const TABLE_LIMITS: TableLimits = TableLimits { request_ids: 100, volumes: 50 };

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry(uid: &str, shard: u32, state: &str, boot_ms: u64) -> String {
    let port = 7000 + uid.bytes().map(u16::from).sum::<u16>();
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"127.0.0.1:{port}\",\"az\":\"b\",\"model\":\"m\",\
         \"pod_group\":{shard},\"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":{boot_ms}}}"
    )
}

fn list(rev: u64, all: bool, entries: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, entries.join(","))
}

const SETTINGS: &str = r#"{"discovery":"automatic","failureDomains":["a","b"],"groupSize":2,
    "familyInfo":{"coldUnits":4.0,"maxUnits":6,"meanUnits":2.0,"slotsTotal":2,"writes":[false,true]},
    "limits":{"connIdleS":20.0,"dialTimeoutS":0.2,"maxAttempts":3,"maxRetryAfterS":1.0},
    "profiles":[
      {"name":"look","promiseS":0.2,"deadlineS":1.0,"effect":"free","gain":3.0},
      {"name":"order","promiseS":0.2,"deadlineS":1.0,"effect":"single_shot","gain":2.0}],
    "contracts":[{"name":"basic","rate":5.0,"weight":1.0},{"name":"more","rate":9.0,"weight":2.0}],
    "rules":{"coldFrom":0.5,"coldS":4.0,"drainGraceS":1.0,"fallS":1.0,"tipMultiple":2.0},
    "telemetry":{"fields":["queue","util"],"via":"answers"},"tickS":0.002}"#;

fn config(settings: &str, known: &str) -> String {
    format!(
        r#"{{"name":"g","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"00000000000000ff",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{known},"settings":{settings}}}"#
    )
}

struct Harness {
    core: Core,
    now: Duration,
    clients: u64,
}

impl Harness {
    fn new() -> Harness {
        Harness::with(SETTINGS, &[entry("s0", 0, "ready", 0), entry("s1", 1, "ready", 0)])
    }

    /// A core whose cached list was confirmed by discovery.
    fn with(settings: &str, entries: &[String]) -> Harness {
        let mut harness = Harness::with_stale_list(settings, entries);
        harness.handle(vec![Input::EndpointList(
            EndpointList::parse(list(1, false, &[]).as_bytes()).expect("a list"),
        )]);
        harness
    }

    /// A new core that has only its cached list.
    fn with_stale_list(settings: &str, entries: &[String]) -> Harness {
        let known = list(1, true, entries);
        let config = Config::parse(&config(settings, &known)).expect("a valid configuration");
        let mut harness = Harness {
            core: Core::start(&config, TABLE_LIMITS, START).expect("it starts"),
            now: START,
            clients: 0,
        };
        harness.handle(vec![]);
        harness
    }

    fn handle(&mut self, inputs: Vec<Input>) -> Vec<Effect> {
        let effects = self.core.handle(self.now, inputs);
        assert!(!effects.iter().any(|effect| matches!(effect, Effect::Fatal(_))), "{effects:?}");
        effects
    }

    /// Advances the time, and wakes the core at each of its deadlines.
    fn advance(&mut self, duration: Duration) -> Vec<Effect> {
        let (end, mut effects) = (self.now + duration, Vec::new());
        while let Some(at) = self.core.next_deadline().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            effects.extend(self.handle(vec![Input::TimerExpired]));
        }
        self.now = end;
        effects
    }

    fn submit(&mut self, request: &Request) -> (ClientId, Vec<Effect>) {
        let client = self.admit(request).expect("a request that is an op");
        let effects = self.handle(vec![Input::Request { client, started_at: self.now }]);
        (client, effects)
    }

    /// Admits a request, which the next turn processes.
    fn admit(&mut self, request: &Request) -> Result<ClientId, AdmissionError> {
        self.clients += 1;
        let client = ClientId(self.clients);
        self.core.admit(client, request, self.now).map(|_| client)
    }

    fn finish_attempt(&mut self, attempt: AttemptId, outcome: AttemptOutcome) -> Vec<Effect> {
        self.handle(vec![Input::AttemptFinished { attempt, outcome, finished_at: self.now }])
    }
}

fn request(method: &str, target: &str, fields: &[(&str, &str)], body: &str) -> Request {
    let mut reader = RequestReader::new(LIMITS);
    let fields: Vec<_> = fields.iter().map(|(name, value)| (*name, value.as_bytes())).collect();
    reader.bytes.extend_from_slice(&client::request(method, target, "x", &fields, body.as_bytes()));
    match reader.next_event() {
        Ok(RequestEvent::Request(request)) => request,
        other => panic!("{other:?}"),
    }
}

const TARGET: &str = "/look/00000000000000aa/00000000000000bb";

fn fields<'a>(id: &'a str, placement: &'a str) -> [(&'a str, &'a str); 4] {
    [
        ("X-Correlation-Id", id),
        ("X-Qos-Policy", "more"),
        ("X-Time-Left-Ms", "800"),
        ("X-Placement", placement),
    ]
}

fn look(n: u64) -> Request {
    request("GET", TARGET, &fields(&format!("{n:016x}"), "units=2,shard=0,hosts=2"), "")
}

fn order(n: u64) -> Request {
    let target = "/order/00000000000000aa/00000000000000bb";
    request("PUT", target, &fields(&format!("{n:016x}"), "units=2,shard=0,hosts=2"), "data")
}

fn response_outcome(text: &str) -> AttemptOutcome {
    let mut reader = ResponseReader::new(LIMITS);
    reader.bytes.extend_from_slice(text.as_bytes());
    AttemptOutcome::Response(reader.response().expect("well formed").expect("complete"))
}

fn ok() -> AttemptOutcome {
    response_outcome(
        "HTTP/1.1 200 OK\r\nContent-Type: own/kind\r\nX-Rho: noise\r\n\
         X-Backend-Load: queue=x,util=0.5,\r\nContent-Length: 4\r\n\r\nbody",
    )
}

fn failed() -> AttemptOutcome {
    response_outcome("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
}

fn started_attempts(effects: &[Effect]) -> Vec<(AttemptId, SocketAddr)> {
    let to_attempt = |effect: &Effect| match effect {
        Effect::StartAttempt { attempt, address, .. } => Some((*attempt, *address)),
        _ => None,
    };
    effects.iter().filter_map(to_attempt).collect()
}

fn responses(effects: &[Effect]) -> Vec<(ClientId, FinalResponse)> {
    let to_response = |effect: &Effect| match effect {
        Effect::Respond { client, response: reply } => Some((*client, reply.clone())),
        _ => None,
    };
    effects.iter().filter_map(to_response).collect()
}

fn request_error(request: &Request) -> RequestError {
    Harness::new().core.parse_request(request).expect_err("no op")
}

#[test]
fn nested_and_flat_settings_become_the_same_map() {
    let nested = r#"{"discovery":"subscribe","failureDomains":["hall a","b,c"],"groupSize":3,
        "profiles":[{"name":"x y","promiseS":0.25,"effect":"guarded","stream":false}],
        "familyInfo":{"writes":[false,true],"meanUnits":2.0},"rules":{"askWithinS":10.0}}"#;
    let lines = "discovery=subscribe\nfailureDomains=hall_a,b_c\ngroupSize=3\n\
        profiles.count=1\nprofiles.0.name=x_y\n\
        profiles.0.promiseS=0.25\nprofiles.0.effect=guarded\nprofiles.0.stream=false\n\
        familyInfo.writes=false,true\n\
        familyInfo.meanUnits=2.0\nrules.askWithinS=10.0";
    let config = Config::parse(&config(nested, &list(0, true, &[]))).expect("a valid configuration");
    assert_eq!(config.settings, umbertray_setting_names::from_lines(lines));
    assert_eq!(config.settings["op_types.0.repeats"], "deduplicated");
}

#[test]
fn missing_or_unreadable_configuration_is_named_in_error() {
    let complete = config(SETTINGS, &list(1, true, &[]));
    let error_of = |from: &str, to: &str| match Config::parse(&complete.replace(from, to)) {
        Ok(config) => Core::start(&config, TABLE_LIMITS, START).err().expect("it must not start").to_string(),
        Err(error) => error.to_string(),
    };
    assert!(error_of(r#""seed":"#, r#""sead":"#).contains("`seed`"));
    assert!(error_of("00000000000000ff", "xyz").starts_with("seed: "));
    assert!(error_of("127.0.0.1:1", "nowhere").starts_with("listen: "));
    assert!(error_of("127.0.0.1:2", "").starts_with("discovery: "));
    assert!(error_of(r#""sockets":256"#, r#""sockets":0"#).starts_with("limits: "));
    assert!(error_of(r#""rev":1"#, r#""rev":-1"#).starts_with("known: "));
    assert!(error_of(r#""deadlineS":1.0"#, r#""deadlineS":"x""#).contains("op_types.0.op_timeout"));
    assert!(error_of(r#""name":"basic","#, "").contains("plans.0.name"));
    assert!(error_of("automatic", "told").starts_with("settings: discovery "));
    assert!(error_of(r#""rate":5.0"#, r#""rate":"x""#).starts_with("settings: plans.0.rate "));
    assert!(error_of("{\"name\"", "{name").contains("line 1, column 2"));
}

#[test]
fn malformed_request_is_rejected_with_status() {
    let good = fields("00000000000000ab", "units=2,shard=0,hosts=2");
    let status = |method, target, fields: &[(&str, &str)], body| {
        request_error(&request(method, target, fields, body)).status
    };
    for target in [
        "/look",
        "/look/00000000000000aa",
        "/look/00000000000000aa/00000000000000bb/",
        "look/00000000000000aa/00000000000000bb",
        "/other/00000000000000aa/00000000000000bb",
        "/look/00000000000000a/00000000000000bb",
        "/look/+0000000000000aa/00000000000000bb",
        "/look/00000000000000aa/0000000000000xbb",
        "//00000000000000aa/00000000000000bb",
        "*",
        "http://x/look/00000000000000aa/00000000000000bb",
    ] {
        assert_eq!(status("GET", target, &good, ""), 404, "{target}");
    }
    assert_eq!(status("POST", TARGET, &good, ""), 405);
    assert_eq!(status("GET", TARGET, &good, "a body"), 400);
    for missing in 0..4 {
        let rest: Vec<_> =
            good.iter().enumerate().filter(|(i, _)| *i != missing).map(|(_, field)| *field).collect();
        assert_eq!(status("GET", TARGET, &rest, ""), 400, "without {}", good[missing].0);
        let doubled: Vec<_> = good.iter().chain([&good[missing]]).copied().collect();
        assert_eq!(status("GET", TARGET, &doubled, ""), 400, "{} twice", good[missing].0);
    }
    let wrong = |name: &str, value: &str| {
        let fields = good.map(|(own, text)| (own, if own == name { value } else { text }));
        assert_eq!(status("GET", TARGET, &fields, ""), 400, "{name}: {value}");
    };
    ["", "xyz", "00000000000000a", "00000000000000abc"].iter().for_each(|id| wrong("X-Correlation-Id", id));
    ["", "none", "More"].iter().for_each(|plan| wrong("X-Qos-Policy", plan));
    ["", "soon", "-5", "1.5", "0", "1e3", "99999999999999999999999"]
        .iter()
        .for_each(|left| wrong("X-Time-Left-Ms", left));
    for placement in [
        "",
        "units=2",
        "units=0,shard=0,hosts=1",
        "units=-1,shard=0,hosts=1",
        "units=nan,shard=0,hosts=1",
        "units=7,shard=0,hosts=1",
        "units=1,shard=2,hosts=1",
        "units=1,shard=-2,hosts=1",
        "units=1,shard=x,hosts=1",
        "units=1,shard=0,hosts=0",
        "units=1,shard=0,hosts=inf",
    ] {
        wrong("X-Placement", placement);
    }
}

/// The longest deadline of the settings, for which the id of an executed request stays in use.
const ID_RETENTION: Duration = Duration::from_secs(1);

fn id_status(harness: &Harness, request: &Request) -> u16 {
    harness.core.parse_request(request).map_or_else(|error| error.status, |_| 200)
}

/// Guards against a request that ran twice: its id was checked against the requests that earlier turns had
/// processed, and two requests with one id were read in the same turn.
#[test]
fn id_is_in_use_before_turn_that_processes_its_request() {
    let mut harness = Harness::new();
    let first = harness.admit(&order(7)).expect("the first request with its id");
    let second = harness.admit(&order(7)).expect_err("the second request with its id");
    assert!(matches!(second, AdmissionError::Invalid(RequestError { status: 409, .. })), "{second}");
    let started_at = harness.now;
    let effects = harness.handle(vec![
        Input::Request { client: first, started_at },
        Input::Request { client: ClientId(2), started_at },
    ]);
    assert_eq!(started_attempts(&effects).len(), 1);
}

/// Guards against an id that is used again before its client's disconnect or its response was processed.
#[test]
fn id_stays_in_use_when_client_disconnects_before_its_turn() {
    let mut harness = Harness::new();
    let client = harness.admit(&order(7)).expect("a request that is an op");
    assert_eq!(id_status(&harness, &order(7)), 409);
    let started_at = harness.now;
    let inputs = vec![Input::Request { client, started_at }, Input::ClientDisconnected(client)];
    assert!(started_attempts(&harness.handle(inputs)).is_empty());
    assert_eq!(id_status(&harness, &order(7)), 200, "it was never sent");
}

/// A client uses a new id for each request (protocol page, "Clients to gateways"). The id of a request that
/// was executed is in use until no client can be waiting for it any more, and longer while there is capacity.
#[test]
fn id_of_executed_request_is_rejected() {
    let mut harness = Harness::new();
    let (_, effects) = harness.submit(&look(7));
    assert_eq!(id_status(&harness, &look(7)), 409);
    let attempt = started_attempts(&effects)[0].0;
    harness.core.start_attempt(attempt, harness.now).expect("it may begin");
    harness.finish_attempt(attempt, ok());
    assert_eq!(id_status(&harness, &look(7)), 409);
    harness.advance(2 * ID_RETENTION);
    assert_eq!(id_status(&harness, &look(7)), 409);
}

/// Guards against a once-only request that ran twice: its id was forgotten with its client, while the store
/// could still execute it.
#[test]
fn id_of_disconnected_client_is_rejected_while_store_may_execute_request() {
    let mut harness = Harness::new();
    let (client, effects) = harness.submit(&order(7));
    let attempt = started_attempts(&effects)[0].0;
    harness.core.start_attempt(attempt, harness.now).expect("it may begin");
    harness.handle(vec![Input::ClientDisconnected(client)]);
    assert_eq!(id_status(&harness, &order(7)), 409);
    harness.finish_attempt(attempt, AttemptOutcome::TimedOut);
    assert_eq!(id_status(&harness, &order(7)), 409);
}

/// Hexadecimal digits of either case are one id.
#[test]
fn id_in_upper_case_is_id_of_open_request() {
    let mut harness = Harness::new();
    harness.submit(&look(0xabc));
    let id = format!("{:016X}", 0xabc);
    let upper_case = request("GET", TARGET, &fields(&id, "units=2,shard=0,hosts=2"), "");
    assert_eq!(id_status(&harness, &upper_case), 409);
}

/// With all capacity in use, a new id is rejected until an old one has been retained for long enough; then
/// the oldest one is forgotten.
#[test]
fn ids_beyond_capacity_are_rejected_until_oldest_is_forgotten() {
    let mut harness = Harness::new();
    for n in 0..TABLE_LIMITS.request_ids as u64 {
        harness.admit(&order(n)).expect("within capacity");
        let client = ClientId(harness.clients);
        let effects = harness.handle(vec![Input::Request { client, started_at: harness.now }]);
        match started_attempts(&effects).first() {
            Some((attempt, _)) => {
                harness.core.start_attempt(*attempt, harness.now).expect("it may begin");
                harness.finish_attempt(*attempt, ok());
            }
            None => panic!("attempt {n} is not started"),
        }
        harness.advance(ms(1));
    }
    assert_eq!(harness.admit(&order(1000)), Err(AdmissionError::TooManyIds));
    harness.advance(ID_RETENTION);
    assert_eq!(id_status(&harness, &order(0)), 409, "remembered while there is no need to forget it");
    harness.admit(&order(1000)).expect("the oldest id is forgotten");
    assert_eq!((id_status(&harness, &order(0)), id_status(&harness, &order(1))), (200, 409));
}

/// Guards against memory that grows with every name that clients send: volumes that owe nothing are
/// forgotten, and beyond the limit a volume is rejected until others are.
#[test]
fn volumes_beyond_limit_are_rejected_until_others_are_forgotten() {
    let mut harness = Harness::new();
    let of_volume = |n: u64| {
        let target = format!("/look/{n:016x}/00000000000000bb");
        request("GET", &target, &fields(&format!("{n:016x}"), "units=2,shard=0,hosts=2"), "")
    };
    let mut n = 0;
    let rejected = loop {
        n += 1;
        match harness.admit(&of_volume(n)) {
            Ok(client) => _ = harness.handle(vec![Input::Request { client, started_at: harness.now }]),
            Err(error) => break error,
        }
        assert!(n <= 10 * TABLE_LIMITS.volumes as u64, "volume {n} is admitted");
        harness.core.set_table_limits(TableLimits { request_ids: 10_000, ..TABLE_LIMITS });
    };
    assert_eq!(rejected, AdmissionError::TooManyVolumes);
    harness.admit(&of_volume(1)).expect_err("its id is in use; its volume is known");
    harness.advance(ms(60_000));
    for n in n..n + 2 * TABLE_LIMITS.volumes as u64 {
        let client = harness.admit(&of_volume(n)).expect("others were forgotten");
        harness.handle(vec![Input::Request { client, started_at: harness.now }]);
    }
}

#[test]
fn attempt_carries_checked_request_and_response_carries_store_body() {
    let mut harness = Harness::new();
    let target = "/order/00000000000000aa/00000000000000bb?x=1&y";
    let mut fields = fields("00000000000000AB", "units=2,shard=1,hosts=2").to_vec();
    fields.push(("X-Repeat", "1"));
    let (client, effects) = harness.submit(&request("PUT", target, &fields, "data"));
    let [(attempt, address)] = started_attempts(&effects)[..] else { panic!("{effects:?}") };
    assert_eq!(address.port(), 7000 + u16::from(b's') + u16::from(b'1'));
    let bytes = harness.core.start_attempt(attempt, harness.now + ms(100)).expect("not cancelled").to_bytes();
    let mut reader = RequestReader::new(LIMITS);
    reader.bytes.extend_from_slice(&bytes);
    let Ok(RequestEvent::Request(sent)) = reader.next_event() else { panic!("our own request is read") };
    assert_eq!((&*sent.method, &*sent.target, &sent.body[..]), ("PUT", target, &b"data"[..]));
    assert_eq!(sent.headers.single("X-Correlation-Id"), Ok(Some(&b"00000000000000AB"[..])));
    let left = std::str::from_utf8(sent.headers.single("X-Time-Left-Ms").expect("once").expect("present"))
        .expect("text");
    assert!((500..=700).contains(&left.parse::<u64>().expect("a number")), "what is left: {left}");
    assert!(sent.headers.all("X-Repeat").next().is_none() && reader.bytes.is_empty());
    let effects = harness.finish_attempt(attempt, ok());
    let expected = FinalResponse::Succeeded {
        content_type: Some(Bytes::from_static(b"own/kind")),
        body: Bytes::from_static(b"body"),
    };
    assert_eq!(responses(&effects), [(client, expected)]);
    assert_eq!(harness.core.open_requests(), 0);
}

/// For each outcome of an attempt: whether an operation that must not run twice is retried, and its final
/// response.
#[test]
fn outcomes_distinguish_not_executed_from_maybe_executed() {
    let rejected = || response_outcome("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    let expired = || response_outcome("HTTP/1.1 504 Over\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    let busy = || response_outcome("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    let failed = || response_outcome("HTTP/1.1 500 Oh\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    type Make<'a> = &'a dyn Fn() -> AttemptOutcome;
    let cases: [(&str, Make, bool); 8] = [
        ("rejected", &rejected, false),
        ("expired", &expired, false),
        ("never written", &|| AttemptOutcome::NeverWritten, false),
        ("busy, without X-Unprocessed", &busy, true),
        ("failed", &failed, true),
        ("broken", &|| AttemptOutcome::Broken, true),
        ("timed out", &|| AttemptOutcome::TimedOut, true),
        ("cancelled", &|| AttemptOutcome::Cancelled, true),
    ];
    for (name, outcome, may_have_run) in cases {
        let mut harness = Harness::new();
        let (client, effects) = harness.submit(&order(1));
        let (mut all, mut attempts) = (Vec::new(), started_attempts(&effects));
        let mut retries = 0;
        while let Some((attempt, _)) = attempts.pop() {
            let mut effects = harness.finish_attempt(attempt, outcome());
            effects.extend(harness.advance(ms(100)));
            attempts.extend(started_attempts(&effects));
            retries += started_attempts(&effects).len();
            all.extend(effects);
        }
        all.extend(harness.advance(ms(900)));
        let final_responses: Vec<_> = responses(&all).into_iter().filter(|(id, _)| *id == client).collect();
        assert_eq!(final_responses.len(), 1, "{name}: one final response, {final_responses:?}");
        if may_have_run {
            assert_eq!(
                (retries, &final_responses[0].1),
                (0, &FinalResponse::Failed),
                "{name}: neither retried nor reported as safe to retry"
            );
        } else {
            assert!(
                matches!(final_responses[0].1, FinalResponse::Rejected { .. }),
                "{name}: {:?}",
                final_responses[0].1
            );
        }
        assert_eq!(harness.core.open_requests(), 0, "{name}");
    }
}

#[test]
fn operation_without_outcome_is_answered_by_its_deadline() {
    let mut harness = Harness::new();
    let (client, _) = harness.submit(&look(1));
    let early = harness.advance(ms(700));
    assert!(responses(&early).is_empty());
    let final_responses = responses(&harness.advance(ms(100)));
    assert!(
        matches!(&final_responses[..], [(id, FinalResponse::Rejected { .. })] if *id == client),
        "{final_responses:?}"
    );
}

#[test]
fn shutdown_answers_every_open_operation_in_time() {
    let mut harness = Harness::new();
    let (first, _) = harness.submit(&order(1));
    let end = harness.now + ms(300);
    let mut effects = harness.handle(vec![Input::ShuttingDown(end)]);
    effects.extend(harness.advance(ms(100)));
    assert_eq!(responses(&effects), []);
    let (second, sent_on) = harness.submit(&look(2));
    effects.extend(sent_on);
    // The scheduler checks its operations at intervals of a sixteenth of the target latency.
    effects.extend(harness.advance(ms(213)));
    let mut answered: Vec<ClientId> = responses(&effects).into_iter().map(|(client, _)| client).collect();
    answered.sort();
    assert_eq!(answered, [first, second]);
    assert_eq!(harness.core.open_requests(), 0);
}

#[test]
fn late_outcome_after_final_response_has_no_effect() {
    let mut harness = Harness::new();
    let (_, effects) = harness.submit(&look(1));
    harness.advance(ms(900));
    let attempt = started_attempts(&effects)[0].0;
    assert_eq!(
        harness.core.start_attempt(attempt, harness.now),
        Err(DenialReason::RequestEnded),
        "rule 1: no attempt after the final response"
    );
    let effects = harness.finish_attempt(attempt, ok());
    assert!(responses(&effects).is_empty() && started_attempts(&effects).is_empty());
    assert!(harness.finish_attempt(attempt, ok()).is_empty(), "the operation is forgotten");
}

#[test]
fn disconnected_client_gets_no_response_and_its_attempt_does_not_start() {
    let mut harness = Harness::new();
    let (client, effects) = harness.submit(&look(1));
    harness.handle(vec![Input::ClientDisconnected(client)]);
    let attempt = started_attempts(&effects)[0].0;
    assert_eq!(harness.core.start_attempt(attempt, harness.now), Err(DenialReason::RequestEnded));
    assert!(responses(&harness.finish_attempt(attempt, AttemptOutcome::NeverWritten)).is_empty());
    assert!(harness.core.parse_request(&look(1)).is_ok(), "its id can be used again");
}

#[test]
fn attempt_to_store_past_drain_grace_does_not_start() {
    let mut harness = Harness::new();
    let read = |text: String| EndpointList::parse(text.as_bytes()).expect("a list");
    let (_, first) = harness.submit(&look(1));
    let first = started_attempts(&first)[0].0;
    harness.handle(vec![Input::EndpointList(read(list(2, false, &[entry("s0", 0, "draining", 0)])))]);
    assert!(harness.core.start_attempt(first, harness.now + ms(500)).is_ok(), "rule 3: within the grace");
    assert_eq!(
        harness.core.start_attempt(first, harness.now + ms(1000)),
        Err(DenialReason::DrainGraceExpired),
        "rule 3: beyond the grace"
    );
    for dropped in [1, 0] {
        let effects =
            harness.handle(vec![Input::EndpointList(read(list(3, true, &[entry("s1", 1, "ready", 0)])))]);
        assert_eq!(
            effects.iter().filter(|effect| matches!(effect, Effect::CloseIdleConnections { .. })).count(),
            dropped
        );
    }
    assert_eq!(
        harness.core.start_attempt(first, harness.now),
        Err(DenialReason::StoreGone),
        "rule 3: missing from the complete list"
    );
}

#[test]
fn boot_timestamp_is_converted_to_scheduler_clock() {
    let mut harness = Harness::new();
    harness.advance(ms(2000));
    let started = (harness.now - ms(500)).as_millis() as u64;
    let entries = [entry("s0", 0, "gone", 0), entry("s2", 0, "ready", started)];
    harness.handle(vec![Input::EndpointList(
        EndpointList::parse(list(2, false, &entries).as_bytes()).expect("a list"),
    )]);
    // A cold store gets a part of its usual load, spread evenly over time.
    let mut effects = Vec::new();
    for n in 0..12 {
        effects.extend(harness.submit(&look(n)).1);
    }
    effects.extend(harness.advance(ms(150)));
    let count = started_attempts(&effects).len();
    assert!((1..=2).contains(&count), "a store that has just started gets reduced load: {count}");
}

#[test]
fn valid_new_settings_apply_and_invalid_ones_change_nothing() {
    let mut harness = Harness::new();
    let read =
        |text: &str| Config::parse(&config(text, &list(1, true, &[]))).expect("a configuration").settings;
    harness.handle(vec![Input::SettingsChanged(read(
        &SETTINGS.replace(r#""name":"more""#, r#""name":"other""#),
    ))]);
    assert_eq!(harness.core.parse_request(&look(1)).expect_err("the plan has another name").status, 400);
    let effects =
        harness.handle(vec![Input::SettingsChanged(read(&SETTINGS.replace("profiles", "nothing")))]);
    assert!(matches!(&effects[..], [Effect::Log(text)] if text.contains("op_types.count")), "{effects:?}");
    assert_eq!(
        harness.core.parse_request(&look(1)).expect_err("the previous settings stay in force").status,
        400
    );
    let endless = SETTINGS.replace(r#""contracts":["#, r#""contracts":{"count":900000000000},"others":["#);
    let effects = harness.handle(vec![Input::SettingsChanged(read(&endless))]);
    assert!(matches!(&effects[..], [Effect::Log(text)] if text.contains("plans.0.name")), "{effects:?}");
    // Settings that the scheduler does not accept must not affect the parsing of requests either.
    let unreadable = r#""contracts":[{"name":"new","rate":5.0,"weight":"heavy"},"#;
    let effects =
        harness.handle(vec![Input::SettingsChanged(read(&SETTINGS.replace(r#""contracts":["#, unreadable)))]);
    assert!(matches!(&effects[..], [Effect::Log(text)] if text.contains("weight")), "{effects:?}");
    let new = fields("00000000000000ab", "units=2,shard=0,hosts=2")
        .map(|(name, value)| (name, if value == "more" { "new" } else { value }));
    assert_eq!(
        harness
            .core
            .parse_request(&request("GET", TARGET, &new, ""))
            .expect_err("the previous settings stay in force")
            .status,
        400
    );
}

/// Open operations and the scheduler refer to types and plans by position. If a reordered file changed these
/// positions, an open operation that must not run twice could get another type and be sent again.
#[test]
fn changed_settings_keep_positions_of_op_types_and_plans() {
    let read =
        |text: &str| Config::parse(&config(text, &list(1, true, &[]))).expect("a configuration").settings;
    let look_type = r#"{"name":"look","promiseS":0.2,"deadlineS":1.0,"effect":"free","gain":3.0}"#;
    let order_type = r#"{"name":"order","promiseS":0.2,"deadlineS":1.0,"effect":"single_shot","gain":2.0}"#;
    let both = format!("{look_type},\n      {order_type}");
    assert!(SETTINGS.contains(&both));
    let swapped = SETTINGS.replace(&both, &format!("{order_type},{look_type}"));
    for new_settings in [swapped, SETTINGS.replace(&both, look_type)] {
        let mut harness = Harness::new();
        let (client, effects) = harness.submit(&order(1));
        harness.handle(vec![Input::SettingsChanged(read(&new_settings))]);
        let attempt = started_attempts(&effects)[0].0;
        let mut effects = harness.finish_attempt(attempt, failed());
        effects.extend(harness.advance(ms(100)));
        assert_eq!(responses(&effects), [(client, FinalResponse::Failed)], "rule 2: it may have run");
        assert!(started_attempts(&effects).is_empty(), "rule 2: it may have run");
        assert_eq!(harness.core.parse_request(&order(2)).is_ok(), new_settings.contains(order_type));
        assert!(harness.core.parse_request(&look(3)).is_ok());
        // Then the original settings again.
        harness.handle(vec![Input::SettingsChanged(read(SETTINGS))]);
        let (client, effects) = harness.submit(&order(4));
        let mut effects = harness.finish_attempt(started_attempts(&effects)[0].0, failed());
        effects.extend(harness.advance(ms(100)));
        assert_eq!(
            (responses(&effects), started_attempts(&effects)),
            (vec![(client, FinalResponse::Failed)], vec![])
        );
    }
    let mut harness = Harness::new();
    let without = SETTINGS.replace(r#"{"name":"basic","rate":5.0,"weight":1.0},"#, "");
    harness.handle(vec![Input::SettingsChanged(read(&without))]);
    assert!(harness.core.parse_request(&look(1)).is_ok(), "its plan still exists");
    let basic = fields("00000000000000ab", "units=2,shard=0,hosts=2")
        .map(|(name, value)| (name, if value == "more" { "basic" } else { value }));
    let error =
        harness.core.parse_request(&request("GET", TARGET, &basic, "")).expect_err("the plan was removed");
    assert_eq!(error.status, 400);
}

/// Regression test: attempts of deduplicated operations were sent without the idempotency key by which stores
/// recognise a retry.
#[test]
fn idempotency_key_goes_with_every_attempt_unchanged() {
    let settings = SETTINGS
        .replace(r#""effect":"single_shot""#, r#""effect":"guarded","dedupScope":"all","windowS":5.0"#);
    let mut harness = Harness::with(&settings, &[entry("s0", 0, "ready", 0)]);
    let bytes = |harness: &mut Harness, attempt| {
        let bytes = harness.core.start_attempt(attempt, harness.now).expect("it may begin").to_bytes();
        String::from_utf8(bytes.to_vec()).expect("text")
    };
    let mut fields = fields("00000000000000ab", "units=2,shard=0,hosts=2").to_vec();
    fields.push(("Idempotency-Key", "\"Key 7\""));
    let (_, effects) =
        harness.submit(&request("PUT", "/order/00000000000000aa/00000000000000bb", &fields, "data"));
    let (first, _) = started_attempts(&effects)[0];
    assert!(bytes(&mut harness, first).contains("\r\nIdempotency-Key: \"Key 7\"\r\n"));
    let mut effects = harness.finish_attempt(first, AttemptOutcome::Broken);
    effects.extend(harness.advance(ms(150)));
    let (second, _) = started_attempts(&effects)[0];
    assert!(bytes(&mut harness, second).contains("\r\nIdempotency-Key: \"Key 7\"\r\n"));
    fields.push(("Idempotency-Key", "another"));
    let doubled = request("PUT", "/order/00000000000000aa/00000000000000bb", &fields, "data");
    assert_eq!(request_error(&doubled).status, 400, "stores would receive two idempotency keys");
    let (_, effects) = harness.submit(&look(1));
    assert!(
        started_attempts(&effects)
            .iter()
            .all(|(attempt, _)| !bytes(&mut harness, *attempt).contains("Idempotency-Key"))
    );
}

/// A deduplicated operation whose first attempt may have been executed, and a retry that is decided on within
/// the deduplication window of the stores, here 600 ms. The connection of the retry is established late.
fn with_decided_retry(repeats: &str) -> (Harness, AttemptId) {
    let settings = SETTINGS.replace(r#""effect":"single_shot""#, repeats);
    let mut harness = Harness::with(&settings, &[entry("s0", 0, "ready", 0)]);
    let (_, effects) = harness.submit(&order(1));
    let (first, _) = started_attempts(&effects)[0];
    assert!(harness.core.start_attempt(first, harness.now).is_ok());
    harness.advance(ms(20));
    let mut effects = harness.finish_attempt(first, AttemptOutcome::Broken);
    effects.extend(harness.advance(ms(130)));
    let (second, _) = started_attempts(&effects)[0];
    (harness, second)
}

const DEDUPLICATED: &str = r#""effect":"guarded","dedupScope":"all","windowS":0.6"#;

/// Rule 2: the retry started after stores had forgotten the idempotency key.
#[test]
fn retry_past_deduplication_window_does_not_start() {
    for (wait, expected) in [(400, Ok(())), (500, Err(DenialReason::MayHaveRun))] {
        let (mut harness, second) = with_decided_retry(DEDUPLICATED);
        harness.now += ms(wait);
        assert_eq!(
            harness.core.start_attempt(second, harness.now).map(drop),
            expected,
            "{wait} ms after it was decided on"
        );
        harness.finish_attempt(second, AttemptOutcome::Withheld);
    }
}

/// Rule 2: the settings in force at the start of an attempt apply, not those at its decision.
#[test]
fn retry_of_type_that_became_not_idempotent_does_not_start() {
    let (mut harness, second) = with_decided_retry(DEDUPLICATED);
    assert!(harness.core.start_attempt(second, harness.now).is_ok());
    let (mut harness, second) = with_decided_retry(DEDUPLICATED);
    let once_only = Config::parse(&config(SETTINGS, &list(1, true, &[]))).expect("a configuration").settings;
    harness.handle(vec![Input::SettingsChanged(once_only)]);
    assert_eq!(harness.core.start_attempt(second, harness.now), Err(DenialReason::MayHaveRun));
}

/// The attempts of a disconnected client are cancelled, unless they have been written completely.
#[test]
fn disconnected_client_cancels_unwritten_attempts() {
    let mut harness = Harness::new();
    let (client, effects) = harness.submit(&order(1));
    let (attempt, _) = started_attempts(&effects)[0];
    assert_eq!(harness.core.waiting_client(attempt), Some(client));
    let effects = harness.handle(vec![Input::ClientDisconnected(client)]);
    assert!(effects.contains(&Effect::CancelUnlessWritten { attempt }), "{effects:?}");
    assert_eq!(harness.core.waiting_client(attempt), None);
    assert_eq!(harness.core.start_attempt(attempt, harness.now), Err(DenialReason::RequestEnded));
    // The cancellation by this gateway says nothing about the store: the next operation is sent to it at
    // once.
    harness.finish_attempt(attempt, AttemptOutcome::Withheld);
    let (_, effects) = harness.submit(&look(2));
    assert_eq!(started_attempts(&effects).len(), 1);
}

/// The number of retries from one store of a shard to another, with one zone each, after the first attempt
/// may have been executed. Repeats are deduplicated per zone, and the settings may name other zones by then.
fn retries_after_broken_attempt(zones: [&str; 2], settings_name: &str) -> usize {
    let in_zone = SETTINGS.replace(
        r#""deadlineS":1.0,"effect":"single_shot""#,
        r#""deadlineS":1.0,"effect":"guarded","dedupScope":"zone","windowS":5.0"#,
    );
    let zoned = |store: usize, state: &str| {
        let zone = format!(r#""az":"{}""#, zones[store]);
        entry(&format!("s{store}"), 0, state, 0).replace(r#""az":"b""#, &zone)
    };
    let mut harness = Harness::with(&in_zone, &[zoned(0, "ready"), zoned(1, "ready")]);
    let (_, effects) = harness.submit(&order(1));
    let (attempt, address) = started_attempts(&effects)[0];
    let first = usize::from(address.port() - 7000 - u16::from(b's') - u16::from(b'0'));
    let named = in_zone.replace(r#"["a","b"]"#, settings_name);
    let settings = Config::parse(&config(&named, &list(1, true, &[]))).expect("a configuration").settings;
    harness.handle(vec![Input::SettingsChanged(settings)]);
    let gone = list(2, false, &[zoned(first, "gone")]);
    harness.handle(vec![Input::EndpointList(EndpointList::parse(gone.as_bytes()).expect("a list"))]);
    let mut effects = harness.finish_attempt(attempt, AttemptOutcome::Broken);
    effects.extend(harness.advance(ms(300)));
    started_attempts(&effects).len()
}

#[test]
fn unnamed_zones_get_distinct_numbers() {
    assert_eq!(retries_after_broken_attempt(["near", "near"], r#"["a","b"]"#), 1);
    assert_eq!(
        retries_after_broken_attempt(["near", "far"], r#"["a","b"]"#),
        0,
        "rule 2: two zones that have no name"
    );
    assert_eq!(
        retries_after_broken_attempt(["a", "b"], r#"["b","a"]"#),
        0,
        "rule 2: stores listed before the settings renamed the zones"
    );
}

/// An unknown state in one entry must not hide the other entries of the list.
#[test]
fn unknown_store_state_is_logged_and_treated_as_gone() {
    let mut harness = Harness::new();
    let entries = [entry("s0", 0, "asleep", 0), entry("s1", 1, "ready", 0), entry("s2", 0, "ready", 0)];
    let list = EndpointList::parse(list(2, true, &entries).as_bytes()).expect("the rest is a list");
    let effects = harness.handle(vec![Input::EndpointList(list)]);
    let expected = "version 2, entry s0: state \"asleep\"";
    let is_expected = |effect: &Effect| matches!(effect, Effect::Log(text) if text.contains(expected));
    assert!(effects.iter().any(is_expected), "{effects:?}");
    let (_, effects) = harness.submit(&look(1));
    let port = 7000 + u16::from(b's') + u16::from(b'2');
    assert!(
        started_attempts(&effects).iter().all(|(_, address)| address.port() == port)
            && !started_attempts(&effects).is_empty()
    );
}

#[test]
fn split_lists_are_read_and_malformed_ones_are_located() {
    let text = format!(
        "{}\n\n{}\r\n",
        list(4, true, &[entry("s0", 0, "ready", 5)]),
        list(5, false, &[entry("s0", 0, "gone", 5)])
    );
    for step in [1, 7, 1000] {
        let (mut lines, mut read) = (WatchReader::new(1 << 20), Vec::new());
        for part in text.as_bytes().chunks(step) {
            lines.bytes.extend_from_slice(part);
            while let Some(line) = lines.next_event().expect("well formed") {
                read.push(line);
            }
        }
        let versions = read.iter().map(|line| match line {
            WatchEvent::Heartbeat => 0,
            WatchEvent::List(list) => list.version,
        });
        assert_eq!(versions.collect::<Vec<_>>(), [4, 0, 5]);
    }
    let wrong = |text: &str| EndpointList::parse(text.as_bytes()).expect_err("not a list").to_string();
    assert!(
        wrong(&list(9, true, &[entry("s7", 0, "ready", 0).replace("127.0.0.1", "x")]))
            .contains("entry s7: endpoint")
    );
    assert!(wrong("{\"rev\":1").contains("line 1"));
    let mut endless = WatchReader::new(1 << 20);
    endless.bytes.extend_from_slice(&vec![b'a'; (1 << 20) + 1]);
    assert!(endless.next_event().is_err());
}

/// Regression test: indented objects on a watch were rejected as unreadable, and the complete list was
/// fetched again each time.
#[test]
fn indented_watch_object_is_read_as_one_event() {
    let text = "{\n  \"rev\": 7, \"all\": false,\n  \"targets\": [\n    {\"uid\": \"a}\\\"\",\
        \x20\"endpoint\": \"127.0.0.1:1\",\n     \"state\": \"gone\"}\n  ]\n}\n\n\
        {\"rev\":8,\"all\":true,\"targets\":[]}\n";
    for piece in [1, 3, text.len()] {
        let (mut lines, mut read) = (WatchReader::new(1 << 20), Vec::new());
        for bytes in text.as_bytes().chunks(piece) {
            lines.bytes.extend_from_slice(bytes);
            while let Some(line) = lines.next_event().expect("it can be read") {
                read.push(line);
            }
        }
        let [WatchEvent::List(first), WatchEvent::Heartbeat, WatchEvent::List(second)] = &read[..] else {
            panic!("{read:?}")
        };
        assert_eq!((first.version, &*first.stores[0].uid, second.version), (7, "a}\"", 8));
    }
    let mut broken = WatchReader::new(1 << 20);
    broken.bytes.extend_from_slice(b"{\"rev\": \"never closed\n{}\n");
    assert!(broken.next_event().is_err(), "an unclosed string at the end of a line ends the event");
}

/// A change in the first list of a process counts as notified one drain grace earlier, because an earlier
/// process may already have been notified of it. A drain in that list therefore has no grace left.
#[test]
fn drain_in_first_list_of_process_has_no_grace() {
    let stores = |state| [entry("s0", 0, state, 0), entry("s1", 1, "ready", 0)];
    let list_input = |version, state| {
        Input::EndpointList(
            EndpointList::parse(list(version, true, &stores(state)).as_bytes()).expect("a list"),
        )
    };
    for known in ["ready", "draining"] {
        let mut harness = Harness::with_stale_list(SETTINGS, &stores(known));
        let (_, early) = harness.submit(&look(1));
        assert_eq!(started_attempts(&early).is_empty(), known == "draining", "{early:?}");
        harness.handle(vec![list_input(2, "draining")]);
        if let Some((attempt, _)) = started_attempts(&early).first() {
            assert_eq!(
                harness.core.start_attempt(*attempt, harness.now),
                Err(DenialReason::DrainGraceExpired),
                "rule 3: decided on the earlier list"
            );
        }
        assert!(started_attempts(&harness.submit(&look(2)).1).is_empty(), "known as {known}");
        // From now on, changes count as notified when they are received.
        harness.handle(vec![list_input(3, "ready"), list_input(4, "draining")]);
        assert!(!started_attempts(&harness.submit(&look(3)).1).is_empty(), "known as {known}");
    }
}

/// A drain missed during a silence of the watch counts as notified although it was not received, so its grace
/// may have expired by the time it is received.
#[test]
fn drain_received_after_watch_silence_has_no_grace() {
    for silent in [false, true] {
        let mut harness = Harness::new();
        harness.handle(if silent { vec![Input::EndpointListFailed] } else { Vec::new() });
        let list_input = |version, state| {
            let entries = [entry("s0", 0, state, 0), entry("s1", 1, "ready", 0)];
            Input::EndpointList(
                EndpointList::parse(list(version, true, &entries).as_bytes()).expect("a list"),
            )
        };
        harness.handle(vec![list_input(2, "draining")]);
        let (_, effects) = harness.submit(&look(1));
        assert_eq!(started_attempts(&effects).is_empty(), silent, "{effects:?}");
        // Changes on a working watch count as notified when they are received.
        harness.handle(vec![list_input(3, "ready")]);
        harness.handle(vec![list_input(4, "draining")]);
        let (_, effects) = harness.submit(&look(2));
        assert!(!started_attempts(&effects).is_empty(), "{effects:?}");
    }
}
