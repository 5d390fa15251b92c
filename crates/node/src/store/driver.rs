//! The driver of a store's state machine: passes events to it and executes its commands.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

use juniperwing_clock::Time;
use juniperwing_protocol::Message;
use juniperwing_protocol::transfer::TransferRequest;
use juniperwing_sessions::{CallerId, Command, Event, Store, TransferCallId};
use juniperwing_storage::SegmentNumber;
use slog::{Logger, warn};
use tokio::sync::{Notify, mpsc};

use super::clock::read_clocks;
use super::disk::{DiskJob, DiskObserver, StoreDisk};
use super::disk_health::DiskHealth;
use crate::clock::{duration, now};
use crate::link::{Link, LinkPool, MessageHandler, ReplySender};
use crate::panics::spawn_essential;
use crate::subscriber::Subscriber;
use crate::sync::lock;

/// The timeout of a call to another store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A running store.
pub(super) struct StoreDriver {
    state: Mutex<DriverState>,
    pool: LinkPool,
    disk_jobs: mpsc::UnboundedSender<DiskJob>,
    /// Notified when the timer must fire earlier than it is set.
    timer_changed: Notify,
    /// Notified after every event.
    event_handled: Notify,
    log: Logger,
}

pub(super) struct DriverState {
    pub(super) store: Store,
    /// Callers that wait for a reply.
    pub(super) callers: BTreeMap<CallerId, ReplySender>,
    last_caller: u64,
    /// When the timer fires; `None` if it is not set.
    timer_at: Option<Time>,
    subscriber: Weak<Subscriber>,
    pub(super) disk_health: DiskHealth,
}

/// A pending change to whether the subscriptions are suspended.
struct SuspensionChange {
    subscriber: Arc<Subscriber>,
    is_suspended: bool,
}

/// Ignores all messages: other stores send their requests over connections that they open themselves.
struct IgnoreMessages;

impl MessageHandler for IgnoreMessages {
    fn handle_message(&self, _: &Link, _: Message, _: ReplySender) {}
}

impl StoreDriver {
    /// Starts the disk and timer tasks of a recovered store, and finishes its recovery.
    pub(super) fn start(store: Store, disk: StoreDisk, log: Logger) -> Arc<StoreDriver> {
        let (disk_jobs, pending_jobs) = mpsc::unbounded_channel();
        let state = DriverState {
            store,
            callers: BTreeMap::new(),
            last_caller: 0,
            timer_at: None,
            subscriber: Weak::new(),
            disk_health: DiskHealth::default(),
        };
        let driver = Arc::new(StoreDriver {
            state: Mutex::new(state),
            pool: LinkPool::new(Arc::new(IgnoreMessages)),
            disk_jobs,
            timer_changed: Notify::new(),
            event_handled: Notify::new(),
            log: log.clone(),
        });
        spawn_essential("disk", disk.run(pending_jobs, driver.clone(), log));
        spawn_essential("timer", driver.clone().run_timer());
        let commands = driver.lock().store.finish_recovery(read_clocks());
        driver.execute(commands);
        driver
    }

    /// Sets the subscriber, through which reports are sent to the keepers.
    pub(super) fn set_subscriber(&self, subscriber: &Arc<Subscriber>) {
        self.lock().subscriber = Arc::downgrade(subscriber);
    }

    /// Passes an event to the store and executes the resulting commands.
    pub(super) fn handle(self: &Arc<Self>, event: Event) {
        let suspension = self.record_disk_event(&event);
        let (commands, wakes_earlier) = {
            let mut state = self.lock();
            let commands = state.store.handle(read_clocks(), event);
            let wake_at = state.store.next_wake_at();
            let wakes_earlier =
                wake_at.is_some_and(|wake_at| state.timer_at.is_none_or(|timer_at| wake_at < timer_at));
            (commands, wakes_earlier)
        };
        if wakes_earlier {
            self.timer_changed.notify_one();
        }
        if let Some(SuspensionChange { subscriber, is_suspended }) = suspension {
            subscriber.set_suspended(is_suspended);
        }
        self.execute(commands);
        self.event_handled.notify_waiters();
    }

    /// Waits until a condition holds for the store.
    pub(super) async fn wait_until(&self, condition: impl Fn(&Store) -> bool) {
        loop {
            let handled = self.event_handled.notified();
            tokio::pin!(handled);
            handled.as_mut().enable();
            if condition(&self.lock().store) {
                return;
            }
            handled.await;
        }
    }

    /// Updates the disk health after a batch; returns whether that suspends or resumes the subscriptions.
    fn record_disk_event(&self, event: &Event) -> Option<SuspensionChange> {
        let mut state = self.lock();
        match event {
            Event::BatchWritten { .. } => state.disk_health.batch_written(),
            Event::BatchFailed => state.disk_health.batch_failed(),
            _ => return None,
        }
        self.reevaluate_disk(&mut state)
    }

    /// Reevaluates the disk health: the subscriptions are suspended while the disk is considered lost.
    fn reevaluate_disk(&self, state: &mut DriverState) -> Option<SuspensionChange> {
        let is_lost = state.disk_health.reevaluate()?;
        let is_stalled = state.disk_health.is_stalled();
        warn!(self.log, "disk availability changed"; "is_lost" => is_lost, "is_stalled" => is_stalled);
        Some(SuspensionChange { subscriber: state.subscriber.upgrade()?, is_suspended: is_lost })
    }

    fn execute(self: &Arc<Self>, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::SendSessionReply { caller, reply } => {
                    self.send_reply(caller, Message::SessionReply(reply));
                }
                Command::SendTransferReply { caller, reply } => {
                    self.send_reply(caller, Message::TransferReply(reply));
                }
                Command::Call { call, to, request } => {
                    tokio::spawn(self.clone().call_store(call, to, request));
                }
                Command::WriteBatch { records } => self.queue_disk_job(DiskJob::WriteBatch(records)),
                Command::RemoveSegment { segment } => {
                    self.queue_disk_job(DiskJob::RemoveSegment(SegmentNumber(segment)));
                }
                Command::WriteMapVersion { version } => {
                    self.queue_disk_job(DiskJob::WriteMapVersion(version));
                }
                Command::ReportCaughtUp => self.report_caught_up(),
            }
        }
    }

    async fn call_store(self: Arc<Self>, call: TransferCallId, to: SocketAddr, request: TransferRequest) {
        let reply = match self.pool.call(to, Message::TransferRequest(request), CALL_TIMEOUT).await {
            Ok(Message::TransferReply(reply)) => Some(reply),
            _ => None,
        };
        self.handle(Event::CallCompleted { call, reply });
    }

    fn send_reply(&self, caller: CallerId, message: Message) {
        let sender = self.lock().callers.remove(&caller);
        if let Some(sender) = sender {
            sender.send(message);
        }
    }

    fn queue_disk_job(&self, job: DiskJob) {
        // The send cannot fail while the process runs: the disk task ends only with it.
        let _ = self.disk_jobs.send(job);
    }

    fn report_caught_up(&self) {
        let subscriber = self.lock().subscriber.upgrade();
        if let Some(subscriber) = subscriber {
            subscriber.send_applied_versions();
        }
    }

    /// Registers a caller that waits for a reply.
    pub(super) fn add_caller(&self, sender: ReplySender) -> CallerId {
        let mut state = self.lock();
        state.last_caller += 1;
        let caller = CallerId(state.last_caller);
        state.callers.insert(caller, sender);
        caller
    }

    /// Passes [`Event::Tick`] to the store whenever one of its timers expires.
    async fn run_timer(self: Arc<Self>) {
        loop {
            let timer_at = {
                let mut state = self.lock();
                state.timer_at = state.store.next_wake_at();
                state.timer_at
            };
            match timer_at {
                None => self.timer_changed.notified().await,
                Some(timer_at) => tokio::select! {
                    biased;
                    () = tokio::time::sleep(duration(timer_at.since(now()))) => self.handle(Event::Tick),
                    () = self.timer_changed.notified() => {}
                },
            }
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, DriverState> {
        lock(&self.state)
    }
}

impl DiskObserver for Arc<StoreDriver> {
    fn handle_event(&self, event: Event) {
        self.handle(event);
    }

    fn set_stalled(&self, is_stalled: bool) {
        let suspension = {
            let mut state = self.lock();
            state.disk_health.set_stalled(is_stalled);
            self.reevaluate_disk(&mut state)
        };
        if let Some(SuspensionChange { subscriber, is_suspended }) = suspension {
            subscriber.set_suspended(is_suspended);
        }
    }
}
