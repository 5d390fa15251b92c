//! The role of a keeper.
//!
//! Keepers replicate the control state among themselves (`consensus`), take orders from operators (`orders`) and
//! heartbeats from endpoints (`discovery`) on the control listener, place partitions on stores (`stores`), and
//! tell relays and stores what is in force (`subscribers`). All state is behind one lock that is never held
//! while anything is awaited.

mod consensus;
mod control_listener;
mod endpoints;
mod message_handler;
mod metrics;
mod orders;
mod peer_discovery;
mod peers;
mod pending_outcomes;
pub mod record_file;
mod store_placement;
mod subscribers;
mod subscription_confirmation;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniperwing_clock::{Span, Time};
use juniperwing_control::{ControlState, StoreTracker, StoreView};
use juniperwing_protocol::NodeName;
use juniperwing_protocol::replication::{Version, Voter};
use juniperwing_protocol::subscription::CaughtUp;
use juniperwing_registry::{Contact, Exchange, MAX_INSTANCES, Registry, RegistrySettings};
use juniperwing_replication::{Event, Replica, Timings};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, sleep, timeout, timeout_at};

use self::consensus::{Consensus, MAX_QUEUED_WRITES, RecordWrite, run_record_writer, run_replica_timer};
use self::message_handler::MessageHandler;
use self::metrics::OrderReplyCounters;
use self::peer_discovery::PeerDiscovery;
use self::peers::Peers;
use self::record_file::{OpenedRecordFile, RecordFile};
use self::subscribers::{PublishedState, Subscribers};
use crate::clock;
use crate::host::{Listener, run_disk_work};
use crate::link::LinkId;
use crate::metrics::{MetricSource, start as start_metrics};
use crate::panics::spawn_essential;
use crate::process::Process;
use crate::rate_limit::RateLimit;
use crate::settings::{ControlTimings, Port, Settings};
use crate::signals::ShutdownOrReload;
use crate::sync::lock;

/// Between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(150);
/// Rounds between two batches of heartbeats for the other keepers.
const ROUNDS_PER_HEARTBEAT_BATCH: u64 = 2;
/// Rounds between two reports of the stores seen, whose answers are also evidence of contact; every round while
/// this keeper has no contact.
const ROUNDS_PER_STORE_REPORT: u64 = 3;
/// Rounds of housekeeping further apart than this mean that the process was paused.
const PAUSE_THRESHOLD: Span = Span::from_millis(1_000);
/// How long calls that are under way may take when the keeper ends.
const CALL_DRAIN_TIMEOUT: Duration = Duration::from_millis(900);
/// How long before its grace ends a keeper waits no more for the others to do without it.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(2_000);
/// Between two looks whether a keeper that was told to end may do so.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What changes while a keeper runs.
struct State {
    consensus: Consensus,
    contact: Contact,
    registry: Registry,
    exchange: Exchange<LinkId>,
    subscribers: Subscribers,
    tracker: StoreTracker,
    store_view: StoreView,
    caught_up_reports: Vec<CaughtUp>,
    /// Partitions of which no copy is left.
    unrecoverable_partitions: usize,
    last_housekeeping_at: Time,
    was_paused: bool,
    logged_configuration: Version,
    logged_store_map: u64,
}

/// A keeper.
struct Controller {
    local_voter: Voter,
    required_copies: usize,
    control_times: ControlTimings,
    log: Logger,
    state: Mutex<State>,
    peers: Arc<Peers>,
    order_replies: OrderReplyCounters,
    order_log_limit: RateLimit,
    /// Something was confirmed, committed or lost: those that wait look again.
    state_changed: Notify,
    /// There is something to tell subscribers or keepers.
    push_requested: Notify,
    /// A subscription waits to be confirmed.
    confirmation_requested: Notify,
    /// The store map may have to change.
    planning_requested: Notify,
}

/// What a keeper starts from.
struct RestoredReplica {
    replica: Replica<ControlState>,
    record_file: RecordFile,
    local_voter: Voter,
}

/// Runs until the platform ends the process.
///
/// # Errors
///
/// If a listener or the disk cannot be used.
pub async fn run(process: Process) -> io::Result<()> {
    let Process { settings, settings_file, log, mut signals } = process;
    let opened = tokio::select! {
        biased;
        opened = StartupResources::acquire(&settings, &log) => opened?,
        // Nothing was promised in this life yet.
        () = signals.wait_for_shutdown() => return Ok(()),
    };
    let (changed, changes) = watch::channel(settings.clone());
    let reload_log = log.clone();
    let stop = async move {
        while signals.next().await == ShutdownOrReload::Reload {
            match Settings::read(settings_file.as_deref()) {
                Ok(settings) => drop(changed.send_replace(settings)),
                Err(error) => warn!(reload_log, "settings not read again"; "why" => error.to_string()),
            }
        }
    };
    opened.serve(settings, changes, log, stop).await
}

/// Runs until `stop` is done.
///
/// # Errors
///
/// If a listener or the disk cannot be used.
pub async fn run_until(settings: Settings, log: Logger, stop: impl Future<Output = ()>) -> io::Result<()> {
    let (_changed, changes) = watch::channel(settings.clone());
    run_with(settings, changes, log, stop).await
}

/// Runs until `stop` is done, and takes the seeds of settings that `changes` brings. `stop` is asked for the first time
/// when everything listens.
///
/// # Errors
///
/// If a listener or the disk cannot be used.
pub async fn run_with(
    settings: Settings, changes: watch::Receiver<Settings>, log: Logger, stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let opened = StartupResources::acquire(&settings, &log).await?;
    opened.serve(settings, changes, log, stop).await
}

/// A keeper with its listeners and its disk open.
struct StartupResources {
    internal_listener: Listener,
    control_listener: Listener,
    restored: RestoredReplica,
}

impl StartupResources {
    /// Opens the listeners and the disk.
    async fn acquire(settings: &Settings, log: &Logger) -> io::Result<StartupResources> {
        let Some(control) = settings.listeners_map.control_plane else {
            return Err(invalid_settings("listenersMap.controlPlane is missing"));
        };
        let Some(folder) = settings.data_directory.clone() else {
            return Err(invalid_settings("dataDirectory is missing"));
        };
        let internal = Listener::bind(settings.own_address(Port::Keeper)).await?;
        let control = control_listener::bind(control).await?;
        let (for_disk, disk_log) = (settings.clone(), log.clone());
        let opened = run_disk_work(move || open_disk(&for_disk, &folder, &disk_log));
        let start = opened.await.map_err(io::Error::other)??;
        Ok(StartupResources { internal_listener: internal, control_listener: control, restored: start })
    }

    async fn serve(
        self, settings: Settings, changes: watch::Receiver<Settings>, log: Logger,
        stop: impl Future<Output = ()>,
    ) -> io::Result<()> {
        let StartupResources {
            internal_listener,
            control_listener,
            restored: RestoredReplica { replica, record_file, local_voter },
        } = self;
        for finding in settings.bounds.too_short() {
            warn!(log, "a bound cannot be met"; "bound" => finding);
        }
        info!(log, "starting"; "disk" => local_voter.disk.0, "seeds" => settings.seed_nodes.len());

        let (writes, writes_received) = mpsc::channel(MAX_QUEUED_WRITES);
        let (wake, wake_received) = watch::channel(Time::default());
        let consensus = Consensus::new(replica, writes, wake);
        let controller = Controller::new(&settings, log, local_voter, consensus);
        start_metrics(&settings, Arc::clone(&controller) as Arc<dyn MetricSource>, &controller.log).await;
        let mut tasks =
            controller.start_tasks(internal_listener, record_file, writes_received, wake_received);
        let contacts = PeerDiscovery::start(&settings, &controller).await?;
        tasks.push(spawn_essential("contacts", Arc::clone(&contacts).follow_settings(changes)));

        let (stopping, stop_received) = watch::channel(false);
        let (open_calls, mut calls_ended) = mpsc::channel(1);
        let calls =
            control_listener::serve(control_listener, Arc::clone(&controller), stop_received, open_calls);
        let calls = tokio::spawn(calls);
        stop.await;
        info!(controller.log, "ending");
        contacts.leave();
        let grace = Duration::try_from_secs_f64(settings.bounds.grace_s).unwrap_or_default();
        controller.step_down_and_wait(grace).await;
        // Whoever serves a connection holds a sender; the channel ends with the last of them.
        stopping.send_replace(true);
        let _ = timeout(CALL_DRAIN_TIMEOUT, calls_ended.recv()).await;
        calls.abort();
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
        Ok(())
    }
}

/// Opens the disk and restores the replica from it. Blocks.
fn open_disk(settings: &Settings, folder: &Path, log: &Logger) -> io::Result<RestoredReplica> {
    let OpenedRecordFile { disk, record_file, record, loss } =
        record_file::open(folder, clock::random).map_err(io::Error::other)?;
    if let Some(loss) = &loss {
        warn!(log, "the disk counts as lost"; "why" => loss.to_string());
    }
    let me = Voter {
        disk,
        node: NodeName::from(settings.node_name.as_str()),
        address: settings.own_address(Port::Keeper),
    };
    let settings = juniperwing_replication::Settings {
        local_voter: me.clone(),
        seeds: settings.seed_keepers(),
        // Who has lost a disk does not found the tier once more.
        bootstrap: settings.bootstrap && loss.is_none(),
        min_in_sync_replicas: settings.required_replicas(),
        timings: Timings::default(),
    };
    let initial = ControlState::default();
    let replica = Replica::new(clock::now(), settings, record, initial, clock::random());
    Ok(RestoredReplica { replica: replica.map_err(io::Error::other)?, record_file, local_voter: me })
}

fn invalid_settings(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, why)
}

impl Controller {
    fn new(settings: &Settings, log: Logger, me: Voter, consensus: Consensus) -> Arc<Controller> {
        let now = clock::now();
        let heartbeat = Span::from_millis(settings.heartbeat_ms);
        let times = settings.control_timings();
        let registry = Registry::new(
            now,
            RegistrySettings { heartbeat_interval: heartbeat, max_instances: MAX_INSTANCES },
        );
        let state = State {
            consensus,
            contact: Contact::new(times.contact_window),
            registry,
            exchange: Exchange::default(),
            subscribers: Subscribers::default(),
            tracker: StoreTracker::new(now),
            store_view: StoreView::default(),
            caught_up_reports: Vec::new(),
            unrecoverable_partitions: 0,
            last_housekeeping_at: now,
            was_paused: false,
            logged_configuration: Version::default(),
            logged_store_map: 0,
        };
        Arc::new_cyclic(|controller| Controller {
            local_voter: me,
            required_copies: settings.required_replicas(),
            control_times: times,
            log,
            state: Mutex::new(state),
            peers: Arc::new(Peers::new(Arc::new(MessageHandler::new(controller.clone())))),
            order_replies: OrderReplyCounters::default(),
            order_log_limit: RateLimit::per_second(orders::MAX_ORDER_LOG_LINES_PER_SECOND),
            state_changed: Notify::new(),
            push_requested: Notify::new(),
            confirmation_requested: Notify::new(),
            planning_requested: Notify::new(),
        })
    }

    fn start_tasks(
        self: &Arc<Self>, internal: Listener, file: RecordFile, writes: mpsc::Receiver<RecordWrite>,
        wake: watch::Receiver<Time>,
    ) -> Vec<tokio::task::JoinHandle<()>> {
        let inbox = Arc::new(MessageHandler::new(Arc::downgrade(self)));
        vec![
            spawn_essential("records", run_record_writer(Arc::clone(self), file, writes)),
            spawn_essential("replica", run_replica_timer(Arc::clone(self), wake)),
            spawn_essential("links", crate::link::serve(internal, inbox)),
            spawn_essential("changes", Arc::clone(self).run_push_loop()),
            spawn_essential("confirmations", Arc::clone(self).run_subscription_confirmation()),
            spawn_essential("store map", Arc::clone(self).run_planning_loop()),
            spawn_essential("housekeeping", Arc::clone(self).run_housekeeping()),
        ]
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// The other voters.
    fn other_voters(&self) -> Vec<Voter> {
        let state = self.lock();
        let voters = state.consensus.replica.voters().iter();
        voters.filter(|voter| voter.disk != self.local_voter.disk).cloned().collect()
    }

    /// Where those of the other voters listen that were heard of a short while ago.
    fn reachable_voter_addresses(&self) -> Vec<SocketAddr> {
        let state = self.lock();
        let now = clock::now();
        let voters = state.consensus.replica.voters().iter();
        let heard = voters.filter(|voter| state.contact.has_recent_message(now, voter.disk));
        heard.filter(|voter| voter.disk != self.local_voter.disk).map(|voter| voter.address).collect()
    }

    /// Whether this keeper is a voter, as far as it knows.
    fn is_voter(&self, state: &State) -> bool {
        state.consensus.replica.voters().iter().any(|voter| voter.disk == self.local_voter.disk)
    }

    /// Whether a majority of the keepers has answered this one a short while ago.
    fn has_majority_contact(&self, state: &State) -> bool {
        state.contact.has_majority(clock::now(), self.local_voter.disk, state.consensus.replica.epoch())
    }

    /// Waits until a condition holds, or a time has come. Returns whether it holds.
    async fn wait_until(&self, until: Instant, condition: impl Fn(&State) -> bool) -> bool {
        loop {
            let progress = self.state_changed.notified();
            tokio::pin!(progress);
            // Registered before the check, so that progress between the two is not missed.
            progress.as_mut().enable();
            if condition(&self.lock()) {
                return true;
            }
            if timeout_at(until, progress).await.is_err() {
                return false;
            }
        }
    }

    /// A keeper that is told to end runs on until others hold all that was acknowledged and decide without it, or
    /// its grace is nearly over: whether it ever comes back is not known.
    async fn step_down_and_wait(self: &Arc<Self>, grace: Duration) {
        self.step_replica(Event::PrepareShutdown);
        let until = Instant::now() + grace.saturating_sub(SHUTDOWN_MARGIN);
        while !self.lock().consensus.replica.can_shut_down() && Instant::now() < until {
            sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        info!(self.log, "handed over"; "may_end" => self.lock().consensus.replica.can_shut_down());
    }

    /// Tells subscribers and keepers of changes; all that came in one turn go together.
    async fn run_push_loop(self: Arc<Self>) {
        loop {
            self.push_requested.notified().await;
            self.push_updates();
            self.send_instance_batches(false);
        }
    }

    fn push_updates(&self) {
        let state = &mut *self.lock();
        let keepers: Vec<SocketAddr> =
            state.consensus.replica.voters().iter().map(|voter| voter.address).collect();
        let complete = state.registry.is_complete(clock::now());
        let committed = state.consensus.committed().map(|committed| Arc::clone(&committed.state));
        let tellable = PublishedState {
            committed: committed.as_deref(),
            controller_addresses: &keepers,
            is_registry_complete: complete,
        };
        state.subscribers.push(&tellable, || state.registry.instances().cloned().collect());
    }

    async fn run_planning_loop(self: Arc<Self>) {
        loop {
            let next_loss = self.lock().tracker.next_loss_at();
            let pause = clock::duration(next_loss.since(clock::now()));
            // Whichever comes first: news of the stores, or the time at which one counts as lost.
            let _ = timeout(pause, self.planning_requested.notified()).await;
            self.plan_store_map_change().await;
        }
    }

    async fn run_housekeeping(self: Arc<Self>) {
        let mut rounds = tokio::time::interval(HOUSEKEEPING_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for round in 0_u64.. {
            rounds.tick().await;
            self.housekeeping_tick();
            let has_contact = self.has_majority_contact(&self.lock());
            if round % ROUNDS_PER_STORE_REPORT == 0 || !has_contact {
                self.report_reachable_stores();
            }
            if round % ROUNDS_PER_HEARTBEAT_BATCH == 0 {
                self.send_instance_batches(true);
            }
        }
    }

    fn housekeeping_tick(&self) {
        let mut state = self.lock();
        let now = clock::now();
        state.was_paused = now.since(state.last_housekeeping_at) > PAUSE_THRESHOLD;
        state.last_housekeeping_at = now;
        self.update_exchange_peers(&mut state);
        self.expire_instances(&mut state);
        drop(state);
        // Voters and completeness change without an event of their own; what is known already is not told again.
        self.push_requested.notify_one();
    }

    /// Makes the exchange go by the present voters.
    fn update_exchange_peers(&self, state: &mut State) {
        let voters = state.consensus.replica.voters().iter();
        let others: Vec<Voter> =
            voters.filter(|voter| voter.disk != self.local_voter.disk).cloned().collect();
        state.exchange.set_peers(&others);
    }

    fn log_committed(&self) {
        let mut state = self.lock();
        let Some(committed) = state.consensus.committed().map(|held| Arc::clone(&held.state)) else { return };
        let version = committed.configuration_version();
        if version != state.logged_configuration {
            state.logged_configuration = version;
            info!(self.log, "configuration"; "generation" => committed.generation());
        }
        if committed.store_map.version != state.logged_store_map {
            state.logged_store_map = committed.store_map.version;
            info!(self.log, "store map";
                "version" => committed.store_map.version, "stores" => committed.store_map.stores.len());
        }
    }
}
