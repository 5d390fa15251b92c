//! Detects live and lost stores from the reports of all keepers.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::DiskId;
use juniperwing_protocol::subscription::StoreNode;

/// The time after which a keeper's report expires.
const REPORT_EXPIRY: Span = Span::from_millis(1_200);
/// The time after which a store that no keeper reports counts as lost.
const LOSS_TIMEOUT: Span = Span::from_millis(300);
/// The time after which the loss of an unreported store is certain: replicas that only this store could hold
/// are not required until it returns. Longer than a short stall of a machine that is not lost.
const CONFIRMED_LOSS_TIMEOUT: Span = Span::from_millis(1_000);
/// The time after the start or a pause of this process during which no store counts as lost.
const STARTUP_GRACE_PERIOD: Span = Span::from_millis(2_000);
/// A longer interval between two ticks means that the process was paused.
const PAUSE_THRESHOLD: Span = Span::from_millis(1_000);
/// The time between the first report of a store and the first store map, so that other stores can join.
const INITIAL_PLACEMENT_DELAY: Span = Span::from_millis(1_500);
/// The time after which a lost store is replaced if enough replicas exist without it.
const REPLACEMENT_DELAY: Span = Span::from_millis(6_000);
/// The time without a loss or return of a store after which primaries may be rebalanced.
const STABILITY_PERIOD: Span = Span::from_millis(5_000);
/// The maximum number of stores accepted from one report.
const MAX_STORES_PER_REPORT: usize = 10_000;

/// The newest report of one keeper.
#[derive(Clone, Debug)]
struct Report {
    received_at: Time,
    stores: Vec<StoreNode>,
}

/// The live and lost stores at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreView {
    /// Stores that at least one keeper reports.
    pub alive: BTreeMap<DiskId, StoreNode>,
    /// Stores of the map that no keeper has reported for the loss timeout; partitions continue without them.
    pub lost: BTreeSet<DiskId>,
    /// The subset of `lost` whose loss is certain.
    pub confirmed_lost: BTreeSet<DiskId>,
    /// The subset of `lost` that other stores should replace.
    pub replaceable: BTreeSet<DiskId>,
    /// Unreported stores of the map whose place a new machine has taken; they are no longer waited for.
    pub succeeded: BTreeSet<DiskId>,
    /// Whether this keeper has run without a pause for the startup grace period, so that it knows every live
    /// store.
    pub is_past_grace_period: bool,
    /// Whether the stores of a new tier have had enough time to join.
    pub is_initial_wait_over: bool,
    /// Whether no store was lost or returned for some seconds.
    pub is_stable: bool,
}

/// Collects the keepers' reports of reachable stores and derives a [`StoreView`].
#[derive(Clone, Debug)]
pub struct StoreTracker {
    /// The newest unexpired report of each keeper, by the keeper's disk.
    reports: BTreeMap<DiskId, Report>,
    /// Stores of the map that no keeper reports, with the time at which each was first missing.
    unreported_since: BTreeMap<DiskId, Time>,
    /// The unreported store that each new machine has succeeded, by the new machine's disk.
    predecessors: BTreeMap<DiskId, DiskId>,
    /// The live stores as of the last tick.
    last_alive: BTreeSet<DiskId>,
    /// The time of the first report that contained a store.
    first_reported_at: Option<Time>,
    /// No store counts as lost before this time.
    grace_until: Time,
    last_tick_at: Time,
    /// The time of the last change of the set of live stores.
    changed_at: Time,
}

impl StoreTracker {
    /// A tracker for a process that starts at `now`.
    pub fn new(now: Time) -> Self {
        StoreTracker {
            reports: BTreeMap::new(),
            unreported_since: BTreeMap::new(),
            predecessors: BTreeMap::new(),
            last_alive: BTreeSet::new(),
            first_reported_at: None,
            grace_until: now + STARTUP_GRACE_PERIOD,
            last_tick_at: now,
            changed_at: now,
        }
    }

    /// Records the stores that a keeper can reach.
    pub fn record_report(&mut self, now: Time, keeper: DiskId, mut stores: Vec<StoreNode>) {
        stores.truncate(MAX_STORES_PER_REPORT);
        if !stores.is_empty() {
            self.first_reported_at.get_or_insert(now);
        }
        self.reports.insert(keeper, Report { received_at: now, stores });
    }

    /// Advances to `now` and returns the current view. `map_stores` are the stores of the current map.
    pub fn tick(&mut self, now: Time, map_stores: &[StoreNode]) -> StoreView {
        if now.since(self.last_tick_at) > PAUSE_THRESHOLD {
            self.grace_until = now + STARTUP_GRACE_PERIOD;
            self.unreported_since.clear();
        }
        self.last_tick_at = now;
        self.reports.retain(|_, report| now.since(report.received_at) <= REPORT_EXPIRY);
        let alive = self.alive();
        self.record_changes(now, &alive, map_stores);
        let unreported_for = |span: Span| -> BTreeSet<DiskId> {
            let since = self.unreported_since.iter();
            since.filter(|(_, since)| now.since(**since) >= span).map(|(disk, _)| *disk).collect()
        };
        let is_in_grace_period = now < self.grace_until;
        let lost_after = |span: Span| if is_in_grace_period { BTreeSet::new() } else { unreported_for(span) };
        StoreView {
            lost: lost_after(LOSS_TIMEOUT),
            confirmed_lost: lost_after(CONFIRMED_LOSS_TIMEOUT),
            replaceable: lost_after(REPLACEMENT_DELAY),
            succeeded: self.predecessors.values().copied().collect(),
            is_past_grace_period: !is_in_grace_period,
            is_initial_wait_over: self
                .first_reported_at
                .is_some_and(|first| now.since(first) >= INITIAL_PLACEMENT_DELAY),
            is_stable: now.since(self.changed_at) >= STABILITY_PERIOD,
            alive,
        }
    }

    /// The earliest time at which an unreported store will count as lost, or its loss will be certain;
    /// [`Time::NEVER`] if there is none.
    pub fn next_loss_at(&self) -> Time {
        let unreported = self.unreported_since.values();
        let pending = unreported.flat_map(|since| [*since + LOSS_TIMEOUT, *since + CONFIRMED_LOSS_TIMEOUT]);
        pending.filter(|at| *at > self.last_tick_at).min().map_or(Time::NEVER, |at| at.max(self.grace_until))
    }

    /// The stores of all unexpired reports.
    fn alive(&self) -> BTreeMap<DiskId, StoreNode> {
        let mut by_age: Vec<&Report> = self.reports.values().collect();
        // If a store is reported with two addresses, the most recent report takes precedence.
        by_age.sort_by_key(|report| report.received_at);
        let stores = by_age.into_iter().flat_map(|report| &report.stores);
        stores.map(|store| (store.disk, store.clone())).collect()
    }

    /// Updates the time of the last change and the time since which each store is unreported.
    fn record_changes(&mut self, now: Time, alive: &BTreeMap<DiskId, StoreNode>, map_stores: &[StoreNode]) {
        let alive_disks: BTreeSet<DiskId> = alive.keys().copied().collect();
        if alive_disks != self.last_alive {
            self.changed_at = now;
            self.last_alive = alive_disks;
        }
        let unreported: BTreeSet<DiskId> =
            map_stores.iter().map(|store| store.disk).filter(|disk| !alive.contains_key(disk)).collect();
        self.unreported_since.retain(|disk, _| unreported.contains(disk));
        for disk in unreported {
            self.unreported_since.entry(disk).or_insert(now);
        }
        self.record_successors(alive, map_stores);
    }

    /// Pairs each machine that is new to the tier with the store that has been unreported for longest, which it is taken
    /// to succeed. A store that is reported again has no successor any more.
    fn record_successors(&mut self, alive: &BTreeMap<DiskId, StoreNode>, map_stores: &[StoreNode]) {
        let unreported = &self.unreported_since;
        self.predecessors.retain(|_, predecessor| unreported.contains_key(predecessor));
        let is_new = |store: &&StoreNode| map_stores.iter().all(|known| known.node != store.node);
        for newcomer in alive.values().filter(is_new) {
            if self.predecessors.contains_key(&newcomer.disk) {
                continue;
            }
            let succeeded: BTreeSet<DiskId> = self.predecessors.values().copied().collect();
            let missing = unreported.iter().filter(|(disk, _)| !succeeded.contains(disk));
            let longest = missing.min_by_key(|(_, since)| **since).map(|(disk, _)| *disk);
            longest.map(|predecessor| self.predecessors.insert(newcomer.disk, predecessor));
        }
    }
}
