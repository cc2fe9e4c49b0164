//! Shared by the cases of this review: processes, a record, an NBD client and a TCP proxy. Only the standard
//! library is used.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Exit status: the rule was kept.
pub const HELD: i32 = 0;
/// Exit status: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status: the case could not run.
pub const NOT_RUN: i32 = 2;

/// A case ends itself after this time.
const MAX_RUN: Duration = Duration::from_secs(110);

struct Shared {
    record: Mutex<File>,
    started: Instant,
    children: Mutex<Vec<u32>>,
    folder: PathBuf,
}

static SHARED: OnceLock<Shared> = OnceLock::new();

fn shared() -> &'static Shared {
    SHARED.get_or_init(|| {
        let record = File::create("record.txt").expect("record.txt can be written");
        let folder = std::env::temp_dir().join(format!("umbertray-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Shared { record: Mutex::new(record), started: Instant::now(), children: Mutex::default(), folder }
    })
}

/// Starts the watchdog. Must be called first.
pub fn begin() {
    shared();
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        note("the case took too long");
        end(NOT_RUN);
    });
}

/// Whether the case runs with its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Time since the start, in milliseconds.
pub fn now_ms() -> u128 {
    shared().started.elapsed().as_millis()
}

/// Writes a line to record.txt and to standard output.
pub fn note(text: &str) {
    let line = format!("{:>7} ms  {text}", now_ms());
    println!("{line}");
    if let Ok(mut record) = shared().record.lock() {
        let _ = writeln!(record, "{line}");
    }
}

/// Ends all processes that were started, removes the temporary folder, and exits.
pub fn end(status: i32) -> ! {
    if let Ok(children) = shared().children.lock() {
        for pid in children.iter() {
            signal(*pid, "KILL");
        }
    }
    let _ = std::fs::remove_dir_all(&shared().folder);
    std::process::exit(status)
}

/// Ends the case with its verdict.
pub fn verdict(broken: &[String]) -> ! {
    for text in broken {
        note(&format!("BROKEN: {text}"));
    }
    note(if broken.is_empty() { "verdict: held" } else { "verdict: broken" });
    end(if broken.is_empty() { HELD } else { BROKEN })
}

/// Ends the case because it could not run.
pub fn not_run(reason: &str) -> ! {
    note(&format!("could not run: {reason}"));
    end(NOT_RUN)
}

/// Sends a signal to a process that this case started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid} 2>/dev/null")]).status();
}

/// The project's program, as the deploy file builds and names it.
pub fn program() -> PathBuf {
    let program = Path::new("../../target/release/umbertray");
    program.canonicalize().unwrap_or_else(|_| not_run("target/release/umbertray is missing: build it first"))
}

/// A path in the case's temporary folder.
pub fn path(name: &str) -> PathBuf {
    shared().folder.join(name)
}

/// Writes a file to the temporary folder.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let path = path(name);
    std::fs::write(&path, text).expect("the temporary folder can be written");
    path
}

/// A process of the project.
pub struct Process {
    pub pid: u32,
    /// Its first line on standard output.
    pub first_line: String,
    child: Arc<Mutex<std::process::Child>>,
}

impl Process {
    pub fn signal(&self, name: &str) {
        signal(self.pid, name);
    }

    /// The exit status, if the process has ended.
    pub fn ended(&self) -> Option<std::process::ExitStatus> {
        self.child.lock().ok()?.try_wait().ok()?
    }

    /// The first address in the first line.
    pub fn address(&self) -> SocketAddr {
        let start = self.first_line.find("127.0.0.1:");
        let rest = start.map(|start| &self.first_line[start..]).unwrap_or_default();
        let end = rest.find('"').unwrap_or(rest.len());
        rest[..end].parse().unwrap_or_else(|_| not_run(&format!("no address in {:?}", self.first_line)))
    }
}

/// Has a process ended at the end of the case.
pub fn register_child(pid: u32) {
    shared().children.lock().expect("no thread panics with it").push(pid);
}

/// Starts a process of the project and waits for its first line. Its log goes to record.txt.
pub fn start(name: &str, arguments: &[&str], environment: &[(&str, &str)]) -> Process {
    let mut command = Command::new(program());
    command.args(arguments).env("NO_COLOR", "1").envs(environment.iter().copied());
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap_or_else(|error| not_run(&format!("{name}: {error}")));
    let pid = child.id();
    register_child(pid);
    let mut lines = BufReader::new(child.stdout.take().expect("piped"));
    let log = BufReader::new(child.stderr.take().expect("piped"));
    let label = name.to_string();
    thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            note(&format!("[{label}] {line}"));
        }
    });
    let mut first_line = String::new();
    let _ = lines.read_line(&mut first_line);
    note(&format!("started {name}, pid {pid}: {}", first_line.trim()));
    if first_line.trim().is_empty() {
        thread::sleep(Duration::from_millis(200));
        not_run(&format!("{name} did not start"));
    }
    thread::spawn(move || {
        let mut rest = String::new();
        let _ = lines.read_to_string(&mut rest);
    });
    Process { pid, first_line, child: Arc::new(Mutex::new(child)) }
}

/// A reply to an NBD request, or the end of the connection.
#[derive(Clone, Debug)]
pub enum Reply {
    Done { cookie: u64, error: u32, data: Vec<u8>, at: Instant },
    Closed { reason: String, at: Instant },
}

/// NBD commands.
pub const READ: u16 = 0;
pub const WRITE: u16 = 1;
pub const FLUSH: u16 = 3;
pub const TRIM: u16 = 4;
pub const WRITE_ZEROES: u16 = 6;

/// An NBD session with simple replies.
pub struct Nbd {
    stream: TcpStream,
    pub replies: Receiver<Reply>,
    reads: Arc<Mutex<HashMap<u64, usize>>>,
    next_cookie: u64,
    name: String,
}

impl Nbd {
    /// Connects and selects an export ("NBD_OPT_EXPORT_NAME").
    pub fn open(name: &str, address: SocketAddr, export: &str) -> Nbd {
        Nbd::try_open(name, address, export)
            .unwrap_or_else(|error| not_run(&format!("client {name}: {error}")))
    }

    pub fn try_open(name: &str, address: SocketAddr, export: &str) -> io::Result<Nbd> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let mut greeting = [0; 18];
        stream.read_exact(&mut greeting)?;
        let mut hello = Vec::new();
        hello.extend(3u32.to_be_bytes());
        hello.extend(0x4948_4156_454f_5054u64.to_be_bytes());
        hello.extend(1u32.to_be_bytes());
        hello.extend((export.len() as u32).to_be_bytes());
        hello.extend(export.as_bytes());
        stream.write_all(&hello)?;
        let mut selected = [0; 10];
        stream.read_exact(&mut selected)?;
        let (sender, replies) = mpsc::channel();
        let reads: Arc<Mutex<HashMap<u64, usize>>> = Arc::default();
        let reader = stream.try_clone()?;
        let expected = reads.clone();
        thread::spawn(move || read_replies(reader, &expected, &sender));
        Ok(Nbd { stream, replies, reads, next_cookie: 1, name: name.into() })
    }

    /// Sends a request and returns its cookie.
    pub fn send(&mut self, command: u16, offset: u64, length: u32, payload: &[u8]) -> io::Result<u64> {
        let cookie = self.next_cookie;
        self.next_cookie += 1;
        if command == READ {
            self.reads.lock().expect("no thread panics with it").insert(cookie, length as usize);
        }
        let mut request = Vec::with_capacity(28 + payload.len());
        request.extend(0x2560_9513u32.to_be_bytes());
        request.extend(0u16.to_be_bytes());
        request.extend(command.to_be_bytes());
        request.extend(cookie.to_be_bytes());
        request.extend(offset.to_be_bytes());
        request.extend(length.to_be_bytes());
        request.extend(payload);
        self.stream.write_all(&request)?;
        Ok(cookie)
    }

    /// Sends a request and notes it.
    pub fn send_noted(&mut self, what: &str, command: u16, offset: u64, length: u32, payload: &[u8]) -> u64 {
        let sent = self.send(command, offset, length, payload);
        match &sent {
            Ok(cookie) => note(&format!("{}: sent {what}, cookie {cookie}, offset {offset}, {length} bytes", self.name)),
            Err(error) => note(&format!("{}: {what} could not be sent: {error}", self.name)),
        }
        sent.unwrap_or(0)
    }

    /// Waits for the reply to a request; replies to others are noted and dropped.
    pub fn wait(&mut self, cookie: u64, at_most: Duration) -> Option<Reply> {
        let until = Instant::now() + at_most;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let reply = self.replies.recv_timeout(left).ok()?;
            note(&format!("{}: {}", self.name, describe(&reply)));
            match &reply {
                Reply::Done { cookie: found, .. } if *found != cookie => {}
                _ => return Some(reply),
            }
        }
    }
}

/// A reply in a few words.
pub fn describe(reply: &Reply) -> String {
    match reply {
        Reply::Done { cookie, error, data, .. } => {
            let first = data.first().map(|byte| format!(", {} bytes, first {byte:#04x}", data.len()));
            format!("reply to cookie {cookie}: error {error}{}", first.unwrap_or_default())
        }
        Reply::Closed { reason, .. } => format!("the gateway closed the connection: {reason}"),
    }
}

fn read_replies(mut stream: TcpStream, reads: &Mutex<HashMap<u64, usize>>, sender: &Sender<Reply>) {
    let reason = loop {
        let mut header = [0; 16];
        if let Err(error) = stream.read_exact(&mut header) {
            break error.to_string();
        }
        let number = |range: std::ops::Range<usize>| {
            header[range].iter().fold(0u64, |number, byte| number << 8 | u64::from(*byte))
        };
        if number(0..4) != 0x6744_6698 {
            break "no simple reply".into();
        }
        let error = number(4..8) as u32;
        let cookie = number(8..16);
        let length = reads.lock().expect("no thread panics with it").remove(&cookie).unwrap_or(0);
        let mut data = vec![0; if error == 0 { length } else { 0 }];
        if let Err(error) = stream.read_exact(&mut data) {
            break error.to_string();
        }
        if sender.send(Reply::Done { cookie, error, data, at: Instant::now() }).is_err() {
            return;
        }
    };
    let _ = sender.send(Reply::Closed { reason, at: Instant::now() });
}

/// A proxy on loopback. What the server sends while `late` is set is passed on that much later; each piece on
/// its own, in order.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    pub late: Arc<Mutex<Duration>>,
}

impl Proxy {
    pub fn start(upstream: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let late: Arc<Mutex<Duration>> = Arc::default();
        let proxy = Proxy { address, late: late.clone() };
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let Ok(server) = TcpStream::connect(upstream) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else { continue };
                thread::spawn(move || pass(from_client, server, &Mutex::default()));
                let late = late.clone();
                thread::spawn(move || pass(from_server, client, &late));
            }
        });
        proxy
    }

    pub fn set_late(&self, late: Duration) {
        *self.late.lock().expect("no thread panics with it") = late;
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, late: &Mutex<Duration>) {
    let (sender, pieces) = mpsc::channel::<(Instant, Vec<u8>)>();
    let writer = thread::spawn(move || {
        for (due, bytes) in pieces {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        let due = Instant::now() + *late.lock().expect("no thread panics with it");
        if count == 0 || sender.send((due, buffer[..count].to_vec())).is_err() {
            break;
        }
    }
    drop(sender);
    let _ = writer.join();
    let _ = from.shutdown(std::net::Shutdown::Both);
}

/// Waits.
pub fn sleep_ms(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}
