//! Subscriptions of a relay or a store to keepers.
//!
//! A subscriber keeps links to several keepers, more than may be lost at once, so that it need not wait for a
//! time-out when one of them dies. What they tell is handed to a [`Sink`], which merges it by version.
//!
//! A keeper answers a subscription with its first update, once a majority of the keepers has confirmed that it is
//! current. One that does not answer in time is left for another; what was told before stays.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniperwing_protocol::Message;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{AppliedVersions, Subscribe, Update};
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::link::{Link, ReplySender, Service, connect};
use crate::panics::spawn_essential;
use crate::sync::lock;

/// The pause before the next keeper is tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a keeper may take for the first update. Keepers that choose a new primary need up to a second.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Where updates go.
pub trait UpdateSink: Send + Sync + 'static {
    /// Applies an update; it may be older than what is held already.
    fn apply(&self, update: Update);

    /// What is applied. `instances` is filled in by the subscription.
    fn applied_versions(&self) -> AppliedVersions;

    /// The configuration held; it is not sent again.
    fn configuration_version(&self) -> Version;

    /// Whether a keeper that has answered is subscribed to, after that may have changed. What was told may be out
    /// of date while none is.
    fn handle_connection_change(&self, is_connected: bool) {
        let _ = is_connected;
    }
}

/// The subscriptions of one process.
pub struct Subscriber {
    subscribe: Subscribe,
    sink: Arc<dyn UpdateSink>,
    keepers: Mutex<Keepers>,
    /// Told when there may be a keeper to subscribe to where there was none.
    keepers_changed: Notify,
}

#[derive(Default)]
struct Keepers {
    /// From the settings; they may be out of date.
    seeds: Vec<SocketAddr>,
    /// From the keepers themselves.
    announced: Vec<SocketAddr>,
    /// From the membership. They need not be voters, so they are asked only while there is no subscription.
    discovered: Vec<SocketAddr>,
    slots: Vec<KeeperSlot>,
    next_candidate: usize,
    is_suspended: bool,
}

/// A keeper that is subscribed to, or about to be.
struct KeeperSlot {
    keeper: SocketAddr,
    link: Option<Link>,
    /// Whether the keeper has answered.
    has_replied: bool,
}

impl KeeperSlot {
    fn is_live(&self) -> bool {
        self.has_replied && self.link.as_ref().is_some_and(|link| !link.is_closed())
    }
}

impl Keepers {
    /// Takes the list that was told over `link`. Keepers that are not in it hear of no change any more; one that is
    /// cut off does not know that, so its subscription is ended here.
    fn handle_announced(&mut self, told: Vec<SocketAddr>, link: &Link) {
        let others = self.slots.iter().filter(|place| !told.contains(&place.keeper));
        let dropped = others.filter_map(|place| place.link.as_ref()).filter(|held| held.id() != link.id());
        dropped.for_each(Link::close);
        self.announced = told;
    }
}

impl Subscriber {
    /// Subscribes to `wanted` keepers at a time, found through the seeds, until the process ends.
    pub fn start(
        subscribe: Subscribe, seeds: Vec<SocketAddr>, wanted: usize, sink: Arc<dyn UpdateSink>,
    ) -> Arc<Subscriber> {
        let next = crate::clock::random() as usize % seeds.len().max(1);
        let keepers = Mutex::new(Keepers { seeds, next_candidate: next, ..Keepers::default() });
        let subscriber = Arc::new(Subscriber { subscribe, sink, keepers, keepers_changed: Notify::new() });
        for _ in 0..wanted {
            spawn_essential("subscription", Arc::clone(&subscriber).maintain_subscription());
        }
        subscriber
    }

    /// Takes other seeds, from settings that have changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.lock().seeds = seeds;
        self.keepers_changed.notify_waiters();
    }

    /// Takes the keepers that the membership holds to be alive. They are asked while no subscription stands.
    pub fn set_discovered(&self, found: Vec<SocketAddr>) {
        self.lock().discovered = found;
        self.keepers_changed.notify_waiters();
    }

    /// Ends all subscriptions and begins none, or begins them again. The keepers take a process that does not
    /// subscribe for lost.
    pub fn set_suspended(&self, suspended: bool) {
        let mut keepers = self.lock();
        keepers.is_suspended = suspended;
        if suspended {
            keepers.slots.iter().filter_map(|place| place.link.as_ref()).for_each(Link::close);
        }
        drop(keepers);
        self.keepers_changed.notify_waiters();
    }

    /// Keepers that may be asked, those told by keepers first.
    pub fn keepers(&self) -> Vec<SocketAddr> {
        let keepers = self.lock();
        let mut all = keepers.announced.clone();
        all.extend(keepers.seeds.iter().filter(|seed| !keepers.announced.contains(seed)));
        all
    }

    /// Tells every keeper subscribed to what is applied now, for instance after an update took some time.
    pub fn send_applied_versions(&self) {
        let links: Vec<Link> = self.lock().slots.iter().filter_map(|place| place.link.clone()).collect();
        let applied = self.sink.applied_versions();
        for link in links {
            link.send(Message::Applied(applied.clone()));
        }
    }

    /// Whether a keeper has answered a subscription that stands.
    pub fn is_connected(&self) -> bool {
        self.lock().slots.iter().any(KeeperSlot::is_live)
    }

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
            if let Some((link, answered)) = self.connect(address).await {
                self.follow(address, &link, answered).await;
            }
            self.lock().slots.retain(|place| place.keeper != address);
            self.sink.handle_connection_change(self.is_connected());
            self.keepers_changed.notify_waiters();
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// The next keeper in turn to which there is no subscription.
    fn reserve_keeper(&self) -> Option<SocketAddr> {
        let mut candidates = self.keepers();
        let mut keepers = self.lock();
        if !keepers.slots.iter().any(KeeperSlot::is_live) {
            let unknown = keepers.discovered.iter().filter(|found| !candidates.contains(found));
            let unknown: Vec<SocketAddr> = unknown.copied().collect();
            candidates.extend(unknown);
        }
        let free = |address: &SocketAddr| keepers.slots.iter().all(|place| place.keeper != *address);
        if keepers.is_suspended {
            return None;
        }
        let turn = keepers.next_candidate;
        let order = (0..candidates.len()).map(|offset| candidates[(turn + offset) % candidates.len()]);
        let chosen = order.into_iter().find(free)?;
        keepers.next_candidate = turn.wrapping_add(1);
        keepers.slots.push(KeeperSlot { keeper: chosen, link: None, has_replied: false });
        Some(chosen)
    }

    /// Waits for the keeper's answer, and then for the end of the link.
    async fn follow(&self, address: SocketAddr, link: &Link, answered: oneshot::Receiver<()>) {
        if !matches!(timeout(FIRST_UPDATE_TIMEOUT, answered).await, Ok(Ok(()))) {
            return link.close();
        }
        if let Some(place) = self.lock().slots.iter_mut().find(|place| place.keeper == address) {
            place.has_replied = true;
        }
        self.sink.handle_connection_change(self.is_connected());
        link.wait_closed().await;
    }

    async fn connect(self: &Arc<Self>, address: SocketAddr) -> Option<(Link, oneshot::Receiver<()>)> {
        let stream = connect(address).await?;
        let (first_update, answered) = oneshot::channel();
        let service = Subscription {
            subscriber: Arc::clone(self),
            first_update: Mutex::new(Some(first_update)),
            highest_instances_revision: Mutex::new(0),
        };
        let link = Link::start(stream, true, Arc::new(service)).ok()?;
        let mut subscribe = self.subscribe.clone();
        subscribe.configuration = self.sink.configuration_version();
        link.send(Message::Subscribe(subscribe));
        let mut keepers = self.lock();
        if keepers.is_suspended {
            link.close();
        }
        let place = keepers.slots.iter_mut().find(|place| place.keeper == address)?;
        place.link = Some(link.clone());
        Some((link, answered))
    }

    fn lock(&self) -> MutexGuard<'_, Keepers> {
        lock(&self.keepers)
    }
}

/// One subscription.
struct Subscription {
    subscriber: Arc<Subscriber>,
    /// Told by the first update.
    first_update: Mutex<Option<oneshot::Sender<()>>>,
    /// The highest revision of instances applied from this keeper.
    highest_instances_revision: Mutex<u64>,
}

impl Service for Subscription {
    fn handle_message(&self, link: &Link, handle_message: Message, _: ReplySender) {
        let Message::Update(update) = handle_message else { return };
        let first_update = lock(&self.first_update).take();
        if let Some(first_update) = first_update {
            // Nobody waits any more where the answer came too late.
            let _ = first_update.send(());
        }
        match update {
            Update::Keepers(told) => {
                self.subscriber.lock().handle_announced(told, link);
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
