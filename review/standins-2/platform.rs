//! Stand-ins for the HTTP platform: a store, discovery, and clients of `umbertray node`. Only the standard
//! library is used.
#![allow(dead_code)]

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One HTTP message: its first line, its header fields and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a `Content-Length` or without a body; `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.lines();
    let first_line = lines.next().unwrap_or_default().to_string();
    let fields: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        .collect();
    let mut message = Message { first_line, fields, body: Vec::new() };
    let length = message.field("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// A request that a store has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub first_line: String,
    pub at: Instant,
}

/// A sound store: it runs each request once its last byte has come, and answers 200.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Store {
    pub fn start(work: Duration) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let store = Store { address, runs: runs.clone() };
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let runs = runs.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    while let Ok(Some(request)) = read_message(&mut stream) {
                        let Some(id) = request.field("X-Correlation-Id").map(String::from) else {
                            let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                            continue;
                        };
                        let run = Run { id: id.clone(), first_line: request.first_line.clone(), at: Instant::now() };
                        let number = {
                            let mut runs = runs.lock().expect("no thread panics with it");
                            runs.push(run);
                            runs.len()
                        };
                        thread::sleep(work);
                        let body = format!("run {number} of {id}");
                        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                        if stream.write_all(answer.as_bytes()).is_err() {
                            break;
                        }
                    }
                });
            }
        });
        store
    }
}

/// Discovery with one list that does not change: `uid`, address and shard of each store.
pub fn discovery(stores: Vec<(String, SocketAddr, u32)>) -> SocketAddr {
    let entries: Vec<String> = stores
        .iter()
        .map(|(uid, address, shard)| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":{shard},"state":"ready","capacity_hint":1.0,"boot_ms":0}}"#
            )
        })
        .collect();
    let list = format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, entries.join(","));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let list = list.clone();
            thread::spawn(move || {
                while let Ok(Some(request)) = read_message(&mut stream) {
                    if !request.first_line.contains("watch=1") {
                        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                        let _ = stream.write_all(answer.as_bytes());
                        continue;
                    }
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    let mut line = list.clone();
                    while stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).is_ok() {
                        line.clear();
                        thread::sleep(Duration::from_secs(2));
                    }
                    return;
                }
            });
        }
    });
    address
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A fresh request id.
pub fn fresh_id() -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000u64 + NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// A complete request for the class `class`; a write if `body` is not empty.
pub fn request(class: &str, id: &str, key: u64, left_ms: u64, body: &[u8]) -> Vec<u8> {
    let method = if body.is_empty() { "GET" } else { "PUT" };
    let mut bytes = format!(
        "{method} /{class}/00000003b4d60021/{key:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\n\
         X-Qos-Policy: basic\r\nX-Time-Left-Ms: {left_ms}\r\nX-Placement: units=1,shard=0,hosts=1\r\n"
    );
    if !body.is_empty() {
        bytes.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend(body);
    bytes
}

/// A connection of a client.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the gateway listens");
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    stream
}

/// Waits until `GET /health/ready` is 200.
pub fn wait_until_ready(address: SocketAddr) -> bool {
    for _ in 0..200 {
        let mut stream = connect(address);
        let _ = stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        if matches!(read_message(&mut stream), Ok(Some(answer)) if answer.status() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// The configuration of a gateway, like that of a small deployment.
pub fn config(discovery: SocketAddr) -> String {
    let types = r#"[{"name":"look","promiseS":0.4,"deadlineS":2.0,"effect":"free","gain":3.0},
        {"name":"order","promiseS":0.4,"deadlineS":3.0,"effect":"single_shot","gain":3.0}]"#;
    format!(
        r#"{{"name":"g0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0f",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},
        "known":{{"rev":0,"all":true,"targets":[]}},
        "settings":{{"discovery":"automatic","failureDomains":["a"],"groupSize":1,
        "familyInfo":{{"coldUnits":4.0,"maxUnits":6,"meanUnits":2.0,"slotsTotal":4,"writes":[false,true]}},
        "limits":{{"connIdleS":20.0,"dialTimeoutS":0.2,"maxAttempts":3,"maxRetryAfterS":1.0}},
        "profiles":{types},
        "contracts":[{{"name":"basic","rate":50.0,"weight":1.0}}],
        "rules":{{"coldFrom":0.5,"coldS":4.0,"drainGraceS":1.0,"fallS":1.0,"tipMultiple":2.0}},
        "telemetry":{{"fields":["util"],"via":"answers"}},"tickS":0.002}}}}"#
    )
}
