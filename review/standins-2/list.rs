//! A stand-in for the list of stores (docs/store-protocol.md), whose entries a case can change. Only the
//! standard library is used.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

pub const GONE: u8 = 0;
pub const READY: u8 = 1;
pub const DRAINING: u8 = 2;

/// One store of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub store: u64,
    pub address: SocketAddr,
    pub shard: u32,
    pub state: u8,
    pub start: u64,
}

#[derive(Default)]
struct State {
    entries: Vec<Entry>,
    watchers: Vec<TcpStream>,
}

/// The list.
#[derive(Clone)]
pub struct List {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn frame(kind: u8, fields: &[u8]) -> Vec<u8> {
    let mut bytes = ((fields.len() + 1) as u32).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend(fields);
    bytes
}

fn stores(kind: u8, entries: &[Entry]) -> Vec<u8> {
    let mut fields = (entries.len() as u16).to_be_bytes().to_vec();
    for entry in entries {
        let address = entry.address.to_string();
        fields.extend(entry.store.to_be_bytes());
        fields.extend((address.len() as u16).to_be_bytes());
        fields.extend(address.as_bytes());
        fields.extend(entry.shard.to_be_bytes());
        fields.extend(0u32.to_be_bytes());
        fields.push(entry.state);
        fields.extend(entry.start.to_be_bytes());
        fields.push(0);
    }
    frame(kind, &fields)
}

impl List {
    pub fn start(entries: Vec<Entry>) -> List {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(Mutex::new(State { entries, watchers: Vec::new() }));
        let list = List { address, state: state.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = state.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        list
    }

    /// Changes an entry and tells all that watch.
    pub fn set(&self, store: u64, change: impl Fn(&mut Entry)) {
        let mut state = self.state.lock().expect("no thread panics with it");
        let mut changed = Vec::new();
        for entry in state.entries.iter_mut().filter(|entry| entry.store == store) {
            change(entry);
            changed.push(entry.clone());
        }
        let bytes = stores(67, &changed);
        state.watchers.retain_mut(|watcher| watcher.write_all(&bytes).is_ok());
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<State>) {
    let _ = stream.set_nodelay(true);
    loop {
        let mut length = [0; 4];
        if stream.read_exact(&mut length).is_err() {
            return;
        }
        let mut request = vec![0; u32::from_be_bytes(length) as usize];
        if stream.read_exact(&mut request).is_err() {
            return;
        }
        let mut state = state.lock().expect("no thread panics with it");
        let answer = match request[0] {
            1 => {
                let mut welcome = request[1..7].to_vec();
                welcome.extend(0u64.to_be_bytes());
                frame(65, &welcome)
            }
            2 | 3 => stores(66, &state.entries),
            _ => frame(68, &[]),
        };
        if request[0] == 2 {
            state.watchers.extend(stream.try_clone().ok());
        }
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}
