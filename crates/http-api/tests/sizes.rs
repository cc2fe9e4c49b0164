//! The bytes of the platform's list and requests that docs/CAPACITY.md counts with.

use umbertray_http_api::endpoint_list::EndpointList;

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

/// The figure in the second cell of the row of that name.
fn page(name: &str) -> usize {
    let row = PAGE.lines().find_map(|line| line.strip_prefix(&format!("| {name} | ")));
    let cell = row.and_then(|rest| rest.split(" | ").next()).unwrap_or_else(|| panic!("no row {name:?}"));
    cell.replace(',', "").parse().unwrap_or_else(|_| panic!("{name:?} has {cell:?}"))
}

fn list(stores: usize) -> String {
    let entry = |n: usize| {
        format!(
            r#"{{"uid":"s{n:05}","endpoint":"10.100.100.10:7000","az":"a","model":"m","pod_group":{},"state":"ready","capacity_hint":1.0,"boot_ms":0}}"#,
            1000 + n % 3000
        )
    };
    format!(
        r#"{{"rev":100000,"all":true,"targets":[{}]}}"#,
        (0..stores).map(entry).collect::<Vec<_>>().join(",")
    )
}

/// An entry of a warm store with short names; a comma stands between two.
#[test]
fn endpoint_list_size_matches_capacity_page() {
    let entry = page("entry of the list, platform, short names");
    assert_eq!(list(2).len() - list(1).len(), entry);
    let whole = list(4000);
    assert_eq!(whole.len(), page("head of a list, platform") + 4000 * entry - 1);
    assert_eq!(EndpointList::parse(whole.as_bytes()).expect("a list").stores.len(), 4000);
}
