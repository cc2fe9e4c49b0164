//! Use of the saved endpoint list.

use std::net::SocketAddr;

use super::*;

#[test]
fn saved_list_assumes_stores_started_right_after_the_save() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let store =
        StoreRecord { store: 4, address, shard: 2, zone: 0, state: 1, incarnation: 9, learned_values: None };
    let saved = Snapshot { stores: vec![store], ..Snapshot::default() };
    let ms = Duration::from_millis;
    for (age, listed_age) in [(Some(ms(500)), 510_000), (None, 0)] {
        let (_, mut pending) = PendingRestore::new(ms(100), saved.clone(), age, &[]);
        let entry = ListedStore {
            store: 4,
            address,
            shard: 2,
            zone: 0,
            state: EndpointState::Ready,
            incarnation: u64::MAX,
            age: Some(listed_age),
        };
        assert_eq!(pending.take_saved_list(ms(110)), Some(vec![entry]));
        assert_eq!(pending.take_saved_list(ms(120)), None, "returned only once");
    }
}
