//! `umbertray serve` with system calls that are interrupted, return short counts or fail transiently.

use std::time::Duration;

use tokio::task::JoinSet;
use umbertray_fakes::client::Connection;
use umbertray_fakes::shim::{self, CallFaults};
use umbertray_fault_tests::process::Gateway;

use crate::common::{block_contents, empty_folder, program_path, start_fleet, within};

const SCRIPT: &str = r#"
op_type("all", target_latency = 1.0, op_timeout = 4.0, utility = 2)
request(["read", "status", "write", "zero", "trim", "flush"], op_type = "all")
plan("p", rate = 1000)
volume("vol", size = 16 * MiB, plan = "p", gateways = 1)
rules(drain_grace = 0.5, cold_from = 0.5, cold_time = 1, cold_units = 60, fall_multiple = 2, fall_time = 0.2,
      order_pause = 0.1, ask_within = 1)
"#;
const CLIENTS: u64 = 4;
const WRITES: u64 = 15;

/// Writes one block after another; returns the number of writes without any reply.
async fn count_lost_writes(address: std::net::SocketAddr, client: u64) -> u64 {
    let Ok(Ok(connection)) =
        tokio::time::timeout(Duration::from_secs(5), Connection::open(address, "vol", true)).await
    else {
        return WRITES;
    };
    let mut lost = 0;
    for number in 0..WRITES {
        let block = 64 * client + number;
        let written = connection.write(block * 4096, block_contents(block + 1, block, 1));
        let replied = tokio::time::timeout(Duration::from_secs(6), written).await;
        lost += u64::from(!matches!(replied, Ok(Some(_))));
    }
    lost
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_under_failing_or_short_calls_loses_no_reply() {
    let folder = empty_folder("failing-calls");
    let library = shim::build(&folder).expect("a C compiler, as the linker of this build");
    let faults = [
        CallFaults { interrupted: 30, ..CallFaults::default() },
        CallFaults { short_reads: 200, ..CallFaults::default() },
        CallFaults { short_writes: 200, ..CallFaults::default() },
        CallFaults { transient: 40, ..CallFaults::default() },
    ];
    let mut broken = Vec::new();
    for (number, faults) in faults.into_iter().enumerate() {
        let fleet = start_fleet(2).await;
        let list = fleet.list.address;
        let script = format!(
            "gateway(listen = [\"127.0.0.1:0\"], list = \"{list}\", extent = 256 * KiB, seed = {number})\n\
             {SCRIPT}"
        );
        let environment = faults.environment(&library);
        let gateway = Gateway::start_with_environment(
            program_path(),
            &folder,
            &format!("g{number}"),
            &script,
            &environment,
        )
        .await;
        let gateway = gateway.expect("it starts");
        let clients: JoinSet<u64> =
            (0..CLIENTS).map(|client| count_lost_writes(gateway.address, client)).collect();
        let lost: u64 = within(120, "the clients", clients.join_all()).await.into_iter().sum();
        if lost > 0 {
            broken.push((faults, lost));
        }
    }
    assert!(broken.is_empty(), "of {} writes each, without a reply: {broken:?}", CLIENTS * WRITES);
}
