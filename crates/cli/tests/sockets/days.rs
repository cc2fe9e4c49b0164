//! Whole days through gateways in processes of their own, judged by what crossed the sockets.

use crate::common::{folder, program};
use umbertray_rehearsal::record::Deed;
use umbertray_rehearsal::{Day, judge, rehearse};

async fn plays(name: &str, text: &str, seed: u64) {
    let day = Day::read(name, text.into()).unwrap_or_else(|problems| panic!("{problems:#?}"));
    let folder = folder(&format!("{name}-{seed}"));
    let record = rehearse(&day, seed, program(), &folder).await.expect("the day plays");
    let verdict = judge(&day, &record);
    assert!(verdict.kept, "seed {seed}, again: umbertray rehearse days/{name} --seed {seed}\n{verdict:#?}");
    for finding in &verdict.findings {
        // A rule that was not tried says nothing; the budget is tried only where something was sent again.
        assert!(finding.looked > 0 || finding.rule.starts_with('6'), "{finding:?}");
    }
    assert!(verdict.service.all.acked * 2 > verdict.service.all.asked, "{:?}", verdict.service.all);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_bad_day_keeps_every_rule() {
    for seed in [1, 2] {
        plays("ci.star", include_str!("../../../../days/ci.star"), seed).await;
    }
}

/// Twenty kills outright under load with state kept, all stores restarting and the list failing among them.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_that_die_again_and_again_break_no_rule() {
    let text = include_str!("../../../../days/restarts.star");
    let day = Day::read("restarts.star", text.into()).unwrap_or_else(|problems| panic!("{problems:#?}"));
    let record = rehearse(&day, 1, program(), &folder("restarts")).await.expect("the day plays");
    let verdict = judge(&day, &record);
    let killed = |(_, deed): &&(u64, Deed)| matches!(deed, Deed::Killed { .. });
    assert!(record.deeds.iter().filter(killed).count() >= 20);
    assert!(verdict.kept, "again: umbertray rehearse days/restarts.star --seed 1\n{verdict:#?}");
    let all = &verdict.service.all;
    assert!(all.acked * 2 > all.asked, "{all:?}");
}

/// 7. Two hundred clients over three gateways and six stores, with 1 to 4 requests at once.
#[tokio::test(flavor = "multi_thread")]
async fn two_hundred_clients_lose_nothing() {
    let text = include_str!("../../../../days/clients.star");
    let day = Day::read("clients.star", text.into()).unwrap_or_else(|problems| panic!("{problems:#?}"));
    let record = rehearse(&day, 1, program(), &folder("clients")).await.expect("the day plays");
    let verdict = judge(&day, &record);
    let all = &verdict.service.all;
    assert!(verdict.kept && all.lost == 0 && all.aborted == 0, "{verdict:#?}");
    let clients: std::collections::BTreeSet<u32> = record.asked.iter().map(|asked| asked.client).collect();
    assert_eq!(clients.len(), 200);
    assert!(all.asked > 1000, "{all:?}");
}
