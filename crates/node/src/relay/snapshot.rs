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

/// An endpoint that a complete update does not contain is dropped if it was in no update for this many heartbeat
/// intervals.
const HEARTBEATS_UNTIL_DROPPED: f64 = 4.0;
/// The endpoints of a keeper whose registry is incomplete count as complete after this many heartbeat intervals.
const HEARTBEATS_UNTIL_COMPLETE: f64 = 2.0;
/// The number of endpoints, departed ones included, beyond which every snapshot update drops old ones. Departed
/// endpoints are remembered so that late updates cannot bring them back.
const MAX_REMEMBERED_INSTANCES: usize = 16_384;

/// The configuration in force.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// The version in the control state.
    pub version: Version,
    /// The operator's number of the configuration.
    pub generation: u64,
    /// Routes and limits.
    pub table: RouteTable,
    /// Whether any route stores turns.
    pub stores_turns: bool,
}

/// Configuration, endpoints and stores as they were known at one moment.
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

/// Whether the endpoints in a snapshot are all there are.
#[derive(Clone, Copy, Debug, Default)]
struct InstancesCompleteness {
    /// When the first complete list of a keeper arrived in this run of the process.
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

    /// Whether all that is needed to serve is known.
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

    /// Drops endpoints that a complete update does not contain and that were in no update for long; returns them
    /// marked as expired.
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
