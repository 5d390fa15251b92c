//! Starts a relay and plays all its peers: clients, endpoints and the platform. Written from the protocol; every wait
//! is for an event, with a limit only so that a failure ends.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Longer than any wait takes on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A message that was received, and its connection.
pub struct ReceivedMessage {
    pub head: String,
    pub body: Vec<u8>,
    stream: TcpStream,
}

impl ReceivedMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(": "));
        lines.filter(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value).next()
    }

    pub fn id(&self) -> &str {
        self.header("Request-Id").unwrap_or_default()
    }

    /// Answers with a status and its phrase, header lines and a body.
    pub fn respond(&mut self, status: &str, headers: &str, body: &str) {
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        // The relay may have exited by now, which is for the test to notice.
        let _ = self.stream.write_all(text.as_bytes());
    }

    pub fn write(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("the relay reads");
    }

    /// Writes to a relay that may have closed the connection.
    pub fn try_write(&mut self, bytes: &str) {
        // How the relay treats it is for the test to notice.
        let _ = self.stream.write_all(bytes.as_bytes());
    }

    /// Whether the relay has closed the connection, or does so in time.
    pub fn is_closed(&mut self) -> bool {
        self.stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a limit");
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    pub fn close(self) {
        self.stream.shutdown(std::net::Shutdown::Both).expect("a connection");
    }
}

/// Reads a message with its body by `Content-Length`; `None` at the end of the stream.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head.lines().filter_map(|line| line.split_once(": "));
    let length = length.filter(|(name, _)| name.eq_ignore_ascii_case("Content-Length")).map(|h| h.1.parse());
    let mut body = vec![0; length.map(Result::ok).next().unwrap_or(Some(0))?];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// A server that hands every message it receives to the test.
pub struct TestServer {
    pub address: SocketAddr,
    messages: Receiver<ReceivedMessage>,
}

impl TestServer {
    pub fn start() -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (sender, messages) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || serve_connection(stream, &sender));
            }
        });
        TestServer { address, messages }
    }

    pub fn next_message(&self) -> ReceivedMessage {
        self.messages.recv_timeout(TEST_TIMEOUT).expect("a message in time")
    }

    /// The next message; `None` if there is none for 30 ms.
    pub fn next_message_within_30_ms(&self) -> Option<ReceivedMessage> {
        self.messages.recv_timeout(Duration::from_millis(30)).ok()
    }

    pub fn next_message_without_limit(&self) -> Option<ReceivedMessage> {
        self.messages.recv().ok()
    }
}

fn serve_connection(stream: TcpStream, sender: &Sender<ReceivedMessage>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some((head, body)) = read_message(&mut reader) {
        let message = ReceivedMessage { head, body, stream: stream.try_clone().expect("a second handle") };
        if sender.send(message).is_err() {
            return;
        }
    }
}

/// A relay process with its state directory, one endpoint and a platform.
pub struct RelayHarness {
    directory: PathBuf,
    process: Option<Child>,
    log: Receiver<Value>,
    pub listen: SocketAddr,
    pub endpoint: TestServer,
    pub platform: TestServer,
    pub config: Value,
}

/// A directory of this test's own.
fn create_directory() -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let directory = std::env::temp_dir().join(format!("juniperwing-{}-{count}", std::process::id()));
    std::fs::create_dir_all(directory.join("state")).expect("a directory for temporary files");
    directory
}

/// A configuration with destination 7, which has one endpoint, and a topic type of each kind of semantics.
fn default_config(endpoint: SocketAddr, platform: SocketAddr) -> Value {
    let host = json!({"host": "e", "dial": endpoint.to_string(), "site": "z", "class": "plain", "block": 7,
        "health": "ready", "share": 1.0});
    let second = 1_000_000_000u64;
    let class = |name: &str, semantics: &str, ordered: bool| {
        json!({"name": name, "semantics": semantics, "fifo-by-key": ordered, "aim": second, "worth": 1,
            "hard-limit": 16 * second, "late-value": 0.5, "dedup-scope": "all", "repeat-window": 60 * second})
    };
    json!({"name": "r", "listen": "127.0.0.1:0", "discovery": platform.to_string(), "seed": "7",
        "limits": {"sockets": 1024, "disk_mb": 3}, "known": {"seq": 41, "whole": true, "hosts": [host]},
        "settings": {
            "balancers": 1, "discovery": "subscribe", "kinds": ["plain"], "tick": 5_000_000,
            "classes": [class("safe", "pure", false), class("mark", "token", false),
                class("once", "side_effect", true)],
            "family-info": {"slots": 8, "per-call": [1], "separate-routes": [false]},
            "ceilings": {"max-attempts": 8, "max-retry-after": 3 * second, "retry-after": true, "cancel": true,
                "second-copies": true, "conn-idle": 5 * second, "connect-timeout": 1_500_000_000u64},
            "rules": {"ask-every": 10 * second, "cold": 14 * second, "cold-from": 0.21, "fall-multiple": 2.0,
                "tip-after": 1_500_000_000u64, "settle-after-doubt": 100_000_000u64}}})
}

pub fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniperwing"));
    for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_STATE", "ROUTER_CONFIG"] {
        command.env_remove(name);
    }
    command
}

impl RelayHarness {
    pub fn start() -> RelayHarness {
        RelayHarness::start_with(|_| {})
    }

    /// Starts a relay with a changed configuration.
    pub fn start_with(change: impl FnOnce(&mut Value)) -> RelayHarness {
        let (endpoint, platform) = (TestServer::start(), TestServer::start());
        let mut config = default_config(endpoint.address, platform.address);
        change(&mut config);
        let listen = platform.address;
        let mut harness = RelayHarness {
            directory: create_directory(),
            process: None,
            log: channel().1,
            listen,
            endpoint,
            platform,
            config,
        };
        harness.restart();
        harness
    }

    pub fn state_directory(&self) -> PathBuf {
        self.directory.join("state")
    }

    fn config_path(&self) -> PathBuf {
        self.directory.join("config.json")
    }

    /// Replaces the configuration file and has the relay read it again.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.config_path(), text).expect("a written file");
        self.send_signal("-HUP");
    }

    /// Starts the relay on the directory as it is, and waits until it serves. Returns the line of the log that says so.
    pub fn restart(&mut self) -> Value {
        let path = self.config_path();
        std::fs::write(&path, self.config.to_string()).expect("a written file");
        let mut relay = program()
            .args(["serve", "--log-level", "debug", "--config"])
            .arg(&path)
            .env("ROUTER_STATE", self.state_directory())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the relay starts");
        let lines = BufReader::new(relay.stderr.take().expect("a pipe")).lines();
        let (sender, log) = channel();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let line = serde_json::from_str(&line).unwrap_or(Value::String(line));
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        (self.process, self.log) = (Some(relay), log);
        let line = self.wait_for_log("serving");
        self.listen = line["listen"].as_str().and_then(|text| text.parse().ok()).expect("an address");
        line
    }

    /// Waits for a line of the log with this message.
    pub fn wait_for_log(&self, message: &str) -> Value {
        self.log_until(message).pop().unwrap_or_default()
    }

    /// The lines of the log up to the first with this message.
    pub fn log_until(&self, message: &str) -> Vec<Value> {
        let (mut lines, since) = (Vec::new(), Instant::now());
        while lines.last().is_none_or(|line: &Value| line["msg"] != message) {
            // Lines that are repeated forever must not extend the wait.
            assert!(since.elapsed() < TEST_TIMEOUT, "{message:?} in time");
            lines.push(self.log.recv_timeout(TEST_TIMEOUT).expect("a line of the log in time"));
        }
        lines
    }

    /// Whether, of the lines logged from now on, one with `first` comes before one with `then`.
    pub fn is_logged_before(&self, first: &str, then: &str) -> bool {
        self.log_until(then).iter().any(|line| line["msg"] == first)
    }

    /// The servers, for the test to answer in threads of their own.
    pub fn take_servers(&mut self) -> (TestServer, TestServer) {
        let endpoint = std::mem::replace(&mut self.endpoint, TestServer::start());
        (endpoint, std::mem::replace(&mut self.platform, TestServer::start()))
    }

    pub fn connect_client(&self) -> TestClient {
        TestClient::connect(self.listen)
    }

    /// Kills the relay with SIGKILL.
    pub fn kill(&mut self) {
        let mut relay = self.process.take().expect("a relay that runs");
        relay.kill().expect("a process of ours");
        relay.wait().expect("its end");
    }

    /// Sends the relay SIGTERM.
    pub fn request_stop(&self) {
        self.send_signal("-TERM");
    }

    pub fn send_signal(&self, name: &str) {
        let id = self.process.as_ref().expect("a relay that runs").id();
        let done = Command::new("kill").args([name, &id.to_string()]).status().expect("kill runs");
        assert!(done.success());
    }

    /// Waits for the relay to exit and returns its exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        self.process.take().expect("a relay that runs").wait().expect("its end").code()
    }

    /// The next notice, which must be alone in its request.
    pub fn next_notice(&self) -> (ReceivedMessage, Value) {
        let (message, mut notices) = self.next_notices();
        assert_eq!(notices.len(), 1);
        (message, notices.remove(0))
    }

    /// The next request with notices, and the notices.
    pub fn next_notices(&self) -> (ReceivedMessage, Vec<Value>) {
        let message = self.next_platform_request("POST /v1/notices ");
        let lines = message.body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        let notices = lines.map(|line| serde_json::from_slice(line).expect("a notice")).collect();
        (message, notices)
    }

    /// The next request for a watch.
    pub fn next_watch(&self) -> ReceivedMessage {
        self.next_platform_request("GET /v1/endpoints?")
    }

    /// The next request to the platform with this beginning; others before it are skipped.
    fn next_platform_request(&self, start: &str) -> ReceivedMessage {
        // Watches are requested forever, and must not extend the wait.
        let since = Instant::now();
        while since.elapsed() < TEST_TIMEOUT {
            let message = self.platform.next_message();
            if message.head.starts_with(start) {
                return message;
            }
        }
        panic!("no {start:?} in time")
    }
}

impl Drop for RelayHarness {
    fn drop(&mut self) {
        if let Some(mut relay) = self.process.take() {
            // It may have exited by itself.
            let _ = relay.kill();
            let _ = relay.wait();
        }
        remove_directory(&self.directory);
    }
}

fn remove_directory(directory: &Path) {
    // Left behind, it does no harm.
    let _ = std::fs::remove_dir_all(directory);
}

/// A connection of a client.
pub struct TestClient {
    reader: BufReader<TcpStream>,
}

impl TestClient {
    pub fn connect(to: SocketAddr) -> TestClient {
        let stream = TcpStream::connect(to).expect("the relay listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a limit");
        TestClient { reader: BufReader::new(stream) }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.reader.get_mut().write_all(bytes).expect("the relay reads");
    }

    /// The status and the head of the next response.
    pub fn read_response(&mut self) -> (u16, String) {
        let (head, _) = read_message(&mut self.reader).expect("an answer");
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        (status.expect("a status"), head)
    }

    /// Whether the relay closes the connection without a further byte.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).is_ok() && rest.is_empty()
    }

    /// Submits a notification and returns the status of the response.
    pub fn submit(&mut self, topic: &str, id: &str, key: &str, body: &[u8]) -> u16 {
        self.write(&submission(topic, id, key, 16_000, body));
        self.read_response().0
    }
}

/// The request that submits a notification for destination 7 with so many milliseconds left.
pub fn submission(topic: &str, id: &str, key: &str, ms: u32, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /{topic}?key={key} HTTP/1.1\r\nHost: r\r\nRequest-Id: {id}\r\nRequest-Class: {topic}\r\n\
         Request-Timeout-Ms: {ms}\r\nIdempotency-Key: i-{id}\r\nEnvelope: dest=7\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
