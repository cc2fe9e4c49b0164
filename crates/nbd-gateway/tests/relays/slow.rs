//! Followers that do not read, and what a relay holds meanwhile.

use umbertray_control_plane::relay::MAX_SUFFIX_BYTES;
use umbertray_relay::client;
use umbertray_store_protocol::changes::{FromUpstream, Position, ToUpstream};

use crate::common::*;

/// A change of half a megabyte, always of the same volumes: the state stays as large as one of them.
fn large(writer: &mut Writer, number: u64) -> u64 {
    let size = (1 << 20) + 512 * number;
    writer.commit((0..1500).map(|volume| sized(&format!("{volume:0>240}"), size)).collect())
}

/// One that says it is alive and takes nothing falls out of what is held; the others are served, and the relay holds no more
/// than its bound.
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_that_takes_nothing_costs_no_more_than_the_tail() {
    logged();
    let folder = folder("slow");
    let mut writer = Writer::begin(&folder);
    let top = top("w1", &writer.folder).await;
    let gateway = gateway(relays("wg", vec![of("w1", &top)], 1)).await;
    let mut slow = Wire::hello(top.address, "slow").await;
    slow.send(ToUpstream::Follow { after: Position::START }).await;
    let (mut version, mut most) = (1, 0);
    for number in 0..30 {
        version = large(&mut writer, number);
        slow.send(ToUpstream::Heartbeat).await;
        acts_on(&gateway, version).await;
        most = most.max(client::status(top.address).await.expect("it answers").held_bytes);
    }
    let status = client::status(top.address).await.expect("it answers");
    let checkpoint = held(&writer.folder).checkpoint.length as usize;
    // Half as much again was written.
    assert!(
        most as usize <= MAX_SUFFIX_BYTES + checkpoint,
        "{most} bytes held, {checkpoint} of them the state"
    );
    assert!(
        most as usize > MAX_SUFFIX_BYTES - (1 << 20),
        "{most} bytes held: too little was written to show anything"
    );
    assert_eq!((status.head.version, status.followers), (version, 2), "the gateway and the slow one");
    // Once it takes something, it hears that what comes next is gone.
    slow.send(ToUpstream::WindowUpdate { bytes: 128 << 10 }).await;
    said(&[("message", "follower needs a checkpoint"), ("follower", "slow")]).await;
}

/// One that asks and asks, and reads no answer, is cut off at the bound on what was said and not sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_that_asks_and_does_not_read_is_cut_off() {
    logged();
    let folder = folder("asks");
    let mut writer = Writer::begin(&folder);
    // A checkpoint of many parts begins the newest segment.
    for number in 0..12 {
        large(&mut writer, number);
    }
    let top = top("a1", &writer.folder).await;
    let mut asks = Wire::hello(top.address, "asks").await;
    let checkpoint = asks
        .until("a checkpoint", |frame| match frame {
            FromUpstream::Head { checkpoint, .. } => *checkpoint,
            _ => None,
        })
        .await;
    let peer = asks.stream.local_addr().expect("bound").to_string();
    let asking = async {
        // Until the relay has closed: what it was asked is lost then, and so is the connection.
        while asks.stream.writable().await.is_ok() {
            let frame = ToUpstream::Fetch { version: checkpoint.at.version, offset: 0 };
            match asks.stream.try_write(&umbertray_store_protocol::Message::frame(&frame)) {
                Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
                _ => tokio::task::yield_now().await,
            }
        }
    };
    within("the end of one that does not read", asking).await;
    said(&[("peer", &peer), ("reason", "it takes nothing")]).await;
    // The relay is there for others.
    let mut other = Wire::hello(top.address, "other").await;
    other.send(ToUpstream::Fetch { version: checkpoint.at.version, offset: 0 }).await;
    other.until("a part", |frame| matches!(frame, FromUpstream::CheckpointPart { .. }).then_some(())).await;
}
