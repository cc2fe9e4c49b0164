//! A gateway or two in this process or in their own, with stand-ins around them.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use umbertray_config::SettingsDocument;
use umbertray_fakes::client::{Connection, Ended, Whole};
use umbertray_fakes::fleet::Fleet;
use umbertray_fakes::model::Power;
use umbertray_fault_tests::load::{BLOCK, content, mark};
use umbertray_fault_tests::{Day, Record, Verdict, judge, run_scenario};
use umbertray_nbd::Errno;
use umbertray_nbd_gateway::{GatewayOptions, RunningGateway};

pub const KIB: u32 = 1 << 10;

/// Settings of one op type for reads and one for writes; `more` adds or replaces calls.
pub fn document(more: &str) -> SettingsDocument {
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
{more}
"#
    );
    umbertray_config::read("test.star", script).unwrap_or_else(|problems| panic!("{problems:#?}"))
}

pub fn quick() -> Power {
    Power { unit_ms: 0.5, cold_from: 0.5, cold_s: 1.0, fall_multiple: 2.0, fall_s: 0.2, ..Power::default() }
}

pub async fn fleet(stores: u32) -> Fleet {
    Fleet::start(stores, quick(), 1).await.expect("stores start on loopback")
}

pub async fn gateway(fleet: &Fleet, seed: u64, document: &SettingsDocument) -> RunningGateway {
    gateway_with(fleet, seed, document, None).await
}

/// One that asks a coordinator for the map.
pub async fn gateway_with(
    fleet: &Fleet,
    seed: u64,
    document: &SettingsDocument,
    keeper: Option<std::net::SocketAddr>,
) -> RunningGateway {
    let options = GatewayOptions {
        listen: document.listen.clone(),
        endpoint_list: fleet.list.address,
        coordinator: keeper,
        seed,
        state: None,
        changes: None,
    };
    umbertray_nbd_gateway::start(Arc::new(document.settings.clone()), options)
        .await
        .expect("a gateway starts")
}

pub async fn connect(gateway: &RunningGateway) -> Connection {
    Connection::open(gateway.addresses[0], "vol", true).await.expect("a session opens")
}

/// The content of so many blocks from one on, as a write of this mark leaves them.
pub fn marked(mark: u64, block: u64, blocks: u32) -> Bytes {
    (block..block + u64::from(blocks)).flat_map(|block| content(mark, block)).collect()
}

/// The marks that a read found, block by block.
pub fn marks(ended: &Ended, block: u64, blocks: u32) -> Vec<Option<u64>> {
    let whole = acked(ended);
    let bytes =
        whole.bytes(block * u64::from(BLOCK), blocks * BLOCK).expect("the reply covers its range once");
    bytes.chunks(BLOCK as usize).zip(block..).map(|(bytes, block)| mark(bytes, block)).collect()
}

pub fn acked(ended: &Ended) -> &Whole {
    let whole = ended.as_ref().expect("an answer");
    assert_eq!(whole.error, None);
    whole
}

pub fn throttled(ended: &Ended) -> bool {
    matches!(ended, Some(Whole { error: Some((Errno::NoMem, text)), .. }) if text.starts_with("throttled"))
}

/// Asks until it is not throttled, as clients do: trying again does no harm.
pub async fn patiently(ask: impl AsyncFn() -> Ended) -> Ended {
    let again = async {
        loop {
            let ended = ask().await;
            if !throttled(&ended) {
                return ended;
            }
        }
    };
    within(10, "not throttled", again).await
}

/// A test that waits for ever is a failure that names nothing: it ends here instead.
pub async fn within<T>(seconds: u64, what: &str, future: impl Future<Output = T>) -> T {
    let ended = tokio::time::timeout(Duration::from_secs(seconds), future).await;
    ended.unwrap_or_else(|_| panic!("{what}: not within {seconds} s"))
}

/// Plays a day of `days/`, which must break no rule.
pub async fn played(name: &str, text: &str, seed: u64) -> (Record, Verdict) {
    let day = Day::read(name, text.into()).unwrap_or_else(|problems| panic!("{problems:#?}"));
    let record = run_scenario(&day, seed, program(), &folder(&format!("{name}-{seed}"))).await;
    let record = record.expect("the day plays");
    let verdict = judge(&day, &record);
    assert!(verdict.kept, "seed {seed}, again: umbertray fault-test days/{name} --seed {seed}\n{verdict:#?}");
    (record, verdict)
}

/// Whatever else happened, most was served.
pub fn mostly_acked(verdict: &Verdict) {
    let all = &verdict.service.all;
    assert!(all.acked * 2 > all.asked, "{all:?}");
}

pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_umbertray"))
}

pub fn folder_of(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// A folder of this test's own, emptied first.
pub fn folder(name: &str) -> PathBuf {
    let folder = folder_of(name);
    _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder for the test");
    folder
}
