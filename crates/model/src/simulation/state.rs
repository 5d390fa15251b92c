//! What the world keeps of events to come, messages, calls and relays.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing::interface::{LimitReport, Outcome, Readiness, Status};
use juniperwing::time::{Span, Time};
use rand_chacha::ChaCha8Rng;

use crate::endpoint::CallId;
use crate::fleet::RelayPlan;
use crate::policy::Policy;
use crate::traffic::Arrival;

pub(super) enum SimulationEvent {
    /// A source brings its next notification.
    Arrival(usize, Box<Arrival>),
    Submit {
        notification: usize,
        relay: usize,
    },
    Withdraw {
        notification: usize,
    },
    RelayTurn {
        relay: usize,
        incarnation: u32,
    },
    Wake {
        relay: usize,
        incarnation: u32,
    },
    RelayInput {
        relay: usize,
        incarnation: u32,
        input: RelayInput,
    },
    /// A connection is asked for, and then the call reaches the endpoint.
    ConnectionRequest(CallId),
    RequestReceived(CallId),
    ServiceFinished(CallId),
    ResponseReceived {
        call: CallId,
        status: Status,
        wait: Option<Span>,
        limit: Option<LimitReport>,
    },
    PushTimeout {
        call: CallId,
        ntf: u64,
    },
    ConnectTimeout(CallId),
    CloseIdleConnections {
        relay: usize,
        endpoint: usize,
    },
    /// A trouble begins or ends.
    FaultBoundary(usize),
    EndpointDrain {
        endpoint: usize,
        terminates_after: Span,
    },
    EndpointTerminated(usize),
    RelayStart(usize),
    /// A second is over.
    SampleSecond,
}

/// What a relay is told with its next turn.
pub(super) enum RelayInput {
    Accepted(u64),
    Ended { outcome: Box<Outcome>, route: usize },
    EndpointChanges(Vec<(usize, Readiness)>),
    EndpointSnapshot,
    SubscriptionLost,
    Withdrawn(u64),
    NoticeDelivered(u64),
}

/// A notification as its client has it, over all times that it is handed in.
pub(super) struct ClientNotification {
    pub(super) topic: usize,
    pub(super) destination: usize,
    pub(super) account: Option<usize>,
    pub(super) benefit: f64,
    pub(super) submitted_at: Time,
    pub(super) valid_until: Time,
    pub(super) key: Option<String>,
    pub(super) work: f64,
    pub(super) resubmissions: u32,
    /// It was delivered, or its client has given up.
    pub(super) is_finished: bool,
    pub(super) is_delivered: bool,
    /// Under which id it is held, and where.
    pub(super) pending_as: Option<(usize, u64)>,
}

/// What a relay's folder holds of a notification.
#[derive(Clone, Debug)]
pub(super) struct PendingNotification {
    pub(super) notification: usize,
    pub(super) push_count: u32,
    pub(super) first_executed: Option<(Time, usize)>,
    pub(super) in_flight: Option<(Time, usize)>,
    pub(super) uncertain_since: Option<Time>,
    pub(super) has_final_answer: bool,
    /// Handed in in this turn and not answered yet.
    pub(super) is_unanswered: bool,
}

pub(super) struct CallItem {
    pub(super) ntf: u64,
    pub(super) notification: usize,
    pub(super) push: u32,
    pub(super) is_in_flight: bool,
    pub(super) is_ordered: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallState {
    InTransit,
    Queued,
    Running,
    Done,
}

pub(super) struct Call {
    pub(super) relay: usize,
    pub(super) endpoint: usize,
    pub(super) route: usize,
    pub(super) items: Vec<CallItem>,
    pub(super) sent_at: Time,
    pub(super) one_way_delay: Span,
    /// Its connection is up.
    pub(super) is_connected: bool,
    /// The relay still waits for it.
    pub(super) is_awaited: bool,
    pub(super) state: CallState,
    /// Its connection breaks once it has run.
    pub(super) breaks_after_service: bool,
}

pub(super) struct RelayProcess {
    pub(super) plan: RelayPlan,
    pub(super) policy: Option<Box<dyn Policy>>,
    pub(super) incarnation: u32,
    pub(super) is_running: bool,
    pub(super) inputs: Vec<RelayInput>,
    pub(super) next_turn_at: Option<Time>,
    pub(super) last_turn_at: Option<Time>,
    pub(super) wake_at: Time,
    pub(super) pending: BTreeMap<u64, PendingNotification>,
    pub(super) calls: BTreeSet<CallId>,
    /// Idle connections by endpoint, each with the time since when.
    pub(super) idle_connections: BTreeMap<usize, Vec<Time>>,
    pub(super) network_rng: ChaCha8Rng,
    pub(super) list_rng: ChaCha8Rng,
    pub(super) is_subscribed: bool,
    /// Changes of the list that could not be told.
    pub(super) unreported_changes: BTreeSet<usize>,
    pub(super) last_list_update_at: Time,
}

/// A token bucket for an account's share.
pub(super) struct QuotaBucket {
    pub(super) rate_per_s: f64,
    pub(super) tokens: f64,
    pub(super) refilled_at: Time,
    pub(super) over_quota_value: f64,
}
