//! Starts a relay and simulates all its peers: clients, endpoints and the platform. The peers are implemented from the
//! protocol alone. Tests wait for events; timeouts only end failed tests.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Longer than any expected wait on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A received message with its connection.
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

    /// Responds with a status code and reason phrase, header lines and a body.
    pub fn respond(&mut self, status: &str, headers: &str, body: &str) {
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        // A failure is ignored: the relay may have exited, which the test detects.
        let _ = self.stream.write_all(text.as_bytes());
    }

    pub fn write(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("the relay is connected");
    }

    /// Writes to a connection that the relay may have closed.
    pub fn try_write(&mut self, bytes: &str) {
        // A failure is ignored: the test checks the behaviour of the relay.
        let _ = self.stream.write_all(bytes.as_bytes());
    }

    /// Whether the relay has closed the connection or closes it before the timeout.
    pub fn is_closed(&mut self) -> bool {
        self.stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a read timeout");
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    pub fn close(self) {
        self.stream.shutdown(std::net::Shutdown::Both).expect("a connection");
    }
}

/// Reads a message with a body of `Content-Length`; `None` at the end of the stream.
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

/// A server that passes every received message to the test.
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
        self.messages.recv_timeout(TEST_TIMEOUT).expect("a message before the timeout")
    }

    /// Returns the next message; `None` if none arrives within 30 ms.
    pub fn next_message_within_30_ms(&self) -> Option<ReceivedMessage> {
        self.messages.recv_timeout(Duration::from_millis(30)).ok()
    }

    pub fn next_message_without_timeout(&self) -> Option<ReceivedMessage> {
        self.messages.recv().ok()
    }
}

fn serve_connection(stream: TcpStream, sender: &Sender<ReceivedMessage>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a cloned handle"));
    while let Some((head, body)) = read_message(&mut reader) {
        let message = ReceivedMessage { head, body, stream: stream.try_clone().expect("a cloned handle") };
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

/// Creates a directory for one test.
fn create_directory() -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let directory = std::env::temp_dir().join(format!("juniperwing-{}-{count}", std::process::id()));
    std::fs::create_dir_all(directory.join("state")).expect("a directory for temporary files");
    directory
}

/// Returns a configuration with destination 7, which has one endpoint, and one topic type for each kind of semantics.
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

    /// Starts a relay with a modified default configuration.
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

    /// Replaces the configuration file and makes the relay reload it.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.config_path(), text).expect("a written file");
        self.send_signal("-HUP");
    }

    /// Starts the relay with the existing state directory and waits until it serves. Returns the log line `serving`.
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

    /// Waits for a log line with this message.
    pub fn wait_for_log(&self, message: &str) -> Value {
        self.log_until(message).pop().unwrap_or_default()
    }

    /// Returns the log lines up to the first one with this message.
    pub fn log_until(&self, message: &str) -> Vec<Value> {
        let (mut lines, since) = (Vec::new(), Instant::now());
        while lines.last().is_none_or(|line: &Value| line["msg"] != message) {
            // Lines that repeat indefinitely must not extend the wait.
            assert!(since.elapsed() < TEST_TIMEOUT, "no log line {message:?} before the timeout");
            lines.push(self.log.recv_timeout(TEST_TIMEOUT).expect("a log line before the timeout"));
        }
        lines
    }

    /// Whether, in the log from now on, a line with `first` precedes the first line with `then`.
    pub fn is_logged_before(&self, first: &str, then: &str) -> bool {
        self.log_until(then).iter().any(|line| line["msg"] == first)
    }

    /// Takes the servers, so that a test can respond from other threads.
    pub fn take_servers(&mut self) -> (TestServer, TestServer) {
        let endpoint = std::mem::replace(&mut self.endpoint, TestServer::start());
        (endpoint, std::mem::replace(&mut self.platform, TestServer::start()))
    }

    pub fn connect_client(&self) -> TestClient {
        TestClient::connect(self.listen)
    }

    /// Kills the relay with SIGKILL.
    pub fn kill(&mut self) {
        let mut relay = self.process.take().expect("a running relay");
        relay.kill().expect("the relay can be killed");
        relay.wait().expect("the relay exits");
    }

    /// Sends the relay SIGTERM.
    pub fn request_stop(&self) {
        self.send_signal("-TERM");
    }

    pub fn send_signal(&self, name: &str) {
        let id = self.process.as_ref().expect("a running relay").id();
        let done = Command::new("kill").args([name, &id.to_string()]).status().expect("kill runs");
        assert!(done.success());
    }

    /// Waits for the relay to exit and returns its exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        self.process.take().expect("a running relay").wait().expect("the relay exits").code()
    }

    /// Returns the next notice, which must be the only one in its request.
    pub fn next_notice(&self) -> (ReceivedMessage, Value) {
        let (message, mut notices) = self.next_notices();
        assert_eq!(notices.len(), 1);
        (message, notices.remove(0))
    }

    /// Returns the next request with notices, and the notices.
    pub fn next_notices(&self) -> (ReceivedMessage, Vec<Value>) {
        let message = self.next_platform_request("POST /v1/notices ");
        let lines = message.body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        let notices = lines.map(|line| serde_json::from_slice(line).expect("a notice")).collect();
        (message, notices)
    }

    /// Returns the next watch request.
    pub fn next_watch(&self) -> ReceivedMessage {
        self.next_platform_request("GET /v1/endpoints?")
    }

    /// Returns the next request to the platform with this prefix, skipping others before it.
    fn next_platform_request(&self, prefix: &str) -> ReceivedMessage {
        // Watch requests repeat indefinitely and must not extend the wait.
        let since = Instant::now();
        while since.elapsed() < TEST_TIMEOUT {
            let message = self.platform.next_message();
            if message.head.starts_with(prefix) {
                return message;
            }
        }
        panic!("no request {prefix:?} before the timeout")
    }
}

impl Drop for RelayHarness {
    fn drop(&mut self) {
        if let Some(mut relay) = self.process.take() {
            // A failure is ignored: the relay may have exited.
            let _ = relay.kill();
            let _ = relay.wait();
        }
        remove_directory(&self.directory);
    }
}

fn remove_directory(directory: &Path) {
    // A failure is ignored: the system cleans up temporary files.
    let _ = std::fs::remove_dir_all(directory);
}

/// A client connection.
pub struct TestClient {
    reader: BufReader<TcpStream>,
}

impl TestClient {
    pub fn connect(address: SocketAddr) -> TestClient {
        let stream = TcpStream::connect(address).expect("the relay listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a read timeout");
        TestClient { reader: BufReader::new(stream) }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.reader.get_mut().write_all(bytes).expect("the relay is connected");
    }

    /// Reads the next response. Returns its status and head.
    pub fn read_response(&mut self) -> (u16, String) {
        let (head, _) = read_message(&mut self.reader).expect("a response");
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        (status.expect("a status"), head)
    }

    /// Whether the relay closes the connection without sending further bytes.
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

/// Encodes the submission of a notification for destination 7 with a remaining time of `ms` milliseconds.
pub fn submission(topic: &str, id: &str, key: &str, ms: u32, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /{topic}?key={key} HTTP/1.1\r\nHost: r\r\nRequest-Id: {id}\r\nRequest-Class: {topic}\r\n\
         Request-Timeout-Ms: {ms}\r\nIdempotency-Key: i-{id}\r\nEnvelope: dest=7\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
