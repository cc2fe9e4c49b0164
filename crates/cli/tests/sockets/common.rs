//! Gateways in this process or in their own processes, between fakes.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use umbertray_config::SettingsDocument;
use umbertray_fakes::client::{CompleteReply, Connection, RequestOutcome};
use umbertray_fakes::fleet::Fleet;
use umbertray_fakes::model::StorePerformance;
use umbertray_fakes::test_folder::TestFolder;
use umbertray_fault_tests::load::{BLOCK_BYTES, block_content, block_mark};
use umbertray_fault_tests::{Record, Scenario, Verdict, judge, run_scenario};
use umbertray_nbd::Errno;
use umbertray_nbd_gateway::{GatewayOptions, RunningGateway};

pub(crate) const KIB: u32 = 1 << 10;

/// Settings of one op type for reads and one for writes; `extra_calls` adds or replaces calls.
pub(crate) fn settings_document(extra_calls: &str) -> SettingsDocument {
    let script = format!(
        r#"
gateway(listen = ["127.0.0.1:0"], list = "127.0.0.1:1", extent = 256 * KiB)
op_type("get", target_latency = 0.5, op_timeout = 3.0, utility = 2)
op_type("put", target_latency = 0.3, op_timeout = 1.0, utility = 2)
request(["read", "status"], op_type = "get")
request(["write", "zero", "trim", "flush"], op_type = "put")
plan("p", rate = 1000)
volume("vol", size = 16 * MiB, plan = "p", gateways = 2)
rules(drain_grace = 0.5, cold_from = 0.5, cold_time = 1, cold_units = 60, fall_multiple = 2, fall_time = 0.2,
      order_pause = 0.1, ask_within = 1)
{extra_calls}
"#
    );
    umbertray_config::read("test.star", script).unwrap_or_else(|problems| panic!("{problems:#?}"))
}

pub(crate) fn fast_performance() -> StorePerformance {
    StorePerformance {
        unit_ms: 0.5,
        cold_speed_fraction: 0.5,
        warm_up_seconds: 1.0,
        crash_multiple: 2.0,
        crash_window_seconds: 0.2,
        ..StorePerformance::default()
    }
}

pub(crate) async fn start_fleet(stores: u32) -> Fleet {
    Fleet::start(stores, fast_performance(), 1).await.expect("stores start on loopback")
}

pub(crate) async fn start_gateway(fleet: &Fleet, seed: u64, document: &SettingsDocument) -> RunningGateway {
    start_gateway_with(fleet, seed, document, None).await
}

/// Starts a gateway that fetches the extent map from a coordinator, if there is one.
pub(crate) async fn start_gateway_with(
    fleet: &Fleet,
    seed: u64,
    document: &SettingsDocument,
    coordinator: Option<std::net::SocketAddr>,
) -> RunningGateway {
    let options = GatewayOptions {
        listen: document.listen.clone(),
        endpoint_list: fleet.list.address,
        coordinator,
        seed,
        state_folder: None,
        changes: None,
    };
    umbertray_nbd_gateway::start(Arc::new(document.settings.clone()), options)
        .await
        .expect("a gateway starts")
}

pub(crate) async fn connect(gateway: &RunningGateway) -> Connection {
    Connection::open(gateway.addresses[0], "vol", true).await.expect("a session opens")
}

/// The contents of `blocks` blocks, the first of which is `block`, after a write with this mark. A mark is
/// the number that identifies a write in its data.
pub(crate) fn block_contents(mark: u64, block: u64, blocks: u32) -> Bytes {
    (block..block + u64::from(blocks)).flat_map(|block| block_content(mark, block)).collect()
}

/// The marks that a read found, one for each block.
pub(crate) fn read_marks(reply: &RequestOutcome, block: u64, blocks: u32) -> Vec<Option<u64>> {
    let reply = expect_acked(reply);
    let bytes = reply
        .bytes(block * u64::from(BLOCK_BYTES), blocks * BLOCK_BYTES)
        .expect("the reply covers its range once");
    bytes.chunks(BLOCK_BYTES as usize).zip(block..).map(|(bytes, block)| block_mark(bytes, block)).collect()
}

/// Returns the reply, which must be a success.
pub(crate) fn expect_acked(reply: &RequestOutcome) -> &CompleteReply {
    let reply = reply.as_ref().expect("a reply");
    assert_eq!(reply.error, None);
    reply
}

pub(crate) fn is_throttled(reply: &RequestOutcome) -> bool {
    matches!(
        reply,
        Some(CompleteReply { error: Some((Errno::NoMem, text)), .. }) if text.starts_with("throttled")
    )
}

/// Retries until the reply is not throttled, as clients do: a throttled request was not executed.
pub(crate) async fn retry_throttled(request: impl AsyncFn() -> RequestOutcome) -> RequestOutcome {
    let retrying = async {
        loop {
            let reply = request().await;
            if !is_throttled(&reply) {
                return reply;
            }
        }
    };
    within(10, "not throttled", retrying).await
}

/// Waits for an event; fails with its name if it does not occur in time.
pub(crate) async fn within<T>(seconds: u64, what: &str, future: impl Future<Output = T>) -> T {
    let result = tokio::time::timeout(Duration::from_secs(seconds), future).await;
    result.unwrap_or_else(|_| panic!("{what}: not within {seconds} s"))
}

/// Runs a scenario of `days/`, which must break no rule.
pub(crate) async fn run_fault_scenario(name: &str, text: &str, seed: u64) -> (Record, Verdict) {
    let scenario = Scenario::read(name, text.into()).unwrap_or_else(|problems| panic!("{problems:#?}"));
    let folder = empty_folder(&format!("{name}-{seed}"));
    let record = run_scenario(&scenario, seed, program_path(), &folder).await;
    let record = record.expect("the scenario runs");
    let verdict = judge(&scenario, &record);
    assert!(
        verdict.has_passed,
        "seed {seed}, reproduce with: umbertray fault-test days/{name} --seed {seed}\n{verdict:#?}"
    );
    (record, verdict)
}

/// Asserts that most requests were served in spite of all faults.
pub(crate) fn assert_mostly_acked(verdict: &Verdict) {
    let all = &verdict.service.all;
    assert!(all.acked * 2 > all.requests, "{all:?}");
}

pub(crate) fn program_path() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_umbertray"))
}

/// Creates an empty folder that only this run uses.
pub(crate) fn empty_folder(name: &str) -> TestFolder {
    TestFolder::create(env!("CARGO_TARGET_TMPDIR"), name).expect("a folder for the test")
}
