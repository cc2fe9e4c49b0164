//! Followers that do not read, and the bounds on their relay's memory.

use umbertray_control_plane::relay::MAX_SUFFIX_BYTES;
use umbertray_relay::client;
use umbertray_store_protocol::changes::{FromUpstream, Position, ToUpstream};

use crate::common::*;

/// Commits a change of half a megabyte. All changes concern the same volumes, so the state stays as large as
/// one change.
fn commit_large_change(writer: &mut Writer, number: u64) -> u64 {
    let size = (1 << 20) + 512 * number;
    writer.commit((0..1500).map(|volume| put_volume_edit(&format!("{volume:0>240}"), size)).collect())
}

/// A follower that sends heartbeats but accepts no entries falls behind the suffix of the log that the relay
/// holds. Other followers are still served, and the relay holds no more than its bound.
#[tokio::test(flavor = "multi_thread")]
async fn follower_takes_nothing_relay_memory_stays_bounded() {
    capture_log();
    let folder = test_folder("slow");
    let mut writer = Writer::create(&folder);
    let top = start_folder_relay("w1", &writer.folder).await;
    let gateway = start_gateway(relay_source("wg", vec![upstream_of("w1", &top)], 1)).await;
    let mut slow = FrameConnection::connect_as_follower(top.address, "slow").await;
    slow.send(ToUpstream::Follow { after: Position::START }).await;
    let (mut version, mut max_held) = (1, 0);
    for number in 0..30 {
        version = commit_large_change(&mut writer, number);
        slow.send(ToUpstream::Heartbeat).await;
        wait_until_applied(&gateway, version).await;
        max_held = max_held.max(client::status(top.address).await.expect("the relay answers").held_bytes);
    }
    let status = client::status(top.address).await.expect("the relay answers");
    let checkpoint = folder_contents(&writer.folder).checkpoint.length as usize;
    // At least one and a half times the bound was written.
    assert!(
        max_held as usize <= MAX_SUFFIX_BYTES + checkpoint,
        "{max_held} bytes held, {checkpoint} of them the state"
    );
    assert!(
        max_held as usize > MAX_SUFFIX_BYTES - (1 << 20),
        "{max_held} bytes held: too little was written to reach the bound"
    );
    assert_eq!((status.head.version, status.followers), (version, 2), "the gateway and the slow follower");
    // Once the follower accepts entries, the relay notifies it that the next entry is not held any more.
    slow.send(ToUpstream::WindowUpdate { bytes: 128 << 10 }).await;
    wait_for_log(&[("message", "follower needs a checkpoint"), ("follower", "slow")]).await;
}

/// A follower that sends requests but reads no responses is disconnected at the bound on unsent bytes.
#[tokio::test(flavor = "multi_thread")]
async fn follower_requests_without_reading_is_disconnected() {
    capture_log();
    let folder = test_folder("non-reader");
    let mut writer = Writer::create(&folder);
    // The newest segment begins with a checkpoint of many parts.
    for number in 0..12 {
        commit_large_change(&mut writer, number);
    }
    let top = start_folder_relay("a1", &writer.folder).await;
    let mut non_reader = FrameConnection::connect_as_follower(top.address, "asks").await;
    let checkpoint = non_reader
        .receive_until("a checkpoint", |frame| match frame {
            FromUpstream::Head { checkpoint, .. } => *checkpoint,
            _ => None,
        })
        .await;
    let peer = non_reader.stream.local_addr().expect("bound").to_string();
    let requesting = async {
        // Sends requests until the relay has closed the connection.
        while non_reader.stream.writable().await.is_ok() {
            let frame = ToUpstream::Fetch { version: checkpoint.position.version, offset: 0 };
            match non_reader.stream.try_write(&umbertray_store_protocol::Message::frame(&frame)) {
                Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
                _ => tokio::task::yield_now().await,
            }
        }
    };
    within("the relay to disconnect a follower that does not read", requesting).await;
    wait_for_log(&[("peer", &peer), ("reason", "the peer does not read")]).await;
    // The relay still serves others.
    let mut other = FrameConnection::connect_as_follower(top.address, "other").await;
    other.send(ToUpstream::Fetch { version: checkpoint.position.version, offset: 0 }).await;
    other
        .receive_until("a part", |frame| matches!(frame, FromUpstream::CheckpointPart { .. }).then_some(()))
        .await;
}
