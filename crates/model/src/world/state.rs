//! What the world keeps of events to come, messages, calls and relays.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing::interface::{CallStatus, PushOutcome, RateLimitReport, Readiness};
use juniperwing::time::{Span, Time};
use rand_chacha::ChaCha8Rng;

use crate::clients::Arrival;
use crate::endpoint::CallId;
use crate::fleet::RelayPlan;
use crate::policy::Policy;

pub(super) enum Happens {
    /// A source brings its next notification.
    Draw(usize, Box<Arrival>),
    HandIn {
        message: usize,
        relay: usize,
    },
    TakenBack {
        message: usize,
    },
    Turn {
        relay: usize,
        life: u32,
    },
    Wake {
        relay: usize,
        life: u32,
    },
    Tell {
        relay: usize,
        life: u32,
        told: Told,
    },
    /// A connection is asked for, and then the call reaches the endpoint.
    Connect(CallId),
    Reach(CallId),
    Served(CallId),
    Back {
        call: CallId,
        status: CallStatus,
        wait: Option<Span>,
        limit: Option<RateLimitReport>,
    },
    Due {
        call: CallId,
        ntf: u64,
    },
    ConnectDue(CallId),
    Retire {
        relay: usize,
        endpoint: usize,
    },
    /// A trouble begins or ends.
    Edge(usize),
    Drain {
        endpoint: usize,
        gone_after: Span,
    },
    Gone(usize),
    Start(usize),
    /// A second is over.
    Second,
}

/// What a relay is told with its next turn.
pub(super) enum Told {
    Accepted(u64),
    Ended { outcome: Box<PushOutcome>, lane: usize },
    List(Vec<(usize, Readiness)>),
    Whole,
    Broken,
    Withdrawn(u64),
    Heard(u64),
}

/// A notification as its client has it, over all times that it is handed in.
pub(super) struct Message {
    pub(super) topic: usize,
    pub(super) destination: usize,
    pub(super) account: Option<usize>,
    pub(super) benefit: f64,
    pub(super) born: Time,
    pub(super) valid_until: Time,
    pub(super) key: Option<String>,
    pub(super) work: f64,
    pub(super) again: u32,
    /// It was delivered, or its client has given up.
    pub(super) done: bool,
    pub(super) delivered: bool,
    /// Under which id it is held, and where.
    pub(super) held: Option<(usize, u64)>,
}

/// What a relay's folder holds of a notification.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) message: usize,
    pub(super) pushes: u32,
    pub(super) ran: Option<(Time, usize)>,
    pub(super) out: Option<(Time, usize)>,
    pub(super) doubt: Option<Time>,
    pub(super) ended: bool,
    /// Handed in in this turn and not answered yet.
    pub(super) fresh: bool,
}

pub(super) struct Member {
    pub(super) ntf: u64,
    pub(super) message: usize,
    pub(super) push: u32,
    pub(super) out: bool,
    pub(super) ordered: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Where {
    Flying,
    Waiting,
    Running,
    Done,
}

pub(super) struct Call {
    pub(super) relay: usize,
    pub(super) endpoint: usize,
    pub(super) lane: usize,
    pub(super) members: Vec<Member>,
    pub(super) sent: Time,
    pub(super) one_way: Span,
    /// Its connection is up.
    pub(super) up: bool,
    /// The relay still waits for it.
    pub(super) open: bool,
    pub(super) place: Where,
    /// Its connection breaks once it has run.
    pub(super) breaks: bool,
}

pub(super) struct Node {
    pub(super) plan: RelayPlan,
    pub(super) policy: Option<Box<dyn Policy>>,
    pub(super) life: u32,
    pub(super) up: bool,
    pub(super) inbox: Vec<Told>,
    pub(super) turn_at: Option<Time>,
    pub(super) last_turn: Option<Time>,
    pub(super) wake: Time,
    pub(super) held: BTreeMap<u64, Held>,
    pub(super) calls: BTreeSet<CallId>,
    /// Idle connections by endpoint, each with the time since when.
    pub(super) idle: BTreeMap<usize, Vec<Time>>,
    pub(super) chance: ChaCha8Rng,
    pub(super) list: ChaCha8Rng,
    pub(super) watches: bool,
    /// Changes of the list that could not be told.
    pub(super) missed: BTreeSet<usize>,
    pub(super) told_until: Time,
}

/// A token bucket for an account's share.
pub(super) struct Share {
    pub(super) quota: f64,
    pub(super) left: f64,
    pub(super) at: Time,
    pub(super) over: f64,
}
