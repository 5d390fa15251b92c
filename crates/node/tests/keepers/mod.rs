//! Test harness: keepers, each on its own thread and loopback address, with clients, subscribers and simulated peers.

// Each test file uses only some items.
#![allow(dead_code)]

mod http;
mod observer;
mod peer;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use juniperwing_node::keeper::run_until;
use juniperwing_node::settings::{InternalPort, Settings};
use slog::{Discard, Logger, o};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::loopback::LoopbackNetwork;

#[allow(unused_imports)]
pub use http::Answer;
#[allow(unused_imports)]
pub use observer::{Observer, node_name};
#[allow(unused_imports)]
pub use peer::{Gate, Peer};

/// The timeout of every wait, long enough for a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(40);

const CONTROL_PORT: u16 = 8_144;

/// A configuration with one route.
pub fn configuration(generation: u64) -> String {
    format!(
        r#"{{"generation":{generation},"routes":[{{"name":"r","hostname":"h.example","pathPrefix":"/a/","routeType":"idempotent","timeoutMs":1000,"targetLatencyMs":100,"priority":0,"backend":"b","maxRetries":2}}],"backends":[{{"name":"b","healthCheck":"/healthz","maxConnections":10,"protocol":"h1","tls":false}}]}}"#
    )
}

/// The body of a heartbeat.
pub fn heartbeat(state: &str, sequence: u64) -> String {
    format!(
        r#"{{"backend":"b","address":"127.0.0.1:9","zone":"a","generation":"v1","capacity":4,"state":"{state}","warmupRemainingMs":0,"sequence":{sequence}}}"#
    )
}

/// Keepers of one tier.
pub struct Keepers {
    settings: Vec<Settings>,
    running: Vec<Option<Running>>,
    directory: PathBuf,
}

struct Running {
    stop: oneshot::Sender<StopMode>,
    freeze_requests: mpsc::UnboundedSender<FreezeRequest>,
    thread: std::thread::JoinHandle<()>,
}

/// Freezes a keeper until the sender of `resume` is dropped.
struct FreezeRequest {
    frozen: oneshot::Sender<()>,
    resume: std::sync::mpsc::Receiver<()>,
}

/// Keeps a keeper frozen until it is dropped.
pub struct Frozen {
    _resume: std::sync::mpsc::Sender<()>,
}

/// How a keeper is stopped.
enum StopMode {
    Graceful,
    Kill,
}

impl Keepers {
    /// Starts a tier on empty disks that tolerates the loss of `(count - 1) / 2` keepers.
    pub async fn start(count: u8) -> Self {
        let mut keepers = Self::prepare(count);
        for keeper in 0..usize::from(count) {
            keepers.restart(keeper).await;
        }
        keepers
    }

    /// Prepares a tier like [`Keepers::start`] without starting its keepers.
    pub fn prepare(count: u8) -> Self {
        let network = LoopbackNetwork::reserve();
        let directory_name = format!("juniperwing-keepers-{}-{}", std::process::id(), network.number());
        let directory = std::env::temp_dir().join(directory_name);
        let machines: Vec<Ipv4Addr> = (1..=count).map(|number| network.address(number)).collect();
        let settings = machines.iter().map(|machine| settings(*machine, &machines, &directory)).collect();
        let running = (0..count).map(|_| None).collect();
        Keepers { settings, running, directory }
    }

    /// Starts a tier of three keepers of which all but `real` are simulated by the test.
    pub async fn start_among_peers(real: usize) -> (Self, Vec<Peer>) {
        let mut keepers = Self::prepare(3);
        let simulated: Vec<usize> = (0..3).filter(|keeper| *keeper != real).collect();
        let addresses: Vec<SocketAddr> = simulated.iter().map(|keeper| keepers.internal(*keeper)).collect();
        let mut peers = Vec::new();
        for keeper in simulated {
            peers.push(Peer::start(keepers.settings(keeper), &addresses).await);
        }
        keepers.restart(real).await;
        (keepers, peers)
    }

    /// Starts a keeper, also after a stop or kill. Returns when its listeners serve.
    pub async fn restart(&mut self, keeper: usize) {
        let settings = self.settings[keeper].clone();
        let (ready, is_ready) = oneshot::channel();
        let (stop, mut stopped) = oneshot::channel();
        let (freeze_requests, mut requests) = mpsc::unbounded_channel::<FreezeRequest>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let (shutdown, shutdown_requested) = oneshot::channel::<()>();
                let log = Logger::root(Discard, o!());
                // First polled when all listeners serve.
                let stop = async {
                    let _ = ready.send(());
                    let _ = shutdown_requested.await;
                };
                // Blocks the only thread of the keeper, so that nothing else runs.
                tokio::spawn(async move {
                    while let Some(FreezeRequest { frozen, resume }) = requests.recv().await {
                        let _ = frozen.send(());
                        let _ = resume.recv();
                    }
                });
                let role = run_until(settings, log, stop);
                tokio::pin!(role);
                let end = tokio::select! {
                    ended = role.as_mut() => return ended.unwrap(),
                    end = &mut stopped => end,
                };
                if let Ok(StopMode::Graceful) = end {
                    drop(shutdown);
                    role.await.unwrap();
                }
            });
        });
        self.running[keeper] = Some(Running { stop, freeze_requests, thread });
        timeout(TEST_TIMEOUT, is_ready).await.expect("in time").expect("the keeper listens");
    }

    /// Freezes a keeper, as SIGSTOP does: its sockets accept connections and bytes, but nothing reads them.
    pub async fn freeze(&self, keeper: usize) -> Frozen {
        let (frozen, has_frozen) = oneshot::channel();
        let (resume_sender, resume) = std::sync::mpsc::channel();
        let running = self.running[keeper].as_ref().expect("the keeper runs");
        assert!(running.freeze_requests.send(FreezeRequest { frozen, resume }).is_ok());
        timeout(TEST_TIMEOUT, has_frozen).await.expect("in time").expect("the keeper is frozen");
        Frozen { _resume: resume_sender }
    }

    /// Shuts a keeper down gracefully.
    pub async fn stop(&mut self, keeper: usize) {
        self.stop_with(keeper, StopMode::Graceful).await;
    }

    /// Kills a keeper.
    pub async fn kill(&mut self, keeper: usize) {
        self.stop_with(keeper, StopMode::Kill).await;
    }

    /// Removes the data directory of a keeper that does not run.
    pub fn wipe(&self, keeper: usize) {
        assert!(self.running[keeper].is_none());
        std::fs::remove_dir_all(self.settings[keeper].data_directory.as_ref().unwrap()).unwrap();
    }

    async fn stop_with(&mut self, keeper: usize, mode: StopMode) {
        let running = self.running[keeper].take().expect("the keeper runs");
        // The send fails if the keeper has already terminated; joining its thread reports a panic.
        let _ = running.stop.send(mode);
        tokio::task::spawn_blocking(move || running.thread.join().unwrap()).await.unwrap();
    }

    /// The settings of a keeper.
    pub fn settings(&self, keeper: usize) -> &Settings {
        &self.settings[keeper]
    }

    /// The address at which a keeper listens for relays, stores and other keepers.
    pub fn internal(&self, keeper: usize) -> SocketAddr {
        self.settings[keeper].own_address(InternalPort::Keeper)
    }

    /// Sends a configuration until there is a definite response.
    pub async fn put(&self, keeper: usize, base: u64, body: &str) -> Answer {
        let head = format!("PUT /config HTTP/1.1\r\nIf-Match: {base}\r\n");
        self.call_until_definite(keeper, &head, body).await
    }

    /// Sends a configuration once, with the given header lines.
    pub async fn put_with(&self, keeper: usize, headers: &str, body: &str) -> Option<Answer> {
        self.call(keeper, &format!("PUT /config HTTP/1.1\r\n{headers}"), body).await
    }

    /// Sends a configuration once, in the background; the keeper may be stopped meanwhile.
    pub fn start_put(&self, keeper: usize, base: u64, body: &str) -> JoinHandle<Option<Answer>> {
        let address = self.settings[keeper].listeners_map.control_plane.unwrap();
        let head = format!("PUT /config HTTP/1.1\r\nIf-Match: {base}\r\n");
        let body = body.to_owned();
        tokio::spawn(async move { http::call(address, &head, &body).await })
    }

    /// Requests the configuration until there is a definite response.
    pub async fn get(&self, keeper: usize) -> Answer {
        self.call_until_definite(keeper, "GET /config HTTP/1.1\r\n", "").await
    }

    /// Requests the configuration once.
    pub async fn try_get(&self, keeper: usize) -> Option<Answer> {
        self.call(keeper, "GET /config HTTP/1.1\r\n", "").await
    }

    /// Orders the retirement of a store until there is a definite response.
    pub async fn retire(&self, keeper: usize, node: &str) -> Answer {
        let head = format!("POST /retire/{node} HTTP/1.1\r\n");
        self.call_until_definite(keeper, &head, "{\"durationS\":10}").await
    }

    /// Requests the state of a store's retirement until there is a definite response.
    pub async fn retire_state(&self, keeper: usize, node: &str) -> Answer {
        self.call_until_definite(keeper, &format!("GET /retire/{node} HTTP/1.1\r\n"), "").await
    }

    /// Waits until the retirement of a store is completed.
    pub async fn wait_until_retired(&self, keeper: usize, node: &str) {
        let completed = async { while !self.retire_state(keeper, node).await.body.contains("completed") {} };
        timeout(TEST_TIMEOUT, completed).await.expect("the store is retired");
    }

    /// Sends a heartbeat once.
    pub async fn heartbeat(&self, keeper: usize, id: &str, body: &str) -> Option<Answer> {
        self.call(keeper, &format!("PUT /instances/{id} HTTP/1.1\r\n"), body).await
    }

    /// Sends a heartbeat until it is acknowledged.
    pub async fn heartbeat_until_accepted(&self, keeper: usize, id: &str, body: &str) {
        let response =
            self.call_until_definite(keeper, &format!("PUT /instances/{id} HTTP/1.1\r\n"), body).await;
        assert_eq!(response.status, 200, "{}", response.body);
    }

    /// Deregisters an instance until it is acknowledged.
    pub async fn delete_until_accepted(&self, keeper: usize, id: &str) {
        let response =
            self.call_until_definite(keeper, &format!("DELETE /instances/{id} HTTP/1.1\r\n"), "").await;
        assert_eq!(response.status, 200, "{}", response.body);
    }

    /// Deregisters an instance once.
    pub async fn delete(&self, keeper: usize, id: &str) -> Option<Answer> {
        self.call(keeper, &format!("DELETE /instances/{id} HTTP/1.1\r\n"), "").await
    }

    /// Sends heartbeats until the keeper responds with this status.
    pub async fn heartbeat_until_status(&self, keeper: usize, status: u16) {
        let completed = async {
            for sequence in 1.. {
                let response = self.heartbeat(keeper, "i-probe", &heartbeat("ready", sequence)).await;
                if response.is_some_and(|response| response.status == status) {
                    return;
                }
                // Blocks for as long as the keeper waits for a primary, which keeps this loop from spinning.
                self.try_get(keeper).await;
            }
        };
        timeout(TEST_TIMEOUT, completed).await.expect("the expected status");
    }

    /// Repeats a request until its status is not 503.
    async fn call_until_definite(&self, keeper: usize, head: &str, body: &str) -> Answer {
        let completed = async {
            loop {
                match self.call(keeper, head, body).await {
                    Some(response) if response.status != 503 => return response,
                    // An order waits for a primary before it gets 503, which keeps this loop from spinning.
                    Some(_) => drop(self.try_get(keeper).await),
                    None => tokio::task::yield_now().await,
                }
            }
        };
        timeout(TEST_TIMEOUT, completed).await.expect("a definite response")
    }

    async fn call(&self, keeper: usize, head: &str, body: &str) -> Option<Answer> {
        let address = self.settings[keeper].listeners_map.control_plane.unwrap();
        timeout(TEST_TIMEOUT, http::call(address, head, body))
            .await
            .expect("a response or a closed connection")
    }
}

impl Drop for Keepers {
    fn drop(&mut self) {
        for running in self.running.iter_mut().filter_map(Option::take) {
            let _ = running.stop.send(StopMode::Kill);
            let _ = running.thread.join();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn settings(machine: Ipv4Addr, machines: &[Ipv4Addr], directory: &Path) -> Settings {
    let number = machine.octets()[3];
    let seeds: Vec<String> = machines.iter().map(|seed| format!("\"{seed}:{CONTROL_PORT}\"")).collect();
    let text = format!(
        r#"
nodeName = "core-{number}"
ipAddress = "{machine}"
zone = "a"
ephemeralPorts = [7380,7395]
seedNodes = [{seeds}]
bootstrap = true
dataDirectory = "{directory}/{number}"
heartbeatMs = 1200
[listenersMap]
controlPlane = "{machine}:{CONTROL_PORT}"
[faultTolerance]
machines = {tolerated}
"#,
        seeds = seeds.join(","),
        directory = directory.display(),
        tolerated = (machines.len() - 1) / 2,
    );
    let settings = Settings::parse(Path::new("local.toml"), &text).unwrap();
    assert_eq!(settings.ip_address, IpAddr::V4(machine));
    settings
}
