//! A relay under test, its client, and what the keepers would tell it.

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
use juniperwing_node::relay::{ClusterView, Relay, RelayState, SessionCall, SessionStore, TurnError};
use juniperwing_node::sessions_client::StoreFailureReason;
use juniperwing_node::settings::Settings;
use juniperwing_node::subscriber::UpdateSink;
use juniperwing_protocol::identity::{EpochNumber, InstanceId, RequestId, ServiceName};
use juniperwing_protocol::registry::{Instance, InstanceState};
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::session::{BeginTurn, FinishTurn, Turn};
use juniperwing_protocol::subscription::{Assignment, InstancesUpdate, StoreMap, Update};
use serde_json::Value;
use slog::{Drain, Logger, o};
use slog_json::Json;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;

use crate::endpoint::Endpoint;

/// Generous: nothing in these tests takes that long unless it fails.
pub const WITHIN: Duration = Duration::from_secs(20);

/// Fails a test that waits for what does not come.
pub async fn soon<T>(wait: impl Future<Output = T>) -> T {
    tokio::time::timeout(WITHIN, wait).await.expect("it should have come by now")
}

/// Stands in for the stores.
#[derive(Default)]
pub struct Stores {
    pub begun: Mutex<Vec<BeginTurn>>,
    pub finished: Mutex<Vec<FinishTurn>>,
    pub later: Mutex<Vec<FinishTurn>>,
    /// What `begin` answers.
    pub chain: Mutex<Option<Result<Vec<Turn>, TurnError>>>,
    /// What `begin` waits for, if for anything.
    pub hold_begin: Mutex<Option<Arc<Notify>>>,
    /// What `finish` waits for, if for anything.
    pub hold: Mutex<Option<Arc<Notify>>>,
    /// How long each `finish` was given.
    pub finish_within: Mutex<Vec<Duration>>,
    pub fail_finish: Mutex<bool>,
    /// What the end of all settling waits for, if for anything.
    pub hold_settled: Mutex<Option<Arc<Notify>>>,
    pub told: Notify,
}

impl SessionStore for Stores {
    fn begin_turn(&self, turn: BeginTurn, _: Duration) -> SessionCall<Vec<Turn>> {
        self.begun.lock().unwrap().push(turn);
        let answer = self.chain.lock().unwrap().clone().unwrap_or(Ok(Vec::new()));
        let hold = self.hold_begin.lock().unwrap().clone();
        Box::pin(async move {
            if let Some(hold) = hold {
                hold.notified().await;
            }
            answer
        })
    }

    fn finish_turn(&self, turn: FinishTurn, max_wait: Duration) -> SessionCall<()> {
        self.finish_within.lock().unwrap().push(max_wait);
        self.finished.lock().unwrap().push(turn);
        self.told.notify_one();
        let hold = self.hold.lock().unwrap().clone();
        let fails = *self.fail_finish.lock().unwrap();
        Box::pin(async move {
            if let Some(hold) = hold {
                hold.notified().await;
            }
            if fails {
                Err(TurnError::Unavailable { cause: StoreFailureReason::TimedOut.into() })
            } else {
                Ok(())
            }
        })
    }

    fn background_commits_done(&self) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        let hold = self.hold_settled.lock().unwrap().clone();
        Box::pin(async move {
            if let Some(hold) = hold {
                hold.notified().await;
            }
        })
    }

    fn finish_turn_in_background(&self, turn: FinishTurn) {
        self.later.lock().unwrap().push(turn);
        self.told.notify_one();
    }
}

/// Lines of a log.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    fn all(&self) -> Vec<Value> {
        let bytes = self.0.lock().unwrap().clone();
        serde_json::Deserializer::from_slice(&bytes).into_iter().map(Result::unwrap).collect()
    }
}

impl std::io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A relay that serves.
pub struct Bench {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    pub cluster: Arc<ClusterView>,
    pub state: Arc<RelayState>,
    pub stores: Arc<Stores>,
    log: Lines,
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

/// Routes of every kind.
pub const CONFIGURATION: &str = r#"{"generation":1,"routes":[
    {"name":"i","hostname":"h.example","pathPrefix":"/i/","routeType":"idempotent","timeoutMs":10000,"targetLatencyMs":4000,"priority":1,"backend":"s","maxRetries":2},
    {"name":"n","hostname":"h.example","pathPrefix":"/n/","routeType":"non_idempotent","timeoutMs":10000,"targetLatencyMs":4000,"priority":2,"backend":"s","maxRetries":2},
    {"name":"e","hostname":"h.example","pathPrefix":"/e/","routeType":"streaming","timeoutMs":10000,"targetLatencyMs":4000,"priority":0,"backend":"s","maxRetries":2,"resumable":false},
    {"name":"r","hostname":"h.example","pathPrefix":"/r/","routeType":"streaming","timeoutMs":10000,"targetLatencyMs":4000,"priority":0,"backend":"s","maxRetries":2,"resumable":true},
    {"name":"k","hostname":"h.example","pathPrefix":"/k/","routeType":"streaming","timeoutMs":10000,"targetLatencyMs":4000,"priority":0,"backend":"s","maxRetries":2,"resumable":false,"kept":true,"retentionS":60}],
    "backends":[{"name":"s","healthCheck":"/healthz","maxConnections":100,"protocol":"h1","tls":false,"engine":{"capacity":32,"stride":3,"models":[{"name":"m"}]}}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

impl Bench {
    /// A relay that knows nothing yet.
    pub async fn empty() -> Bench {
        let settings = Settings::parse(Path::new("test.toml"), SETTINGS).unwrap();
        let stores = Arc::new(Stores::default());
        let lines = Lines::default();
        let log = Logger::root(Mutex::new(Json::default(lines.clone())).ignore_res(), o!());
        let relay =
            Relay::open(settings, log, |_| Arc::clone(&stores) as Arc<dyn SessionStore>).await.unwrap();
        let (stop, stopped) = oneshot::channel();
        Bench {
            frontend: relay.frontend_address().unwrap(),
            readiness: relay.readiness_address().unwrap(),
            cluster: relay.cluster(),
            state: relay.state(),
            stores,
            log: lines,
            stop: Mutex::new(Some(stop)),
            served: Mutex::new(Some(tokio::spawn(relay.serve(async {
                let _ = stopped.await;
            })))),
        }
    }

    /// A relay that knows routes of every kind and these endpoints.
    pub async fn with(endpoints: &[&Arc<Endpoint>]) -> Bench {
        let bench = Bench::empty().await;
        bench.configure(1, CONFIGURATION);
        bench.stores_known();
        let all = endpoints.iter().map(|endpoint| instance(endpoint, InstanceState::Ready, 1)).collect();
        bench.tell(true, all);
        bench
    }

    pub fn configure(&self, sequence: u64, body: &str) {
        let version = Version { epoch: EpochNumber(1), sequence };
        self.cluster.apply(Update::Configuration { version, body: body.as_bytes().into() });
    }

    pub fn configure_all(&self, sequence: u64) {
        self.configure(sequence, CONFIGURATION);
    }

    pub fn stores_known(&self) {
        let partitions = vec![Assignment::default()];
        self.cluster.apply(Update::Stores(Arc::new(StoreMap { version: 1, stores: Vec::new(), partitions })));
    }

    pub fn tell(&self, whole: bool, instances: Vec<Instance>) {
        let update =
            InstancesUpdate { revision: 1, is_snapshot: whole, is_registry_complete: whole, instances };
        self.cluster.apply(Update::Instances(update));
    }

    /// The platform wants an end.
    pub fn stop(&self) {
        let stop = self.stop.lock().unwrap().take().unwrap();
        stop.send(()).unwrap();
    }

    pub fn warm_up(&self, prefix: &str, lasted: Span) {
        let destination =
            Destination { service: "s".into(), host: "h.example".into(), prefix: prefix.into() };
        for _ in 0..8 {
            self.state.dispatcher.record_latency(&destination, lasted, false);
        }
    }

    /// Sends a request on a connection of its own.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Response<Incoming> {
        self.try_send(request).await.unwrap()
    }

    pub async fn try_send(&self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        let mut sender = connect(self.frontend).await;
        let answer = soon(sender.send_request(request)).await;
        // The connection lives on with its answer.
        tokio::spawn(async move {
            let _ = sender.ready().await;
        });
        answer
    }

    /// The line of the log that tells what became of a request.
    pub async fn logged(&self, request: &str) -> Value {
        let line = async {
            loop {
                let written = self.log.all().into_iter().find(|line| line["request"] == request);
                if let Some(line) = written {
                    return line;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        soon(line).await
    }

    pub async fn get(&self, path: &str) -> Answer {
        read(self.send(request("GET", path, "7a", "")).await).await
    }
}

pub async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = soon(TcpStream::connect(address)).await.unwrap();
    let (sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// A request to the host of the routes.
pub fn request(method: &str, path: &str, id: &str, body: &str) -> Request<Full<Bytes>> {
    let builder = Request::builder().method(method).uri(path).header("Host", "h.example");
    let builder = builder.header("X-Request-Id", id).header("X-Deadline-Ms", "8000");
    builder.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).unwrap()
}

/// The same with more headers; those given replace others.
pub fn with_headers(
    mut request: Request<Full<Bytes>>, headers: &[(&'static str, &str)],
) -> Request<Full<Bytes>> {
    for (name, value) in headers {
        request.headers_mut().insert(*name, value.parse().unwrap());
    }
    request
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// `None` if it broke off.
    pub body: Option<Bytes>,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }
}

pub async fn read(answer: Response<Incoming>) -> Answer {
    let (parts, body) = answer.into_parts();
    let body = soon(body.collect()).await.ok().map(|body| body.to_bytes());
    Answer { status: parts.status, headers: parts.headers, body }
}

/// The next bytes of a stream; `None` at its proper end, an error if it breaks off.
pub async fn next_piece(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    let frame = soon(body.frame()).await?;
    Some(frame.map(|frame| frame.into_data().unwrap()))
}

pub fn instance(endpoint: &Endpoint, state: InstanceState, sequence: u64) -> Instance {
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

pub fn kept_turn(id: &str, previous: Option<&str>, input: &str, output: &str) -> Turn {
    Turn {
        request: RequestId::from(id),
        previous: previous.map(RequestId::from),
        input: input.as_bytes().into(),
        output: output.as_bytes().into(),
        retention_ms: 60_000,
        endpoint: None,
    }
}
