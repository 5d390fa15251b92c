//! Which stores are alive, by what the keepers see of them.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::DiskId;
use juniperwing_protocol::subscription::StoreNode;

/// For how long a keeper's report counts.
const REPORT_EXPIRY: Span = Span::from_millis(1_200);
/// A store that no keeper has seen for this long is lost.
const LOSS_TIMEOUT: Span = Span::from_millis(300);
/// A store that no keeper has seen for this long is lost beyond doubt: copies that only it could hold are not
/// asked for until it is back. Longer than a hiccup of a machine that no one would count as lost.
const CONFIRMED_LOSS_TIMEOUT: Span = Span::from_millis(1_000);
/// After the start of the process, or a pause of it, nothing counts as lost for this long.
const STARTUP_GRACE_PERIOD: Span = Span::from_millis(2_000);
/// Two ticks further apart than this mean that the process was paused.
const PAUSE_THRESHOLD: Span = Span::from_millis(1_000);
/// After the first store was seen, others are waited for this long before the first map is made.
const INITIAL_PLACEMENT_DELAY: Span = Span::from_millis(1_500);
/// A lost store is waited for this long before another takes its place, where copies are enough without it.
const REPLACEMENT_DELAY: Span = Span::from_millis(6_000);
/// Without a loss or return for this long, work may be spread anew.
const STABILITY_PERIOD: Span = Span::from_millis(5_000);
/// Stores that are remembered at most.
const MAX_STORES_PER_REPORT: usize = 10_000;

#[derive(Clone, Debug)]
struct Report {
    received_at: Time,
    stores: Vec<StoreNode>,
}

/// What is known of the stores at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreView {
    /// Stores that some keeper sees.
    pub alive: BTreeMap<DiskId, StoreNode>,
    /// Stores of the map that have been seen by none for long enough to go on without them.
    pub lost: BTreeSet<DiskId>,
    /// Those of them that are lost beyond doubt.
    pub confirmed_lost: BTreeSet<DiskId>,
    /// Those of them that others should replace.
    pub replaceable: BTreeSet<DiskId>,
    /// Whether this keeper has run for long enough to have heard of every store that is alive.
    pub is_settled: bool,
    /// Whether the stores of the first start have had their time to come.
    pub is_initial_wait_over: bool,
    /// Whether nothing was lost and nothing came back for some seconds.
    pub is_stable: bool,
}

/// Collects what the keepers report of the stores, and turns it into a [`StoreView`].
#[derive(Clone, Debug)]
pub struct StoreTracker {
    reports: BTreeMap<DiskId, Report>,
    unseen_since: BTreeMap<DiskId, Time>,
    last_alive: BTreeSet<DiskId>,
    first_seen_at: Option<Time>,
    grace_until: Time,
    last_tick_at: Time,
    changed_at: Time,
}

impl StoreTracker {
    /// A tracker of a process that starts now.
    pub fn new(now: Time) -> Self {
        StoreTracker {
            reports: BTreeMap::new(),
            unseen_since: BTreeMap::new(),
            last_alive: BTreeSet::new(),
            first_seen_at: None,
            grace_until: now + STARTUP_GRACE_PERIOD,
            last_tick_at: now,
            changed_at: now,
        }
    }

    /// A keeper tells which stores it sees.
    pub fn record_report(&mut self, now: Time, keeper: DiskId, mut stores: Vec<StoreNode>) {
        stores.truncate(MAX_STORES_PER_REPORT);
        if !stores.is_empty() {
            self.first_seen_at.get_or_insert(now);
        }
        self.reports.insert(keeper, Report { received_at: now, stores });
    }

    /// Brings everything up to `now`. `placed` are the stores of the map in force.
    pub fn tick(&mut self, now: Time, placed: &[StoreNode]) -> StoreView {
        if now.since(self.last_tick_at) > PAUSE_THRESHOLD {
            self.grace_until = now + STARTUP_GRACE_PERIOD;
            self.unseen_since.clear();
        }
        self.last_tick_at = now;
        self.reports.retain(|_, report| now.since(report.received_at) <= REPORT_EXPIRY);
        let alive = self.alive();
        self.record_changes(now, &alive, placed);
        let unseen_for = |span: Span| -> BTreeSet<DiskId> {
            let since = self.unseen_since.iter();
            since.filter(|(_, since)| now.since(**since) >= span).map(|(disk, _)| *disk).collect()
        };
        let graced = now < self.grace_until;
        let lost_after = |span: Span| if graced { BTreeSet::new() } else { unseen_for(span) };
        StoreView {
            lost: lost_after(LOSS_TIMEOUT),
            confirmed_lost: lost_after(CONFIRMED_LOSS_TIMEOUT),
            replaceable: lost_after(REPLACEMENT_DELAY),
            is_settled: !graced,
            is_initial_wait_over: self
                .first_seen_at
                .is_some_and(|first| now.since(first) >= INITIAL_PLACEMENT_DELAY),
            is_stable: now.since(self.changed_at) >= STABILITY_PERIOD,
            alive,
        }
    }

    /// The earliest moment at which a store that is unseen now counts as lost, or as lost beyond doubt;
    /// [`Time::NEVER`] if there is none.
    pub fn next_loss_at(&self) -> Time {
        let unseen = self.unseen_since.values();
        let pending = unseen.flat_map(|since| [*since + LOSS_TIMEOUT, *since + CONFIRMED_LOSS_TIMEOUT]);
        pending.filter(|at| *at > self.last_tick_at).min().map_or(Time::NEVER, |at| at.max(self.grace_until))
    }

    fn alive(&self) -> BTreeMap<DiskId, StoreNode> {
        let mut by_age: Vec<&Report> = self.reports.values().collect();
        // Of two addresses of one store, the one that was reported last counts.
        by_age.sort_by_key(|report| report.received_at);
        let stores = by_age.into_iter().flat_map(|report| &report.stores);
        stores.map(|store| (store.disk, store.clone())).collect()
    }

    fn record_changes(&mut self, now: Time, alive: &BTreeMap<DiskId, StoreNode>, placed: &[StoreNode]) {
        let seen: BTreeSet<DiskId> = alive.keys().copied().collect();
        if seen != self.last_alive {
            self.changed_at = now;
            self.last_alive = seen;
        }
        let unseen: BTreeSet<DiskId> =
            placed.iter().map(|store| store.disk).filter(|disk| !alive.contains_key(disk)).collect();
        self.unseen_since.retain(|disk, _| unseen.contains(disk));
        for disk in unseen {
            self.unseen_since.entry(disk).or_insert(now);
        }
    }
}
