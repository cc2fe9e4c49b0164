//! The frame sizes that docs/CAPACITY.md uses are those of the codec: the tests read the page's table of
//! sizes.

use bytes::Bytes;
use umbertray_store_protocol::Message;
use umbertray_store_protocol::list::{EndpointState, FromList, ListedStore, Location, ToList};
use umbertray_store_protocol::store::{
    Attempt, AttemptResult, FromStore, OperationKind, ResultCode, ToStore,
};

const CAPACITY_PAGE: &str = include_str!("../../../docs/CAPACITY.md");

/// The number in the second cell of the row with this name in docs/CAPACITY.md.
fn documented_size(name: &str) -> usize {
    let row = CAPACITY_PAGE.lines().find_map(|line| line.strip_prefix(&format!("| {name} | ")));
    let cell = row.and_then(|rest| rest.split(" | ").next()).unwrap_or_else(|| panic!("no row {name:?}"));
    cell.replace(',', "").parse().unwrap_or_else(|_| panic!("row {name:?} has no number: {cell:?}"))
}

/// A list entry whose address is as long as most addresses of private networks.
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
    let warm = documented_size("entry of the list, store wire, warm store");
    let (head, cold) = (
        documented_size("head of a list, store wire"),
        documented_size("entry of the list, store wire, cold store"),
    );
    let list = |count| FromList::Complete((0..count).map(|store| entry(store, None)).collect()).frame().len();
    assert_eq!([list(0), list(1), list(4000)], [head, head + warm, head + 4000 * warm]);
    assert_eq!(list(4000), documented_size("whole list of 4,000 stores, store wire"));
    assert_eq!(FromList::Changes(vec![entry(7, Some(5))]).frame().len(), head + cold);
}

#[test]
fn map_requests_have_sizes_of_the_page() {
    let (token, volume, extent) = (1, 2, 3);
    let location = Some(Location { shard: 4, epoch: 5 });
    assert_eq!(
        ToList::Lookup { token, volume, extent, min_epoch: 0 }.frame().len(),
        documented_size("lookup")
    );
    assert_eq!(ToList::Claim { token, volume, extent, shard: 4 }.frame().len(), documented_size("claim"));
    assert_eq!(FromList::Location { token, location }.frame().len(), documented_size("place"));
    assert_eq!(ToList::Hello { run: 1 }.frame().len(), documented_size("hello"));
    assert_eq!(
        FromList::Welcome { term: 1 }.frame().len(),
        documented_size("welcome of list or coordinator")
    );
}

#[test]
fn store_frames_have_sizes_of_the_page() {
    let clock = 1;
    assert_eq!(ToStore::Hello { run: 1 }.frame().len(), documented_size("hello"));
    assert_eq!(
        FromStore::Welcome { store: 1, shard: 2, clock }.frame().len(),
        documented_size("welcome of a store")
    );
    assert_eq!(ToStore::HealthCheck { token: 0 }.frame().len(), documented_size("sign of life, asked"));
    let healthy = FromStore::Healthy { token: 0, clock, load_report: Vec::new() };
    assert_eq!(healthy.frame().len(), documented_size("sign of life, told, without a report"));
    assert_eq!(
        attempt(OperationKind::Read, Bytes::new()).frame().len(),
        documented_size("dispatch without its data")
    );
    let data = Bytes::from(vec![0; 4096]);
    assert_eq!(
        attempt(OperationKind::Write, data).frame().len(),
        documented_size("dispatch without its data") + 4096
    );
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
    assert_eq!(FromStore::AttemptResult(result).frame().len(), documented_size("answer without a report"));
}
