//! The role of a relay: the data plane.
//!
//! A relay takes requests of clients ([`frontend`]), finds their route in what the keepers told it
//! ([`snapshot`]), begins their turns at the stores ([`turn`]), and passes them on ([`forward`]) to endpoints over
//! kept connections ([`upstream`]). Which endpoint, when, and how long a try may last is decided by
//! `juniperwing-balancing` behind the [`dispatcher`].

pub mod attempt;
pub mod attempt_outcome;
pub mod body;
pub mod connections;
pub mod dispatcher;
pub mod events;
pub mod exchange;
pub mod forward;
pub mod frontend;
mod gauges;
pub mod memory;
pub mod metrics;
pub mod readiness;
mod retries;
pub mod sessions;
pub mod snapshot;
pub mod stream;
pub mod trace;
pub mod turn;
pub mod upstream;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use juniperwing_balancing::{Balancer, BalancerLimits};
use juniperwing_clock::Span;
use juniperwing_invariants::{Invariant, check};
use juniperwing_membership::Role;
use juniperwing_protocol::Message;
use juniperwing_protocol::identity::NodeName;
use juniperwing_protocol::subscription::{Subscribe, SubscriberKind as Kind};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout, timeout_at};

use crate::clock::random;
use crate::command::Process;
use crate::gossip::{Gossip, Myself};
use crate::host::at;
use crate::link::{Link, LinkPool, Reply, Service};
use crate::metrics::FigureSource;
use crate::panics::spawn_essential;
use crate::sessions_client::SessionsClient;
use crate::settings::{Port, Settings};
use crate::signals::Wish;
use crate::subscriber::{Sink, Subscriber};
use connections::Connections;
use dispatcher::Dispatcher;
use memory::MemoryBudget;
use metrics::{LOG_INTERVAL, Metrics};
use sessions::Sessions;
use snapshot::ClusterView;
use trace::RequestLog;
use upstream::ConnectionPool;

/// How often connections whose time may be over are looked through.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// For how long connections are still accepted after the platform wants an end: it sends new ones until two of its
/// checks, which come every second, have gone unanswered.
const MAX_ACCEPT_PERIOD: Duration = Duration::from_millis(2_300);
/// The share of the time for an end that this may take.
const ACCEPT_FRACTION_OF_GRACE: f64 = 0.34;
/// What is kept of the time that the platform leaves for an end.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// For how long turns may still be settled after the time for connections is over.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(400);
/// For how long the answers that are given at the very end may go out.
const FINAL_RESPONSES_TIMEOUT: Duration = Duration::from_millis(200);
/// Descriptors that are for neither clients nor endpoints.
const RESERVED_DESCRIPTORS: usize = 264;
/// The share of descriptors for clients; the rest is for endpoints.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.5;
/// What the process takes before it serves, in bytes.
const BASE_MEMORY_BYTES: usize = 24 << 20;
/// What a client's connection takes, in bytes.
const CONNECTION_BYTES: usize = 32 << 10;
/// The share of the memory for bodies; the rest is for connections.
const BODY_MEMORY_FRACTION: f64 = 0.5;

/// What all parts of a relay share.
pub struct RelayState {
    /// What is known.
    pub world: Arc<ClusterView>,
    /// Slots at endpoints.
    pub dispatcher: Arc<Dispatcher>,
    /// Connections to endpoints.
    pub pool: ConnectionPool,
    /// Connections of clients.
    pub connections: Arc<Connections>,
    /// The stores.
    pub sessions: Arc<dyn Sessions>,
    /// Counters.
    pub metrics: Metrics,
    /// Lines for requests that failed or were slow.
    pub request_log: Arc<RequestLog>,
    /// Room for bodies.
    pub memory: Arc<MemoryBudget>,
    /// Connections of clients at the most.
    pub max_client_connections: usize,
    /// An end is near.
    pub stopping: AtomicBool,
    /// The process ends at once: `true` from then on.
    ends: watch::Sender<bool>,
}

impl RelayState {
    /// Without requests nothing is held for any.
    fn check_idle(&self) {
        if self.connections.busy() > 0 {
            return;
        }
        let (bytes, slots) = (self.memory.held(), self.dispatcher.taken());
        check(Invariant::NoBufferedBytesWhenIdle, bytes == 0, || format!("{bytes} bytes"));
        check(Invariant::NoOccupiedSlotsWhenIdle, slots == 0, || format!("{slots} slots"));
    }

    /// Waits until the process ends at once.
    pub async fn ending(&self) {
        // The sender lives as long as this does.
        let _ = self.ends.subscribe().wait_for(|ends| *ends).await;
    }
}

/// A relay with its listeners open.
pub struct Relay {
    core: Arc<RelayState>,
    frontend: TcpListener,
    readiness: TcpListener,
    settings: Settings,
    log: Logger,
}

/// Runs until the platform ends the process.
///
/// # Errors
///
/// If a listener cannot be used.
pub async fn run(process: Process) -> io::Result<()> {
    let Process { settings, settings_file, log, mut signals } = process;
    let relay = Relay::open(settings, log.clone(), stores).await?;
    let subscriber = relay.subscribe();
    let found = Arc::clone(&subscriber);
    let observer = Box::new(move |keepers| found.set_found(keepers));
    let myself = Myself { role: Role::Relay, disk: None };
    let gossip = Gossip::start(&relay.settings, myself, log.clone(), observer).await?;
    relay
        .serve(async move {
            while signals.next().await == Wish::Reload {
                match Settings::read(settings_file.as_deref()) {
                    Ok(settings) => {
                        subscriber.set_seeds(settings.seed_keepers());
                        gossip.reload(&settings);
                    }
                    Err(error) => warn!(log, "settings not read again"; "why" => error.to_string()),
                }
            }
            gossip.leave();
        })
        .await
}

impl Relay {
    /// Opens the listeners. `sessions` makes the client of the stores from what is known of them.
    ///
    /// # Errors
    ///
    /// If the settings name no listener, or one cannot be opened.
    pub async fn open(
        settings: Settings, log: Logger, sessions: impl FnOnce(&ClusterView) -> Arc<dyn Sessions>,
    ) -> io::Result<Relay> {
        let frontend = listen(settings.listeners_map.frontend, "listenersMap.frontend").await?;
        let readiness = listen(settings.listeners_map.readiness, "listenersMap.readiness").await?;
        let zone = Arc::from(settings.zone.as_str());
        let dispatcher = Dispatcher::new(Balancer::new(zone, random(), BalancerLimits::default()));
        let heartbeat = Span::from_millis(settings.heartbeat_ms);
        let world = ClusterView::new(Arc::clone(&dispatcher), heartbeat, log.clone());
        let bounds = RelayCapacity::of(&settings);
        let core = Arc::new(RelayState {
            sessions: sessions(&world),
            world,
            dispatcher,
            pool: ConnectionPool::new(bounds.upstream_connections),
            connections: Arc::default(),
            metrics: Metrics::default(),
            request_log: Arc::new(RequestLog::new(log.clone())),
            memory: MemoryBudget::new(bounds.body_bytes),
            max_client_connections: bounds.client_connections,
            stopping: AtomicBool::new(false),
            ends: watch::Sender::new(false),
        });
        Ok(Relay { core, frontend, readiness, settings, log })
    }

    /// Subscribes to the keepers that the settings name, to more than may be lost at once.
    pub fn subscribe(&self) -> Arc<Subscriber> {
        let settings = &self.settings;
        let subscribe = Subscribe {
            node: NodeName::from(settings.node_name.as_str()),
            zone: settings.zone.as_str().into(),
            address: settings.own_address(Port::Relay),
            subscriber: Kind::Relay,
            configuration: self.core.world.configuration(),
        };
        let wanted = settings.fault_tolerance.machines + 1;
        let sink = Arc::clone(&self.core.world) as Arc<dyn Sink>;
        Subscriber::start(subscribe, settings.seed_keepers(), wanted, sink)
    }

    /// What is known; updates may be applied to it.
    pub fn world(&self) -> Arc<ClusterView> {
        Arc::clone(&self.core.world)
    }

    /// What all parts share.
    pub fn core(&self) -> Arc<RelayState> {
        Arc::clone(&self.core)
    }

    /// Where clients connect.
    ///
    /// # Errors
    ///
    /// If the system does not tell.
    pub fn frontend_address(&self) -> io::Result<SocketAddr> {
        self.frontend.local_addr()
    }

    /// Where the platform asks whether the relay is ready.
    ///
    /// # Errors
    ///
    /// If the system does not tell.
    pub fn readiness_address(&self) -> io::Result<SocketAddr> {
        self.readiness.local_addr()
    }

    /// Serves until `stop` is over, then finishes what has been read.
    ///
    /// # Errors
    ///
    /// None after the listeners are open; the type leaves room.
    pub async fn serve(self, stop: impl Future<Output = ()>) -> io::Result<()> {
        let Relay { core, frontend, readiness, settings, log } = self;
        info!(log, "serving");
        crate::metrics::start(&settings, Arc::clone(&core) as Arc<dyn FigureSource>, &log).await;
        let readiness = spawn_essential("readiness", readiness::serve(Arc::clone(&core), readiness));
        let accepting = spawn_essential("accepting", frontend::accept(Arc::clone(&core), frontend));
        let upkeep = spawn_essential("upkeep", upkeep(Arc::clone(&core), log.clone()));
        stop.await;
        info!(log, "stopping");
        let grace = Duration::try_from_secs_f64(settings.bounds.grace_s).unwrap_or_default();
        let end = Instant::now() + grace.saturating_sub(GRACE_MARGIN);
        core.stopping.store(true, Ordering::Relaxed);
        // Connections that rest are closed with the next answer, or when no more are accepted: a request that is on
        // its way meanwhile finds them open.
        sleep(MAX_ACCEPT_PERIOD.min(grace.mul_f64(ACCEPT_FRACTION_OF_GRACE))).await;
        accepting.abort();
        core.connections.finish_all();
        let finished = timeout_at(end, core.connections.ended()).await.is_ok();
        // What is not done by now is answered all the same, not cut.
        core.ends.send_replace(true);
        let _ = timeout(FINAL_RESPONSES_TIMEOUT, core.connections.ended()).await;
        // What nobody settles counts at its most until it lapses.
        let settled = timeout_at(end + COMMIT_TIMEOUT, core.sessions.settled()).await.is_ok();
        upkeep.abort();
        readiness.abort();
        core.metrics.log(&log);
        info!(log, "stopped"; "finished" => finished, "settled" => settled);
        Ok(())
    }
}

async fn listen(address: Option<SocketAddr>, key: &str) -> io::Result<TcpListener> {
    let address =
        address.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidInput, format!("{key}: missing")))?;
    TcpListener::bind(address).await.map_err(|error| at(address, &error))
}

/// Closes connections whose time is over, and logs counters.
async fn upkeep(core: Arc<RelayState>, log: Logger) {
    let mut ticks = interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut logged_at, mut logged) = (Instant::now(), 0);
    loop {
        ticks.tick().await;
        core.connections.sweep(&core.world.snapshot().limits());
        core.pool.sweep(|endpoint| core.dispatcher.is_ready(endpoint));
        core.check_idle();
        let requests = core.metrics.requests.get();
        if requests != logged && logged_at.elapsed() >= LOG_INTERVAL {
            (logged_at, logged) = (Instant::now(), requests);
            core.metrics.log(&log);
        }
    }
}

/// How much a relay holds, from its limits.
struct RelayCapacity {
    client_connections: usize,
    upstream_connections: usize,
    body_bytes: usize,
}

impl RelayCapacity {
    fn of(settings: &Settings) -> RelayCapacity {
        let descriptors = (settings.limits.max_fds as usize).saturating_sub(RESERVED_DESCRIPTORS).max(16);
        let memory = ((settings.limits.memory_mb as usize) << 20).saturating_sub(BASE_MEMORY_BYTES);
        let body_bytes = (memory as f64 * BODY_MEMORY_FRACTION) as usize;
        let by_memory = (memory - body_bytes) / CONNECTION_BYTES / 2;
        let by_descriptors = (descriptors as f64 * CLIENT_DESCRIPTOR_FRACTION) as usize;
        let client_connections = by_descriptors.min(by_memory).max(8);
        let upstream_connections = (descriptors - by_descriptors).min(by_memory).max(8);
        RelayCapacity { client_connections, upstream_connections, body_bytes }
    }
}

/// Stores only answer a relay: what they send unasked is passed over.
struct IgnoreUnsolicited;

impl Service for IgnoreUnsolicited {
    fn message(&self, _: &Link, _: Message, _: Reply) {}
}

fn stores(world: &ClusterView) -> Arc<dyn Sessions> {
    let pool = Arc::new(LinkPool::new(Arc::new(IgnoreUnsolicited)));
    Arc::new(SessionsClient::new(pool, world.stores()))
}
