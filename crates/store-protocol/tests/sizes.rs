//! The bytes that docs/CAPACITY.md counts with are those of the codec: its table of sizes is read, not copied.

use bytes::Bytes;
use umbertray_store_protocol::Message;
use umbertray_store_protocol::list::{EndpointState, FromList, ListedStore, Location, ToList};
use umbertray_store_protocol::store::{
    Attempt, AttemptResult, FromStore, OperationKind, ResultCode, ToStore,
};

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

/// The figure in the second cell of the row of that name.
fn page(name: &str) -> usize {
    let row = PAGE.lines().find_map(|line| line.strip_prefix(&format!("| {name} | ")));
    let cell = row.and_then(|rest| rest.split(" | ").next()).unwrap_or_else(|| panic!("no row {name:?}"));
    cell.replace(',', "").parse().unwrap_or_else(|_| panic!("{name:?} has {cell:?}"))
}

/// A store at an address as long as private networks mostly have.
fn entry(store: u64, age: Option<u64>) -> ListedStore {
    let address = format!("10.{}.{}.10:7000", 100 + store / 250 % 100, 100 + store % 100);
    let address = address.parse().expect("an address");
    ListedStore {
        store,
        address,
        shard: store as u32,
        zone: (store % 6) as u32,
        state: EndpointState::Ready,
        incarnation: 3,
        age,
    }
}

fn attempt(kind: OperationKind, data: Bytes) -> ToStore {
    ToStore::Attempt(Attempt {
        number: 1,
        op: 2,
        volume: 3,
        extent: 4,
        epoch: 0,
        kind,
        offset: 0,
        length: 4096,
        units: 1.0,
        not_after: 9,
        supersedes: Vec::new(),
        durable: false,
        data,
    })
}

#[test]
fn list_frames_have_sizes_of_the_page() {
    let warm = page("entry of the list, store wire, warm store");
    let (head, cold) =
        (page("head of a list, store wire"), page("entry of the list, store wire, cold store"));
    let list = |count| FromList::Full((0..count).map(|store| entry(store, None)).collect()).frame().len();
    assert_eq!([list(0), list(1), list(4000)], [head, head + warm, head + 4000 * warm]);
    assert_eq!(list(4000), page("whole list of 4,000 stores, store wire"));
    assert_eq!(FromList::Changes(vec![entry(7, Some(5))]).frame().len(), head + cold);
}

#[test]
fn map_requests_have_sizes_of_the_page() {
    let (token, volume, extent) = (1, 2, 3);
    let place = Some(Location { shard: 4, epoch: 5 });
    assert_eq!(ToList::Lookup { token, volume, extent, min_epoch: 0 }.frame().len(), page("lookup"));
    assert_eq!(ToList::Claim { token, volume, extent, shard: 4 }.frame().len(), page("claim"));
    assert_eq!(FromList::Location { token, place }.frame().len(), page("place"));
    assert_eq!(ToList::Hello { run: 1 }.frame().len(), page("hello"));
    assert_eq!(FromList::Welcome { term: 1 }.frame().len(), page("welcome of list or coordinator"));
}

#[test]
fn store_frames_have_sizes_of_the_page() {
    let clock = 1;
    assert_eq!(ToStore::Hello { run: 1 }.frame().len(), page("hello"));
    assert_eq!(FromStore::Welcome { store: 1, shard: 2, clock }.frame().len(), page("welcome of a store"));
    assert_eq!(ToStore::HealthCheck { token: 0 }.frame().len(), page("sign of life, asked"));
    let healthy = FromStore::Healthy { token: 0, clock, load_report: Vec::new() };
    assert_eq!(healthy.frame().len(), page("sign of life, told, without a report"));
    assert_eq!(attempt(OperationKind::Read, Bytes::new()).frame().len(), page("dispatch without its data"));
    let data = Bytes::from(vec![0; 4096]);
    assert_eq!(attempt(OperationKind::Write, data).frame().len(), page("dispatch without its data") + 4096);
    let result = AttemptResult {
        number: 1,
        code: Ok(ResultCode::Succeeded),
        clock,
        epoch: 0,
        plan_rate_used: Some(0.5),
        units_elsewhere: 0.0,
        load_report: Vec::new(),
        data_ranges: Vec::new(),
    };
    assert_eq!(FromStore::AttemptResult(result).frame().len(), page("answer without a report"));
}
