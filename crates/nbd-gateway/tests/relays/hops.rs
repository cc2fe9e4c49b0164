//! Relays that work, die, restart, or follow each other.

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
    let above = || vec![upstream_of("t1", &top_relays[0]), upstream_of("t2", &top_relays[1])];
    let hops = [
        start_relay("m1", above(), 2).await,
        start_relay("m2", above(), 2).await,
        start_relay("m3", above(), 2).await,
    ];
    let mut gateways = Vec::new();
    for number in 0..4 {
        let upstreams =
            hops.iter().zip(["m1", "m2", "m3"]).map(|(hop, name)| upstream_of(name, hop)).collect();
        gateways.push(start_gateway(relay_source(&format!("g{number}"), upstreams, 2)).await);
    }
    let version = writer.add_volume("new");
    for gateway in &gateways {
        wait_until_applied(gateway, version).await;
        assert!(exports_volume(gateway, "new") && exports_volume(gateway, "vol"));
    }
    // Every gateway counts once, at the relay that it follows, whatever else it is connected to.
    let sum = async {
        loop {
            let mut applied = 0;
            for top in &top_relays {
                let status = client::status(top.address).await.expect("it answers");
                assert_eq!(status.head.version, version);
                let levels = status.progress.levels.iter().filter(|level| level.version == version);
                applied += levels.map(|level| level.members).sum::<u32>();
            }
            if applied == 4 {
                return;
            }
            assert!(applied < 4, "{applied} of 4 gateways");
        }
    };
    within("the sum of four gateways", sum).await;
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
    // Each relay is stopped and restarted in turn, so also the one that a gateway follows.
    for (place, name) in ["d1", "d2", "d3"].into_iter().enumerate() {
        let gone = top_relays.remove(place);
        let address = gone.address;
        drop(gone);
        let version = writer.add_volume(&format!("without-{name}"));
        for gateway in &gateways {
            wait_until_applied(gateway, version).await;
        }
        top_relays.insert(place, restart_folder_relay(name, address, &writer.folder).await);
        let mut relayed = top_relays[place].relayed_version.clone();
        within("it relays again", relayed.wait_for(|relayed| *relayed == version)).await.expect("it runs");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_all_relays_dead_starts_from_log_copy_and_never_rolls_back() {
    capture_log();
    let folder = test_folder("static");
    let mut writer = Writer::create(&folder);
    let old = writer.copy_folder(&folder.join("old"));
    let top_relays =
        [start_folder_relay("s1", &writer.folder).await, start_folder_relay("s2", &writer.folder).await];
    let state = folder.join("state");
    let with_state = |upstreams| umbertray_nbd_gateway::RelaySource {
        state: Some(state.clone()),
        ..relay_source("sg", upstreams, 2)
    };
    let upstreams = vec![upstream_of("s1", &top_relays[0]), upstream_of("s2", &top_relays[1])];
    let first = start_gateway(with_state(upstreams.clone())).await;
    let version = writer.add_volume("kept");
    wait_until_applied(&first, version).await;
    drop((first, top_relays));
    wait_until_unlocked(&state).await;
    // No relay is running, and the gateway starts.
    let alone = start_gateway(with_state(upstreams)).await;
    assert_eq!((*alone.applied_version().borrow(), exports_volume(&alone, "kept")), (version, true));
    drop(alone);
    wait_until_unlocked(&state).await;
    // All relays are running, with an older copy of the log.
    let top_relays = [start_folder_relay("s1", &old).await, start_folder_relay("s2", &old).await];
    let upstreams = vec![upstream_of("s1", &top_relays[0]), upstream_of("s2", &top_relays[1])];
    let returned = start_gateway(with_state(upstreams)).await;
    for top in &top_relays {
        let asked = async { while client::status(top.address).await.expect("it answers").followers == 0 {} };
        within("the gateway is connected", asked).await;
    }
    let addresses = top_relays.each_ref().map(|top| top.address);
    drop(top_relays);
    assert_eq!((*returned.applied_version().borrow(), exports_volume(&returned, "kept")), (version, true));
    // They have the newest log again: the gateway goes on from its version.
    let mut top_relays = Vec::new();
    for (name, listen) in ["s1", "s2"].into_iter().zip(addresses) {
        top_relays.push(restart_folder_relay(name, listen, &writer.folder).await);
    }
    let version = writer.add_volume("later");
    wait_until_applied(&returned, version).await;
    assert!(exports_volume(&returned, "kept") && exports_volume(&returned, "later"));
    drop((returned, top_relays));
    wait_until_unlocked(&state).await;
    // With a recorded version and no copy of the log, it does not start from an older one.
    std::fs::remove_dir_all(state.join("changes")).expect("there");
    let start_timeout = std::time::Duration::from_secs(2);
    let top_relays = [start_folder_relay("s1", &old).await, start_folder_relay("s2", &old).await];
    let upstreams = vec![upstream_of("s1", &top_relays[0]), upstream_of("s2", &top_relays[1])];
    let refused =
        try_start_gateway(umbertray_nbd_gateway::RelaySource { start_timeout, ..with_state(upstreams) })
            .await;
    assert!(matches!(refused, Err(GatewayError::NoQuorum { quorum: 2, .. })));
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_loop_is_refused_and_named() {
    capture_log();
    let folder = test_folder("loops");
    let writer = Writer::create(&folder);
    // A relay that follows itself, by name and by address.
    let named = Source::Relays { upstreams: vec![upstream("me", any_port())], quorum: 1 };
    let refused = umbertray_relay::start(relay_options("me", named)).await;
    assert!(refused.is_err_and(|error| error.to_string().contains("\"me\" follows itself")));
    let held = std::net::TcpListener::bind(any_port()).expect("a port");
    let address = held.local_addr().expect("bound");
    drop(held);
    let same = Source::Relays { upstreams: vec![upstream("other", address)], quorum: 1 };
    let options = umbertray_relay::RelayOptions { listen: address, ..relay_options("me", same) };
    let refused = umbertray_relay::start(options).await;
    assert!(matches!(refused, Err(RelayError::Config(_))));
    // Two relays that follow each other: neither replicates from the other.
    let top = start_folder_relay("l0", &writer.folder).await;
    let held = std::net::TcpListener::bind(any_port()).expect("a port");
    let address = held.local_addr().expect("bound");
    drop(held);
    let low = start_relay("l2", vec![upstream("l1", address)], 1).await;
    let both =
        Source::Relays { upstreams: vec![upstream_of("l2", &low), upstream_of("l0", &top)], quorum: 1 };
    let options = umbertray_relay::RelayOptions { listen: address, ..relay_options("l1", both) };
    let _high = umbertray_relay::start(options).await.expect("the port is free");
    let mut relayed = low.relayed_version.clone();
    within("the low one has it by the high one", relayed.wait_for(|relayed| *relayed == 1))
        .await
        .expect("it runs");
    wait_for_log(&[("message", "relay loop detected"), ("upstream", "l2"), ("path", "\"l1\", \"l2\"")]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_restarted_above_older_log_does_not_roll_back() {
    capture_log();
    let folder = test_folder("older");
    let mut writer = Writer::create(&folder);
    let old = writer.copy_folder(&folder.join("old"));
    let version = writer.add_volume("new");
    let mut top_relays =
        vec![start_folder_relay("o1", &writer.folder).await, start_folder_relay("o2", &writer.folder).await];
    let addresses = [top_relays[0].address, top_relays[1].address];
    let starts = async || {
        let named = ["o1", "o2"].iter().zip(addresses).map(|(name, at)| upstream(name, at));
        let changes = Source::Relays { upstreams: named.collect(), quorum: 2 };
        let folder = Some(folder.join("hop"));
        let options = umbertray_relay::RelayOptions { folder, ..relay_options("o3", changes) };
        umbertray_relay::start(options).await.expect("it starts")
    };
    let relays_version = async |relay: &umbertray_relay::RunningRelay| {
        let mut relayed = relay.relayed_version.clone();
        within("it relays", relayed.wait_for(|relayed| *relayed == version)).await.expect("it runs");
    };
    relays_version(&starts().await).await;
    top_relays.clear();
    for (name, address) in ["o1", "o2"].into_iter().zip(addresses) {
        top_relays.push(restart_folder_relay(name, address, &old).await);
    }
    let again = starts().await;
    // It has heard of the old state, and does not commit it: all that it ever commits is the newer one.
    let mut relayed = again.relayed_version.clone();
    let seen = tokio::spawn(async move {
        let mut seen = Vec::new();
        while relayed.changed().await.is_ok() {
            seen.push(*relayed.borrow_and_update());
            if seen.last() == Some(&version) {
                break;
            }
        }
        seen
    });
    let has_heard =
        async { while client::status(again.address).await.expect("it answers").head.version != 1 {} };
    within("it has heard the old state", has_heard).await;
    top_relays.clear();
    for (name, address) in ["o1", "o2"].into_iter().zip(addresses) {
        top_relays.push(restart_folder_relay(name, address, &writer.folder).await);
    }
    assert_eq!(within("it relays again", seen).await.expect("it ran"), [version]);
}
