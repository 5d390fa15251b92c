//! A subscriber that records what it is told and confirms it at once.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use juniperwing_node::link::{Link, ReplySender, Service};
use juniperwing_protocol::registry::InstanceState;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{
    AppliedVersions, CaughtUp, StoreMap, Subscribe, SubscriberKind, Update,
};
use juniperwing_protocol::{DiskId, Message, NodeName, PartitionId};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::TEST_TIMEOUT;

#[derive(Default)]
struct ObservedState {
    configuration: Option<String>,
    /// All updates ever told.
    updates: usize,
    /// All configurations ever told.
    configurations: Vec<String>,
    instances: BTreeMap<String, InstanceState>,
    stores: Arc<StoreMap>,
    applied: AppliedVersions,
    link: Option<Link>,
}

#[derive(Default)]
struct Recorder {
    /// Whether it confirms nothing.
    is_stuck: bool,
    observed: Mutex<ObservedState>,
    changed: Notify,
}

/// A subscription to one keeper; it comes up again when its link breaks.
pub struct Observer {
    recorder: Arc<Recorder>,
    subscription: tokio::task::JoinHandle<()>,
}

/// The machine that a subscriber says it is on.
pub fn node_name(subscriber: &SubscriberKind) -> String {
    match subscriber {
        SubscriberKind::Relay => "edge-1".to_owned(),
        SubscriberKind::Store { disk } => format!("store-{disk}"),
    }
}

impl Service for Recorder {
    fn handle_message(&self, link: &Link, message: Message, _: ReplySender) {
        let Message::Update(update) = message else { return };
        let mut seen = self.observed.lock().unwrap();
        seen.updates += 1;
        match update {
            Update::Keepers(_) => {}
            Update::Configuration { version, body } => {
                assert!(version >= seen.applied.configuration, "a configuration never goes back");
                seen.applied.configuration = version;
                let told = String::from_utf8(body.to_vec()).unwrap();
                seen.configurations.push(told.clone());
                seen.configuration = Some(told);
            }
            Update::Instances(update) => {
                seen.applied.instances = update.revision;
                let instances = update.instances.iter();
                seen.instances.extend(instances.map(|told| (told.id.0.to_string(), told.state)));
            }
            Update::Stores(map) => {
                assert!(map.version >= seen.applied.stores, "the store map never goes back");
                seen.applied.stores = map.version;
                seen.stores = map;
            }
        }
        if !self.is_stuck {
            link.send(Message::Applied(seen.applied.clone()));
        }
        drop(seen);
        self.changed.notify_waiters();
    }
}

async fn keep_subscribed(address: SocketAddr, subscribe: Subscribe, recorder: Arc<Recorder>) {
    loop {
        let Ok(stream) = TcpStream::connect(address).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let link = Link::start(stream, true, recorder.clone()).unwrap();
        link.send(Message::Subscribe(subscribe.clone()));
        recorder.observed.lock().unwrap().link = Some(link.clone());
        recorder.changed.notify_waiters();
        link.wait_closed().await;
    }
}

impl Observer {
    /// Subscribes to the keeper at `address`.
    pub fn subscribe(address: SocketAddr, subscriber: SubscriberKind) -> Self {
        Self::start(address, subscriber, Recorder::default())
    }

    /// Subscribes as a relay that takes updates and never says that it has applied one.
    pub fn subscribe_stuck(address: SocketAddr) -> Self {
        Self::start(address, SubscriberKind::Relay, Recorder { is_stuck: true, ..Recorder::default() })
    }

    fn start(address: SocketAddr, subscriber: SubscriberKind, recorder: Recorder) -> Self {
        let recorder = Arc::new(recorder);
        let subscribe = Subscribe {
            node: NodeName::from(node_name(&subscriber).as_str()),
            zone: "a".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            subscriber,
            configuration: Version::default(),
        };
        let subscription = tokio::spawn(keep_subscribed(address, subscribe, Arc::clone(&recorder)));
        Observer { recorder, subscription }
    }

    /// Ends the subscription.
    pub fn close(self) {
        self.subscription.abort();
        if let Some(link) = &self.recorder.observed.lock().unwrap().link {
            link.close();
        }
    }

    /// Whether this configuration was the last that it was told.
    pub fn has_configuration(&self, body: &str) -> bool {
        self.recorder.observed.lock().unwrap().configuration.as_deref() == Some(body)
    }

    /// How many updates it was told.
    pub fn updates(&self) -> usize {
        self.recorder.observed.lock().unwrap().updates
    }

    /// All configurations that it was told, in their order.
    pub fn configurations(&self) -> Vec<String> {
        self.recorder.observed.lock().unwrap().configurations.clone()
    }

    /// Waits until it has a link to the keeper, over which it subscribes.
    pub async fn until_subscribed(&self) {
        self.wait_for(|seen| seen.link.as_ref().map(|_| ())).await;
    }

    /// Waits until it is told anything.
    pub async fn until_updated(&self) {
        self.wait_for(|seen| (seen.updates > 0).then_some(())).await;
    }

    /// What it was told last of an instance.
    pub fn instance_state(&self, id: &str) -> Option<InstanceState> {
        self.recorder.observed.lock().unwrap().instances.get(id).copied()
    }

    /// Waits until it is told a configuration.
    pub async fn until_configuration(&mut self, body: &str) {
        self.wait_for(|seen| (seen.configuration.as_deref() == Some(body)).then_some(())).await;
    }

    /// Waits until it is told that an instance is in this state.
    pub async fn until_instance(&mut self, id: &str, state: InstanceState) {
        self.wait_for(|seen| (seen.instances.get(id) == Some(&state)).then_some(())).await;
    }

    /// Waits until it is told a store map that satisfies a condition.
    pub async fn until_stores(&mut self, condition: impl Fn(&StoreMap) -> bool) -> Arc<StoreMap> {
        self.wait_for(|seen| condition(&seen.stores).then(|| Arc::clone(&seen.stores))).await
    }

    /// Reports, as the primary of all partitions, that a joining store has caught up in each of them.
    pub fn report_caught_up(&self, map: &StoreMap, replica: DiskId) {
        let mut applied = self.recorder.observed.lock().unwrap().applied.clone();
        let partitions = (0..).map(PartitionId).zip(&map.partitions);
        applied.caught_up = partitions
            .map(|(partition, assignment)| CaughtUp { partition, epoch: assignment.epoch, replica })
            .collect();
        let seen = self.recorder.observed.lock().unwrap();
        seen.link.as_ref().expect("a link").send(Message::Applied(applied));
    }

    /// Waits until each partition has so many replicas in sync; reports those that join as caught up.
    pub async fn until_in_sync(&mut self, count: usize) -> Arc<StoreMap> {
        let mut reported = 0;
        loop {
            let settled = |map: &StoreMap| {
                !map.partitions.is_empty() && map.partitions.iter().all(|held| held.in_sync.len() == count)
            };
            let joining = |map: &StoreMap| map.partitions.iter().any(|held| !held.joining.is_empty());
            let news = |map: &StoreMap| map.version > reported && joining(map);
            let map = self.until_stores(|map| settled(map) || news(map)).await;
            if settled(&map) {
                return map;
            }
            self.report_all_caught_up(&map);
            reported = map.version;
        }
    }

    fn report_all_caught_up(&self, map: &StoreMap) {
        let joining: BTreeSet<DiskId> =
            map.partitions.iter().flat_map(|held| held.joining.iter().copied()).collect();
        joining.into_iter().for_each(|replica| self.report_caught_up(map, replica));
    }

    async fn wait_for<T>(&self, condition: impl Fn(&ObservedState) -> Option<T>) -> T {
        let met = async {
            loop {
                let news = self.recorder.changed.notified();
                tokio::pin!(news);
                news.as_mut().enable();
                if let Some(met) = condition(&self.recorder.observed.lock().unwrap()) {
                    return met;
                }
                news.await;
            }
        };
        timeout(TEST_TIMEOUT, met).await.expect("the keeper tells of it")
    }
}
