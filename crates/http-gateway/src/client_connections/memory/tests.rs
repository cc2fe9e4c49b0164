//! Which connection gives way when memory is short.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use umbertray_http::Limits;
use umbertray_http::connection::{ConnectionState, Event};
use umbertray_http::server::{RequestEvent, RequestReader};

use super::*;
use crate::client_connections::ConnectionSignals;
use crate::client_input::{ClientInput, Received};
use crate::memory_budget::MemoryBudget;

/// Lengths of bodies: the memory of the requests is below and above what needs no reservation.
const SMALL: usize = 500;
const LARGE: usize = 2 * ALWAYS_AVAILABLE;

/// Connections without a request, numbered from 0, and the budget for their input.
fn connections(count: u64) -> (ClientConnections, Vec<Rc<RefCell<ClientInput>>>) {
    let budget = MemoryBudget::new(usize::MAX);
    let connections = ClientConnections::default();
    let input = |_| {
        let requests = RequestReader::new(Limits { head: 8192, body: 1 << 20 });
        Rc::new(RefCell::new(ClientInput::new(requests, budget.reservation())))
    };
    let inputs: Vec<_> = (0..count).map(input).collect();
    for (id, input) in (0..).zip(&inputs) {
        connections.insert(id, input.clone(), Rc::<ConnectionSignals>::default());
    }
    (connections, inputs)
}

/// Lets a connection read a request that lacks the last byte of its body, from a client that has sent no
/// more.
async fn read_partial(input: &RefCell<ClientInput>, body: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("an address");
    let mut client = TcpStream::connect(address).await.expect("it listens");
    let (stream, _) = umbertray_socket::accept(&listener).await.expect("the client");
    let head = format!("PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", body + 1);
    let sent = [head.into_bytes(), vec![b'x'; body]].concat();
    client.write_all(&sent).await.expect("the kernel holds it");
    let mut missing = sent.len();
    while missing > 0 {
        stream.readable().await.expect("an open connection");
        let mut input = input.borrow_mut();
        assert!(input.try_reserve());
        if input.receive(&stream) == Some(Received::Bytes) {
            missing -= input.unparsed();
            assert_eq!(input.next_event(), Ok(RequestEvent::More));
        }
    }
    assert_eq!(input.borrow_mut().receive(&stream), None);
}

/// Memory held for the input of each connection: none for one that was evicted.
fn evicted(inputs: &[Rc<RefCell<ClientInput>>]) -> Vec<usize> {
    let is_evicted =
        |input: &RefCell<ClientInput>| input.borrow().has_begun() && input.borrow().eviction_rank().is_none();
    (0..inputs.len()).filter(|id| is_evicted(&inputs[*id])).collect()
}

#[tokio::test]
async fn request_that_waits_for_its_client_for_longest_is_discarded_first() {
    let (connections, inputs) = connections(4);
    read_partial(&inputs[2], LARGE).await;
    read_partial(&inputs[1], LARGE).await;
    assert!(connections.evict_partial_request(3));
    assert_eq!(evicted(&inputs), [2]);
    assert!(connections.evict_partial_request(3));
    assert_eq!(evicted(&inputs), [1, 2]);
    read_partial(&inputs[0], SMALL).await;
    assert!(!connections.evict_partial_request(3), "only a small one is left");
}

#[tokio::test]
async fn request_of_requester_is_not_discarded_for_others() {
    let (connections, inputs) = connections(2);
    read_partial(&inputs[0], LARGE).await;
    read_partial(&inputs[1], LARGE).await;
    assert!(!connections.evict_partial_request(0), "it is the first");
    assert!(connections.evict_partial_request(1));
    assert_eq!(evicted(&inputs), [0]);
}

/// Rule 1: a request that was read completely gets its final response, however little memory is left.
#[tokio::test]
async fn what_is_read_behind_complete_request_is_not_discarded() {
    let (connections, inputs) = connections(2);
    read_partial(&inputs[0], LARGE).await;
    let mut state = ConnectionState::new(false);
    state.on_event(Event::RequestRead { is_op: true, persists: true });
    connections.update(0, &state, true);
    assert!(!connections.evict_partial_request(1));
    assert_eq!(evicted(&inputs), [0_usize; 0]);
}

/// A client that still reads its response is given time.
#[test]
fn response_that_was_just_begun_does_not_give_way() {
    let (connections, _) = connections(2);
    assert_eq!(connections.demand_output_memory(), OutputDemand::Unavailable);
    connections.set_output_memory(0, ALWAYS_AVAILABLE);
    assert_eq!(connections.demand_output_memory(), OutputDemand::Unavailable);
    let begun_at = Instant::now();
    connections.set_output_memory(1, LARGE);
    match connections.demand_output_memory() {
        OutputDemand::StalledAt(at) => assert!(at >= begun_at + MAX_PROCESS_PAUSE),
        other => panic!("{other:?}"),
    }
    assert!(!connections.must_stop_writing(1));
}
