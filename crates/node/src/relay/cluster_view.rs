//! A relay's view of the cluster: applies the keepers' updates to the snapshot and to the dispatcher.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use juniperwing_balancing::{Destination, EndpointInfo};
use juniperwing_clock::Span;
use juniperwing_configuration::{Configuration, RouteTable};
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::identity::InstanceId;
use juniperwing_protocol::registry::{Instance, InstanceState};
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{AppliedVersions, InstancesUpdate, StoreMap, Update};
use slog::{Logger, error, info};

use super::dispatcher::Dispatcher;
use super::snapshot::{ActiveConfiguration, Snapshot};
use crate::clock::now;
use crate::subscriber::UpdateSink;
use crate::sync::{lock, watch};

/// Holds the current [`Snapshot`] and keeps the dispatcher consistent with it.
pub struct ClusterView {
    snapshot: Mutex<Arc<Snapshot>>,
    dispatcher: Arc<Dispatcher>,
    heartbeat_interval: Span,
    store_maps: watch::Sender<Arc<StoreMap>>,
    /// Whether all subscriptions to keepers are lost.
    is_disconnected: AtomicBool,
    log: Logger,
}

impl ClusterView {
    /// Creates an empty view. Endpoints send a heartbeat every `heartbeat_interval`.
    pub fn new(dispatcher: Arc<Dispatcher>, heartbeat_interval: Span, log: Logger) -> Arc<Self> {
        let (store_maps, _) = watch::channel(Arc::default());
        Arc::new(ClusterView {
            snapshot: Mutex::default(),
            dispatcher,
            heartbeat_interval,
            store_maps,
            is_disconnected: AtomicBool::new(false),
            log,
        })
    }

    /// The current snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.lock())
    }

    /// The store map and its updates.
    pub fn store_maps(&self) -> watch::Receiver<Arc<StoreMap>> {
        self.store_maps.subscribe()
    }

    /// Whether everything needed to serve requests is known.
    pub fn is_complete(&self) -> bool {
        self.snapshot().is_complete(now(), self.heartbeat_interval)
    }

    /// Whether the view may be out of date, because all subscriptions to keepers are lost. Its contents are still used,
    /// but it may lack recent additions.
    pub fn is_disconnected(&self) -> bool {
        self.is_disconnected.load(Ordering::Relaxed)
    }

    /// Handles a response of another instance at an endpoint's address: treats the endpoint as expired until a newer
    /// update about it arrives.
    pub fn handle_misdirected(&self, endpoint: &InstanceId) {
        let known = self.snapshot().instance(endpoint).cloned();
        if let Some(mut instance) = known {
            instance.state = InstanceState::Expired;
            let update = InstancesUpdate { instances: vec![instance], ..InstancesUpdate::default() };
            self.apply_instances(&update);
        }
    }

    fn apply_configuration(&self, version: Version, body: &[u8]) {
        if self.configuration_version() >= version {
            return;
        }
        let configuration = match Configuration::read(body) {
            Ok(configuration) => configuration,
            Err(findings) => {
                // Unexpected: keepers check configurations before they accept them.
                error!(self.log, "invalid configuration ignored"; "findings" => findings.to_string());
                return;
            }
        };
        let active = Arc::new(ActiveConfiguration {
            version,
            generation: configuration.generation,
            table: RouteTable::new(&configuration),
            stores_turns: configuration.routes.iter().any(|route| route.stores_turns),
        });
        self.change(|snapshot| snapshot.configuration = Some(active));
        self.drop_old_destinations(&configuration);
        info!(self.log, "configuration applied"; "generation" => configuration.generation);
    }

    /// Drops the latencies of destinations that are not in the configuration.
    fn drop_old_destinations(&self, configuration: &Configuration) {
        let destinations: BTreeSet<Destination> = configuration
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
        self.dispatcher.retain_destinations(|destination| destinations.contains(destination));
    }

    fn apply_instances(&self, update: &InstancesUpdate) {
        let now = now();
        let changed = self.change(|snapshot| snapshot.merge_instances(update, now, self.heartbeat_interval));
        // The dispatcher is updated before this returns, so that nothing more is sent to a draining endpoint.
        for instance in &changed {
            self.update_dispatcher(instance);
        }
    }

    fn update_dispatcher(&self, instance: &Instance) {
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

    fn apply_store_map(&self, map: Arc<StoreMap>) {
        if self.snapshot().stores.version < map.version {
            self.change(|snapshot| snapshot.stores = Arc::clone(&map));
            self.store_maps.send_replace(map);
        }
    }

    /// Replaces the snapshot with a modified copy.
    fn change<T>(&self, change: impl FnOnce(&mut Snapshot) -> T) -> T {
        let mut current = self.lock();
        let mut next = Snapshot::clone(&current);
        let result = change(&mut next);
        check_versions_never_decrease(&current, &next);
        *current = Arc::new(next);
        result
    }

    fn lock(&self) -> MutexGuard<'_, Arc<Snapshot>> {
        lock(&self.snapshot)
    }
}

/// Checks the invariants that the versions in snapshots never decrease while the process runs.
fn check_versions_never_decrease(before: &Snapshot, after: &Snapshot) {
    let (from, to) = (before.configuration_version(), after.configuration_version());
    check(Invariant::ConfigurationVersionNeverDecreases, from <= to, || {
        format!("decreased from {from:?} to {to:?}")
    });
    let (from, to) = (before.stores.version, after.stores.version);
    check(Invariant::StoreMapVersionNeverDecreases, from <= to, || format!("decreased from {from} to {to}"));
}

impl UpdateSink for ClusterView {
    fn apply(&self, update: Update) {
        match update {
            Update::Configuration { version, body } => self.apply_configuration(version, &body),
            Update::Instances(update) => self.apply_instances(&update),
            Update::Stores(map) => self.apply_store_map(map),
            Update::Keepers(_) => {}
        }
    }

    fn applied_versions(&self) -> AppliedVersions {
        let stores = self.snapshot().stores.version;
        AppliedVersions { configuration: self.configuration_version(), stores, ..AppliedVersions::default() }
    }

    fn configuration_version(&self) -> Version {
        self.snapshot().configuration_version().unwrap_or_default()
    }

    fn handle_connection_change(&self, is_connected: bool) {
        self.is_disconnected.store(!is_connected, Ordering::Relaxed);
    }
}
