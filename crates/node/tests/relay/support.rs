//! The relay under test, a client, and the updates that keepers would publish.

use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use juniperwing_balancing::Destination;
use juniperwing_clock::Span;
use juniperwing_node::relay::{
    ClusterView, OutputCall, Relay, RelayState, SessionCall, SessionStore, TurnError,
};
use juniperwing_node::sessions_client::{LeaseRenewal, OutputSender, StoreFailureReason};
use juniperwing_node::settings::Settings;
use juniperwing_node::subscriber::UpdateSink;
use juniperwing_protocol::identity::{EpochNumber, InstanceId, RequestId, ServiceName};
use juniperwing_protocol::registry::{Instance, InstanceState};
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::session::{
    BeginTurn, FindOutput, FinishTurn, OutputEvent, RenewTurn, Turn, TurnKey,
};
use juniperwing_protocol::subscription::{Assignment, InstancesUpdate, StoreMap, Update};
use serde_json::Value;
use slog::{Drain, Logger, o};
use slog_json::Json;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::Instant;

use crate::endpoint::FakeEndpoint;

/// The timeout of every wait. It is generous: only a failing test takes that long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Awaits a future, and fails the test after [`TEST_TIMEOUT`].
pub async fn with_timeout<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, future).await.expect("the test timed out")
}

/// Waits until a condition holds.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    with_timeout(async {
        while !condition() {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

/// A stream of which output is recorded.
pub struct RecordedOutput {
    pub turn: TurnKey,
    pub request: RequestId,
    pub retention_ms: u64,
    pub events: UnboundedReceiver<OutputEvent>,
}

/// A fake for the stores.
#[derive(Default)]
pub struct FakeStores {
    pub begun_turns: Mutex<Vec<BeginTurn>>,
    pub finished_turns: Mutex<Vec<FinishTurn>>,
    /// The turns whose leases are renewed, and the tasks that renew them.
    pub renewed_turns: Mutex<Vec<(RenewTurn, AbortHandle)>>,
    /// Turns finished in the background.
    pub background_finishes: Mutex<Vec<FinishTurn>>,
    /// The result of `begin_turn`.
    pub begin_result: Mutex<Option<Result<Vec<Turn>, TurnError>>>,
    /// Delays the result of `begin_turn` until notified.
    pub begin_gate: Mutex<Option<Arc<Notify>>>,
    /// Delays the result of `finish_turn` until notified.
    pub finish_gate: Mutex<Option<Arc<Notify>>>,
    /// The timeout of each `finish_turn`.
    pub finish_timeouts: Mutex<Vec<Duration>>,
    pub fail_finish: Mutex<bool>,
    /// Delays the end of all background commits until notified.
    pub background_commits_gate: Mutex<Option<Arc<Notify>>>,
    /// The streams of which output is recorded.
    pub recorded_outputs: Mutex<Vec<RecordedOutput>>,
    /// The searches for output that was handed out.
    pub output_searches: Mutex<Vec<FindOutput>>,
    /// The result of `find_output`.
    pub known_output: Mutex<Vec<OutputEvent>>,
    /// Notified when a turn is finished, in the background or not.
    pub finish_called: Notify,
}

impl SessionStore for FakeStores {
    fn begin_turn(&self, turn: BeginTurn, _: Duration) -> SessionCall<Vec<Turn>> {
        self.begun_turns.lock().unwrap().push(turn);
        let result = self.begin_result.lock().unwrap().clone().unwrap_or(Ok(Vec::new()));
        let gate = self.begin_gate.lock().unwrap().clone();
        Box::pin(async move {
            if let Some(gate) = gate {
                gate.notified().await;
            }
            result
        })
    }

    fn renew_turn(&self, renew: RenewTurn, _: Instant) -> LeaseRenewal {
        let task = tokio::spawn(std::future::pending::<()>()).abort_handle();
        self.renewed_turns.lock().unwrap().push((renew, task.clone()));
        LeaseRenewal::new(task)
    }

    fn finish_turn(&self, turn: FinishTurn, max_wait: Duration) -> SessionCall<()> {
        self.finish_timeouts.lock().unwrap().push(max_wait);
        self.finished_turns.lock().unwrap().push(turn);
        self.finish_called.notify_one();
        let gate = self.finish_gate.lock().unwrap().clone();
        let fails = *self.fail_finish.lock().unwrap();
        Box::pin(async move {
            if let Some(gate) = gate {
                gate.notified().await;
            }
            if fails {
                Err(TurnError::Unavailable { cause: StoreFailureReason::TimedOut.into() })
            } else {
                Ok(())
            }
        })
    }

    fn find_output(&self, find: FindOutput, _: Duration) -> OutputCall {
        self.output_searches.lock().unwrap().push(find);
        Box::pin(std::future::ready(self.known_output.lock().unwrap().clone()))
    }

    fn record_output(&self, turn: TurnKey, request: RequestId, retention_ms: u64) -> OutputSender {
        let (sender, events) = unbounded_channel();
        self.recorded_outputs.lock().unwrap().push(RecordedOutput { turn, request, retention_ms, events });
        sender
    }

    fn background_commits_done(&self) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        let gate = self.background_commits_gate.lock().unwrap().clone();
        Box::pin(async move {
            if let Some(gate) = gate {
                gate.notified().await;
            }
        })
    }

    fn finish_turn_in_background(&self, turn: FinishTurn) {
        self.background_finishes.lock().unwrap().push(turn);
        self.finish_called.notify_one();
    }
}

/// Collects the lines of a log.
#[derive(Clone, Default)]
struct LogLines(Arc<Mutex<Vec<u8>>>);

impl LogLines {
    fn parse(&self) -> Vec<Value> {
        let bytes = self.0.lock().unwrap().clone();
        serde_json::Deserializer::from_slice(&bytes).into_iter().map(Result::unwrap).collect()
    }
}

impl std::io::Write for LogLines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A relay that serves clients on loopback.
pub struct RelayHarness {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    pub cluster: Arc<ClusterView>,
    pub state: Arc<RelayState>,
    pub stores: Arc<FakeStores>,
    log_lines: LogLines,
    stop: Mutex<Option<oneshot::Sender<()>>>,
    pub served: Mutex<Option<JoinHandle<std::io::Result<()>>>>,
}

const SETTINGS: &str = r#"
    nodeName = "edge-1"
    ipAddress = "127.0.0.1"
    zone = "a"
    ephemeralPorts = [7380, 7395]
    heartbeatMs = 1000
    [listenersMap]
    frontend = "127.0.0.1:0"
    readiness = "127.0.0.1:0"
    [limits]
    memoryMb = 128
    maxFds = 1024
    [bounds]
    graceS = 7
"#;

/// Routes of every type.
pub const CONFIGURATION: &str = r#"{"generation":1,"routes":[
    {"name":"i","hostname":"h.example","pathPrefix":"/i/","routeType":"idempotent","timeoutMs":10000,"targetLatencyMs":4000,"priority":1,"backend":"s","maxRetries":2},
    {"name":"n","hostname":"h.example","pathPrefix":"/n/","routeType":"non_idempotent","timeoutMs":10000,"targetLatencyMs":4000,"priority":2,"backend":"s","maxRetries":2},
    {"name":"e","hostname":"h.example","pathPrefix":"/e/","routeType":"streaming","timeoutMs":10000,"targetLatencyMs":4000,"priority":0,"backend":"s","maxRetries":2,"resumable":false},
    {"name":"r","hostname":"h.example","pathPrefix":"/r/","routeType":"streaming","timeoutMs":10000,"targetLatencyMs":4000,"priority":0,"backend":"s","maxRetries":2,"resumable":true},
    {"name":"k","hostname":"h.example","pathPrefix":"/k/","routeType":"streaming","timeoutMs":10000,"targetLatencyMs":4000,"priority":0,"backend":"s","maxRetries":2,"resumable":false,"kept":true,"retentionS":60},
    {"name":"kr","hostname":"h.example","pathPrefix":"/kr/","routeType":"streaming","timeoutMs":10000,"targetLatencyMs":4000,"priority":0,"backend":"s","maxRetries":2,"resumable":true,"kept":true,"retentionS":60},
    {"name":"kl","hostname":"h.example","pathPrefix":"/kl/","routeType":"streaming","timeoutMs":110000,"targetLatencyMs":4000,"priority":0,"backend":"s","maxRetries":2,"resumable":false,"kept":true,"retentionS":100}],
    "backends":[{"name":"s","healthCheck":"/healthz","maxConnections":100,"protocol":"h1","tls":false,"engine":{"capacity":32,"stride":3,"models":[{"name":"m"}]}}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

impl RelayHarness {
    /// Starts a relay that has received no updates.
    pub async fn start() -> RelayHarness {
        let settings = Settings::parse(Path::new("test.toml"), SETTINGS).unwrap();
        let stores = Arc::new(FakeStores::default());
        let log_lines = LogLines::default();
        let log = Logger::root(Mutex::new(Json::default(log_lines.clone())).ignore_res(), o!());
        let relay = Relay::open(settings, log, |_| Arc::clone(&stores) as Arc<dyn SessionStore>);
        let relay = relay.await.unwrap();
        let (stop, stopped) = oneshot::channel();
        RelayHarness {
            frontend: relay.frontend_address().unwrap(),
            readiness: relay.readiness_address().unwrap(),
            cluster: relay.cluster(),
            state: relay.state(),
            stores,
            log_lines,
            stop: Mutex::new(Some(stop)),
            served: Mutex::new(Some(tokio::spawn(relay.serve(async {
                let _ = stopped.await;
            })))),
        }
    }

    /// Starts a relay with routes of every type, the stores and these endpoints.
    pub async fn with_endpoints(endpoints: &[&Arc<FakeEndpoint>]) -> RelayHarness {
        let harness = RelayHarness::start().await;
        harness.configure(1, CONFIGURATION);
        harness.publish_store_map();
        let instances = endpoints.iter().map(|endpoint| instance(endpoint, InstanceState::Ready, 1));
        harness.publish_instances(true, instances.collect());
        harness
    }

    pub fn configure(&self, sequence: u64, body: &str) {
        let version = Version { epoch: EpochNumber(1), sequence };
        self.cluster.apply(Update::Configuration { version, body: body.as_bytes().into() });
    }

    pub fn configure_all_routes(&self, sequence: u64) {
        self.configure(sequence, CONFIGURATION);
    }

    pub fn publish_store_map(&self) {
        let partitions = vec![Assignment::default()];
        let map = StoreMap { version: 1, stores: Vec::new(), partitions };
        self.cluster.apply(Update::Stores(Arc::new(map)));
    }

    pub fn publish_instances(&self, is_complete: bool, instances: Vec<Instance>) {
        self.cluster.apply(Update::Instances(InstancesUpdate {
            revision: 1,
            is_snapshot: is_complete,
            is_registry_complete: is_complete,
            instances,
        }));
    }

    /// Publishes an endpoint in another zone. Of two equally loaded endpoints the relay chooses the one in its own
    /// zone.
    pub fn publish_in_other_zone(&self, endpoint: &FakeEndpoint) {
        let instance = Instance { zone: "b".into(), ..instance(endpoint, InstanceState::Ready, 1) };
        self.publish_instances(false, vec![instance]);
    }

    /// Requests a graceful shutdown.
    pub fn stop(&self) {
        let stop = self.stop.lock().unwrap().take().unwrap();
        stop.send(()).unwrap();
    }

    /// Waits until the relay is no longer ready.
    pub async fn wait_until_not_ready(&self) {
        wait_until(|| !self.state.is_ready()).await;
    }

    /// Waits until the relay no longer accepts connections.
    pub async fn wait_until_not_accepting(&self) {
        with_timeout(async {
            while TcpStream::connect(self.frontend).await.is_ok() {
                tokio::task::yield_now().await;
            }
        })
        .await;
    }

    /// Waits until the relay has shut down.
    pub async fn wait_until_shut_down(&self) {
        let served = self.served.lock().unwrap().take().unwrap();
        with_timeout(served).await.unwrap().unwrap();
    }

    /// Records enough attempts of this duration to train the latency model of a route.
    pub fn record_latencies(&self, prefix: &str, duration: Span) {
        let destination =
            Destination { service: "s".into(), host: "h.example".into(), prefix: prefix.into() };
        for _ in 0..8 {
            self.state.dispatcher.record_latency(&destination, duration, false);
        }
    }

    /// Sends a request on a new connection.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Response<Incoming> {
        self.try_send(request).await.unwrap()
    }

    pub async fn try_send(&self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        let mut sender = connect(self.frontend).await;
        let response = with_timeout(sender.send_request(request)).await;
        // The connection stays open until the response has been read.
        tokio::spawn(async move {
            let _ = sender.ready().await;
        });
        response
    }

    /// The line of the request log about a request.
    pub async fn request_log_line(&self, request_id: &str) -> Value {
        let line = async {
            loop {
                let line = self.log_lines.parse().into_iter().find(|line| line["request"] == request_id);
                if let Some(line) = line {
                    return line;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        with_timeout(line).await
    }

    pub async fn get(&self, path: &str) -> ClientResponse {
        read(self.send(request("GET", path, "7a", "")).await).await
    }
}

pub async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = with_timeout(TcpStream::connect(address)).await.unwrap();
    let (sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// Creates a request to the host of the routes.
pub fn request(method: &str, path: &str, id: &str, body: &str) -> Request<Full<Bytes>> {
    let builder = Request::builder().method(method).uri(path).header("Host", "h.example");
    let builder = builder.header("X-Request-Id", id).header("X-Deadline-Ms", "8000");
    builder.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).unwrap()
}

/// Adds headers to a request, replacing existing ones.
pub fn with_headers(
    mut request: Request<Full<Bytes>>, headers: &[(&'static str, &str)],
) -> Request<Full<Bytes>> {
    for (name, value) in headers {
        request.headers_mut().insert(*name, value.parse().unwrap());
    }
    request
}

/// A response that was read to its end.
#[derive(Debug)]
pub struct ClientResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// `None` if the response was aborted.
    pub body: Option<Bytes>,
}

impl ClientResponse {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }
}

pub async fn read(response: Response<Incoming>) -> ClientResponse {
    let (parts, body) = response.into_parts();
    let body = with_timeout(body.collect()).await.ok().map(http_body_util::Collected::to_bytes);
    ClientResponse { status: parts.status, headers: parts.headers, body }
}

/// Reads the next bytes of a stream; `None` at its regular end, an error if it is aborted.
pub async fn next_chunk(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    let frame = with_timeout(body.frame()).await?;
    Some(frame.map(|frame| frame.into_data().unwrap()))
}

pub fn instance(endpoint: &FakeEndpoint, state: InstanceState, sequence: u64) -> Instance {
    Instance {
        id: InstanceId::from(endpoint.id),
        service: ServiceName::from("s"),
        address: endpoint.address,
        zone: "a".into(),
        capacity: 8,
        state,
        sequence,
    }
}

pub fn stored_turn(id: &str, previous: Option<&str>, input: &str, output: &str) -> Turn {
    Turn {
        request: RequestId::from(id),
        previous: previous.map(RequestId::from),
        input: input.as_bytes().into(),
        output: output.as_bytes().into(),
        retention_ms: 60_000,
        endpoint: None,
    }
}
