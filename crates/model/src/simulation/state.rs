//! The state of a simulation: pending events, notifications, calls and relays.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing::interface::{CallStatus, PushOutcome, RateLimitReport, Readiness};
use juniperwing::time::{Span, Time};
use rand_chacha::ChaCha8Rng;

use crate::endpoint::CallId;
use crate::fleet::RelayPlan;
use crate::metrics::Submission;
use crate::policy::Policy;
use crate::traffic::Arrival;

/// An event of the simulation. Relays, endpoints, notifications and faults are identified by index.
pub(super) enum SimulationEvent {
    /// A traffic source generates its next notification.
    Arrival {
        source: usize,
        arrival: Box<Arrival>,
    },
    /// A client submits a notification, for the first time or again.
    Submit {
        notification: usize,
        relay: usize,
    },
    /// A client withdraws a notification.
    Withdraw {
        notification: usize,
    },
    RelayTurn {
        relay: usize,
        incarnation: u32,
    },
    /// A wake-up that a relay requested.
    Wake {
        relay: usize,
        incarnation: u32,
    },
    /// An input reaches a relay.
    RelayInput {
        relay: usize,
        incarnation: u32,
        input: RelayInput,
    },
    /// A connection request reaches its endpoint.
    ConnectionRequest(CallId),
    /// The last byte of a call reaches its endpoint.
    RequestReceived(CallId),
    ServiceFinished(CallId),
    /// An answer or the break of a connection reaches the relay.
    ResponseReceived {
        call: CallId,
        response: Response,
    },
    PushTimeout {
        call: CallId,
        notification_id: u64,
    },
    ConnectTimeout(CallId),
    /// Connections between a relay and an endpoint may have reached the idle timeout.
    CloseIdleConnections {
        relay: usize,
        endpoint: usize,
    },
    /// A fault begins or ends.
    FaultBoundary(usize),
    EndpointDrain {
        endpoint: usize,
        terminates_after: Span,
    },
    EndpointTerminated(usize),
    RelayStart(usize),
    /// The end of a second.
    SampleSecond,
}

/// The response of an endpoint to a call.
#[derive(Clone, Copy)]
pub(super) struct Response {
    pub(super) status: CallStatus,
    /// The retry-after, if the response has one.
    pub(super) retry_after: Option<Span>,
    pub(super) rate_limit: Option<RateLimitReport>,
}

impl Response {
    /// A response with a status only.
    pub(super) fn of(status: CallStatus) -> Response {
        Response { status, retry_after: None, rate_limit: None }
    }
}

/// An input of a relay, handled in its next turn.
pub(super) enum RelayInput {
    Accepted(u64),
    PushEnded {
        outcome: Box<PushOutcome>,
        route: usize,
    },
    EndpointChanges(Vec<(usize, Readiness)>),
    EndpointSnapshot,
    SubscriptionLost,
    Withdrawn(u64),
    /// The client has received the final answer.
    NoticeDelivered(u64),
}

/// The relay at which a notification is pending, and its id there.
#[derive(Clone, Copy)]
pub(super) struct PendingAt {
    pub(super) relay: usize,
    pub(super) notification_id: u64,
}

/// The state of a notification at its client, over all its submissions.
pub(super) struct ClientNotification {
    pub(super) submission: Submission,
    pub(super) destination: usize,
    pub(super) valid_until: Time,
    pub(super) key: Option<String>,
    /// Service time at a speed of 1, in seconds.
    pub(super) work_s: f64,
    pub(super) resubmissions: u32,
    /// Whether it was delivered or its client has given up.
    pub(super) is_finished: bool,
    pub(super) is_delivered: bool,
    pub(super) pending_at: Option<PendingAt>,
}

/// When a push was sent, and the zone that it was sent to.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentPush {
    pub(super) at: Time,
    pub(super) zone: usize,
}

/// The state of a notification in the storage of a relay.
#[derive(Clone, Debug)]
pub(super) struct PendingNotification {
    pub(super) notification: usize,
    pub(super) push_count: u32,
    /// The first push that may have been executed.
    pub(super) first_executed: Option<SentPush>,
    pub(super) in_flight: Option<SentPush>,
    /// When the latest push ended that may still be executing.
    pub(super) uncertain_since: Option<Time>,
    pub(super) has_final_answer: bool,
    /// Whether the relay has not yet responded to the submission.
    pub(super) is_unanswered: bool,
}

impl PendingNotification {
    pub(super) fn new(notification: usize) -> PendingNotification {
        PendingNotification {
            notification,
            push_count: 0,
            first_executed: None,
            in_flight: None,
            uncertain_since: None,
            has_final_answer: false,
            is_unanswered: true,
        }
    }
}

/// A push that a relay requests.
#[derive(Clone, Copy)]
pub(super) struct PushRequest {
    pub(super) notification_id: u64,
    pub(super) timeout: Span,
}

/// One notification in a call.
pub(super) struct CallItem {
    pub(super) notification_id: u64,
    pub(super) notification: usize,
    pub(super) push: u32,
    /// Whether the relay has no outcome of the push yet.
    pub(super) is_in_flight: bool,
    pub(super) is_ordered: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallState {
    /// Between relay and endpoint.
    InTransit,
    /// In the queue of the endpoint.
    Queued,
    Running,
    /// The endpoint has finished with it, or never received it.
    Done,
}

/// A call, which carries one or more pushes.
pub(super) struct Call {
    pub(super) relay: usize,
    pub(super) endpoint: usize,
    pub(super) route: usize,
    pub(super) items: Vec<CallItem>,
    pub(super) sent_at: Time,
    pub(super) one_way_delay: Span,
    /// Whether it has a connection.
    pub(super) is_connected: bool,
    /// Whether the relay still waits for it.
    pub(super) is_awaited: bool,
    pub(super) state: CallState,
    /// Whether its connection breaks after the service.
    pub(super) breaks_after_service: bool,
}

/// A relay with its process, storage and connections.
pub(super) struct RelayProcess {
    pub(super) plan: RelayPlan,
    /// `None` while the process is down.
    pub(super) policy: Option<Box<dyn Policy>>,
    /// Incremented whenever the process stops; events for an earlier process are dropped.
    pub(super) incarnation: u32,
    pub(super) is_running: bool,
    /// Inputs for the next turn.
    pub(super) inputs: Vec<RelayInput>,
    pub(super) next_turn_at: Option<Time>,
    pub(super) last_turn_at: Option<Time>,
    pub(super) wake_at: Time,
    /// The contents of its storage, kept across restarts unless the storage is lost.
    pub(super) pending: BTreeMap<u64, PendingNotification>,
    pub(super) calls: BTreeSet<CallId>,
    /// By endpoint: since when each idle connection has been idle, the oldest first.
    pub(super) idle_connections: BTreeMap<usize, Vec<Time>>,
    pub(super) network_rng: ChaCha8Rng,
    pub(super) list_rng: ChaCha8Rng,
    /// Whether it is subscribed to changes of the endpoint list.
    pub(super) is_subscribed: bool,
    /// Endpoints with changes that it has not been notified of.
    pub(super) unreported_changes: BTreeSet<usize>,
    /// When the latest change of the list reaches it. Later changes arrive no earlier, to keep their order.
    pub(super) last_list_update_at: Time,
}

impl RelayProcess {
    pub(super) fn new(plan: RelayPlan, network_rng: ChaCha8Rng, list_rng: ChaCha8Rng) -> RelayProcess {
        RelayProcess {
            plan,
            policy: None,
            incarnation: 0,
            is_running: false,
            inputs: Vec::new(),
            next_turn_at: None,
            last_turn_at: None,
            wake_at: Time::NEVER,
            pending: BTreeMap::new(),
            calls: BTreeSet::new(),
            idle_connections: BTreeMap::new(),
            network_rng,
            list_rng,
            is_subscribed: false,
            unreported_changes: BTreeSet::new(),
            last_list_update_at: Time::default(),
        }
    }
}

/// The token bucket of an account's quota.
pub(super) struct QuotaBucket {
    /// Notifications a second.
    pub(super) rate_per_s: f64,
    pub(super) tokens: f64,
    pub(super) refilled_at: Time,
    /// The fraction of its benefit that a notification above the quota earns.
    pub(super) over_quota_benefit_fraction: f64,
}

impl QuotaBucket {
    /// Creates a full bucket.
    pub(super) fn new(rate_per_s: f64, over_quota_benefit_fraction: f64) -> QuotaBucket {
        QuotaBucket {
            rate_per_s,
            tokens: rate_per_s,
            refilled_at: Time::default(),
            over_quota_benefit_fraction,
        }
    }

    /// Counts a notification and returns the fraction of its benefit that it earns.
    pub(super) fn take(&mut self, at: Time) -> f64 {
        let refill = self.rate_per_s * at.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + refill).min(self.rate_per_s.max(1.0));
        self.refilled_at = self.refilled_at.max(at);
        if self.tokens < 1.0 {
            return self.over_quota_benefit_fraction;
        }
        self.tokens -= 1.0;
        1.0
    }
}
