//! The table of instances.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::registry::{Instance, InstanceState, Refresh};
use juniperwing_protocol::{InstanceId, ServiceName};

/// Heartbeats that may be missing before an instance expires.
pub const EXPIRY_TIMEOUT_HEARTBEATS: f64 = 3.0;
/// Heartbeats after which every live endpoint has called some keeper.
const COMPLETENESS_HEARTBEATS: f64 = 2.0;
/// How long an instance that has ended, or expired, is remembered.
pub const TOMBSTONE_RETENTION: Span = Span::from_millis(60_000);
/// Instances that are kept at most, tombstones included.
pub const MAX_INSTANCES: usize = 50_000;
/// An instance that was silent for this long has given up its address if another calls from there.
const ADDRESS_TIMEOUT: Span = Span::from_millis(1_500);

/// Settings of a registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistrySettings {
    /// How often endpoints send heartbeats.
    pub heartbeat_interval: Span,
    /// Instances that are kept at most.
    pub max_instances: usize,
}

/// What became of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// These instances are new or have changed.
    Changed(Vec<Instance>),
    /// The instance is known as it is; it was heard of again.
    Refreshed(Refresh),
    /// A later call was heard before, or the instance has ended.
    Stale,
    /// There is no room for another instance.
    Full,
}

#[derive(Clone, Debug)]
struct Entry {
    instance: Instance,
    first_heard_at: Time,
    last_heard_at: Time,
}

/// All instances that a keeper knows of.
#[derive(Clone, Debug)]
pub struct Registry {
    settings: RegistrySettings,
    /// Silence counts only from here on.
    timeouts_start_at: Time,
    entries: BTreeMap<InstanceId, Entry>,
    by_address: HashMap<SocketAddr, Vec<InstanceId>>,
}

impl Registry {
    /// An empty registry of a process that starts now.
    pub fn new(now: Time, settings: RegistrySettings) -> Self {
        Registry { settings, timeouts_start_at: now, entries: BTreeMap::new(), by_address: HashMap::new() }
    }

    /// Whether it has run, in contact with the other keepers, for long enough to have heard of every live
    /// endpoint and of every end.
    pub fn is_complete(&self, now: Time) -> bool {
        now.since(self.timeouts_start_at) >= self.settings.heartbeat_interval.mul_f64(COMPLETENESS_HEARTBEATS)
    }

    /// All instances, those that have ended included.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.entries.values().map(|entry| &entry.instance)
    }

    /// An instance.
    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        self.entries.get(id).map(|entry| &entry.instance)
    }

    /// How many instances there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// An endpoint called.
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
        entry.last_heard_at = now;
        let unchanged = is_same_except_sequence(&entry.instance, &instance);
        if unchanged {
            entry.instance.sequence = instance.sequence;
        } else {
            self.replace(instance.clone());
        }
        let gone = self.terminate_previous_at_address(now, &id);
        if unchanged && gone.is_empty() {
            return HeartbeatOutcome::Refreshed(Refresh { id, sequence: instance.sequence });
        }
        let mut changed = vec![instance];
        changed.extend(gone);
        HeartbeatOutcome::Changed(changed)
    }

    /// An endpoint says that it ends. Returns what changed; nothing if that was known. An instance that was
    /// never heard of leaves a tombstone too, since a late heartbeat may follow.
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
        entry.last_heard_at = now;
        entry.instance.state = InstanceState::Terminated;
        Some(entry.instance.clone())
    }

    /// Another keeper tells of instances. Returns those that are news here.
    pub fn merge(&mut self, now: Time, changed: Vec<Instance>, refreshed: &[Refresh]) -> Vec<Instance> {
        let mut news = Vec::new();
        for instance in changed {
            news.extend(self.refutation_of(&instance));
            if self.merge_instance(now, &instance) {
                news.push(instance);
            }
        }
        for refresh in refreshed {
            news.extend(self.apply_refresh(now, refresh));
        }
        news
    }

    /// Instances of which nobody has heard for too long; they are expired from now on. Silence counts up to
    /// `confirmed_at`, the newest moment up to which contact with the other keepers is proved: heartbeats that
    /// they took after it may be unknown here.
    pub fn expire(&mut self, now: Time, confirmed_at: Time) -> Vec<Instance> {
        self.remove_old_tombstones(now);
        let limit = self.settings.heartbeat_interval.mul_f64(EXPIRY_TIMEOUT_HEARTBEATS);
        let mut expired = Vec::new();
        for entry in self.entries.values_mut() {
            let living = matches!(entry.instance.state, InstanceState::Ready | InstanceState::Draining);
            let silent = confirmed_at.since(entry.last_heard_at.max(self.timeouts_start_at)) >= limit;
            if !(living && silent) {
                continue;
            }
            // A drain is final: an instance that drains and falls silent has ended.
            let draining = entry.instance.state == InstanceState::Draining;
            entry.instance.state = if draining { InstanceState::Terminated } else { InstanceState::Expired };
            expired.push(entry.instance.clone());
        }
        expired
    }

    /// Silence counts anew from now on: the keeper was paused, or cut off from the others. What it missed
    /// meanwhile comes with the next heartbeats, so it is not complete until then.
    pub fn restart_timeouts(&mut self, now: Time) {
        self.timeouts_start_at = now;
    }

    /// What is known of an instance that another keeper takes for expired though a later heartbeat was heard here.
    /// That keeper's subscribers were told of the expiry, and a heartbeat alone is no news to them.
    fn refutation_of(&self, instance: &Instance) -> Option<Instance> {
        let known = self.get(&instance.id)?;
        let lives = known.state == InstanceState::Ready && known.sequence > instance.sequence;
        Some(known.clone()).filter(|_| instance.state == InstanceState::Expired && lives)
    }

    fn merge_instance(&mut self, now: Time, instance: &Instance) -> bool {
        let full = self.entries.len() >= self.settings.max_instances;
        match self.entries.get_mut(&instance.id) {
            None if full => false,
            None => {
                self.insert(now, instance.clone());
                true
            }
            Some(entry) if instance.supersedes(&entry.instance) => {
                entry.last_heard_at = now;
                self.replace(instance.clone());
                true
            }
            Some(entry) => {
                if instance.sequence == entry.instance.sequence {
                    entry.last_heard_at = now;
                }
                false
            }
        }
    }

    fn apply_refresh(&mut self, now: Time, refresh: &Refresh) -> Option<Instance> {
        let entry = self.entries.get_mut(&refresh.id)?;
        let ended = entry.instance.state == InstanceState::Terminated;
        if ended || refresh.sequence < entry.instance.sequence {
            return None;
        }
        entry.last_heard_at = now;
        let revived =
            entry.instance.state == InstanceState::Expired && refresh.sequence > entry.instance.sequence;
        entry.instance.sequence = refresh.sequence;
        if !revived {
            return None;
        }
        entry.instance.state = InstanceState::Ready;
        Some(entry.instance.clone())
    }

    /// Older instances at the address of `id` that have fallen silent have ended.
    fn terminate_previous_at_address(&mut self, now: Time, id: &InstanceId) -> Vec<Instance> {
        let Some(newer) = self.entries.get(id) else { return Vec::new() };
        let (address, first_heard) = (newer.instance.address, newer.first_heard_at);
        let others = self.by_address.get(&address).cloned().unwrap_or_default();
        let mut gone = Vec::new();
        for other in others.iter().filter(|other| *other != id) {
            let Some(entry) = self.entries.get_mut(other) else { continue };
            let older = entry.first_heard_at < first_heard;
            let silent = now.since(entry.last_heard_at) >= ADDRESS_TIMEOUT;
            if older && silent && entry.instance.state != InstanceState::Terminated {
                entry.instance.state = InstanceState::Terminated;
                entry.last_heard_at = now;
                gone.push(entry.instance.clone());
            }
        }
        gone
    }

    /// Drops what has ended or expired long ago.
    fn remove_old_tombstones(&mut self, now: Time) {
        let old: Vec<InstanceId> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                matches!(entry.instance.state, InstanceState::Terminated | InstanceState::Expired)
            })
            .filter(|(_, entry)| now.since(entry.last_heard_at) >= TOMBSTONE_RETENTION)
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
        let entry = Entry { instance, first_heard_at: now, last_heard_at: now };
        self.entries.insert(entry.instance.id.clone(), entry);
    }

    /// Puts another version in the place of a known one.
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

/// Whether a call is older than what is known, or comes from an instance that has ended or may not go back.
fn is_stale(call: &Instance, known: &Instance) -> bool {
    match known.state {
        InstanceState::Terminated => true,
        InstanceState::Draining => call.state != InstanceState::Draining || call.sequence < known.sequence,
        InstanceState::Expired => call.sequence <= known.sequence && call.state == InstanceState::Ready,
        InstanceState::Ready => call.sequence < known.sequence && call.state != InstanceState::Draining,
    }
}

fn is_same_except_sequence(one: &Instance, other: &Instance) -> bool {
    one.state == other.state
        && one.address == other.address
        && one.service == other.service
        && one.zone == other.zone
        && one.capacity == other.capacity
}

/// What is kept of an instance that ended before it was heard of.
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
