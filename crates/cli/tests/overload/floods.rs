//! One client at full speed beside usual ones.

use std::time::Duration;

use tokio::task::JoinSet;

use crate::bad_clients::{Responses, flood, on_threads_of_their_own};
use crate::store::Behavior;
use crate::world::Expected::Served;
use crate::world::{LOAD_DURATION, assert_held_at_all_limits};

const HEALTH_CHECK: &[u8] = b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n";
const UNSOUND_REQUEST: &[u8] = b"GET /no-op HTTP/1.1\r\nHost: x\r\n\r\n";

async fn assert_flood_held(name: &str, request: &'static [u8]) {
    let behavior = Behavior::answer(Duration::ZERO, 200);
    for responses in [Responses::Read, Responses::Ignore] {
        let name = match responses {
            Responses::Read => name.to_string(),
            Responses::Ignore => format!("{name}, unread"),
        };
        assert_held_at_all_limits(&name, behavior, Served, async |world| {
            let next = move || request.to_vec();
            on_threads_of_their_own(flood(world.node.address, responses, LOAD_DURATION, next)).await;
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn flood_of_health_checks_leaves_others_served() {
    assert_flood_held("health checks", HEALTH_CHECK).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn flood_of_unsound_requests_leaves_others_served() {
    assert_flood_held("unsound requests", UNSOUND_REQUEST).await;
}

/// Many clients, each at full speed on one connection.
#[tokio::test(flavor = "multi_thread")]
async fn floods_from_many_connections_leave_others_served() {
    let behavior = Behavior::answer(Duration::ZERO, 200);
    assert_held_at_all_limits("floods from many connections", behavior, Served, async |world| {
        let address = world.node.address;
        let connections = world.crowd() / 2;
        on_threads_of_their_own(async move {
            let mut clients = JoinSet::new();
            for client in 0..connections {
                let request = [HEALTH_CHECK, UNSOUND_REQUEST][client % 2];
                let next = move || request.to_vec();
                clients.spawn(flood(address, Responses::Read, LOAD_DURATION, next));
            }
            clients.join_all().await;
        })
        .await;
    })
    .await;
}
