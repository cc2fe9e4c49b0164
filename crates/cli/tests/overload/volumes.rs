//! Clients that name ever new volumes.

use std::time::Duration;

use tokio::task::JoinSet;

use crate::bad_clients::{
    Responses, flood, flood_one_by_one, head, on_threads_of_their_own, read_of_new_volume,
};
use crate::store::Behavior;
use crate::world::Expected::Served;
use crate::world::assert_held_at_all_limits;

/// How long clients name new volumes one after the other.
const DURATION: Duration = Duration::from_secs(3);
/// How long one client names them at full speed.
const FLOOD_DURATION: Duration = Duration::from_secs(8);
/// Number of these clients.
const CLIENTS: u64 = 8;

/// Each client sends its next request as soon as the last one is answered, always for a new volume.
#[tokio::test(flavor = "multi_thread")]
async fn requests_for_ever_new_volumes_are_held_within_memory() {
    let behavior = Behavior::answer(Duration::ZERO, 200);
    assert_held_at_all_limits("ever new volumes", behavior, Served, async |world| {
        let address = world.node.address;
        on_threads_of_their_own(async move {
            let mut clients = JoinSet::new();
            for client in 0..CLIENTS {
                let mut id = client << 32;
                let next = move || {
                    id += 1;
                    read_of_new_volume(id)
                };
                clients.spawn(flood_one_by_one(address, DURATION, next));
            }
            let answered: usize = clients.join_all().await.into_iter().sum();
            println!("{answered} requests for new volumes answered");
        })
        .await;
    })
    .await;
}

/// One client sends as fast as its connection takes it.
#[tokio::test(flavor = "multi_thread")]
async fn flood_of_writes_for_new_volumes_is_held_within_memory() {
    let behavior = Behavior::answer(Duration::ZERO, 200);
    assert_held_at_all_limits("writes of new volumes", behavior, Served, async |world| {
        let mut id = 0;
        let next = move || {
            id += 1;
            [head(id, 4), b"data".to_vec()].concat()
        };
        let address = world.node.address;
        on_threads_of_their_own(flood(address, Responses::Read, FLOOD_DURATION, next)).await;
    })
    .await;
}
