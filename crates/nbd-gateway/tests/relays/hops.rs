//! Relays that run, stop, restart, follow each other, or serve an older log.

use umbertray_config::ChangeSource as Source;
use umbertray_nbd_gateway::GatewayError;
use umbertray_relay::{RelayError, client};

use crate::common::*;

#[tokio::test(flavor = "multi_thread")]
async fn change_two_hops_reaches_every_gateway_and_progress_returns() {
    capture_log();
    let folder = test_folder("hops");
    let mut writer = Writer::create(&folder);
    let top_relays =
        [start_folder_relay("t1", &writer.folder).await, start_folder_relay("t2", &writer.folder).await];
    let top_upstreams = || vec![upstream_of("t1", &top_relays[0]), upstream_of("t2", &top_relays[1])];
    let middle_relays = [
        start_relay("m1", top_upstreams(), 2).await,
        start_relay("m2", top_upstreams(), 2).await,
        start_relay("m3", top_upstreams(), 2).await,
    ];
    let mut gateways = Vec::new();
    for number in 0..4 {
        let upstreams = middle_relays
            .iter()
            .zip(["m1", "m2", "m3"])
            .map(|(relay, name)| upstream_of(name, relay))
            .collect();
        gateways.push(start_gateway(relay_source(&format!("g{number}"), upstreams, 2)).await);
    }
    let version = writer.add_volume("new");
    for gateway in &gateways {
        wait_until_applied(gateway, version).await;
        assert!(exports_volume(gateway, "new") && exports_volume(gateway, "vol"));
    }
    // Each gateway is counted once, at the relay that it follows, even if it is connected to others.
    let all_counted = async {
        loop {
            let mut applied = 0;
            for top in &top_relays {
                let status = client::status(top.address).await.expect("the relay answers");
                assert_eq!(status.head.version, version);
                let counts = status.progress.version_counts.iter().filter(|count| count.version == version);
                applied += counts.map(|count| count.members).sum::<u32>();
            }
            if applied == 4 {
                return;
            }
            assert!(applied < 4, "{applied} gateways counted, 4 are running");
        }
    };
    within("progress of all four gateways", all_counted).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_dies_and_restarts_gateways_switch_and_it_relays_again() {
    capture_log();
    let folder = test_folder("dies");
    let mut writer = Writer::create(&folder);
    let mut top_relays = Vec::new();
    for name in ["d1", "d2", "d3"] {
        top_relays.push(start_folder_relay(name, &writer.folder).await);
    }
    let addresses: Vec<_> = top_relays.iter().map(|top| top.address).collect();
    let upstreams =
        || ["d1", "d2", "d3"].iter().zip(&addresses).map(|(name, at)| upstream(name, *at)).collect();
    let gateways = [
        start_gateway(relay_source("dg1", upstreams(), 2)).await,
        start_gateway(relay_source("dg2", upstreams(), 2)).await,
    ];
    // Each relay is stopped and restarted in turn, which includes the one that a gateway follows.
    for (index, name) in ["d1", "d2", "d3"].into_iter().enumerate() {
        let stopped = top_relays.remove(index);
        let address = stopped.address;
        drop(stopped);
        let version = writer.add_volume(&format!("without-{name}"));
        for gateway in &gateways {
            wait_until_applied(gateway, version).await;
        }
        top_relays.insert(index, restart_folder_relay(name, address, &writer.folder).await);
        let mut relayed = top_relays[index].relayed_version.clone();
        within(
            "the restarted relay to serve the newest version",
            relayed.wait_for(|relayed| *relayed == version),
        )
        .await
        .expect("the relay is running");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_all_relays_dead_starts_from_log_copy_and_never_rolls_back() {
    capture_log();
    let folder = test_folder("static");
    let mut writer = Writer::create(&folder);
    let old_log = writer.copy_folder(&folder.join("old"));
    let top_relays =
        [start_folder_relay("s1", &writer.folder).await, start_folder_relay("s2", &writer.folder).await];
    let state = folder.join("state");
    let with_state = |upstreams| umbertray_nbd_gateway::RelaySource {
        state_folder: Some(state.clone()),
        ..relay_source("sg", upstreams, 2)
    };
    let upstreams = vec![upstream_of("s1", &top_relays[0]), upstream_of("s2", &top_relays[1])];
    let first_run = start_gateway(with_state(upstreams.clone())).await;
    let version = writer.add_volume("kept");
    wait_until_applied(&first_run, version).await;
    drop((first_run, top_relays));
    wait_until_unlocked(&state).await;
    // While no relay is running, the gateway starts from its copy of the log.
    let without_relays = start_gateway(with_state(upstreams)).await;
    assert_eq!(
        (*without_relays.applied_version().borrow(), exports_volume(&without_relays, "kept")),
        (version, true)
    );
    drop(without_relays);
    wait_until_unlocked(&state).await;
    // The relays are running again, but with an older copy of the log.
    let top_relays = [start_folder_relay("s1", &old_log).await, start_folder_relay("s2", &old_log).await];
    let upstreams = vec![upstream_of("s1", &top_relays[0]), upstream_of("s2", &top_relays[1])];
    let restarted = start_gateway(with_state(upstreams)).await;
    for top in &top_relays {
        let is_connected =
            async { while client::status(top.address).await.expect("the relay answers").followers == 0 {} };
        within("the gateway to connect", is_connected).await;
    }
    let addresses = top_relays.each_ref().map(|top| top.address);
    drop(top_relays);
    assert_eq!((*restarted.applied_version().borrow(), exports_volume(&restarted, "kept")), (version, true));
    // The relays have the newest log again: the gateway continues from its version.
    let mut top_relays = Vec::new();
    for (name, listen) in ["s1", "s2"].into_iter().zip(addresses) {
        top_relays.push(restart_folder_relay(name, listen, &writer.folder).await);
    }
    let version = writer.add_volume("later");
    wait_until_applied(&restarted, version).await;
    assert!(exports_volume(&restarted, "kept") && exports_volume(&restarted, "later"));
    drop((restarted, top_relays));
    wait_until_unlocked(&state).await;
    // With a recorded version but no copy of the log, the gateway does not start from an older log.
    std::fs::remove_dir_all(state.join("changes")).expect("the copy exists");
    let start_timeout = std::time::Duration::from_secs(2);
    let top_relays = [start_folder_relay("s1", &old_log).await, start_folder_relay("s2", &old_log).await];
    let upstreams = vec![upstream_of("s1", &top_relays[0]), upstream_of("s2", &top_relays[1])];
    let result =
        try_start_gateway(umbertray_nbd_gateway::RelaySource { start_timeout, ..with_state(upstreams) })
            .await;
    assert!(matches!(result, Err(GatewayError::NoQuorum { quorum: 2, .. })));
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_loop_is_refused_and_named() {
    capture_log();
    let folder = test_folder("loops");
    let writer = Writer::create(&folder);
    // A relay that follows itself, by name and by address.
    let itself_by_name = Source::Relays { upstreams: vec![upstream("me", any_port())], quorum: 1 };
    let result = umbertray_relay::start(relay_options("me", itself_by_name)).await;
    assert!(result.is_err_and(|error| error.to_string().contains("\"me\" follows itself")));
    let held = std::net::TcpListener::bind(any_port()).expect("a port");
    let address = held.local_addr().expect("bound");
    drop(held);
    let itself_by_address = Source::Relays { upstreams: vec![upstream("other", address)], quorum: 1 };
    let options = umbertray_relay::RelayOptions { listen: address, ..relay_options("me", itself_by_address) };
    let result = umbertray_relay::start(options).await;
    assert!(matches!(result, Err(RelayError::Config(_))));
    // Two relays that follow each other: neither may replicate from the other.
    let top = start_folder_relay("l0", &writer.folder).await;
    let held = std::net::TcpListener::bind(any_port()).expect("a port");
    let address = held.local_addr().expect("bound");
    drop(held);
    let low_relay = start_relay("l2", vec![upstream("l1", address)], 1).await;
    let low_and_top =
        Source::Relays { upstreams: vec![upstream_of("l2", &low_relay), upstream_of("l0", &top)], quorum: 1 };
    let options = umbertray_relay::RelayOptions { listen: address, ..relay_options("l1", low_and_top) };
    let _high_relay = umbertray_relay::start(options).await.expect("the port is free");
    let mut relayed = low_relay.relayed_version.clone();
    within(
        "the low relay to receive the log through the high one",
        relayed.wait_for(|relayed| *relayed == 1),
    )
    .await
    .expect("the relay is running");
    wait_for_log(&[("message", "relay loop detected"), ("upstream", "l2"), ("path", "\"l1\", \"l2\"")]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_restarted_above_older_log_does_not_roll_back() {
    capture_log();
    let folder = test_folder("older");
    let mut writer = Writer::create(&folder);
    let old_log = writer.copy_folder(&folder.join("old"));
    let version = writer.add_volume("new");
    let mut top_relays =
        vec![start_folder_relay("o1", &writer.folder).await, start_folder_relay("o2", &writer.folder).await];
    let addresses = [top_relays[0].address, top_relays[1].address];
    let start_middle_relay = async || {
        let upstreams = ["o1", "o2"].iter().zip(addresses).map(|(name, at)| upstream(name, at));
        let changes = Source::Relays { upstreams: upstreams.collect(), quorum: 2 };
        let folder = Some(folder.join("hop"));
        let options = umbertray_relay::RelayOptions { folder, ..relay_options("o3", changes) };
        umbertray_relay::start(options).await.expect("the relay starts")
    };
    let wait_until_relayed = async |relay: &umbertray_relay::RunningRelay| {
        let mut relayed = relay.relayed_version.clone();
        within("the relay to serve the new version", relayed.wait_for(|relayed| *relayed == version))
            .await
            .expect("the relay is running");
    };
    wait_until_relayed(&start_middle_relay().await).await;
    top_relays.clear();
    for (name, address) in ["o1", "o2"].into_iter().zip(addresses) {
        top_relays.push(restart_folder_relay(name, address, &old_log).await);
    }
    let restarted_relay = start_middle_relay().await;
    // The relay has received the older state and must not commit it: the only version it ever commits is the
    // newer one.
    let mut relayed = restarted_relay.relayed_version.clone();
    let relayed_versions = tokio::spawn(async move {
        let mut versions = Vec::new();
        while relayed.changed().await.is_ok() {
            versions.push(*relayed.borrow_and_update());
            if versions.last() == Some(&version) {
                break;
            }
        }
        versions
    });
    let has_received = async {
        while client::status(restarted_relay.address).await.expect("the relay answers").head.version != 1 {}
    };
    within("the relay to receive the older state", has_received).await;
    top_relays.clear();
    for (name, address) in ["o1", "o2"].into_iter().zip(addresses) {
        top_relays.push(restart_folder_relay(name, address, &writer.folder).await);
    }
    assert_eq!(
        within("the restarted relay to serve the newest version", relayed_versions)
            .await
            .expect("the task has ended"),
        [version]
    );
}
