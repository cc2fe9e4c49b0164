//! Sizes of the platform's endpoint list that docs/CAPACITY.md relies on.

use umbertray_http_api::endpoint_list::EndpointList;

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

/// The number in the second cell of the row with this name.
fn page_figure(name: &str) -> usize {
    let row = PAGE.lines().find_map(|line| line.strip_prefix(&format!("| {name} | ")));
    let cell = row.and_then(|rest| rest.split(" | ").next()).unwrap_or_else(|| panic!("no row {name:?}"));
    cell.replace(',', "").parse().unwrap_or_else(|_| panic!("{name:?} has {cell:?}"))
}

fn list(stores: usize) -> String {
    let entry = |n: usize| {
        format!(
            "{{\"uid\":\"s{n:05}\",\"endpoint\":\"10.100.100.10:7000\",\"az\":\"a\",\"model\":\"m\",\
             \"pod_group\":{},\"state\":\"ready\",\"capacity_hint\":1.0,\"boot_ms\":0}}",
            1000 + n % 3000
        )
    };
    format!(
        r#"{{"rev":100000,"all":true,"targets":[{}]}}"#,
        (0..stores).map(entry).collect::<Vec<_>>().join(",")
    )
}

/// Checks the size of an entry of a warm store with a short name, including the comma between entries.
#[test]
fn endpoint_list_size_matches_capacity_page() {
    let entry = page_figure("entry of the list, platform, short names");
    assert_eq!(list(2).len() - list(1).len(), entry);
    let complete = list(4000);
    assert_eq!(complete.len(), page_figure("head of a list, platform") + 4000 * entry - 1);
    assert_eq!(EndpointList::parse(complete.as_bytes()).expect("a list").stores.len(), 4000);
}
