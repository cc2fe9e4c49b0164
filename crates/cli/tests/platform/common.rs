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
use umbertray_fakes::platform::{Act, Discovery, Store};
use umbertray_http::Limits;
use umbertray_http::client::{self, Response, ResponseReader};

/// Fails with the name of the event where it does not come long after it was due.
pub(crate) async fn within<T>(seconds: u64, what: &str, future: impl Future<Output = T>) -> T {
    match tokio::time::timeout(Duration::from_secs(seconds), future).await {
        Ok(value) => value,
        Err(_) => panic!("not within {seconds} s: {what}"),
    }
}

/// One gateway process; dropped, it is killed.
pub(crate) struct Node {
    pub(crate) address: SocketAddr,
    pub(crate) config: PathBuf,
    child: Child,
}

pub(crate) fn config(discovery: SocketAddr, sockets: usize) -> String {
    let types = r#"[{"name":"look","promiseS":0.4,"deadlineS":2.0,"effect":"free","gain":3.0},
        {"name":"order","promiseS":0.4,"deadlineS":3.0,"effect":"single_shot","gain":3.0}]"#;
    format!(
        r#"{{"name":"g0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0f",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"known":{{"rev":0,"all":true,"targets":[]}},
        "settings":{{"discovery":"automatic","failureDomains":["a"],"groupSize":1,
        "familyInfo":{{"coldUnits":4.0,"maxUnits":6,"meanUnits":2.0,"slotsTotal":4,"writes":[false,true]}},
        "limits":{{"connIdleS":20.0,"dialTimeoutS":0.2,"maxAttempts":3,"maxRetryAfterS":1.0}},"profiles":{types},
        "contracts":[{{"name":"basic","rate":50.0,"weight":1.0}}],
        "rules":{{"coldFrom":0.5,"coldS":4.0,"drainGraceS":1.0,"fallS":1.0,"tipMultiple":2.0}},
        "telemetry":{{"fields":["util"],"via":"answers"}},"tickS":0.002}}}}"#
    )
}

/// The same with deadlines far longer than the time from SIGTERM to SIGKILL.
pub(crate) fn config_with_long_deadlines(discovery: SocketAddr, sockets: usize) -> String {
    config(discovery, sockets)
        .replace(r#""promiseS":0.4"#, r#""promiseS":2.0"#)
        .replace(r#""deadlineS":2.0"#, r#""deadlineS":20.0"#)
        .replace(r#""deadlineS":3.0"#, r#""deadlineS":30.0"#)
}

/// The same with a list that must be subscribed to.
pub(crate) fn config_with_subscription(discovery: SocketAddr, sockets: usize) -> String {
    config(discovery, sockets)
        .replace("automatic", "subscribe")
        .replace(r#""rules":{"#, r#""rules":{"askWithinS":2.0,"#)
}

impl Node {
    pub(crate) async fn start(discovery: &Discovery, sockets: usize) -> Node {
        Node::configured(&config(discovery.address, sockets)).await
    }

    pub(crate) async fn configured(config: &str) -> Node {
        Node::with_environment(config, &[]).await
    }

    /// A gateway whose process has these environment variables too.
    pub(crate) async fn with_environment(config: &str, environment: &[(&str, String)]) -> Node {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let name = format!("node-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&file, config).expect("a folder of the build's own");
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

    /// One gateway, and one scripted store with shard 0.
    pub(crate) async fn with_store(
        script: impl Fn(usize) -> Act + Send + Sync + 'static,
    ) -> (Node, Store, Discovery) {
        Node::with(config, 256, script).await
    }

    pub(crate) async fn with(
        config: fn(SocketAddr, usize) -> String,
        sockets: usize,
        script: impl Fn(usize) -> Act + Send + Sync + 'static,
    ) -> (Node, Store, Discovery) {
        let discovery = Discovery::start().await.expect("loopback");
        let store = Store::start(move |n, _| script(n)).await.expect("loopback");
        discovery.list("s0", store.address, 0, "ready");
        let node = Node::configured(&config(discovery.address, sockets)).await;
        node.ready().await;
        (node, store, discovery)
    }

    /// Returns once the gateway reports that it is ready.
    pub(crate) async fn ready(&self) {
        let mut caller = self.connect().await;
        let asked = async {
            loop {
                caller.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
                if caller.answer().await.expect("an answer").head.status == 200 {
                    return;
                }
                tokio::task::yield_now().await;
            }
        };
        within(10, "readiness", asked).await;
    }

    pub(crate) async fn connect(&self) -> Caller {
        Caller::connect(self.address).await
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let id = self.child.id().expect("it runs");
        kill(Pid::from_raw(id as i32), signal).expect("our own child");
    }

    /// Kilobytes of anonymous resident memory.
    pub(crate) fn memory(&self) -> u64 {
        let id = self.child.id().expect("it runs");
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("our own child");
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("the system tells");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    pub(crate) async fn ended(&mut self) -> ExitStatus {
        within(10, "the end of the program", self.child.wait()).await.expect("our own child")
    }
}

/// One client's connection.
pub(crate) struct Caller {
    pub(crate) stream: TcpStream,
    answers: ResponseReader,
}

/// A request of an op type for a shard, with this id.
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

impl Caller {
    pub(crate) async fn connect(address: SocketAddr) -> Caller {
        let stream = within(5, "a connection", TcpStream::connect(address)).await.expect("it listens");
        Caller { stream, answers: ResponseReader::new(Limits { head: 8192, body: 1 << 20 }) }
    }

    /// The next response; none once the gateway has closed, or long after it was due.
    pub(crate) async fn answer_or_nothing(&mut self) -> Option<Response> {
        tokio::time::timeout(Duration::from_secs(4), self.answer()).await.ok().flatten()
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) {
        // A connection closed meanwhile shows when the response is read.
        _ = self.stream.write_all(bytes).await;
    }

    /// The next response; none once the gateway has closed.
    pub(crate) async fn answer(&mut self) -> Option<Response> {
        let read = async {
            loop {
                if let Some(answer) = self.answers.response().expect("a whole answer") {
                    return Some(answer);
                }
                if !matches!(self.stream.read_buf(&mut self.answers.bytes).await, Ok(1..)) {
                    assert!(self.answers.bytes.is_empty(), "half an answer: {:?}", self.answers.bytes);
                    return None;
                }
            }
        };
        within(10, "an answer or a close", read).await
    }

    pub(crate) async fn ask(&mut self, bytes: &[u8]) -> (u16, String) {
        self.write(bytes).await;
        let answer = self.answer().await.expect("an answer");
        (answer.head.status, String::from_utf8_lossy(&answer.body).into_owned())
    }
}
