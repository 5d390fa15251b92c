//! The lifecycle of a relay: opens its listeners, serves requests, and shuts down gracefully.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_balancing::{Balancer, BalancerLimits};
use juniperwing_clock::Span;
use juniperwing_membership::Role;
use juniperwing_protocol::Message;
use juniperwing_protocol::identity::NodeName;
use juniperwing_protocol::subscription::{Subscribe, SubscriberKind};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::capacity::RelayCapacity;
use super::cluster_view::ClusterView;
use super::dispatcher::Dispatcher;
use super::memory::MemoryBudget;
use super::metrics::Metrics;
use super::request_log::RequestLog;
use super::sessions::SessionStore;
use super::shutdown::Shutdown;
use super::state::RelayState;
use super::upstream::ConnectionPool;
use super::{frontend, maintenance, readiness};
use crate::clock::random;
use crate::gossip::{Gossip, LocalMember};
use crate::host::with_address;
use crate::link::{Link, LinkPool, MessageHandler, ReplySender};
use crate::metrics::MetricSource;
use crate::panics::spawn_essential;
use crate::process::Process;
use crate::sessions_client::SessionsClient;
use crate::settings::{InternalPort, Settings};
use crate::signals::SignalRequest;
use crate::subscriber::{Subscriber, UpdateSink};

/// How long connections are still accepted after a shutdown is requested. The platform checks readiness every second
/// and directs new connections to this process until two checks have failed.
const MAX_ACCEPT_PERIOD: Duration = Duration::from_millis(2_300);
/// The maximum fraction of the grace period for which connections are still accepted.
const ACCEPT_FRACTION_OF_GRACE: f64 = 0.34;
/// The part of the grace period that is reserved for ending the process.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// How long turns may still be committed after the time for connections is over.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(400);
/// The time to send the responses to requests that are still open at the end of the shutdown.
const FINAL_RESPONSES_TIMEOUT: Duration = Duration::from_millis(200);

/// A relay with its listeners open.
pub struct Relay {
    state: Arc<RelayState>,
    frontend: TcpListener,
    readiness: TcpListener,
    settings: Settings,
    log: Logger,
}

/// Runs a relay until the platform requests a shutdown.
///
/// # Errors
///
/// If a listener cannot be opened.
pub async fn run(process: Process) -> io::Result<()> {
    let Process { settings, settings_file, log, mut signals } = process;
    let relay = Relay::open(settings, log.clone(), session_store).await?;
    let subscriber = relay.subscribe();
    let keepers_subscriber = Arc::clone(&subscriber);
    let observer = Box::new(move |keepers| keepers_subscriber.set_discovered(keepers));
    let local_member = LocalMember { role: Role::Relay, disk: None };
    let gossip = Gossip::start(&relay.settings, local_member, log.clone(), observer).await?;
    relay
        .serve(async move {
            while signals.next().await == SignalRequest::Reload {
                match Settings::read(settings_file.as_deref()) {
                    Ok(settings) => {
                        subscriber.set_seeds(settings.seed_keepers());
                        gossip.reload(&settings);
                    }
                    Err(error) => warn!(log, "settings reload failed"; "error" => error.to_string()),
                }
            }
            gossip.leave();
        })
        .await
}

impl Relay {
    /// Opens the listeners. `sessions` creates the client of the stores from the view of the cluster.
    ///
    /// # Errors
    ///
    /// If the settings lack a listener, or one cannot be opened.
    pub async fn open(
        settings: Settings, log: Logger, sessions: impl FnOnce(&ClusterView) -> Arc<dyn SessionStore>,
    ) -> io::Result<Relay> {
        let frontend = listen(settings.listeners_map.frontend, "listenersMap.frontend").await?;
        let readiness = listen(settings.listeners_map.readiness, "listenersMap.readiness").await?;
        let zone = Arc::from(settings.zone.as_str());
        let dispatcher = Dispatcher::new(Balancer::new(zone, random(), BalancerLimits::default()));
        let heartbeat_interval = Span::from_millis(settings.heartbeat_ms);
        let cluster = ClusterView::new(Arc::clone(&dispatcher), heartbeat_interval, log.clone());
        let capacity = RelayCapacity::from_settings(&settings);
        let state = Arc::new(RelayState {
            sessions: sessions(&cluster),
            cluster,
            dispatcher,
            pool: ConnectionPool::new(capacity.upstream_connections),
            connections: Arc::default(),
            metrics: Metrics::default(),
            request_log: Arc::new(RequestLog::new(log.clone())),
            memory: MemoryBudget::new(capacity.body_bytes),
            max_client_connections: capacity.client_connections,
            shutdown: Shutdown::default(),
        });
        Ok(Relay { state, frontend, readiness, settings, log })
    }

    /// Subscribes to one keeper more than may fail at once.
    pub fn subscribe(&self) -> Arc<Subscriber> {
        let settings = &self.settings;
        let subscribe = Subscribe {
            node: NodeName::from(settings.node_name.as_str()),
            zone: settings.zone.as_str().into(),
            address: settings.own_address(InternalPort::Relay),
            subscriber: SubscriberKind::Relay,
            configuration: self.state.cluster.configuration_version(),
        };
        let subscriptions = settings.fault_tolerance.machines + 1;
        let sink = Arc::clone(&self.state.cluster) as Arc<dyn UpdateSink>;
        Subscriber::start(subscribe, settings.seed_keepers(), subscriptions, sink)
    }

    /// The view of the cluster, which accepts updates.
    pub fn cluster(&self) -> Arc<ClusterView> {
        Arc::clone(&self.state.cluster)
    }

    /// The shared state.
    pub fn state(&self) -> Arc<RelayState> {
        Arc::clone(&self.state)
    }

    /// The address to which clients connect.
    ///
    /// # Errors
    ///
    /// If the operating system does not provide it.
    pub fn frontend_address(&self) -> io::Result<SocketAddr> {
        self.frontend.local_addr()
    }

    /// The address of the platform's readiness checks.
    ///
    /// # Errors
    ///
    /// If the operating system does not provide it.
    pub fn readiness_address(&self) -> io::Result<SocketAddr> {
        self.readiness.local_addr()
    }

    /// Serves until `shutdown` resolves, then completes the requests that have been read.
    ///
    /// # Errors
    ///
    /// None at present.
    pub async fn serve(self, shutdown: impl Future<Output = ()>) -> io::Result<()> {
        let Relay { state, frontend, readiness, settings, log } = self;
        info!(log, "serving");
        crate::metrics::start(&settings, Arc::clone(&state) as Arc<dyn MetricSource>, &log).await;
        let readiness = spawn_essential("readiness", readiness::serve(Arc::clone(&state), readiness));
        let accepting = spawn_essential("accepting", frontend::accept(Arc::clone(&state), frontend));
        let maintenance = spawn_essential("maintenance", maintenance::run(Arc::clone(&state), log.clone()));
        shutdown.await;
        info!(log, "shutdown started");
        let grace = Duration::try_from_secs_f64(settings.bounds.grace_s).unwrap_or_default();
        let end = Instant::now() + grace.saturating_sub(GRACE_MARGIN);
        state.shutdown.start();
        // Idle connections stay open until then, or until their next response, so that requests already on their way
        // are served.
        sleep(MAX_ACCEPT_PERIOD.min(grace.mul_f64(ACCEPT_FRACTION_OF_GRACE))).await;
        accepting.abort();
        let all_answered = drain(&state, end).await;
        // Without a commit, the reservation of a turn counts in full until it expires.
        let all_committed =
            timeout_at(end + COMMIT_TIMEOUT, state.sessions.background_commits_done()).await.is_ok();
        maintenance.abort();
        readiness.abort();
        state.metrics.log(&log);
        info!(log, "shutdown complete"; "all_answered" => all_answered, "all_committed" => all_committed);
        Ok(())
    }
}

/// Closes the connections of clients after their current responses; returns whether they all ended by `end`.
async fn drain(state: &RelayState, end: Instant) -> bool {
    state.connections.close_all_when_idle();
    let all_answered = timeout_at(end, state.connections.all_closed()).await.is_ok();
    // Responds to requests that are still open, instead of closing their connections.
    state.shutdown.terminate();
    let _ = timeout(FINAL_RESPONSES_TIMEOUT, state.connections.all_closed()).await;
    all_answered
}

async fn listen(address: Option<SocketAddr>, key: &str) -> io::Result<TcpListener> {
    let address =
        address.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidInput, format!("{key}: missing")))?;
    TcpListener::bind(address).await.map_err(|error| with_address(address, &error))
}

/// Ignores messages from stores that are not replies, because a relay expects none.
struct IgnoreUnsolicited;

impl MessageHandler for IgnoreUnsolicited {
    fn handle_message(&self, _: &Link, _: Message, _: ReplySender) {}
}

fn session_store(cluster: &ClusterView) -> Arc<dyn SessionStore> {
    let pool = Arc::new(LinkPool::new(Arc::new(IgnoreUnsolicited)));
    Arc::new(SessionsClient::new(pool, cluster.store_maps()))
}
