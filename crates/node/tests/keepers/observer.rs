//! A subscriber that records all updates and, by default, confirms them at once.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use juniperwing_node::link::{Link, MessageHandler, ReplySender};
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

/// What a subscriber has received.
#[derive(Default)]
struct ObservedState {
    configuration: Option<String>,
    /// The number of updates received.
    updates: usize,
    /// All configurations received, in order.
    configurations: Vec<String>,
    instances: BTreeMap<String, InstanceState>,
    stores: Arc<StoreMap>,
    applied: AppliedVersions,
    link: Option<Link>,
}

#[derive(Default)]
struct Recorder {
    /// Whether it never confirms updates.
    never_confirms: bool,
    observed: Mutex<ObservedState>,
    changed: Notify,
}

/// A subscription to one keeper; it is renewed when its link closes.
pub struct Observer {
    recorder: Arc<Recorder>,
    subscription: tokio::task::JoinHandle<()>,
}

/// The node name of a subscriber.
pub fn node_name(subscriber: &SubscriberKind) -> String {
    match subscriber {
        SubscriberKind::Relay => "edge-1".to_owned(),
        SubscriberKind::Store { disk } => format!("store-{disk}"),
    }
}

impl MessageHandler for Recorder {
    fn handle_message(&self, link: &Link, message: Message, _: ReplySender) {
        let Message::Update(update) = message else { return };
        let mut observed = self.observed.lock().unwrap();
        observed.updates += 1;
        match update {
            Update::Keepers(_) => {}
            Update::Configuration { version, body } => {
                assert!(
                    version >= observed.applied.configuration,
                    "the configuration version never decreases"
                );
                observed.applied.configuration = version;
                let text = String::from_utf8(body.to_vec()).unwrap();
                observed.configurations.push(text.clone());
                observed.configuration = Some(text);
            }
            Update::Instances(update) => {
                observed.applied.instances = update.revision;
                let instances = update.instances.iter();
                observed
                    .instances
                    .extend(instances.map(|instance| (instance.id.0.to_string(), instance.state)));
            }
            Update::Stores(map) => {
                assert!(map.version >= observed.applied.stores, "the store map version never decreases");
                observed.applied.stores = map.version;
                observed.stores = map;
            }
        }
        if !self.never_confirms {
            link.send(Message::Applied(observed.applied.clone()));
        }
        drop(observed);
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

    /// Subscribes as a relay that receives updates and never confirms them.
    pub fn subscribe_without_confirming(address: SocketAddr) -> Self {
        Self::start(address, SubscriberKind::Relay, Recorder { never_confirms: true, ..Recorder::default() })
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

    /// Whether this configuration was the last one received.
    pub fn has_configuration(&self, body: &str) -> bool {
        self.recorder.observed.lock().unwrap().configuration.as_deref() == Some(body)
    }

    /// The number of updates received.
    pub fn updates(&self) -> usize {
        self.recorder.observed.lock().unwrap().updates
    }

    /// All configurations received, in order.
    pub fn configurations(&self) -> Vec<String> {
        self.recorder.observed.lock().unwrap().configurations.clone()
    }

    /// Waits until it has a link to the keeper and has subscribed.
    pub async fn wait_until_subscribed(&self) {
        self.wait_for(|observed| observed.link.as_ref().map(|_| ())).await;
    }

    /// Waits for the first update.
    pub async fn wait_for_update(&self) {
        self.wait_for(|observed| (observed.updates > 0).then_some(())).await;
    }

    /// The last received state of an instance.
    pub fn instance_state(&self, id: &str) -> Option<InstanceState> {
        self.recorder.observed.lock().unwrap().instances.get(id).copied()
    }

    /// Waits until it receives a configuration.
    pub async fn wait_for_configuration(&mut self, body: &str) {
        self.wait_for(|observed| (observed.configuration.as_deref() == Some(body)).then_some(())).await;
    }

    /// Waits until it receives this state of an instance.
    pub async fn wait_for_instance(&mut self, id: &str, state: InstanceState) {
        self.wait_for(|observed| (observed.instances.get(id) == Some(&state)).then_some(())).await;
    }

    /// Waits until it receives a store map that satisfies a condition.
    pub async fn wait_for_store_map(&mut self, condition: impl Fn(&StoreMap) -> bool) -> Arc<StoreMap> {
        self.wait_for(|observed| condition(&observed.stores).then(|| Arc::clone(&observed.stores))).await
    }

    /// Reports, as the primary of all partitions, that a joining store has caught up in each of them.
    pub fn report_caught_up(&self, map: &StoreMap, replica: DiskId) {
        let mut applied = self.recorder.observed.lock().unwrap().applied.clone();
        let partitions = (0..).map(PartitionId).zip(&map.partitions);
        applied.caught_up = partitions
            .map(|(partition, assignment)| CaughtUp { partition, epoch: assignment.epoch, replica })
            .collect();
        let observed = self.recorder.observed.lock().unwrap();
        observed.link.as_ref().expect("a link").send(Message::Applied(applied));
    }

    /// Waits until each partition has `count` replicas in sync; reports joining ones as caught up.
    pub async fn wait_until_in_sync(&mut self, count: usize) -> Arc<StoreMap> {
        let mut reported = 0;
        loop {
            let is_settled = |map: &StoreMap| {
                !map.partitions.is_empty()
                    && map.partitions.iter().all(|assignment| assignment.in_sync.len() == count)
            };
            let has_joining =
                |map: &StoreMap| map.partitions.iter().any(|assignment| !assignment.joining.is_empty());
            let is_unreported = |map: &StoreMap| map.version > reported && has_joining(map);
            let map = self.wait_for_store_map(|map| is_settled(map) || is_unreported(map)).await;
            if is_settled(&map) {
                return map;
            }
            self.report_all_caught_up(&map);
            reported = map.version;
        }
    }

    fn report_all_caught_up(&self, map: &StoreMap) {
        let joining: BTreeSet<DiskId> =
            map.partitions.iter().flat_map(|assignment| assignment.joining.iter().copied()).collect();
        joining.into_iter().for_each(|replica| self.report_caught_up(map, replica));
    }

    async fn wait_for<T>(&self, condition: impl Fn(&ObservedState) -> Option<T>) -> T {
        let met = async {
            loop {
                let changed = self.recorder.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if let Some(met) = condition(&self.recorder.observed.lock().unwrap()) {
                    return met;
                }
                changed.await;
            }
        };
        timeout(TEST_TIMEOUT, met).await.expect("the expected update")
    }
}
