//! The role of a keeper.
//!
//! Keepers replicate the control state among themselves (`consensus`), take orders from operators (`orders`) and
//! heartbeats from endpoints (`discovery`) on the control listener, place partitions on stores (`stores`), and
//! tell relays and stores what is in force (`subscribers`). All state is behind one lock that is never held
//! while anything is awaited.

mod confirmation;
mod consensus;
mod contacts;
mod control_listener;
mod discovery;
mod figures;
mod inbox;
mod orders;
mod peers;
pub mod record_file;
mod stores;
mod subscribers;
mod waiters;

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

use self::consensus::{Consensus, MAX_WRITES, Write, tick_replica, write_records};
use self::contacts::Contacts;
use self::figures::OrderAnswers;
use self::inbox::Inbox;
use self::peers::Peers;
use self::record_file::{Opened, RecordFile};
use self::subscribers::{Subscribers, Tellable};
use crate::clock;
use crate::command::Process;
use crate::host::{Listener, wait_for_disk};
use crate::link::LinkId;
use crate::metrics::{self, FigureSource};
use crate::panics::spawn_essential;
use crate::rate_limit::RateLimit;
use crate::settings::{ControlTimes, Port, Settings};
use crate::signals::Wish;
use crate::sync::lock;

/// Between two rounds of housekeeping.
const HOUSEKEEPING: Duration = Duration::from_millis(150);
/// Rounds between two batches of heartbeats for the other keepers.
const ROUNDS_PER_BATCH: u64 = 2;
/// Rounds between two reports of the stores seen, whose answers are also evidence of contact; every round while
/// this keeper has no contact.
const ROUNDS_PER_REPORT: u64 = 3;
/// Rounds of housekeeping further apart than this mean that the process was paused.
const PAUSE: Span = Span::from_millis(1_000);
/// How long calls that are under way may take when the keeper ends.
const FINISH_WITHIN: Duration = Duration::from_millis(900);
/// How long before its grace ends a keeper waits no more for the others to do without it.
const BEFORE_GRACE_ENDS: Duration = Duration::from_millis(2_000);
/// Between two looks whether a keeper that was told to end may do so.
const END_CHECK: Duration = Duration::from_millis(20);

/// What changes while a keeper runs.
struct State {
    consensus: Consensus,
    contact: Contact,
    registry: Registry,
    exchange: Exchange<LinkId>,
    subscribers: Subscribers,
    tracker: StoreTracker,
    store_view: StoreView,
    caught_up: Vec<CaughtUp>,
    /// Partitions of which no copy is left.
    unrecoverable: usize,
    last_round: Time,
    was_paused: bool,
    logged_configuration: Version,
    logged_stores: u64,
}

/// A keeper.
struct Keeper {
    me: Voter,
    required_copies: usize,
    times: ControlTimes,
    log: Logger,
    state: Mutex<State>,
    peers: Arc<Peers>,
    order_answers: OrderAnswers,
    order_lines: RateLimit,
    /// Something was confirmed, committed or lost: those that wait look again.
    progress: Notify,
    /// There is something to tell subscribers or keepers.
    wake_push: Notify,
    /// A subscription waits to be confirmed.
    wake_confirmation: Notify,
    /// The store map may have to change.
    wake_planner: Notify,
}

/// What a keeper starts from.
struct Start {
    replica: Replica<ControlState>,
    file: RecordFile,
    me: Voter,
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
        opened = Opening::of(&settings, &log) => opened?,
        // Nothing was promised in this life yet.
        () = signals.stop() => return Ok(()),
    };
    let (changed, changes) = watch::channel(settings.clone());
    let reload_log = log.clone();
    let stop = async move {
        while signals.next().await == Wish::Reload {
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
    let opened = Opening::of(&settings, &log).await?;
    opened.serve(settings, changes, log, stop).await
}

/// A keeper with its listeners and its disk open.
struct Opening {
    internal: Listener,
    control: Listener,
    start: Start,
}

impl Opening {
    /// Opens the listeners and the disk.
    async fn of(settings: &Settings, log: &Logger) -> io::Result<Opening> {
        let Some(control) = settings.listeners_map.control_plane else {
            return Err(unusable("listenersMap.controlPlane is missing"));
        };
        let Some(folder) = settings.data_directory.clone() else {
            return Err(unusable("dataDirectory is missing"));
        };
        let internal = Listener::bind(settings.own_address(Port::Keeper)).await?;
        let control = control_listener::bind(control).await?;
        let (for_disk, disk_log) = (settings.clone(), log.clone());
        let opened = wait_for_disk(move || open(&for_disk, &folder, &disk_log));
        let start = opened.await.map_err(io::Error::other)??;
        Ok(Opening { internal, control, start })
    }

    async fn serve(
        self, settings: Settings, changes: watch::Receiver<Settings>, log: Logger,
        stop: impl Future<Output = ()>,
    ) -> io::Result<()> {
        let Opening { internal, control, start: Start { replica, file, me } } = self;
        for finding in settings.bounds.too_short() {
            warn!(log, "a bound cannot be met"; "bound" => finding);
        }
        info!(log, "starting"; "disk" => me.disk.0, "seeds" => settings.seed_nodes.len());

        let (writes, writes_received) = mpsc::channel(MAX_WRITES);
        let (wake, wake_received) = watch::channel(Time::default());
        let consensus = Consensus::new(replica, writes, wake);
        let keeper = Keeper::new(&settings, log, me, consensus);
        metrics::start(&settings, Arc::clone(&keeper) as Arc<dyn FigureSource>, &keeper.log).await;
        let mut tasks = keeper.start_tasks(internal, file, writes_received, wake_received);
        let contacts = Contacts::start(&settings, &keeper).await?;
        tasks.push(spawn_essential("contacts", Arc::clone(&contacts).follow(changes)));

        let (stopping, stop_received) = watch::channel(false);
        let (open_calls, mut calls_ended) = mpsc::channel(1);
        let calls = control_listener::serve(control, Arc::clone(&keeper), stop_received, open_calls);
        let calls = tokio::spawn(calls);
        stop.await;
        info!(keeper.log, "ending");
        contacts.leave();
        let grace = Duration::try_from_secs_f64(settings.bounds.grace_s).unwrap_or_default();
        keeper.hand_over(grace).await;
        // Whoever serves a connection holds a sender; the channel ends with the last of them.
        stopping.send_replace(true);
        let _ = timeout(FINISH_WITHIN, calls_ended.recv()).await;
        calls.abort();
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
        Ok(())
    }
}

/// Opens the disk and restores the replica from it. Blocks.
fn open(settings: &Settings, folder: &Path, log: &Logger) -> io::Result<Start> {
    let Opened { disk, file, record, loss } =
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
        min_in_sync_replicas: settings.required_copies(),
        timings: Timings::default(),
    };
    let initial = ControlState::default();
    let replica = Replica::new(clock::now(), settings, record, initial, clock::random());
    Ok(Start { replica: replica.map_err(io::Error::other)?, file, me })
}

fn unusable(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, why)
}

impl Keeper {
    fn new(settings: &Settings, log: Logger, me: Voter, consensus: Consensus) -> Arc<Keeper> {
        let now = clock::now();
        let heartbeat = Span::from_millis(settings.heartbeat_ms);
        let times = settings.control_times();
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
            caught_up: Vec::new(),
            unrecoverable: 0,
            last_round: now,
            was_paused: false,
            logged_configuration: Version::default(),
            logged_stores: 0,
        };
        Arc::new_cyclic(|keeper| Keeper {
            me,
            required_copies: settings.required_copies(),
            times,
            log,
            state: Mutex::new(state),
            peers: Arc::new(Peers::new(Arc::new(Inbox::new(keeper.clone())))),
            order_answers: OrderAnswers::default(),
            order_lines: RateLimit::per_second(orders::LINES_PER_SECOND),
            progress: Notify::new(),
            wake_push: Notify::new(),
            wake_confirmation: Notify::new(),
            wake_planner: Notify::new(),
        })
    }

    fn start_tasks(
        self: &Arc<Self>, internal: Listener, file: RecordFile, writes: mpsc::Receiver<Write>,
        wake: watch::Receiver<Time>,
    ) -> Vec<tokio::task::JoinHandle<()>> {
        let inbox = Arc::new(Inbox::new(Arc::downgrade(self)));
        vec![
            spawn_essential("records", write_records(Arc::clone(self), file, writes)),
            spawn_essential("replica", tick_replica(Arc::clone(self), wake)),
            spawn_essential("links", crate::link::serve(internal, inbox)),
            spawn_essential("changes", Arc::clone(self).push_changes()),
            spawn_essential("confirmations", Arc::clone(self).confirm_subscriptions()),
            spawn_essential("store map", Arc::clone(self).plan_changes()),
            spawn_essential("housekeeping", Arc::clone(self).keep_house()),
        ]
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// The other voters.
    fn other_voters(&self) -> Vec<Voter> {
        let state = self.lock();
        let voters = state.consensus.replica.voters().iter();
        voters.filter(|voter| voter.disk != self.me.disk).cloned().collect()
    }

    /// Where those of the other voters listen that were heard of a short while ago.
    fn keepers_in_reach(&self) -> Vec<SocketAddr> {
        let state = self.lock();
        let now = clock::now();
        let voters = state.consensus.replica.voters().iter();
        let heard = voters.filter(|voter| state.contact.has_recent_message(now, voter.disk));
        heard.filter(|voter| voter.disk != self.me.disk).map(|voter| voter.address).collect()
    }

    /// Whether this keeper is a voter, as far as it knows.
    fn is_voter(&self, state: &State) -> bool {
        state.consensus.replica.voters().iter().any(|voter| voter.disk == self.me.disk)
    }

    /// Whether a majority of the keepers has answered this one a short while ago.
    fn is_in_contact(&self, state: &State) -> bool {
        state.contact.has_majority(clock::now(), self.me.disk, state.consensus.replica.epoch())
    }

    /// Waits until a condition holds, or a time has come. Returns whether it holds.
    async fn wait_until(&self, until: Instant, condition: impl Fn(&State) -> bool) -> bool {
        loop {
            let progress = self.progress.notified();
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
    async fn hand_over(self: &Arc<Self>, grace: Duration) {
        self.replica_event(Event::PrepareShutdown);
        let until = Instant::now() + grace.saturating_sub(BEFORE_GRACE_ENDS);
        while !self.lock().consensus.replica.can_shut_down() && Instant::now() < until {
            sleep(END_CHECK).await;
        }
        info!(self.log, "handed over"; "may_end" => self.lock().consensus.replica.can_shut_down());
    }

    /// Tells subscribers and keepers of changes; all that came in one turn go together.
    async fn push_changes(self: Arc<Self>) {
        loop {
            self.wake_push.notified().await;
            self.push();
            self.send_batches(false);
        }
    }

    fn push(&self) {
        let state = &mut *self.lock();
        let keepers: Vec<SocketAddr> =
            state.consensus.replica.voters().iter().map(|voter| voter.address).collect();
        let complete = state.registry.is_complete(clock::now());
        let committed = state.consensus.committed().map(|committed| Arc::clone(&committed.state));
        let tellable = Tellable { committed: committed.as_deref(), keepers: &keepers, complete };
        state.subscribers.push(&tellable, || state.registry.instances().cloned().collect());
    }

    async fn plan_changes(self: Arc<Self>) {
        loop {
            let next_loss = self.lock().tracker.next_loss_at();
            let pause = clock::duration(next_loss.since(clock::now()));
            // Whichever comes first: news of the stores, or the time at which one counts as lost.
            let _ = timeout(pause, self.wake_planner.notified()).await;
            self.plan_stores().await;
        }
    }

    async fn keep_house(self: Arc<Self>) {
        let mut rounds = tokio::time::interval(HOUSEKEEPING);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for round in 0_u64.. {
            rounds.tick().await;
            self.keep_house_once();
            let has_contact = self.is_in_contact(&self.lock());
            if round % ROUNDS_PER_REPORT == 0 || !has_contact {
                self.report_stores();
            }
            if round % ROUNDS_PER_BATCH == 0 {
                self.send_batches(true);
            }
        }
    }

    fn keep_house_once(&self) {
        let mut state = self.lock();
        let now = clock::now();
        state.was_paused = now.since(state.last_round) > PAUSE;
        state.last_round = now;
        self.set_exchange_keepers(&mut state);
        self.expire_instances(&mut state);
        drop(state);
        // Voters and completeness change without an event of their own; what is known already is not told again.
        self.wake_push.notify_one();
    }

    /// Makes the exchange go by the present voters.
    fn set_exchange_keepers(&self, state: &mut State) {
        let voters = state.consensus.replica.voters().iter();
        let others: Vec<Voter> = voters.filter(|voter| voter.disk != self.me.disk).cloned().collect();
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
        if committed.store_map.version != state.logged_stores {
            state.logged_stores = committed.store_map.version;
            info!(self.log, "store map";
                "version" => committed.store_map.version, "stores" => committed.store_map.stores.len());
        }
    }
}
