//! System calls that fail in ways that Linux documents: interrupted, with short counts, transiently. By the
//! operators' terms, all rules hold nevertheless.

use std::path::PathBuf;
use std::sync::OnceLock;
use std::time::Duration;

use tokio::task::JoinSet;
use umbertray_fakes::platform::{Discovery, Store, StoreAction, ok};
use umbertray_fakes::shim::{self, CallFaults};

use crate::common::{Node, config, op, within};

const CLIENTS: u64 = 10;
const REQUESTS: u64 = 20;
/// Attempts of a rejected request, each `RETRY_AFTER` after the last.
const MAX_ATTEMPTS: u64 = 3;
/// The Retry-After that gateways send with these settings.
const RETRY_AFTER: Duration = Duration::from_millis(400);

fn shim_library() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    let build = || {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("shim-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the build folder is writable");
        shim::build(&folder).expect("a C compiler, as the linker of this build")
    };
    BUILT.get_or_init(build).clone()
}

/// Sends requests one after another, over kept connections and over new ones; returns how many were served
/// and how many had no response.
async fn count_responses(faults: CallFaults) -> (u64, u64) {
    let discovery = Discovery::start().await.expect("loopback");
    let store = Store::start(|_, _| StoreAction::Write(ok(&"served".repeat(200)))).await.expect("loopback");
    discovery.list("s0", store.address, 0, "ready");
    let node =
        Node::start_with_environment(&config(discovery.address, 256), &faults.environment(&shim_library()))
            .await;
    let (mut served, mut lost) = (0, 0);
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS {
        let mut connection = node.connect().await;
        let address = node.address;
        clients.spawn(async move {
            let (mut served, mut lost) = (0, 0);
            for n in 0..REQUESTS {
                // A rejected request is not lost: the client retries it after the Retry-After.
                for attempt in 0..MAX_ATTEMPTS {
                    let id = MAX_ATTEMPTS * (1000 * client + n) + attempt;
                    connection.write(&op("look", 0, id, 2000)).await;
                    match connection.response_in_time().await {
                        Some(response) if response.head.status == 200 => {
                            served += 1;
                            break;
                        }
                        Some(_) => tokio::time::sleep(RETRY_AFTER).await,
                        None => {
                            lost += 1;
                            connection = crate::common::ClientConnection::connect(address).await;
                            break;
                        }
                    }
                }
            }
            (served, lost)
        });
    }
    while let Some(counts) = within(60, "the clients", clients.join_next()).await {
        let counts = counts.expect("no client panics");
        (served, lost) = (served + counts.0, lost + counts.1);
    }
    (served, lost)
}

async fn assert_no_response_lost(faults: CallFaults) {
    for seed in 1..=3 {
        let faults = CallFaults { seed, ..faults };
        let (served, lost) = count_responses(faults).await;
        let all = CLIENTS * REQUESTS;
        assert!(lost == 0 && served * 10 >= all * 9, "{faults:?}: {served} of {all} served, {lost} lost");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn interrupted_calls_lose_no_response() {
    assert_no_response_lost(CallFaults { interrupted: 30, ..CallFaults::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn short_reads_and_writes_lose_no_response() {
    assert_no_response_lost(CallFaults { short_reads: 200, ..CallFaults::default() }).await;
    assert_no_response_lost(CallFaults { short_writes: 200, ..CallFaults::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn transient_call_failures_lose_no_response() {
    assert_no_response_lost(CallFaults { transient: 40, ..CallFaults::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn combined_call_faults_lose_no_response() {
    let all = CallFaults {
        interrupted: 30,
        short_reads: 200,
        short_writes: 200,
        transient: 40,
        ..CallFaults::default()
    };
    assert_no_response_lost(all).await;
}
