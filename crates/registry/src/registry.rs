//! The registry: a table of endpoint instances with their heartbeats, expiry and tombstones.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::registry::{Instance, InstanceState, Refresh};
use juniperwing_protocol::{InstanceId, ServiceName};

/// Number of heartbeat intervals without a heartbeat after which an instance expires.
pub const EXPIRY_TIMEOUT_HEARTBEATS: f64 = 3.0;
/// Number of heartbeat intervals after which every live endpoint has sent a heartbeat to some keeper.
const COMPLETENESS_HEARTBEATS: f64 = 2.0;
/// How long a terminated or expired instance is retained.
pub const TOMBSTONE_RETENTION: Span = Span::from_millis(60_000);
/// Maximum number of instances, tombstones included.
pub const MAX_INSTANCES: usize = 50_000;
/// An instance without heartbeats for this long is terminated if a newer one sends heartbeats with the same address.
const ADDRESS_TIMEOUT: Span = Span::from_millis(1_500);

/// Settings of a registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistrySettings {
    /// Interval at which endpoints send heartbeats.
    pub heartbeat_interval: Span,
    /// Maximum number of instances, tombstones included.
    pub max_instances: usize,
}

/// The effect of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// These instances are new or have changed.
    Changed(Vec<Instance>),
    /// Nothing but the sequence of the instance has changed.
    Refreshed(Refresh),
    /// The heartbeat is older than the known state, or the instance is terminated.
    Stale,
    /// The registry holds its maximum number of instances.
    Full,
}

#[derive(Clone, Debug)]
struct Entry {
    instance: Instance,
    first_seen_at: Time,
    last_seen_at: Time,
}

/// All instances that a keeper knows.
#[derive(Clone, Debug)]
pub struct Registry {
    settings: RegistrySettings,
    /// Heartbeat timeouts run from this time at the earliest.
    timeouts_start_at: Time,
    entries: BTreeMap<InstanceId, Entry>,
    by_address: BTreeMap<SocketAddr, Vec<InstanceId>>,
}

impl Registry {
    /// An empty registry of a process that starts at `now`.
    pub fn new(now: Time, settings: RegistrySettings) -> Self {
        Registry { settings, timeouts_start_at: now, entries: BTreeMap::new(), by_address: BTreeMap::new() }
    }

    /// Whether the registry has been in contact with the other keepers for long enough to know every live endpoint
    /// and every termination.
    pub fn is_complete(&self, now: Time) -> bool {
        now.since(self.timeouts_start_at) >= self.settings.heartbeat_interval.mul_f64(COMPLETENESS_HEARTBEATS)
    }

    /// All instances, tombstones included.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.entries.values().map(|entry| &entry.instance)
    }

    /// The instance `id`.
    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        self.entries.get(id).map(|entry| &entry.instance)
    }

    /// The number of instances, tombstones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no instances.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Handles a heartbeat of an endpoint.
    pub fn handle_heartbeat(&mut self, now: Time, instance: Instance) -> HeartbeatOutcome {
        let id = instance.id.clone();
        let Some(entry) = self.entries.get_mut(&id) else {
            if self.entries.len() >= self.settings.max_instances {
                return HeartbeatOutcome::Full;
            }
            self.insert(now, instance.clone());
            let mut changed = vec![instance];
            changed.extend(self.terminate_previous_at_address(now, &id));
            return HeartbeatOutcome::Changed(changed);
        };
        if is_stale(&instance, &entry.instance) {
            return HeartbeatOutcome::Stale;
        }
        entry.last_seen_at = now;
        let is_unchanged = is_same_except_sequence(&entry.instance, &instance);
        if is_unchanged {
            entry.instance.sequence = instance.sequence;
        } else {
            self.replace(instance.clone());
        }
        let terminated = self.terminate_previous_at_address(now, &id);
        if is_unchanged && terminated.is_empty() {
            return HeartbeatOutcome::Refreshed(Refresh { id, sequence: instance.sequence });
        }
        let mut changed = vec![instance];
        changed.extend(terminated);
        HeartbeatOutcome::Changed(changed)
    }

    /// Handles an endpoint's own deregistration and returns its tombstone; `None` if it was terminated already.
    ///
    /// An unknown instance leaves a tombstone too, since a delayed heartbeat of it may follow.
    pub fn deregister(&mut self, now: Time, id: &InstanceId) -> Option<Instance> {
        let Some(entry) = self.entries.get_mut(id) else {
            if self.entries.len() >= self.settings.max_instances {
                return None;
            }
            let tombstone = tombstone(id.clone());
            self.insert(now, tombstone.clone());
            return Some(tombstone);
        };
        if entry.instance.state == InstanceState::Terminated {
            return None;
        }
        entry.last_seen_at = now;
        entry.instance.state = InstanceState::Terminated;
        Some(entry.instance.clone())
    }

    /// Merges instances sent by another keeper and returns those that changed here.
    pub fn merge(&mut self, now: Time, changed: Vec<Instance>, refreshed: &[Refresh]) -> Vec<Instance> {
        let mut updates = Vec::new();
        for instance in changed {
            updates.extend(self.refutation_of(&instance));
            if self.merge_instance(now, &instance) {
                updates.push(instance);
            }
        }
        for refresh in refreshed {
            updates.extend(self.apply_refresh(now, refresh));
        }
        updates
    }

    /// Expires the instances whose heartbeats have timed out and returns them.
    ///
    /// Timeouts are measured up to `confirmed_until`, the latest time up to which contact with the other keepers is
    /// confirmed: heartbeats that they received later may not have reached this keeper yet.
    pub fn expire(&mut self, now: Time, confirmed_until: Time) -> Vec<Instance> {
        self.remove_old_tombstones(now);
        let limit = self.settings.heartbeat_interval.mul_f64(EXPIRY_TIMEOUT_HEARTBEATS);
        let mut expired = Vec::new();
        for entry in self.entries.values_mut() {
            let is_live = matches!(entry.instance.state, InstanceState::Ready | InstanceState::Draining);
            let is_timed_out = confirmed_until.since(entry.last_seen_at.max(self.timeouts_start_at)) >= limit;
            if !(is_live && is_timed_out) {
                continue;
            }
            // Draining is final: a draining instance that stops sending heartbeats has terminated.
            let is_draining = entry.instance.state == InstanceState::Draining;
            entry.instance.state =
                if is_draining { InstanceState::Terminated } else { InstanceState::Expired };
            expired.push(entry.instance.clone());
        }
        expired
    }

    /// Restarts all heartbeat timeouts, after the keeper was paused or partitioned from the others.
    ///
    /// The state that it missed arrives with the next heartbeats; until then the registry is incomplete.
    pub fn restart_timeouts(&mut self, now: Time) {
        self.timeouts_start_at = now;
    }

    /// The known state of an instance that another keeper declares expired although a later heartbeat was received
    /// here. That keeper has notified its subscribers of the expiry, and a refresh alone is not sent to them.
    fn refutation_of(&self, instance: &Instance) -> Option<Instance> {
        let known = self.get(&instance.id)?;
        let is_alive = known.state == InstanceState::Ready && known.sequence > instance.sequence;
        Some(known.clone()).filter(|_| instance.state == InstanceState::Expired && is_alive)
    }

    fn merge_instance(&mut self, now: Time, instance: &Instance) -> bool {
        let is_full = self.entries.len() >= self.settings.max_instances;
        match self.entries.get_mut(&instance.id) {
            None if is_full => false,
            None => {
                self.insert(now, instance.clone());
                true
            }
            Some(entry) if instance.supersedes(&entry.instance) => {
                entry.last_seen_at = now;
                self.replace(instance.clone());
                true
            }
            Some(entry) => {
                if instance.sequence == entry.instance.sequence {
                    entry.last_seen_at = now;
                }
                false
            }
        }
    }

    fn apply_refresh(&mut self, now: Time, refresh: &Refresh) -> Option<Instance> {
        let entry = self.entries.get_mut(&refresh.id)?;
        let is_terminated = entry.instance.state == InstanceState::Terminated;
        if is_terminated || refresh.sequence < entry.instance.sequence {
            return None;
        }
        entry.last_seen_at = now;
        let is_revived =
            entry.instance.state == InstanceState::Expired && refresh.sequence > entry.instance.sequence;
        entry.instance.sequence = refresh.sequence;
        if !is_revived {
            return None;
        }
        entry.instance.state = InstanceState::Ready;
        Some(entry.instance.clone())
    }

    /// Terminates older instances at the address of `id` that have stopped sending heartbeats, and returns them.
    fn terminate_previous_at_address(&mut self, now: Time, id: &InstanceId) -> Vec<Instance> {
        let Some(newer) = self.entries.get(id) else { return Vec::new() };
        let (address, first_seen_at) = (newer.instance.address, newer.first_seen_at);
        let others = self.by_address.get(&address).cloned().unwrap_or_default();
        let mut terminated = Vec::new();
        for other in others.iter().filter(|other| *other != id) {
            let Some(entry) = self.entries.get_mut(other) else { continue };
            let is_older = entry.first_seen_at < first_seen_at;
            let is_timed_out = now.since(entry.last_seen_at) >= ADDRESS_TIMEOUT;
            if is_older && is_timed_out && entry.instance.state != InstanceState::Terminated {
                entry.instance.state = InstanceState::Terminated;
                entry.last_seen_at = now;
                terminated.push(entry.instance.clone());
            }
        }
        terminated
    }

    /// Removes instances that terminated or expired longer ago than the retention.
    fn remove_old_tombstones(&mut self, now: Time) {
        let old: Vec<InstanceId> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                matches!(entry.instance.state, InstanceState::Terminated | InstanceState::Expired)
            })
            .filter(|(_, entry)| now.since(entry.last_seen_at) >= TOMBSTONE_RETENTION)
            .map(|(id, _)| id.clone())
            .collect();
        for id in old {
            if let Some(entry) = self.entries.remove(&id) {
                self.remove_from_address_index(&entry.instance);
            }
        }
    }

    fn insert(&mut self, now: Time, instance: Instance) {
        self.by_address.entry(instance.address).or_default().push(instance.id.clone());
        let entry = Entry { instance, first_seen_at: now, last_seen_at: now };
        self.entries.insert(entry.instance.id.clone(), entry);
    }

    /// Replaces a known instance, also in the index by address.
    fn replace(&mut self, instance: Instance) {
        let Some(entry) = self.entries.get_mut(&instance.id) else { return };
        let before = std::mem::replace(&mut entry.instance, instance.clone());
        if before.address != instance.address {
            self.remove_from_address_index(&before);
            self.by_address.entry(instance.address).or_default().push(instance.id);
        }
    }

    fn remove_from_address_index(&mut self, instance: &Instance) {
        let Some(ids) = self.by_address.get_mut(&instance.address) else { return };
        ids.retain(|id| *id != instance.id);
        if ids.is_empty() {
            self.by_address.remove(&instance.address);
        }
    }
}

/// Whether a heartbeat is older than the known state, or would undo a termination or a drain.
fn is_stale(heartbeat: &Instance, known: &Instance) -> bool {
    match known.state {
        InstanceState::Terminated => true,
        InstanceState::Draining => {
            heartbeat.state != InstanceState::Draining || heartbeat.sequence < known.sequence
        }
        InstanceState::Expired => {
            heartbeat.sequence <= known.sequence && heartbeat.state == InstanceState::Ready
        }
        InstanceState::Ready => {
            heartbeat.sequence < known.sequence && heartbeat.state != InstanceState::Draining
        }
    }
}

fn is_same_except_sequence(one: &Instance, other: &Instance) -> bool {
    one.state == other.state
        && one.address == other.address
        && one.service == other.service
        && one.zone == other.zone
        && one.capacity == other.capacity
}

/// The tombstone of an instance that was deregistered before its first heartbeat.
fn tombstone(id: InstanceId) -> Instance {
    Instance {
        id,
        service: ServiceName::from(""),
        address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        zone: "".into(),
        capacity: 0,
        state: InstanceState::Terminated,
        sequence: 0,
    }
}
