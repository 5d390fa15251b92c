//! An immutable snapshot of configuration, endpoints and stores.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_clock::{Span, Time};
use juniperwing_configuration::{Limits, RouteTable};
use juniperwing_protocol::identity::InstanceId;
use juniperwing_protocol::registry::{Instance, InstanceState};
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{InstancesUpdate, StoreMap};
use rpds::HashTrieMapSync;

/// After this many heartbeat intervals without an update, an endpoint that is missing in a complete list is dropped.
const HEARTBEATS_UNTIL_DROPPED: f64 = 4.0;
/// This many heartbeat intervals after the first list, the endpoints count as complete even if no keeper's registry is.
const HEARTBEATS_UNTIL_COMPLETE: f64 = 2.0;
/// The number of endpoints, including departed ones, beyond which old ones are dropped with every complete list, even
/// an incomplete registry's. Departed endpoints are remembered so that late updates cannot restore them.
const MAX_REMEMBERED_INSTANCES: usize = 16_384;

/// The configuration in force.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// The version in the replicated control state.
    pub version: Version,
    /// The generation number that the operator gave the configuration.
    pub generation: u64,
    /// The routes and limits.
    pub table: RouteTable,
    /// Whether any route stores turns.
    pub stores_turns: bool,
}

/// The configuration, endpoints and stores known at one point in time.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The configuration; `None` until the first one arrives.
    pub configuration: Option<Arc<ActiveConfiguration>>,
    /// Where turns and budgets are stored.
    pub stores: Arc<StoreMap>,
    instances: HashTrieMapSync<InstanceId, KnownInstance>,
    completeness: InstancesCompleteness,
}

#[derive(Clone, Debug)]
struct KnownInstance {
    instance: Instance,
    last_update_at: Time,
}

/// What is known about the completeness of the endpoints in a snapshot.
#[derive(Clone, Copy, Debug, Default)]
struct InstancesCompleteness {
    /// When the first complete list from a keeper arrived since the process started.
    first_list_at: Option<Time>,
    /// Whether a keeper with a complete registry has sent its list.
    is_complete: bool,
}

impl Snapshot {
    /// The limits in force.
    pub fn limits(&self) -> Limits {
        let limits = self.configuration.as_ref().map(|configuration| *configuration.table.limits());
        limits.unwrap_or(juniperwing_configuration::DEFAULT_LIMITS)
    }

    /// The address of an endpoint, if it is known.
    pub fn address(&self, endpoint: &InstanceId) -> Option<SocketAddr> {
        self.instances.get(endpoint).map(|known| known.instance.address)
    }

    /// An endpoint, if it is known.
    pub fn instance(&self, endpoint: &InstanceId) -> Option<&Instance> {
        self.instances.get(endpoint).map(|known| &known.instance)
    }

    /// The version of the configuration in force.
    pub fn configuration_version(&self) -> Option<Version> {
        self.configuration.as_ref().map(|configuration| configuration.version)
    }

    /// Whether everything needed to serve requests is known.
    pub fn is_complete(&self, now: Time, heartbeat_interval: Span) -> bool {
        let Some(configuration) = &self.configuration else { return false };
        let is_old_enough = |first| now.since(first) >= heartbeat_interval.mul_f64(HEARTBEATS_UNTIL_COMPLETE);
        let has_endpoints =
            self.completeness.is_complete || self.completeness.first_list_at.is_some_and(is_old_enough);
        has_endpoints && (!configuration.stores_turns || !self.stores.partitions.is_empty())
    }

    /// Merges an update of endpoints; returns the endpoints that changed.
    pub fn merge_instances(
        &mut self, update: &InstancesUpdate, now: Time, heartbeat_interval: Span,
    ) -> Vec<Instance> {
        let mut changed = Vec::new();
        for instance in &update.instances {
            let known = self.instances.get(&instance.id).map(|known| &known.instance);
            if known.is_none_or(|known| instance.supersedes(known)) {
                changed.push(instance.clone());
            }
            let newest = match known {
                Some(known) if !instance.supersedes(known) => known.clone(),
                _ => instance.clone(),
            };
            let known = KnownInstance { instance: newest, last_update_at: now };
            self.instances.insert_mut(instance.id.clone(), known);
        }
        if update.is_snapshot {
            changed.extend(self.drop_missing_instances(update, now, heartbeat_interval));
            self.completeness.first_list_at.get_or_insert(now);
            self.completeness.is_complete |= update.is_registry_complete;
        }
        changed
    }

    /// Drops endpoints that are missing in a complete list and were in no recent update. Returns them marked as
    /// expired.
    fn drop_missing_instances(
        &mut self, update: &InstancesUpdate, now: Time, heartbeat_interval: Span,
    ) -> Vec<Instance> {
        let listed: BTreeSet<&InstanceId> = update.instances.iter().map(|instance| &instance.id).collect();
        let max_age = heartbeat_interval.mul_f64(HEARTBEATS_UNTIL_DROPPED);
        let has_too_many = self.instances.size() > MAX_REMEMBERED_INSTANCES;
        let is_old = |known: &KnownInstance| now.since(known.last_update_at) > max_age;
        let dropped: Vec<Instance> = self
            .instances
            .values()
            .filter(|known| {
                !listed.contains(&known.instance.id)
                    && is_old(known)
                    && (update.is_registry_complete || has_too_many)
            })
            .map(|known| Instance { state: InstanceState::Expired, ..known.instance.clone() })
            .collect();
        for instance in &dropped {
            self.instances.remove_mut(&instance.id);
        }
        dropped
    }
}
