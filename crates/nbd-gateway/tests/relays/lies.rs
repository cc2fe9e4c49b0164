//! Stand-ins that speak as relays and are none: they send what is no frame, what does not follow, or what nobody wrote.

use bytes::Bytes;
use std::net::SocketAddr;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use umbertray_config_log::segment;
use umbertray_control_plane::relay::LEASE;
use umbertray_store_protocol::Message;
use umbertray_store_protocol::changes::{FromUpstream, Position, ToUpstream};

use crate::common::*;

/// Says what an honest relay would until it is asked for entries; then this.
async fn poses(name: &'static str, stands: Held, says: Vec<Bytes>) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind(any_port()).await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let serving = tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            let mut wire = Wire::new(stream);
            let Held { checkpoint, bytes, head, entries } = stands.clone();
            let path = vec![name.to_string()];
            wire.send(FromUpstream::Hello { name: name.into(), path }).await;
            wire.send(FromUpstream::Head {
                head,
                oldest_version: checkpoint.at.version,
                checkpoint: Some(checkpoint),
            })
            .await;
            let says = says.clone();
            tokio::spawn(async move {
                while let Some(frame) = wire.next::<ToUpstream>().await {
                    match frame {
                        ToUpstream::Follow { after } => {
                            let next = entries.iter().filter(|(at, _)| at.version > after.version);
                            for (at, body) in next {
                                _ = wire.stream.write_all(&entry(*at, body)).await;
                            }
                            for bytes in &says {
                                _ = wire.stream.write_all(bytes).await;
                            }
                            if says.last().is_some_and(|last| last.len() < 5) {
                                return;
                            }
                        }
                        ToUpstream::Heartbeat | ToUpstream::Progress(_) => {
                            wire.send(FromUpstream::Heartbeat).await
                        }
                        ToUpstream::Fetch { version, offset } => {
                            let part = bytes.slice(offset as usize..);
                            wire.send(FromUpstream::CheckpointPart { version, offset, part }).await;
                        }
                        _ => {}
                    }
                }
            });
        }
    });
    (address, serving)
}

/// An entry's frame at a place, with a whole body.
fn entry(at: Position, body: &[u8]) -> Bytes {
    let part = Bytes::copy_from_slice(body);
    FromUpstream::Entry { at, length: body.len() as u32, offset: 0, part }.frame()
}

/// What is sent in place of what comes after a position.
type Bad = fn(Position) -> Bytes;

/// Cut, of wrong length, unknown, out of the chain: each ends its connection, the reason and the peer are in the log, nothing
/// has changed, and what the honest ones carry arrives.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_no_frame_or_does_not_follow_ends_its_connection_and_changes_nothing() {
    logged();
    let folder = folder("frames");
    let mut writer = Writer::begin(&folder);
    let tops = [top("f1", &writer.folder).await, top("f2", &writer.folder).await];
    let cases: [(&str, Bad, &str); 5] = [
        ("cut", |_| Bytes::from_static(&[0, 0, 0]), "it ends inside a frame"),
        ("long", |_| Bytes::from_static(&[255, 255, 255, 255, 100]), "over the bound"),
        ("unknown", |_| Bytes::from_static(&[0, 0, 0, 1, 77]), "unknown kind 77"),
        (
            "unchained",
            |head| entry(Position { hash: [7; 32], ..head.after_change(b"{}") }, b"{}"),
            "does not follow on the one before",
        ),
        (
            "skips",
            |head| entry(Position { version: head.version + 2, ..head.after_change(b"{}") }, b"{}"),
            "does not follow on the one before",
        ),
    ];
    for (name, bytes, reason) in cases {
        let stands = held(&writer.folder);
        let bytes = bytes(stands.head);
        let (address, serving) = poses(name, stands, vec![bytes]).await;
        // It alone is asked for entries first: it is in the gateway's zone, and the others are not.
        let far = |upstream: umbertray_config::Upstream| umbertray_config::Upstream {
            zone: "far".into(),
            ..upstream
        };
        let upstreams = vec![upstream(name, address), far(of("f1", &tops[0])), far(of("f2", &tops[1]))];
        let gateway = gateway(relays(&format!("{name}-g"), upstreams, 2)).await;
        said(&[("peer", &address.to_string()), ("reason", reason)]).await;
        let before = *gateway.applied_version().borrow();
        let version = writer.adds(&format!("after-{name}"));
        assert!(before < version, "{name}: acted on {before}");
        acts_on(&gateway, version).await;
        assert_eq!(*gateway.applied_version().borrow(), version, "{name}");
        serving.abort();
    }
}

/// A change that nobody wrote, rightly chained to the newest: a gateway that asks for two voices never acts on it. One that
/// asks for one does, which is what two are for.
#[tokio::test(flavor = "multi_thread")]
async fn one_relay_that_lies_changes_nothing_where_two_have_to_vouch() {
    logged();
    let folder = folder("lies");
    let mut writer = Writer::begin(&folder);
    let tops = [top("h1", &writer.folder).await, top("h2", &writer.folder).await];
    let honest = held(&writer.folder);
    let forged = segment::body(&change(honest.head.version, vec![added("forged")]));
    let lie = honest.head.after_change(&forged);
    let (address, _serving) = poses("liar", Held { head: lie, ..honest }, vec![entry(lie, &forged)]).await;
    let far =
        |upstream: umbertray_config::Upstream| umbertray_config::Upstream { zone: "far".into(), ..upstream };
    let upstreams = || vec![upstream("liar", address), far(of("h1", &tops[0])), far(of("h2", &tops[1]))];
    let sure = gateway(relays("sure", upstreams(), 2)).await;
    said(&[("message", "follows"), ("upstream", "liar")]).await;
    let version = writer.adds("honest");
    assert_eq!(version, lie.version);
    acts_on(&sure, version).await;
    assert!(has(&sure, "honest") && !has(&sure, "forged"), "{:?}", sure.exports());
    said(&[("message", "different histories"), ("version", &version.to_string())]).await;
    let version = writer.adds("more");
    acts_on(&sure, version).await;
    assert!(has(&sure, "more") && !has(&sure, "forged"), "{:?}", sure.exports());
    // What a single voice could do: it goes on from what it holds, and the liar's history follows on that.
    let state = folder.join("trusting");
    let trusting = |upstreams| umbertray_nbd_gateway::RelaySource {
        state: Some(state.clone()),
        ..relays("trusting", upstreams, 1)
    };
    drop(gateway(trusting(vec![of("h1", &tops[0])])).await);
    let_go(&state).await;
    let honest = held(&writer.folder);
    let forged = segment::body(&change(honest.head.version, vec![added("forged")]));
    let lie = honest.head.after_change(&forged);
    let (address, _serving) =
        poses("liar-again", Held { head: lie, ..honest }, vec![entry(lie, &forged)]).await;
    let trusting = gateway(trusting(vec![upstream("liar-again", address)])).await;
    acts_on(&trusting, lie.version).await;
    assert!(has(&trusting, "forged"));
}

/// What a follower sends that is no frame ends its connection alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_that_sends_what_is_no_frame_is_cut_off_alone() {
    logged();
    let folder = folder("followers");
    let mut writer = Writer::begin(&folder);
    let top = top("n1", &writer.folder).await;
    let gateway = gateway(relays("ng", vec![of("n1", &top)], 1)).await;
    let cases: [(&[u8], &str); 4] = [
        (&[0, 0, 0, 0], "empty frame"),
        (&[255, 0, 0, 0, 33], "over the bound"),
        (&[0, 0, 0, 1, 200], "unknown kind 200"),
        (&[0, 0, 0, 2, 33, 1], "ends inside its fields"),
    ];
    for (bytes, reason) in cases {
        let mut wire = Wire::to(top.address).await;
        let peer = wire.stream.local_addr().expect("bound").to_string();
        wire.stream.write_all(bytes).await.expect("it is open");
        // At once: its lease would be over after ten seconds.
        let ended = tokio::time::timeout(LEASE / 2, wire.ends()).await;
        assert!(ended.is_ok(), "{reason}");
        said(&[("peer", &peer), ("reason", reason)]).await;
    }
    let version = writer.adds("still");
    acts_on(&gateway, version).await;
}
