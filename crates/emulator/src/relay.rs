//! A relay as keepers see it: the real subscriber, and a sink that records what it applies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use juniperwing_node::clock;
use juniperwing_node::subscriber::{Subscriber, UpdateSink};
use juniperwing_node::sync::{lock, watch};
use juniperwing_protocol::NodeName;
use juniperwing_protocol::registry::Instance;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{AppliedVersions, Subscribe, SubscriberKind, Update};

use crate::history::{Event, History};
use crate::operators::order_in_body;
use crate::scenario::ProcessId;

/// The state that a relay has applied.
#[derive(Default)]
struct AppliedState {
    configuration: Version,
    instances: BTreeMap<String, Instance>,
    stores: u64,
}

/// Applies updates as a relay does and records the changes.
struct Recorder {
    relay: usize,
    history: History,
    applied: Mutex<AppliedState>,
}

/// What a relay starts with.
pub struct RelaySetup {
    /// Its number, from 1.
    pub number: usize,
    /// Its internal address.
    pub address: SocketAddr,
    /// The addresses at which keepers listen for relays.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// How many keepers it subscribes to: one more than may be lost.
    pub subscriptions: usize,
    /// Where it records what it applies.
    pub history: History,
}

/// Runs the relay until its machine is killed.
pub async fn run(setup: RelaySetup) {
    let RelaySetup { number: relay, address, mut seeds, subscriptions, history } = setup;
    history.record(clock::now(), Event::ProcessStarted { process: ProcessId::relay(relay) });
    let recorder = Recorder { relay, history, applied: Mutex::default() };
    let subscribe = Subscribe {
        node: NodeName::from(format!("edge-{relay}").as_str()),
        zone: "a".into(),
        address,
        subscriber: SubscriberKind::Relay,
        configuration: Version::default(),
    };
    let first = seeds.borrow_and_update().clone();
    let subscriber = Subscriber::start(subscribe, first, subscriptions, Arc::new(recorder));
    while seeds.changed().await.is_ok() {
        let changed = seeds.borrow_and_update().clone();
        subscriber.set_seeds(changed);
    }
}

impl Recorder {
    fn record(&self, event: Event) {
        self.history.record(clock::now(), event);
    }

    fn apply_instance(&self, applied: &mut AppliedState, instance: Instance) {
        let id = instance.id.0.to_string();
        if applied.instances.get(&id).is_some_and(|known| !instance.supersedes(known)) {
            return;
        }
        let is_changed = applied.instances.get(&id).is_none_or(|known| known.state != instance.state);
        let state = instance.state;
        applied.instances.insert(id.clone(), instance);
        if is_changed {
            self.record(Event::RelayInstanceApplied { relay: self.relay, id, state });
        }
    }
}

impl UpdateSink for Recorder {
    fn apply(&self, update: Update) {
        let mut applied = lock(&self.applied);
        match update {
            Update::Configuration { version, body } if version > applied.configuration => {
                applied.configuration = version;
                let order = order_in_body(&body);
                self.record(Event::RelayConfigurationApplied { relay: self.relay, order });
            }
            Update::Instances(update) => {
                for instance in update.instances {
                    self.apply_instance(&mut applied, instance);
                }
            }
            Update::Stores(map) => applied.stores = applied.stores.max(map.version),
            Update::Configuration { .. } | Update::Keepers(_) => {}
        }
    }

    fn applied_versions(&self) -> AppliedVersions {
        let applied = lock(&self.applied);
        AppliedVersions {
            configuration: applied.configuration,
            stores: applied.stores,
            ..AppliedVersions::default()
        }
    }

    fn configuration_version(&self) -> Version {
        lock(&self.applied).configuration
    }
}
