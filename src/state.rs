//! What the parts of the decision module remember, and plain facts that follow from it. Nothing here
//! decides, and no tuned value stands here: that is for `rules`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use juniperwing_restart::{LatencyModel, SlotTimes};

use crate::interface::{
    DestinationId, EndpointEntry, EndpointId, Notification, NotificationHistory, NotificationId, PossibleRun,
    Readiness, RelayConfig,
};
use crate::mail::Call;
use crate::time::{Span, Time};

/// The notifications of one key, and whether the first has its turn.
#[derive(Default)]
pub(crate) struct Line {
    pub(crate) waiting: VecDeque<(NotificationId, DestinationId)>,
    pub(crate) granted: bool,
    pub(crate) rest_until: Time,
}

/// The keys in use.
#[derive(Default)]
pub(crate) struct Turns {
    pub(crate) lines: BTreeMap<String, Line>,
}

/// A call that is out, or has not all its outcomes.
pub(crate) struct Out {
    pub(crate) to: DestinationId,
    pub(crate) at: Time,
    /// For how long nothing had been sent there.
    pub(crate) idle: Span,
    pub(crate) overdue_at: Time,
    pub(crate) ntfs: Vec<NotificationId>,
    pub(crate) answered: bool,
}

impl Out {
    /// Whether it is overdue and has shown no outcome.
    pub(crate) fn lost(&self, now: Time) -> bool {
        !self.answered && self.overdue_at <= now
    }
}

/// The health of an endpoint and the calls out to it.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) terms: Arc<RelayConfig>,
    pub(crate) entry: EndpointEntry,
    pub(crate) outs: Vec<Out>,
    pub(crate) used: Time,
    pub(crate) delivered: Option<Time>,
    /// Failures less deliveries, and when a connection was first refused since the last of these.
    pub(crate) streak: usize,
    pub(crate) refused: Option<Time>,
    /// Connections are not to be idle for that long, as last told at the second time.
    pub(crate) stale: Option<(Span, Time)>,
    /// Set aside: the next call not before then.
    pub(crate) aside: Option<Time>,
    /// The gap between this relay's calls in an outage, were all of the capacity there.
    pub(crate) gap: Span,
}

impl Endpoint {
    pub(crate) fn new(terms: Arc<RelayConfig>) -> Self {
        Endpoint { terms, ..Endpoint::default() }
    }

    /// Notes that a call has gone out.
    pub(crate) fn sent(&mut self, call: &Call, now: Time) {
        let idle = now.since(std::mem::replace(&mut self.used, now));
        let ntfs = call.pushes.iter().map(|push| push.0).collect();
        let overdue_at = now + call.overdue;
        self.outs.push(Out { to: call.destination, at: now, idle, overdue_at, ntfs, answered: false });
    }

    /// Whether it is off the list, with no call out.
    pub(crate) fn gone(&self) -> bool {
        self.entry.readiness == Readiness::Deleted && self.outs.is_empty()
    }
}

/// The waits and limits of a destination.
#[derive(Default)]
pub(crate) struct Lane {
    pub(crate) terms: Arc<RelayConfig>,
    pub(crate) wait_until: Time,
    pub(crate) pause_until: Time,
    /// Calls out, and how many may be, by what the lane has shown lately.
    pub(crate) out: usize,
    pub(crate) window: f64,
    pub(crate) last_sent: Time,
    /// The limit, told or else listed, in calls a second over all relays; and refusals in a row.
    pub(crate) rate: f64,
    pub(crate) told: bool,
    pub(crate) refused: i32,
    /// The gap that this relay keeps between its calls, by what it was told of the limit.
    pub(crate) pace: Span,
    pub(crate) handed: (f64, Span),
    pub(crate) gap: Span,
    /// Back at the first time: calls from the second on, doubling with each of so many delivered.
    pub(crate) back: Option<(Time, Time, i32)>,
}

/// A notification that has no final answer yet, or whose client has not heard it.
#[derive(Debug, Default)]
pub(crate) struct Held {
    pub(crate) ntf: Notification,
    /// What was done with it, before a restart too. Once ended, the next of its key waits till it was heard.
    pub(crate) past: NotificationHistory,
    pub(crate) taken: Time,
    pub(crate) turn: bool,
    /// When and to which zone the push now out was sent; the endpoint of the latest.
    pub(crate) out: Option<PossibleRun>,
    pub(crate) last: Option<EndpointId>,
    pub(crate) over: bool,
}

impl Held {
    /// Whether its effect allows a second run at all.
    pub(crate) fn again(&self) -> bool {
        self.ntf.topic.semantics.is_retryable()
    }
}

/// What a destination was handed, its endpoints and its latencies.
#[derive(Default)]
pub(crate) struct Destination {
    pub(crate) terms: Arc<RelayConfig>,
    pub(crate) id: DestinationId,
    pub(crate) per_call: usize,
    /// Its endpoints, by id, with their zones, and where the rotation stands.
    pub(crate) ends: Vec<(EndpointId, Arc<str>)>,
    pub(crate) next: usize,
    /// Endpoints asked so far for the slot at hand, and from when one that declined may take it.
    pub(crate) asked: usize,
    pub(crate) again: Time,
    pub(crate) held: Vec<Held>,
    /// When it was handed notifications of late, and since when that is known.
    pub(crate) handed: VecDeque<Time>,
    pub(crate) born: Option<Time>,
    pub(crate) latencies: LatencyModel,
    /// What may have run without a delivery since, by endpoint and topic type: how often, and when last.
    pub(crate) failing: BTreeMap<(EndpointId, String), (u32, Time)>,
}

impl Destination {
    pub(crate) fn new(id: DestinationId, terms: Arc<RelayConfig>) -> Self {
        Destination { id, terms, ..Destination::default() }
    }

    /// Takes in what the list says of one of its endpoints.
    pub(crate) fn list(&mut self, entry: EndpointEntry) {
        self.per_call = entry.kind.max_notifications_per_call.max(1);
        self.ends.retain(|end| end.0 != entry.endpoint);
        if entry.readiness == Readiness::Serving {
            self.ends.push((entry.endpoint, entry.zone));
            self.ends.sort();
        }
        self.failing.retain(|key, _| self.ends.iter().any(|end| end.0 == key.0));
    }

    /// Holds one more notification, handed in now.
    pub(crate) fn hold(&mut self, ntf: Notification, now: Time, turn: bool) {
        let (past, over) = (ntf.history.clone(), ntf.history.has_final_answer);
        self.held.push(Held { ntf, past, taken: now, turn, over, ..Held::default() });
        self.handed.push_back(now);
    }

    /// Notes that a call has gone out; `None` if its endpoint has left the list since.
    pub(crate) fn sent(&mut self, call: &Call, now: Time) -> Option<()> {
        let place = self.ends.iter().position(|end| end.0 == call.endpoint)?;
        self.next = place + 1;
        for held in self.held.iter_mut().filter(|h| call.pushes.iter().any(|p| p.0 == h.ntf.id)) {
            held.past.push_count += 1;
            held.out = Some(PossibleRun { sent_at: now, zone: self.ends[place].1.clone() });
            held.last = Some(call.endpoint.clone());
        }
        Some(())
    }

    pub(crate) fn holds(&self, ntf: NotificationId) -> bool {
        self.held.iter().any(|held| held.ntf.id == ntf)
    }

    pub(crate) fn change(&mut self, id: NotificationId, change: impl FnMut(&mut Held)) {
        self.held.iter_mut().filter(|held| held.ntf.id == id).for_each(change);
    }
}

/// The slots of the relay.
#[derive(Default)]
pub(crate) struct Slots {
    /// Whether a destination was asked to take a slot, and has not said yet.
    pub(crate) offered: bool,
    pub(crate) times: SlotTimes<DestinationId>,
}

/// The list of endpoints.
#[derive(Default)]
pub(crate) struct Book {
    pub(crate) entries: BTreeMap<EndpointId, EndpointEntry>,
    /// What an earlier process held, until discovery has spoken or is known not to.
    pub(crate) early: Option<Vec<EndpointEntry>>,
    /// Requests failed in a row, and whether it will ask again.
    pub(crate) failures: i32,
    pub(crate) pausing: bool,
}

impl Book {
    /// The entries that a whole list leaves out, as deleted.
    pub(crate) fn missing_from(&self, whole: &[EndpointEntry]) -> Vec<EndpointEntry> {
        let named: BTreeSet<&EndpointId> = whole.iter().map(|entry| &entry.endpoint).collect();
        let gone = self.entries.values().filter(|old| !named.contains(&old.endpoint));
        gone.map(|old| EndpointEntry { readiness: Readiness::Deleted, ..old.clone() }).collect()
    }
}
