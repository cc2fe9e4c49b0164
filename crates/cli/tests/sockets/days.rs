//! Scripted fault scenarios with gateways in their own processes, judged by the traffic at the sockets.

use crate::common::{assert_mostly_acked, run_fault_scenario};
use umbertray_fakes::event_log::StoreEvent;
use umbertray_fault_tests::record::TestEvent;

async fn assert_scenario_tries_all_rules(name: &str, text: &str, seed: u64) {
    let (_, verdict) = run_fault_scenario(name, text, seed).await;
    for finding in &verdict.findings {
        // A rule that was never checked proves nothing. The retry budget is checked only if there were
        // retries.
        assert!(finding.cases_checked > 0 || finding.rule.starts_with('6'), "{finding:?}");
    }
    assert_mostly_acked(&verdict);
}

#[tokio::test(flavor = "multi_thread")]
async fn ci_scenario_breaks_no_rule() {
    for seed in [1, 2] {
        assert_scenario_tries_all_rules("ci.star", include_str!("../../../../days/ci.star"), seed).await;
    }
}

/// Twenty kills of gateways under load, with state saved; in between all stores restart and the endpoint list
/// fails.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_killed_repeatedly_break_no_rule() {
    let text = include_str!("../../../../days/restarts.star");
    let (record, verdict) = run_fault_scenario("restarts.star", text, 1).await;
    let killed = |(_, event): &&(u64, TestEvent)| matches!(event, TestEvent::Killed { .. });
    assert!(record.events.iter().filter(killed).count() >= 20);
    assert_mostly_acked(&verdict);
}

/// Ranges move back and forth while coordinator, stores and gateways are killed, stalled and restarted.
///
/// Guards against two failures on machines with slow syncs. The scenario waited for a slow step before it
/// resumed a stalled gateway, and recorded the planned time, so that replies seemed late (rule 1,
/// docs/incidents/late-steps.md). The coordinator lost its lease under steady load, and no range moved
/// (docs/incidents/lease-syncs.md).
#[tokio::test(flavor = "multi_thread")]
async fn ranges_migrated_under_load_lose_nothing() {
    let text = include_str!("../../../../days/fences.star");
    let (record, verdict) = run_fault_scenario("fences.star", text, 1).await;
    let opened =
        |seen: &StoreEvent| matches!(seen, StoreEvent::Ordered { order, done: true, .. } if order == "open");
    let stale = |seen: &StoreEvent| matches!(seen, StoreEvent::Answered { code, .. } if code == "Stale");
    let count =
        |which: &dyn Fn(&StoreEvent) -> bool| record.stores.iter().filter(|entry| which(&entry.seen)).count();
    assert!(count(&opened) >= 5, "{} moves", count(&opened));
    assert!(count(&stale) >= 5, "{} ops met a range that had moved", count(&stale));
    assert_mostly_acked(&verdict);
}

/// 7. Two hundred clients over three gateways and six stores, each with 1 to 4 requests at once.
#[tokio::test(flavor = "multi_thread")]
async fn two_hundred_clients_lose_no_request() {
    let text = include_str!("../../../../days/clients.star");
    let (record, verdict) = run_fault_scenario("clients.star", text, 1).await;
    let all = &verdict.service.all;
    assert!(all.lost == 0 && all.aborted == 0, "{verdict:#?}");
    let clients: std::collections::BTreeSet<u32> =
        record.client_requests.iter().map(|asked| asked.client).collect();
    assert_eq!(clients.len(), 200);
    assert!(all.requests > 1000, "{all:?}");
}
