//! A simulated relay: the real subscriber, with a sink that records the updates that it applies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use juniperwing_node::clock;
use juniperwing_node::link::{Link, LinkPool, MessageHandler, ReplySender};
use juniperwing_node::sessions_client::SessionsClient;
use juniperwing_node::subscriber::{Subscriber, UpdateSink};
use juniperwing_node::sync::{lock, watch};
use juniperwing_protocol::registry::Instance;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{AppliedVersions, StoreMap, Subscribe, SubscriberKind, Update};
use juniperwing_protocol::{Message, NodeName};

use crate::history::{Event, History};
use crate::operators::order_in_body;
use crate::programs::{ProgramPool, run_workers};
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
    /// Passes the newest store map to the client of the stores.
    store_maps: watch::Sender<Arc<StoreMap>>,
}

/// Handles no messages: stores reply to calls only.
struct IgnoreMessages;

impl MessageHandler for IgnoreMessages {
    fn handle_message(&self, _: &Link, _: Message, _: ReplySender) {}
}

/// The parameters of a relay.
pub struct RelaySetup {
    /// Its number, from 1.
    pub number: usize,
    /// Its internal address.
    pub address: SocketAddr,
    /// The addresses at which keepers listen for relays.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// How many keepers it subscribes to: one more than may fail.
    pub subscriptions: usize,
    /// Where it records the changes that it applies.
    pub history: History,
    /// The programs whose turns it runs; `None` if there are no stores.
    pub programs: Option<ProgramPool>,
}

/// Runs the relay until its machine is killed.
pub async fn run(setup: RelaySetup) {
    let RelaySetup { number: relay, address, mut seeds, subscriptions, history, programs } = setup;
    history.record(clock::now(), Event::ProcessStarted { process: ProcessId::relay(relay) });
    let (store_maps, known_stores) = watch::channel(Arc::default());
    let recorder = Recorder { relay, history, applied: Mutex::default(), store_maps };
    let subscribe = Subscribe {
        node: NodeName::from(format!("edge-{relay}").as_str()),
        zone: "a".into(),
        address,
        subscriber: SubscriberKind::Relay,
        configuration: Version::default(),
    };
    let initial_seeds = seeds.borrow_and_update().clone();
    let subscriber = Subscriber::start(subscribe, initial_seeds, subscriptions, Arc::new(recorder));
    if let Some(pool) = programs {
        let client = SessionsClient::new(Arc::new(LinkPool::new(Arc::new(IgnoreMessages))), known_stores);
        let started_at = clock::now();
        tokio::spawn(async move { run_workers(&pool, &client, relay, started_at).await });
    }
    while seeds.changed().await.is_ok() {
        let new_seeds = seeds.borrow_and_update().clone();
        subscriber.set_seeds(new_seeds);
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
            Update::Stores(map) if map.version > applied.stores => {
                applied.stores = map.version;
                self.store_maps.send_replace(map);
            }
            Update::Configuration { .. } | Update::Stores(_) | Update::Keepers(_) => {}
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
