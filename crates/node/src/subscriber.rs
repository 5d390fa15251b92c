//! Subscriptions of a relay or a store to keepers.
//!
//! A subscriber maintains subscriptions to several keepers, more than may fail simultaneously, so that it need not wait
//! for a timeout when one of them fails. Updates are passed to an [`UpdateSink`], which merges them by version.
//!
//! A keeper replies to a subscription with its first update, once a majority of the keepers has confirmed that its state
//! is current. A keeper that does not reply in time is replaced by another one; earlier updates remain applied.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniperwing_protocol::Message;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{AppliedVersions, Subscribe, Update};
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::link::{Link, MessageHandler, ReplySender, connect};
use crate::panics::spawn_essential;
use crate::sync::lock;

/// Delay before the next keeper is tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of the first update. The election of a new primary takes up to a second.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Receiver of updates.
pub trait UpdateSink: Send + Sync + 'static {
    /// Applies an update, which may be older than the applied state.
    fn apply(&self, update: Update);

    /// The applied versions; the field `instances` is set by the subscription.
    fn applied_versions(&self) -> AppliedVersions;

    /// The version of the applied configuration, which is not sent again.
    fn configuration_version(&self) -> Version;

    /// Handles a possible change of whether any subscription is established. While none is, the applied state may be
    /// outdated.
    fn handle_connection_change(&self, is_connected: bool) {
        let _ = is_connected;
    }
}

/// The subscriptions of one process.
pub struct Subscriber {
    subscribe: Subscribe,
    sink: Arc<dyn UpdateSink>,
    keepers: Mutex<Keepers>,
    /// Notified when another keeper may have become available for a subscription.
    keepers_changed: Notify,
}

#[derive(Default)]
struct Keepers {
    /// Keepers named by the settings; they may be outdated.
    seeds: Vec<SocketAddr>,
    /// Keepers listed in the newest update from a keeper.
    announced: Vec<SocketAddr>,
    /// Keepers discovered by the membership protocol. They are not necessarily voters, so they are used only while no
    /// subscription is established.
    discovered: Vec<SocketAddr>,
    slots: Vec<KeeperSlot>,
    /// Index of the next candidate, modulo the number of candidates.
    next_candidate: usize,
    is_suspended: bool,
}

/// A keeper with a subscription that is established or being established.
struct KeeperSlot {
    keeper: SocketAddr,
    link: Option<Link>,
    /// Whether the keeper has sent its first update.
    has_replied: bool,
}

impl KeeperSlot {
    fn is_live(&self) -> bool {
        self.has_replied && self.link.as_ref().is_some_and(|link| !link.is_closed())
    }
}

impl Keepers {
    /// Applies a list of keepers received over `link`. A keeper that is not in the list no longer receives changes; if it
    /// is partitioned it does not know that, so its subscription is closed here.
    fn handle_announced(&mut self, announced: Vec<SocketAddr>, link: &Link) {
        let others = self.slots.iter().filter(|slot| !announced.contains(&slot.keeper));
        let removed = others.filter_map(|slot| slot.link.as_ref()).filter(|other| other.id() != link.id());
        removed.for_each(Link::close);
        self.announced = announced;
    }
}

impl Subscriber {
    /// Maintains subscriptions to `count` keepers, found through the seeds, until the process exits.
    pub fn start(
        subscribe: Subscribe, seeds: Vec<SocketAddr>, count: usize, sink: Arc<dyn UpdateSink>,
    ) -> Arc<Subscriber> {
        let next_candidate = crate::clock::random() as usize % seeds.len().max(1);
        let keepers = Mutex::new(Keepers { seeds, next_candidate, ..Keepers::default() });
        let subscriber = Arc::new(Subscriber { subscribe, sink, keepers, keepers_changed: Notify::new() });
        for _ in 0..count {
            spawn_essential("subscription", Arc::clone(&subscriber).maintain_subscription());
        }
        subscriber
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.lock().seeds = seeds;
        self.keepers_changed.notify_waiters();
    }

    /// Sets the keepers that are alive according to the membership protocol. They are used only while no subscription is
    /// established.
    pub fn set_discovered(&self, discovered: Vec<SocketAddr>) {
        self.lock().discovered = discovered;
        self.keepers_changed.notify_waiters();
    }

    /// Suspends or resumes the subscriptions: while suspended, all are closed and none is opened. Keepers regard a process
    /// without subscriptions as lost.
    pub fn set_suspended(&self, is_suspended: bool) {
        let mut keepers = self.lock();
        keepers.is_suspended = is_suspended;
        if is_suspended {
            keepers.slots.iter().filter_map(|slot| slot.link.as_ref()).for_each(Link::close);
        }
        drop(keepers);
        self.keepers_changed.notify_waiters();
    }

    /// The known keepers: first those announced by a keeper, then the seeds.
    pub fn keepers(&self) -> Vec<SocketAddr> {
        let keepers = self.lock();
        let mut all = keepers.announced.clone();
        all.extend(keepers.seeds.iter().filter(|seed| !keepers.announced.contains(seed)));
        all
    }

    /// Reports the applied versions to every subscribed keeper, for instance after an update that took some time.
    pub fn send_applied_versions(&self) {
        let links: Vec<Link> = self.lock().slots.iter().filter_map(|slot| slot.link.clone()).collect();
        let applied = self.sink.applied_versions();
        for link in links {
            link.send(Message::Applied(applied.clone()));
        }
    }

    /// Whether any subscription is established.
    pub fn is_connected(&self) -> bool {
        self.lock().slots.iter().any(KeeperSlot::is_live)
    }

    /// Maintains one subscription, and moves it to the next keeper when it ends.
    async fn maintain_subscription(self: Arc<Self>) {
        loop {
            let changed = self.keepers_changed.notified();
            tokio::pin!(changed);
            // Registered before the search, so that a change between the two is not missed.
            changed.as_mut().enable();
            let Some(address) = self.reserve_keeper() else {
                changed.await;
                continue;
            };
            if let Some((link, first_update_received)) = self.connect(address).await {
                self.follow(address, &link, first_update_received).await;
            }
            self.lock().slots.retain(|slot| slot.keeper != address);
            self.sink.handle_connection_change(self.is_connected());
            self.keepers_changed.notify_waiters();
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Reserves the next keeper, in round-robin order, that has no subscription.
    fn reserve_keeper(&self) -> Option<SocketAddr> {
        let mut candidates = self.keepers();
        let mut keepers = self.lock();
        if !keepers.slots.iter().any(KeeperSlot::is_live) {
            let unknown = keepers.discovered.iter().filter(|discovered| !candidates.contains(discovered));
            let unknown: Vec<SocketAddr> = unknown.copied().collect();
            candidates.extend(unknown);
        }
        let is_free = |address: &SocketAddr| keepers.slots.iter().all(|slot| slot.keeper != *address);
        if keepers.is_suspended {
            return None;
        }
        let start = keepers.next_candidate;
        let order = (0..candidates.len()).map(|offset| candidates[(start + offset) % candidates.len()]);
        let keeper = order.into_iter().find(is_free)?;
        keepers.next_candidate = start.wrapping_add(1);
        keepers.slots.push(KeeperSlot { keeper, link: None, has_replied: false });
        Some(keeper)
    }

    /// Waits for the keeper's first update and then for the closing of the link.
    async fn follow(&self, address: SocketAddr, link: &Link, first_update_received: oneshot::Receiver<()>) {
        if !matches!(timeout(FIRST_UPDATE_TIMEOUT, first_update_received).await, Ok(Ok(()))) {
            return link.close();
        }
        if let Some(slot) = self.lock().slots.iter_mut().find(|slot| slot.keeper == address) {
            slot.has_replied = true;
        }
        self.sink.handle_connection_change(self.is_connected());
        link.wait_closed().await;
    }

    async fn connect(self: &Arc<Self>, address: SocketAddr) -> Option<(Link, oneshot::Receiver<()>)> {
        let stream = connect(address).await?;
        let (first_update, first_update_received) = oneshot::channel();
        let handler = Subscription {
            subscriber: Arc::clone(self),
            first_update: Mutex::new(Some(first_update)),
            highest_instances_revision: Mutex::new(0),
        };
        let link = Link::start(stream, true, Arc::new(handler)).ok()?;
        let mut subscribe = self.subscribe.clone();
        subscribe.configuration = self.sink.configuration_version();
        link.send(Message::Subscribe(subscribe));
        let mut keepers = self.lock();
        if keepers.is_suspended {
            link.close();
        }
        let slot = keepers.slots.iter_mut().find(|slot| slot.keeper == address)?;
        slot.link = Some(link.clone());
        Some((link, first_update_received))
    }

    fn lock(&self) -> MutexGuard<'_, Keepers> {
        lock(&self.keepers)
    }
}

/// Handler of the messages of one subscription.
struct Subscription {
    subscriber: Arc<Subscriber>,
    /// Notified of the first update.
    first_update: Mutex<Option<oneshot::Sender<()>>>,
    /// The highest revision of instances applied from this keeper.
    highest_instances_revision: Mutex<u64>,
}

impl MessageHandler for Subscription {
    fn handle_message(&self, link: &Link, message: Message, _: ReplySender) {
        let Message::Update(update) = message else { return };
        let first_update = lock(&self.first_update).take();
        if let Some(first_update) = first_update {
            // Fails if the wait for the first update has timed out.
            let _ = first_update.send(());
        }
        match update {
            Update::Keepers(announced) => {
                self.subscriber.lock().handle_announced(announced, link);
                self.subscriber.keepers_changed.notify_waiters();
            }
            update => {
                let revision = match &update {
                    Update::Instances(instances) => Some(instances.revision),
                    _ => None,
                };
                self.subscriber.sink.apply(update);
                let mut highest = lock(&self.highest_instances_revision);
                *highest = (*highest).max(revision.unwrap_or(0));
                let mut applied = self.subscriber.sink.applied_versions();
                applied.instances = *highest;
                link.send(Message::Applied(applied));
            }
        }
    }
}
