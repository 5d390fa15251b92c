//! What a relay knows of configuration, endpoints and stores: an immutable snapshot, swapped whole.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use juniperwing_balancing::{Destination, EndpointInfo};
use juniperwing_clock::{Span, Time};
use juniperwing_configuration::{Configuration, Limits, RouteTable};
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::identity::InstanceId;
use juniperwing_protocol::registry::{Instance, InstanceState};
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{AppliedVersions, InstancesUpdate, StoreMap, Update};
use rpds::HashTrieMapSync;
use slog::{Logger, error, info};
use tokio::sync::watch;

use super::dispatcher::Dispatcher;
use crate::clock::now;
use crate::subscriber::Sink;
use crate::sync::lock;

/// Endpoints that a whole update does not name are dropped if nothing was told of them for so many heartbeats.
const HEARTBEATS_UNTIL_DROPPED: f64 = 4.0;
/// Endpoints known only to one young keeper count as all there are after so many heartbeats.
const HEARTBEATS_UNTIL_COMPLETE: f64 = 2.0;
/// Endpoints remembered as gone at the most, so that late news cannot bring them back.
const MAX_TOMBSTONES: usize = 16_384;

/// A configuration in force.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// Its version.
    pub version: Version,
    /// The operator's number of it.
    pub generation: u64,
    /// Its routes and limits.
    pub table: RouteTable,
    /// Whether a route keeps turns.
    pub stores_turns: bool,
}

/// What is known at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The configuration; `None` until the first comes.
    pub configuration: Option<Arc<ActiveConfiguration>>,
    /// Where turns and budgets are.
    pub stores: Arc<StoreMap>,
    instances: HashTrieMapSync<InstanceId, Known>,
    /// When the first endpoints were told in this life, and whether all were.
    heard: Heard,
}

#[derive(Clone, Debug)]
struct Known {
    instance: Instance,
    told_at: Time,
}

#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    first: Option<Time>,
    complete: bool,
}

impl Snapshot {
    /// The limits in force.
    pub fn limits(&self) -> Limits {
        let table = self.configuration.as_ref().map(|configuration| *configuration.table.limits());
        table.unwrap_or(juniperwing_configuration::DEFAULT_LIMITS)
    }

    /// Where an endpoint listens, if it is known.
    pub fn address(&self, endpoint: &InstanceId) -> Option<SocketAddr> {
        self.instances.get(endpoint).map(|known| known.instance.address)
    }

    /// Whether all that is needed to serve is known.
    fn is_complete(&self, now: Time, heartbeat: Span) -> bool {
        let Some(configuration) = &self.configuration else { return false };
        let aged = |first| now.since(first) >= heartbeat.mul_f64(HEARTBEATS_UNTIL_COMPLETE);
        let endpoints = self.heard.complete || self.heard.first.is_some_and(aged);
        endpoints && (!configuration.stores_turns || !self.stores.partitions.is_empty())
    }
}

/// Keeps the snapshot, and the dispatcher in step with it.
pub struct ClusterView {
    snapshot: Mutex<Arc<Snapshot>>,
    dispatcher: Arc<Dispatcher>,
    heartbeat: Span,
    stores: watch::Sender<Arc<StoreMap>>,
    /// Whether all subscriptions to keepers are lost.
    is_disconnected: AtomicBool,
    log: Logger,
}

impl ClusterView {
    /// A world in which nothing is known. Endpoints send a heartbeat every `heartbeat`.
    pub fn new(dispatcher: Arc<Dispatcher>, heartbeat: Span, log: Logger) -> Arc<Self> {
        let (stores, _) = watch::channel(Arc::default());
        let is_disconnected = AtomicBool::new(false);
        Arc::new(ClusterView {
            snapshot: Mutex::default(),
            dispatcher,
            heartbeat,
            stores,
            is_disconnected,
            log,
        })
    }

    /// What is known now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.lock())
    }

    /// The store maps as they come.
    pub fn stores(&self) -> watch::Receiver<Arc<StoreMap>> {
        self.stores.subscribe()
    }

    /// Whether all that is needed to serve is known.
    pub fn is_complete(&self) -> bool {
        self.snapshot().is_complete(now(), self.heartbeat)
    }

    /// Whether what is known may be out of date, because all subscriptions to keepers are lost. It still holds, but
    /// that something is not in it proves nothing.
    pub fn is_out_of_touch(&self) -> bool {
        self.is_disconnected.load(Ordering::Relaxed)
    }

    /// Another instance has answered at an endpoint's address: it is no more, until something newer is told.
    pub fn misdirected(&self, endpoint: &InstanceId) {
        let known = self.snapshot().instances.get(endpoint).cloned();
        if let Some(Known { mut instance, .. }) = known {
            instance.state = InstanceState::Expired;
            let update = InstancesUpdate { instances: vec![instance], ..InstancesUpdate::default() };
            self.apply_instances(&update);
        }
    }

    fn apply_configuration(&self, version: Version, body: &[u8]) {
        if self.configuration() >= version {
            return;
        }
        let configuration = match Configuration::read(body) {
            Ok(configuration) => configuration,
            Err(findings) => {
                // Keepers check configurations before they take them.
                error!(self.log, "a configuration cannot be read"; "findings" => findings.to_string());
                return;
            }
        };
        let stores_turns = configuration.routes.iter().any(|route| route.stores_turns);
        let table = RouteTable::new(&configuration);
        let generation = configuration.generation;
        let active = Arc::new(ActiveConfiguration { version, generation, table, stores_turns });
        self.change(|snapshot| snapshot.configuration = Some(active));
        self.forget_destinations(&configuration);
        info!(self.log, "configuration in force"; "generation" => generation);
    }

    fn forget_destinations(&self, configuration: &Configuration) {
        let wanted: HashSet<Destination> = configuration
            .routes
            .iter()
            .flat_map(|route| {
                route.services.iter().map(|weighted| Destination {
                    service: weighted.service.clone(),
                    host: route.hostname.clone(),
                    prefix: route.path_prefix.clone(),
                })
            })
            .collect();
        self.dispatcher.retain(|destination| wanted.contains(destination));
    }

    fn apply_instances(&self, update: &InstancesUpdate) {
        let now = now();
        let mut changed = Vec::new();
        self.change(|snapshot| {
            for instance in &update.instances {
                let known = snapshot.instances.get(&instance.id).map(|known| &known.instance);
                if known.is_none_or(|known| instance.supersedes(known)) {
                    changed.push(instance.clone());
                }
                let newest = match known {
                    Some(known) if !instance.supersedes(known) => known.clone(),
                    _ => instance.clone(),
                };
                let entry = Known { instance: newest, told_at: now };
                snapshot.instances.insert_mut(instance.id.clone(), entry);
            }
            if update.is_snapshot {
                changed.extend(self.drop_unnamed(snapshot, update, now));
                snapshot.heard.first.get_or_insert(now);
                snapshot.heard.complete |= update.is_registry_complete;
            }
        });
        // In force before this returns: nothing more goes to an endpoint that leaves.
        for instance in &changed {
            self.tell_dispatcher(instance);
        }
    }

    /// Forgets what a complete update does not name and nobody has told of for long; gives back what was ready.
    fn drop_unnamed(&self, snapshot: &mut Snapshot, update: &InstancesUpdate, now: Time) -> Vec<Instance> {
        let named: HashSet<&InstanceId> = update.instances.iter().map(|instance| &instance.id).collect();
        let patience = self.heartbeat.mul_f64(HEARTBEATS_UNTIL_DROPPED);
        let full = snapshot.instances.size() > MAX_TOMBSTONES;
        let is_old = |known: &Known| now.since(known.told_at) > patience;
        let dropped: Vec<Instance> = snapshot
            .instances
            .values()
            .filter(|known| {
                !named.contains(&known.instance.id) && is_old(known) && (update.is_registry_complete || full)
            })
            .map(|known| Instance { state: InstanceState::Expired, ..known.instance.clone() })
            .collect();
        for instance in &dropped {
            snapshot.instances.remove_mut(&instance.id);
        }
        dropped
    }

    fn tell_dispatcher(&self, instance: &Instance) {
        if instance.state != InstanceState::Ready {
            return self.dispatcher.remove(&instance.id, &instance.service);
        }
        self.dispatcher.insert(&EndpointInfo {
            id: instance.id.clone(),
            service: instance.service.clone(),
            zone: instance.zone.clone(),
            capacity: instance.capacity,
        });
    }

    fn apply_stores(&self, map: Arc<StoreMap>) {
        if self.snapshot().stores.version < map.version {
            self.change(|snapshot| snapshot.stores = Arc::clone(&map));
            self.stores.send_replace(map);
        }
    }

    fn change(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut held = self.lock();
        let mut next = Snapshot::clone(&held);
        change(&mut next);
        check_rises(&held, &next);
        *held = Arc::new(next);
    }

    fn lock(&self) -> MutexGuard<'_, Arc<Snapshot>> {
        lock(&self.snapshot)
    }
}

/// What a relay acts on never goes back within a life.
fn check_rises(before: &Snapshot, after: &Snapshot) {
    let version = |snapshot: &Snapshot| snapshot.configuration.as_ref().map(|active| active.version);
    check(Invariant::ConfigurationVersionNeverDecreases, version(before) <= version(after), || {
        format!("{:?} is followed by {:?}", version(before), version(after))
    });
    let (held, told) = (before.stores.version, after.stores.version);
    check(Invariant::StoreMapVersionNeverDecreases, held <= told, || {
        format!("map {held} is followed by {told}")
    });
}

impl Sink for ClusterView {
    fn apply(&self, update: Update) {
        match update {
            Update::Configuration { version, body } => self.apply_configuration(version, &body),
            Update::Instances(update) => self.apply_instances(&update),
            Update::Stores(map) => self.apply_stores(map),
            Update::Keepers(_) => {}
        }
    }

    fn applied(&self) -> AppliedVersions {
        let stores = self.snapshot().stores.version;
        AppliedVersions { configuration: self.configuration(), stores, ..AppliedVersions::default() }
    }

    fn configuration(&self) -> Version {
        let snapshot = self.snapshot();
        snapshot.configuration.as_ref().map_or_else(Version::default, |active| active.version)
    }

    fn connected(&self, is_connected: bool) {
        self.is_disconnected.store(!is_connected, Ordering::Relaxed);
    }
}
