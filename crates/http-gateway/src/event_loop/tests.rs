//! Tests of what tasks see of inputs that no turn has processed yet.

use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::timeout;
use umbertray_http::Limits;
use umbertray_http::server::{RequestEvent, RequestReader};
use umbertray_http_api::endpoint_list::EndpointList;

use super::*;

const LIMITS: Limits = Limits { head: 8192, body: 65536 };

fn list(version: u64, address: SocketAddr, state: &str) -> String {
    let store = format!(r#""uid":"s0","endpoint":"{address}","az":"a","model":"m","pod_group":0"#);
    let entry = format!(r#"{{{store},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#);
    format!(r#"{{"rev":{version},"all":true,"targets":[{entry}]}}"#)
}

fn start_event_loop(known: &str) -> Rc<EventLoop> {
    let text = crate::watch::tests::scripted_discovery::CONFIG
        .replace(r#""known":{"rev":0,"all":true,"targets":[]}"#, &format!(r#""known":{known}"#));
    let config = Config::parse(&text).expect("a valid configuration");
    crate::watch::tests::scripted_discovery::start_event_loop(&config)
}

fn request() -> Request {
    let fields: [(&str, &[u8]); 4] = [
        ("X-Correlation-Id", b"0000000000000001"),
        ("X-Qos-Policy", b"basic"),
        ("X-Time-Left-Ms", b"1500"),
        ("X-Placement", b"units=1,shard=0,hosts=1"),
    ];
    let target = "/look/00000000000000aa/00000000000000bb";
    let mut reader = RequestReader::new(LIMITS);
    reader.bytes.extend_from_slice(&umbertray_http::client::request("GET", target, "x", &fields, b""));
    match reader.next_event() {
        Ok(RequestEvent::Request(request)) => request,
        other => panic!("{other:?}"),
    }
}

/// Guards against an attempt at a store that a list already received removes: the list is applied by the next
/// turn, and the attempt started before it.
#[tokio::test]
async fn attempt_does_not_start_at_store_that_queued_list_removes() {
    let in_time = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("an address");
        let event_loop = start_event_loop(&list(1, address, "ready"));
        let now = event_loop.clock.now();
        event_loop.turn_at(now).expect("a turn");
        let _op = event_loop.submit(&request(), now).expect("an operation");
        event_loop.turn_at(event_loop.clock.now()).expect("a turn");
        let removed = EndpointList::parse(list(2, address, "gone").as_bytes()).expect("a list");
        event_loop.post(Input::EndpointList(removed));
        let (store, _) = listener.accept().await.expect("the attempt's connection");
        for _ in 0..1000 {
            yield_now().await;
        }
        event_loop.turn_at(event_loop.clock.now()).expect("a turn");
        let is_outcome = |input: &Input| matches!(input, Input::AttemptFinished { .. });
        event_loop.posted(is_outcome).await;
        let was_withheld = event_loop.has_posted(|input| {
            matches!(input, Input::AttemptFinished { outcome: AttemptOutcome::Withheld, .. })
        });
        let written = store.try_read(&mut [0; 64]).unwrap_or_default();
        assert!(was_withheld && written == 0, "{written} bytes");
    };
    let local = LocalSet::new();
    local.run_until(timeout(Duration::from_secs(5), in_time)).await.expect("within 5 s");
}
