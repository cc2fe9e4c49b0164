//! Relays that do what they are to, die, come back, or follow each other.

use umbertray_config::ChangeSource as Source;
use umbertray_nbd_gateway::RelayedError;
use umbertray_relay::{RelayError, client};

use crate::common::*;

#[tokio::test(flavor = "multi_thread")]
async fn a_change_goes_through_two_hops_to_every_gateway_and_the_sum_comes_back() {
    logged();
    let folder = folder("hops");
    let mut writer = Writer::begin(&folder);
    let tops = [top("t1", &writer.folder).await, top("t2", &writer.folder).await];
    let above = || vec![of("t1", &tops[0]), of("t2", &tops[1])];
    let hops = [hop("m1", above(), 2).await, hop("m2", above(), 2).await, hop("m3", above(), 2).await];
    let mut gateways = Vec::new();
    for number in 0..4 {
        let upstreams = hops.iter().zip(["m1", "m2", "m3"]).map(|(hop, name)| of(name, hop)).collect();
        gateways.push(gateway(relays(&format!("g{number}"), upstreams, 2)).await);
    }
    let version = writer.adds("new");
    for gateway in &gateways {
        acts_on(gateway, version).await;
        assert!(has(gateway, "new") && has(gateway, "vol"));
    }
    // Every gateway counts once, at the hop that it follows, whatever else it is connected to.
    let sum = async {
        loop {
            let mut acted = 0;
            for top in &tops {
                let status = client::status(top.address).await.expect("it answers");
                assert_eq!(status.head.version, version);
                let levels = status.progress.levels.iter().filter(|level| level.version == version);
                acted += levels.map(|level| level.members).sum::<u32>();
            }
            if acted == 4 {
                return;
            }
            assert!(acted < 4, "{acted} of 4 gateways");
        }
    };
    within("the sum of four gateways", sum).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_dies_is_left_and_one_that_is_back_carries_again() {
    logged();
    let folder = folder("dies");
    let mut writer = Writer::begin(&folder);
    let mut tops = Vec::new();
    for name in ["d1", "d2", "d3"] {
        tops.push(top(name, &writer.folder).await);
    }
    let addresses: Vec<_> = tops.iter().map(|top| top.address).collect();
    let upstreams =
        || ["d1", "d2", "d3"].iter().zip(&addresses).map(|(name, at)| upstream(name, *at)).collect();
    let gateways =
        [gateway(relays("dg1", upstreams(), 2)).await, gateway(relays("dg2", upstreams(), 2)).await];
    // Whichever they follow, one by one is gone and back.
    for (place, name) in ["d1", "d2", "d3"].into_iter().enumerate() {
        let gone = tops.remove(place);
        let address = gone.address;
        drop(gone);
        let version = writer.adds(&format!("without-{name}"));
        for gateway in &gateways {
            acts_on(gateway, version).await;
        }
        tops.insert(place, back(name, address, &writer.folder).await);
        let mut carried = tops[place].relayed_version.clone();
        within("it carries again", carried.wait_for(|carried| *carried == version)).await.expect("it runs");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_starts_from_its_own_copy_while_every_relay_is_dead_and_never_goes_back() {
    logged();
    let folder = folder("static");
    let mut writer = Writer::begin(&folder);
    let old = writer.copy(&folder.join("old"));
    let tops = [top("s1", &writer.folder).await, top("s2", &writer.folder).await];
    let state = folder.join("state");
    let mine = |upstreams| umbertray_nbd_gateway::RelaySource {
        state: Some(state.clone()),
        ..relays("sg", upstreams, 2)
    };
    let upstreams = vec![of("s1", &tops[0]), of("s2", &tops[1])];
    let first = gateway(mine(upstreams.clone())).await;
    let version = writer.adds("kept");
    acts_on(&first, version).await;
    drop((first, tops));
    let_go(&state).await;
    // Nobody is there, and it starts.
    let alone = gateway(mine(upstreams)).await;
    assert_eq!((*alone.applied_version().borrow(), has(&alone, "kept")), (version, true));
    drop(alone);
    let_go(&state).await;
    // All are there, and carry a log that was put back.
    let tops = [top("s1", &old).await, top("s2", &old).await];
    let upstreams = vec![of("s1", &tops[0]), of("s2", &tops[1])];
    let returned = gateway(mine(upstreams)).await;
    for top in &tops {
        let asked = async { while client::status(top.address).await.expect("it answers").followers == 0 {} };
        within("the gateway is connected", asked).await;
    }
    let addresses = tops.each_ref().map(|top| top.address);
    drop(tops);
    assert_eq!((*returned.applied_version().borrow(), has(&returned, "kept")), (version, true));
    // They have the right one again: it goes on from where it is.
    let mut tops = Vec::new();
    for (name, listen) in ["s1", "s2"].into_iter().zip(addresses) {
        tops.push(back(name, listen, &writer.folder).await);
    }
    let version = writer.adds("later");
    acts_on(&returned, version).await;
    assert!(has(&returned, "kept") && has(&returned, "later"));
    drop((returned, tops));
    let_go(&state).await;
    // With what it acted on and no copy, it would rather not start.
    std::fs::remove_dir_all(state.join("changes")).expect("there");
    let patience = std::time::Duration::from_secs(2);
    let tops = [top("s1", &old).await, top("s2", &old).await];
    let upstreams = vec![of("s1", &tops[0]), of("s2", &tops[1])];
    let refused = try_gateway(umbertray_nbd_gateway::RelaySource { patience, ..mine(upstreams) }).await;
    assert!(matches!(refused, Err(RelayedError::NoQuorum { vouch: 2, .. })));
}

#[tokio::test(flavor = "multi_thread")]
async fn loops_are_refused_and_named() {
    logged();
    let folder = folder("loops");
    let writer = Writer::begin(&folder);
    // An upstream that is itself, by name and by address.
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
    // Two that follow each other: the one above the other does not take from it.
    let top = top("l0", &writer.folder).await;
    let held = std::net::TcpListener::bind(any_port()).expect("a port");
    let address = held.local_addr().expect("bound");
    drop(held);
    let low = hop("l2", vec![upstream("l1", address)], 1).await;
    let both = Source::Relays { upstreams: vec![of("l2", &low), of("l0", &top)], quorum: 1 };
    let options = umbertray_relay::RelayOptions { listen: address, ..relay_options("l1", both) };
    let _high = umbertray_relay::start(options).await.expect("the port is free");
    let mut carried = low.relayed_version.clone();
    within("the low one has it by the high one", carried.wait_for(|carried| *carried == 1))
        .await
        .expect("it runs");
    said(&[("message", "loop of relays"), ("upstream", "l2"), ("path", "\"l1\", \"l2\"")]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_is_back_carries_no_older_log_than_it_did() {
    logged();
    let folder = folder("older");
    let mut writer = Writer::begin(&folder);
    let old = writer.copy(&folder.join("old"));
    let version = writer.adds("new");
    let mut tops = vec![top("o1", &writer.folder).await, top("o2", &writer.folder).await];
    let addresses = [tops[0].address, tops[1].address];
    let starts = async || {
        let named = ["o1", "o2"].iter().zip(addresses).map(|(name, at)| upstream(name, at));
        let changes = Source::Relays { upstreams: named.collect(), quorum: 2 };
        let folder = Some(folder.join("hop"));
        let options = umbertray_relay::RelayOptions { folder, ..relay_options("o3", changes) };
        umbertray_relay::start(options).await.expect("it starts")
    };
    let carries = async |relay: &umbertray_relay::RunningRelay| {
        let mut carried = relay.relayed_version.clone();
        within("it carries", carried.wait_for(|carried| *carried == version)).await.expect("it runs");
    };
    carries(&starts().await).await;
    tops.clear();
    for (name, address) in ["o1", "o2"].into_iter().zip(addresses) {
        tops.push(back(name, address, &old).await);
    }
    let again = starts().await;
    // It has heard the old state, and does not put it in force: all that it ever does is the newer one.
    let mut carried = again.relayed_version.clone();
    let seen = tokio::spawn(async move {
        let mut seen = Vec::new();
        while carried.changed().await.is_ok() {
            seen.push(*carried.borrow_and_update());
            if seen.last() == Some(&version) {
                break;
            }
        }
        seen
    });
    let heard = async { while client::status(again.address).await.expect("it answers").head.version != 1 {} };
    within("it has heard the old state", heard).await;
    tops.clear();
    for (name, address) in ["o1", "o2"].into_iter().zip(addresses) {
        tops.push(back(name, address, &writer.folder).await);
    }
    assert_eq!(within("it carries again", seen).await.expect("it ran"), [version]);
}
