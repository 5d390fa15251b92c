//! Hollow relays: each subscribes to keepers, counts what it is told and confirms it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_node::subscriber::{Sink, Subscriber};
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{Applied, StoreMap, Subscribe, Subscriber as Kind, Update};
use juniperwing_protocol::{CallId, Envelope, Message, NodeName};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::load::Load;
use crate::report::Tally;
use juniperwing_node::sync::lock;

/// Keepers that a relay subscribes to.
pub const SUBSCRIPTIONS: usize = 2;

/// What a hollow relay holds: versions, and the store map for those that need it.
pub struct CountingSink {
    applied: Mutex<Applied>,
    stores: watch::Sender<Arc<StoreMap>>,
    tally: Arc<Tally>,
}

impl CountingSink {
    /// A sink that counts updates and their encoded bytes.
    pub fn new(tally: Arc<Tally>) -> CountingSink {
        let stores = watch::Sender::new(Arc::new(StoreMap::default()));
        CountingSink { applied: Mutex::default(), stores, tally }
    }

    /// The newest store map.
    pub fn stores(&self) -> watch::Receiver<Arc<StoreMap>> {
        self.stores.subscribe()
    }

    fn take_stores(&self, map: Arc<StoreMap>) {
        self.stores.send_if_modified(|held| {
            let newer = map.version > held.version;
            if newer {
                *held = map;
            }
            newer
        });
    }
}

impl Sink for CountingSink {
    fn apply(&self, update: Update) {
        self.tally.done(Duration::ZERO, encoded_bytes(&update));
        let mut applied = lock(&self.applied);
        match update {
            Update::Configuration { version, .. } => {
                applied.configuration = applied.configuration.max(version);
            }
            Update::Stores(map) => {
                applied.stores = applied.stores.max(map.version);
                self.take_stores(map);
            }
            Update::Instances(_) | Update::Keepers(_) => {}
        }
    }

    fn applied(&self) -> Applied {
        lock(&self.applied).clone()
    }

    fn configuration(&self) -> Version {
        self.applied().configuration
    }
}

/// The bytes that an update takes on a link; 0 for one that is too large to be sent.
pub fn encoded_bytes(update: &Update) -> usize {
    let message = Message::Update(update.clone());
    let envelope = Envelope { call: CallId(0), answer: false, message };
    envelope.encode().map_or(0, |bytes| bytes.len())
}

/// Starts the subscriptions of one hollow relay.
pub fn subscribe(number: u64, keepers: Vec<SocketAddr>, sink: Arc<CountingSink>) -> Arc<Subscriber> {
    let subscribe = Subscribe {
        node: NodeName::from(format!("hollow-{}-{number}", std::process::id()).as_str()),
        zone: "zone-0".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        subscriber: Kind::Relay,
        configuration: Version::default(),
    };
    Subscriber::start(subscribe, keepers, SUBSCRIPTIONS, sink)
}

/// Runs the relays until the time is over.
pub async fn run(load: &Load) {
    let tally = Arc::new(Tally::new("updates"));
    let relays: Vec<Arc<Subscriber>> = (0..load.count)
        .map(|number| {
            subscribe(number, load.keepers.clone(), Arc::new(CountingSink::new(Arc::clone(&tally))))
        })
        .collect();
    eprintln!("{} relays for {} s", load.count, load.duration.as_secs());
    sleep(load.duration).await;
    let connected = relays.iter().filter(|relay| relay.is_connected()).count();
    println!("{{\"name\":\"relays\",\"connected\":{connected}}}");
    tally.print();
}
