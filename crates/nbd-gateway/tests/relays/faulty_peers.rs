//! Faulty peers that send invalid frames, entries that do not follow, or forged changes.

use bytes::Bytes;
use std::net::SocketAddr;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use umbertray_config_log::segment;
use umbertray_control_plane::relay::LEASE_DURATION;
use umbertray_store_protocol::Message;
use umbertray_store_protocol::changes::{FromUpstream, Position, ToUpstream};

use crate::common::*;

/// Starts a fake relay that behaves correctly until it is asked for entries, after which it sends
/// `final_frames`.
async fn start_fake_relay(
    name: &'static str,
    contents: RelayContents,
    final_frames: Vec<Bytes>,
) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind(any_port()).await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let serving = tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            let mut connection = FrameConnection::new(stream);
            let RelayContents { checkpoint, bytes, head, entries } = contents.clone();
            let path = vec![name.to_string()];
            connection.send(FromUpstream::Hello { name: name.into(), path }).await;
            connection
                .send(FromUpstream::Head {
                    head,
                    oldest_version: checkpoint.position.version,
                    checkpoint: Some(checkpoint),
                })
                .await;
            let final_frames = final_frames.clone();
            tokio::spawn(async move {
                while let Some(frame) = connection.next::<ToUpstream>().await {
                    match frame {
                        ToUpstream::Follow { after } => {
                            let next =
                                entries.iter().filter(|(position, _)| position.version > after.version);
                            for (position, body) in next {
                                _ = connection.stream.write_all(&entry(*position, body)).await;
                            }
                            for bytes in &final_frames {
                                _ = connection.stream.write_all(bytes).await;
                            }
                            if final_frames.last().is_some_and(|last| last.len() < 5) {
                                return;
                            }
                        }
                        ToUpstream::Heartbeat | ToUpstream::Progress(_) => {
                            connection.send(FromUpstream::Heartbeat).await;
                        }
                        ToUpstream::Fetch { version, offset } => {
                            let part = bytes.slice(offset as usize..);
                            connection.send(FromUpstream::CheckpointPart { version, offset, part }).await;
                        }
                        _ => {}
                    }
                }
            });
        }
    });
    (address, serving)
}

/// The frame of an entry with its complete body.
fn entry(position: Position, body: &[u8]) -> Bytes {
    let part = Bytes::copy_from_slice(body);
    FromUpstream::Entry { position, length: body.len() as u32, offset: 0, part }.frame()
}

/// Makes the bytes that are sent in place of the entry that follows a position.
type FrameAfter = fn(Position) -> Bytes;

/// Frames that are cut off, too long or of unknown kind, and entries that do not follow on the chain: each
/// closes its connection, the log names the reason and the peer, nothing changes in the gateway, and the
/// changes from the correct relays still arrive.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_invalid_frame_or_entry_closes_connection_and_changes_nothing() {
    capture_log();
    let folder = test_folder("frames");
    let mut writer = Writer::create(&folder);
    let top_relays =
        [start_folder_relay("f1", &writer.folder).await, start_folder_relay("f2", &writer.folder).await];
    let cases: [(&str, FrameAfter, &str); 5] = [
        ("cut", |_| Bytes::from_static(&[0, 0, 0]), "the peer closed the connection inside a frame"),
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
        let contents = folder_contents(&writer.folder);
        let bytes = bytes(contents.head);
        let (address, serving) = start_fake_relay(name, contents, vec![bytes]).await;
        // The gateway asks the fake relay for entries first, because only the fake is in its zone.
        let in_far_zone = |upstream: umbertray_config::Upstream| umbertray_config::Upstream {
            zone: "far".into(),
            ..upstream
        };
        let upstreams = vec![
            upstream(name, address),
            in_far_zone(upstream_of("f1", &top_relays[0])),
            in_far_zone(upstream_of("f2", &top_relays[1])),
        ];
        let gateway = start_gateway(relay_source(&format!("{name}-g"), upstreams, 2)).await;
        wait_for_log(&[("peer", &address.to_string()), ("reason", reason)]).await;
        let before = *gateway.applied_version().borrow();
        let version = writer.add_volume(&format!("after-{name}"));
        assert!(before < version, "{name}: applied {before}");
        wait_until_applied(&gateway, version).await;
        assert_eq!(*gateway.applied_version().borrow(), version, "{name}");
        serving.abort();
    }
}

/// A forged change, correctly chained to the newest one: a gateway with a quorum of two never applies it. A
/// gateway with a quorum of one does apply it, which is the reason for larger quorums.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_quorum_two_one_lying_relay_changes_nothing() {
    capture_log();
    let folder = test_folder("faulty-peers");
    let mut writer = Writer::create(&folder);
    let top_relays =
        [start_folder_relay("h1", &writer.folder).await, start_folder_relay("h2", &writer.folder).await];
    let honest = folder_contents(&writer.folder);
    let forged = segment::encode_body(&change(honest.head.version, vec![add_volume_edit("forged")]));
    let forged_head = honest.head.after_change(&forged);
    let (address, _serving) = start_fake_relay(
        "liar",
        RelayContents { head: forged_head, ..honest },
        vec![entry(forged_head, &forged)],
    )
    .await;
    let in_far_zone =
        |upstream: umbertray_config::Upstream| umbertray_config::Upstream { zone: "far".into(), ..upstream };
    let upstreams = || {
        vec![
            upstream("liar", address),
            in_far_zone(upstream_of("h1", &top_relays[0])),
            in_far_zone(upstream_of("h2", &top_relays[1])),
        ]
    };
    let quorum_two = start_gateway(relay_source("sure", upstreams(), 2)).await;
    wait_for_log(&[("message", "started following upstream"), ("upstream", "liar")]).await;
    let version = writer.add_volume("honest");
    assert_eq!(version, forged_head.version);
    wait_until_applied(&quorum_two, version).await;
    assert!(
        exports_volume(&quorum_two, "honest") && !exports_volume(&quorum_two, "forged"),
        "{:?}",
        quorum_two.exports()
    );
    wait_for_log(&[("message", "different histories"), ("version", &version.to_string())]).await;
    let version = writer.add_volume("more");
    wait_until_applied(&quorum_two, version).await;
    assert!(
        exports_volume(&quorum_two, "more") && !exports_volume(&quorum_two, "forged"),
        "{:?}",
        quorum_two.exports()
    );
    // A gateway with a quorum of one continues from its own copy of the log, to which the forged change is
    // chained.
    let state = folder.join("trusting");
    let quorum_one_source = |upstreams| umbertray_nbd_gateway::RelaySource {
        state_folder: Some(state.clone()),
        ..relay_source("trusting", upstreams, 1)
    };
    drop(start_gateway(quorum_one_source(vec![upstream_of("h1", &top_relays[0])])).await);
    wait_until_unlocked(&state).await;
    let honest = folder_contents(&writer.folder);
    let forged = segment::encode_body(&change(honest.head.version, vec![add_volume_edit("forged")]));
    let forged_head = honest.head.after_change(&forged);
    let (address, _serving) = start_fake_relay(
        "liar-again",
        RelayContents { head: forged_head, ..honest },
        vec![entry(forged_head, &forged)],
    )
    .await;
    let quorum_one = start_gateway(quorum_one_source(vec![upstream("liar-again", address)])).await;
    wait_until_applied(&quorum_one, forged_head.version).await;
    assert!(exports_volume(&quorum_one, "forged"));
}

/// An invalid frame of a follower closes that follower's connection and no other.
#[tokio::test(flavor = "multi_thread")]
async fn follower_invalid_frame_is_disconnected_alone() {
    capture_log();
    let folder = test_folder("followers");
    let mut writer = Writer::create(&folder);
    let top = start_folder_relay("n1", &writer.folder).await;
    let gateway = start_gateway(relay_source("ng", vec![upstream_of("n1", &top)], 1)).await;
    let cases: [(&[u8], &str); 4] = [
        (&[0, 0, 0, 0], "empty frame"),
        (&[255, 0, 0, 0, 33], "over the bound"),
        (&[0, 0, 0, 1, 200], "unknown kind 200"),
        (&[0, 0, 0, 2, 33, 1], "ends inside its fields"),
    ];
    for (bytes, reason) in cases {
        let mut connection = FrameConnection::connect(top.address).await;
        let peer = connection.stream.local_addr().expect("bound").to_string();
        connection.stream.write_all(bytes).await.expect("the connection is open");
        // The connection must be closed at once, and not when the follower's lease expires after ten seconds.
        let ended = tokio::time::timeout(LEASE_DURATION / 2, connection.wait_until_closed()).await;
        assert!(ended.is_ok(), "{reason}");
        wait_for_log(&[("peer", &peer), ("reason", reason)]).await;
    }
    let version = writer.add_volume("still");
    wait_until_applied(&gateway, version).await;
}
