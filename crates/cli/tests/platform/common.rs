//! A gateway process, and connections of clients to it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use umbertray_fakes::platform::{Discovery, Store, StoreAction};
use umbertray_http::Limits;
use umbertray_http::client::{self, Response, ResponseReader};

/// Waits for an event; fails with its name if it does not occur within a generous time limit.
pub(crate) async fn within<T>(seconds: u64, what: &str, future: impl Future<Output = T>) -> T {
    match tokio::time::timeout(Duration::from_secs(seconds), future).await {
        Ok(value) => value,
        Err(_) => panic!("not within {seconds} s: {what}"),
    }
}

/// A gateway process, which is killed when this is dropped.
pub(crate) struct Node {
    pub(crate) address: SocketAddr,
    pub(crate) config: PathBuf,
    child: Child,
}

/// A gateway's configuration with this discovery service and this limit on descriptors.
pub(crate) fn config(discovery: SocketAddr, sockets: usize) -> String {
    let types = r#"[{"name":"look","promiseS":0.4,"deadlineS":2.0,"effect":"free","gain":3.0},
        {"name":"order","promiseS":0.4,"deadlineS":3.0,"effect":"single_shot","gain":3.0}]"#;
    format!(
        r#"{{"name":"g0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0f",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},
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

/// The same configuration with deadlines far longer than the time from SIGTERM to SIGKILL.
pub(crate) fn config_with_long_deadlines(discovery: SocketAddr, sockets: usize) -> String {
    config(discovery, sockets)
        .replace(r#""promiseS":0.4"#, r#""promiseS":2.0"#)
        .replace(r#""deadlineS":2.0"#, r#""deadlineS":20.0"#)
        .replace(r#""deadlineS":3.0"#, r#""deadlineS":30.0"#)
}

/// The same configuration with an endpoint list that must be subscribed to.
pub(crate) fn config_with_subscription(discovery: SocketAddr, sockets: usize) -> String {
    config(discovery, sockets)
        .replace("automatic", "subscribe")
        .replace(r#""rules":{"#, r#""rules":{"askWithinS":2.0,"#)
}

impl Node {
    pub(crate) async fn start(discovery: &Discovery, sockets: usize) -> Node {
        Node::start_with_config(&config(discovery.address, sockets)).await
    }

    pub(crate) async fn start_with_config(config: &str) -> Node {
        Node::start_with_environment(config, &[]).await
    }

    /// Starts a gateway with these additional environment variables.
    pub(crate) async fn start_with_environment(config: &str, environment: &[(&str, String)]) -> Node {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let name = format!("node-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&file, config).expect("the build folder is writable");
        let mut command = Command::new(env!("CARGO_BIN_EXE_umbertray"));
        command.arg("node").env("ROUTER_CONFIG", &file).stdout(Stdio::piped()).kill_on_drop(true);
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        let mut child = command.spawn().expect("the program of this build");
        let mut line = String::new();
        let mut lines = BufReader::new(child.stdout.take().expect("piped"));
        within(10, "the first line", lines.read_line(&mut line)).await.expect("its output");
        let output: serde_json::Value = serde_json::from_str(&line).expect("a line of JSON");
        let address = output["http"][0].as_str().expect("an address").parse().expect("an address");
        Node { address, config: file, child }
    }

    /// Starts a gateway and a scripted store, which is the only one of shard 0.
    pub(crate) async fn start_with_store(
        script: impl Fn(usize) -> StoreAction + Send + Sync + 'static,
    ) -> (Node, Store, Discovery) {
        Node::start_with_store_and_config(config, 256, script).await
    }

    pub(crate) async fn start_with_store_and_config(
        config: fn(SocketAddr, usize) -> String,
        sockets: usize,
        script: impl Fn(usize) -> StoreAction + Send + Sync + 'static,
    ) -> (Node, Store, Discovery) {
        let discovery = Discovery::start().await.expect("loopback");
        let store = Store::start(move |n, _| script(n)).await.expect("loopback");
        discovery.list("s0", store.address, 0, "ready");
        let node = Node::start_with_config(&config(discovery.address, sockets)).await;
        node.wait_until_ready().await;
        (node, store, discovery)
    }

    /// Returns once the gateway reports that it is ready.
    pub(crate) async fn wait_until_ready(&self) {
        let mut client = self.connect().await;
        let until_ready = async {
            loop {
                client.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
                if client.response().await.expect("a response").head.status == 200 {
                    return;
                }
                tokio::task::yield_now().await;
            }
        };
        within(10, "readiness", until_ready).await;
    }

    pub(crate) async fn connect(&self) -> ClientConnection {
        ClientConnection::connect(self.address).await
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let id = self.child.id().expect("it runs");
        kill(Pid::from_raw(id as i32), signal).expect("the test's own child process");
    }

    /// Kilobytes of anonymous resident memory.
    pub(crate) fn resident_kilobytes(&self) -> u64 {
        self.status_kilobytes("RssAnon:")
    }

    /// A size in kilobytes that the kernel reports of the process.
    pub(crate) fn status_kilobytes(&self, field: &str) -> u64 {
        let id = self.child.id().expect("it runs");
        let status =
            std::fs::read_to_string(format!("/proc/{id}/status")).expect("the test's own child process");
        let line = status.lines().find_map(|line| line.strip_prefix(field)).expect("the kernel reports it");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        within(10, "the exit of the program", self.child.wait()).await.expect("the test's own child process")
    }
}

/// One client's connection.
pub(crate) struct ClientConnection {
    pub(crate) stream: TcpStream,
    responses: ResponseReader,
}

/// The bytes of a request of an op type for a shard, with this id and this many milliseconds left.
pub(crate) fn op(op_type: &str, shard: i64, id: u64, left_ms: u64) -> Vec<u8> {
    let (id, placement, left) =
        (format!("{id:016x}"), format!("units=1,shard={shard},hosts=1"), left_ms.to_string());
    let fields: [(&str, &[u8]); 4] = [
        ("X-Correlation-Id", id.as_bytes()),
        ("X-Qos-Policy", b"basic"),
        ("X-Time-Left-Ms", left.as_bytes()),
        ("X-Placement", placement.as_bytes()),
    ];
    let (method, body): (_, &[u8]) = if op_type == "look" { ("GET", b"") } else { ("PUT", b"data") };
    let target = format!("/{op_type}/00000000000000aa/00000000000000bb");
    client::request(method, &target, "origin", &fields, body).to_vec()
}

impl ClientConnection {
    pub(crate) async fn connect(address: SocketAddr) -> ClientConnection {
        let stream =
            within(5, "a connection", TcpStream::connect(address)).await.expect("the gateway listens");
        ClientConnection { stream, responses: ResponseReader::new(Limits { head: 8192, body: 1 << 20 }) }
    }

    /// The next response; `None` once the gateway has closed the connection, or if the response is long
    /// overdue.
    pub(crate) async fn response_in_time(&mut self) -> Option<Response> {
        tokio::time::timeout(Duration::from_secs(4), self.response()).await.ok().flatten()
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) {
        // If the connection was closed meanwhile, the next read of a response reports it.
        _ = self.stream.write_all(bytes).await;
    }

    /// The next response; `None` once the gateway has closed the connection.
    pub(crate) async fn response(&mut self) -> Option<Response> {
        let read = async {
            loop {
                if let Some(response) = self.responses.response().expect("a valid response") {
                    return Some(response);
                }
                if !matches!(self.stream.read_buf(&mut self.responses.bytes).await, Ok(1..)) {
                    assert!(
                        self.responses.bytes.is_empty(),
                        "a partial response: {:?}",
                        self.responses.bytes
                    );
                    return None;
                }
            }
        };
        within(10, "a response or a close", read).await
    }

    /// Sends a request; returns the status and the body of the next response.
    pub(crate) async fn request(&mut self, bytes: &[u8]) -> (u16, String) {
        self.write(bytes).await;
        let response = self.response().await.expect("a response");
        (response.head.status, String::from_utf8_lossy(&response.body).into_owned())
    }
}
