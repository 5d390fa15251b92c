//! A relay as keepers see it: the real subscriptions, and a record of what they bring into force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use juniperwing_node::clock;
use juniperwing_node::subscriber::{Subscriber, UpdateSink};
use juniperwing_node::sync::lock;
use juniperwing_protocol::NodeName;
use juniperwing_protocol::registry::Instance;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{AppliedVersions, Subscribe, Update};
use tokio::sync::watch;

use crate::history::{History, Seen};
use crate::operators::order_of;

/// Subscriptions at a time, as a relay keeps them where one machine may be lost.
const SUBSCRIPTIONS: usize = 2;

#[derive(Default)]
struct Held {
    configuration: Version,
    instances: BTreeMap<String, Instance>,
    stores: u64,
}

/// Holds what a relay would and records it.
struct Recorder {
    relay: usize,
    history: History,
    held: Mutex<Held>,
}

/// Subscribes until the machine is killed.
pub async fn run(
    relay: usize, address: SocketAddr, mut seeds: watch::Receiver<Vec<SocketAddr>>, history: History,
) {
    history.add(clock::now(), Seen::RelayStarted { relay });
    let recorder = Recorder { relay, history, held: Mutex::default() };
    let subscribe = Subscribe {
        node: NodeName::from(format!("edge-{relay}").as_str()),
        zone: "a".into(),
        address,
        subscriber: juniperwing_protocol::subscription::SubscriberKind::Relay,
        configuration: Version::default(),
    };
    let first = seeds.borrow_and_update().clone();
    let subscriber = Subscriber::start(subscribe, first, SUBSCRIPTIONS, Arc::new(recorder));
    while seeds.changed().await.is_ok() {
        let changed = seeds.borrow_and_update().clone();
        subscriber.set_seeds(changed);
    }
}

impl Recorder {
    fn record(&self, seen: Seen) {
        self.history.add(clock::now(), seen);
    }

    fn apply_instance(&self, held: &mut Held, instance: Instance) {
        let id = instance.id.0.to_string();
        if held.instances.get(&id).is_some_and(|known| !instance.supersedes(known)) {
            return;
        }
        let changes = held.instances.get(&id).is_none_or(|known| known.state != instance.state);
        let state = instance.state;
        held.instances.insert(id.clone(), instance);
        if changes {
            self.record(Seen::RelayInstance { relay: self.relay, id, state });
        }
    }
}

impl UpdateSink for Recorder {
    fn apply(&self, update: Update) {
        let mut held = lock(&self.held);
        match update {
            Update::Configuration { version, body } if version > held.configuration => {
                held.configuration = version;
                let order = order_of(&body);
                self.record(Seen::RelayConfiguration { relay: self.relay, order });
            }
            Update::Instances(update) => {
                for instance in update.instances {
                    self.apply_instance(&mut held, instance);
                }
            }
            Update::Stores(map) => held.stores = held.stores.max(map.version),
            Update::Configuration { .. } | Update::Keepers(_) => {}
        }
    }

    fn applied_versions(&self) -> AppliedVersions {
        let held = lock(&self.held);
        AppliedVersions {
            configuration: held.configuration,
            stores: held.stores,
            ..AppliedVersions::default()
        }
    }

    fn configuration_version(&self) -> Version {
        lock(&self.held).configuration
    }
}
