//! A store's state machine with its surroundings: links, disk, timer, keepers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::Message;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{AppliedVersions, Update};
use juniperwing_protocol::transfer::TransferRequest;
use juniperwing_sessions::{CallerId, Command, Event, Moment, Store, TransferCallId};
use juniperwing_storage::SegmentNumber;
use slog::{Logger, warn};
use tokio::sync::{Notify, mpsc};

use super::disk::{Disk, DiskJob};
use crate::clock::{duration, now, unix_time_ms};
use crate::link::{Link, LinkPool, ReplySender, Service};
use crate::panics::spawn_essential;
use crate::subscriber::{Subscriber, UpdateSink};
use crate::sync::lock;

/// How long a call to another store may take.
const CALL_WITHIN: Duration = Duration::from_millis(1_000);
/// For how long the disk may fail, or answer nothing, before the store ends its subscriptions, so that it is taken out.
pub(super) const DISK_LOST_AFTER: Span = Span::from_millis(2_000);

/// A running store.
pub(super) struct Core {
    state: Mutex<State>,
    pool: LinkPool,
    disk: mpsc::UnboundedSender<DiskJob>,
    /// Told when the timer must ring earlier.
    rearm: Notify,
    /// Told after every event while somebody waits for the end.
    handled: Notify,
    log: Logger,
}

pub(super) struct State {
    pub(super) store: Store,
    pub(super) callers: HashMap<CallerId, ReplySender>,
    last_caller: u64,
    /// What the timer waits for.
    armed: Option<Time>,
    subscriber: Weak<Subscriber>,
    /// Since when every batch has failed.
    failing_since: Option<Time>,
    /// Whether what the disk was told to do has taken for too long.
    disk_hangs: bool,
    pub(super) suspended: bool,
}

/// Takes no questions: other stores ask over connections of their own.
struct NoService;

impl Service for NoService {
    fn handle_message(&self, _: &Link, _: Message, _: ReplySender) {}
}

/// Now, on both clocks.
pub(super) fn moment() -> Moment {
    Moment { now: now(), unix_time_ms: unix_time_ms() }
}

impl Core {
    /// Starts the disk and the timer of a store that has been recovered.
    pub(super) fn start(store: Store, disk: Disk, log: Logger) -> Arc<Core> {
        let (jobs, waiting) = mpsc::unbounded_channel();
        let state = State {
            store,
            callers: HashMap::new(),
            last_caller: 0,
            armed: None,
            subscriber: Weak::new(),
            failing_since: None,
            disk_hangs: false,
            suspended: false,
        };
        let core = Arc::new(Core {
            state: Mutex::new(state),
            pool: LinkPool::new(Arc::new(NoService)),
            disk: jobs,
            rearm: Notify::new(),
            handled: Notify::new(),
            log: log.clone(),
        });
        spawn_essential("disk", disk.run(waiting, core.clone(), log));
        spawn_essential("timer", core.clone().keep_time());
        let commands = core.lock().store.finish_recovery(moment());
        core.execute(commands);
        core
    }

    /// Names the subscriptions, by which reports go to the keepers.
    pub(super) fn subscribed(&self, subscriber: &Arc<Subscriber>) {
        self.lock().subscriber = Arc::downgrade(subscriber);
    }

    /// Hands an event to the store and does what it wants.
    pub(super) fn handle(self: &Arc<Self>, event: Event) {
        let watched = self.watch_disk(&event);
        let (commands, earlier) = {
            let mut state = self.lock();
            let commands = state.store.handle(moment(), event);
            let wake = state.store.next_wake_at();
            let earlier = wake.is_some_and(|wake| state.armed.is_none_or(|armed| wake < armed));
            (commands, earlier)
        };
        if earlier {
            self.rearm.notify_one();
        }
        if let Some((subscriber, suspended)) = watched {
            subscriber.set_suspended(suspended);
        }
        self.execute(commands);
        self.handled.notify_waiters();
    }

    /// Waits until something holds of the store.
    pub(super) async fn until(&self, holds: impl Fn(&Store) -> bool) {
        loop {
            let handled = self.handled.notified();
            tokio::pin!(handled);
            handled.as_mut().enable();
            if holds(&self.lock().store) {
                return;
            }
            handled.await;
        }
    }

    /// The disk has answered nothing for [`DISK_LOST_AFTER`], or answers again.
    pub(super) fn set_disk_hangs(&self, hangs: bool) {
        let changed = {
            let mut state = self.lock();
            state.disk_hangs = hangs;
            self.consider_disk(&mut state)
        };
        if let Some((subscriber, suspended)) = changed {
            subscriber.set_suspended(suspended);
        }
    }

    /// Whether the subscriptions are to be ended or begun again, after this end of a batch.
    fn watch_disk(&self, event: &Event) -> Option<(Arc<Subscriber>, bool)> {
        let mut state = self.lock();
        match event {
            Event::BatchWritten { .. } => state.failing_since = None,
            Event::BatchFailed => drop(state.failing_since.get_or_insert_with(now)),
            _ => return None,
        }
        self.consider_disk(&mut state)
    }

    /// The subscriptions and whether they are to be ended, if that has changed.
    fn consider_disk(&self, state: &mut State) -> Option<(Arc<Subscriber>, bool)> {
        let fails = state.failing_since.is_some_and(|since| now().since(since) >= DISK_LOST_AFTER);
        let suspended = fails || state.disk_hangs;
        if state.suspended == suspended {
            return None;
        }
        state.suspended = suspended;
        warn!(self.log, "the disk"; "lost" => suspended, "hangs" => state.disk_hangs);
        Some((state.subscriber.upgrade()?, suspended))
    }

    fn execute(self: &Arc<Self>, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::SendSessionReply { caller, reply } => {
                    self.reply(caller, Message::SessionReply(reply))
                }
                Command::SendTransferReply { caller, reply } => {
                    self.reply(caller, Message::TransferReply(reply))
                }
                Command::Call { call, to, request } => {
                    tokio::spawn(self.clone().call(call, to, request));
                }
                Command::WriteBatch { records } => self.put(DiskJob::Write(records)),
                Command::RemoveSegment { segment } => self.put(DiskJob::Remove(SegmentNumber(segment))),
                Command::WriteMapVersion { version } => self.put(DiskJob::WriteMapVersion(version)),
                Command::ReportCaughtUp => self.report(),
            }
        }
    }

    async fn call(self: Arc<Self>, call: TransferCallId, to: SocketAddr, request: TransferRequest) {
        let answer = match self.pool.call(to, Message::TransferRequest(request), CALL_WITHIN).await {
            Ok(Message::TransferReply(reply)) => Some(reply),
            _ => None,
        };
        self.handle(Event::CallCompleted { call, reply: answer });
    }

    fn reply(&self, caller: CallerId, message: Message) {
        let reply = self.lock().callers.remove(&caller);
        if let Some(reply) = reply {
            reply.send(message);
        }
    }

    fn put(&self, job: DiskJob) {
        // The disk's task ends with the process only.
        let _ = self.disk.send(job);
    }

    fn report(&self) {
        let subscriber = self.lock().subscriber.upgrade();
        if let Some(subscriber) = subscriber {
            subscriber.send_applied_versions();
        }
    }

    fn expect(&self, reply: ReplySender) -> CallerId {
        let mut state = self.lock();
        state.last_caller += 1;
        let caller = CallerId(state.last_caller);
        state.callers.insert(caller, reply);
        caller
    }

    /// Rings when the store wants to be woken, and not otherwise.
    async fn keep_time(self: Arc<Self>) {
        loop {
            let wake = {
                let mut state = self.lock();
                state.armed = state.store.next_wake_at();
                state.armed
            };
            match wake {
                None => self.rearm.notified().await,
                Some(wake) => tokio::select! {
                    biased;
                    () = tokio::time::sleep(duration(wake.since(now()))) => self.handle(Event::Tick),
                    () = self.rearm.notified() => {}
                },
            }
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// A store as the links and the subscriptions see it.
pub(super) struct Handle(pub(super) Arc<Core>);

impl Service for Handle {
    fn handle_message(&self, link: &Link, message: Message, reply: ReplySender) {
        match message {
            Message::SessionRequest(request) => {
                let caller = self.0.expect(reply);
                self.0.handle(Event::SessionRequest { caller, request });
            }
            Message::TransferRequest(request) => {
                let caller = self.0.expect(reply);
                self.0.handle(Event::TransferRequest { caller, request });
            }
            // Nobody has anything else to say to a store.
            _ => link.close(),
        }
    }
}

impl UpdateSink for Handle {
    fn apply(&self, update: Update) {
        if let Update::Stores(map) = update {
            self.0.handle(Event::StoreMap(map));
        }
    }

    fn applied_versions(&self) -> AppliedVersions {
        let state = self.0.lock();
        AppliedVersions {
            stores: state.store.map_version(),
            caught_up: state.store.caught_up_replicas(),
            ..AppliedVersions::default()
        }
    }

    fn configuration_version(&self) -> Version {
        Version::default()
    }
}
