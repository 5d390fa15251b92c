//! The history of a simulation: what its clients did and observed, in chronological order.

use std::sync::{Arc, Mutex};

use juniperwing_clock::Time;
use juniperwing_node::sync::lock;
use juniperwing_protocol::registry::InstanceState;
use sha2::{Digest, Sha256};

use crate::programs::{TurnContent, TurnId, TurnRequest};
use crate::scenario::ProcessId;

/// Identifies an order; its body contains it.
pub type OrderId = usize;

/// Something that a client did or observed, or that happened to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An operator submitted a configuration for the first time.
    OrderSubmitted {
        /// The order.
        order: OrderId,
        /// The configuration version that it replaces.
        base: u64,
        /// Its own configuration version.
        generation: u64,
    },
    /// A submission of an order had a response.
    OrderReplied {
        /// The order.
        order: OrderId,
        /// The HTTP status.
        status: u16,
        /// When the request was sent.
        requested_at: Time,
        /// The number of the keeper that responded.
        keeper: usize,
    },
    /// The operator stopped retrying an order without a conclusive response.
    OrderAbandoned {
        /// The order.
        order: OrderId,
    },
    /// A read of the configuration had a response.
    ConfigurationRead {
        /// The HTTP status.
        status: u16,
        /// When the request was sent.
        requested_at: Time,
        /// The number of the keeper that responded.
        keeper: usize,
        /// The order that the body belongs to; `None` if the body contains no order.
        order: Option<OrderId>,
    },
    /// A relay applied a configuration.
    RelayConfigurationApplied {
        /// The relay's number, from 1.
        relay: usize,
        /// The order that the body belongs to.
        order: Option<OrderId>,
    },
    /// A relay applied a change of an endpoint's state.
    RelayInstanceApplied {
        /// The relay's number, from 1.
        relay: usize,
        /// The identifier of the endpoint's incarnation.
        id: String,
        /// The new state.
        state: InstanceState,
    },
    /// A heartbeat (or deregistration) had a response.
    HeartbeatReplied {
        /// The identifier of the endpoint's incarnation.
        id: String,
        /// The state that it reported.
        state: InstanceState,
        /// The HTTP status.
        status: u16,
        /// The number of the keeper that responded.
        keeper: usize,
    },
    /// A heartbeat (or deregistration) had no valid response in time.
    HeartbeatFailed {
        /// The identifier of the endpoint's incarnation.
        id: String,
        /// The state that it reported.
        state: InstanceState,
    },
    /// This incarnation of the endpoint sends nothing more.
    EndpointStopped {
        /// The identifier of the endpoint's incarnation.
        id: String,
    },
    /// A client sent a turn to a relay.
    TurnRequested {
        /// The turn and the contents of the request.
        request: TurnRequest,
        /// The relay's number, from 1.
        relay: usize,
    },
    /// A turn was sent to an endpoint, after the stores had begun it.
    TurnBegun {
        /// The turn.
        turn: TurnId,
        /// The earlier turns that the endpoint received, oldest first; `None` if one of them was never requested.
        chain: Option<Vec<TurnContent>>,
    },
    /// A client received tokens of a turn.
    TokensSent {
        /// The turn.
        turn: TurnId,
        /// The number of tokens.
        tokens: u64,
    },
    /// The response to a turn was complete.
    TurnAnswered {
        /// The turn.
        turn: TurnId,
        /// The attempt whose content is stored; `None` if its route stores no turns.
        stored_attempt: Option<u64>,
    },
    /// The response to a turn broke off.
    TurnBrokenOff {
        /// The turn.
        turn: TurnId,
    },
    /// A turn was answered with 402, 404 or 503.
    TurnRefused {
        /// The turn.
        turn: TurnId,
        /// The HTTP status.
        status: u16,
        /// When the request was sent.
        requested_at: Time,
    },
    /// The retirement of a store machine was refused.
    RetirementRefused {
        /// The machine.
        store: ProcessId,
        /// The HTTP status.
        status: u16,
    },
    /// A keeper responded that the retirement of a store machine is completed, so the machine may be removed.
    RetirementCompleted {
        /// The machine.
        store: ProcessId,
    },
    /// A process started. A relay starts without state.
    ProcessStarted {
        /// The process.
        process: ProcessId,
    },
    /// A process that was asked to shut down has exited, or a relay was killed.
    ProcessStopped {
        /// The process.
        process: ProcessId,
    },
    /// A process exited without a shutdown request.
    ProcessExited {
        /// The process.
        process: ProcessId,
    },
    /// A log line of a process, or the beginning or end of a fault; ignored by the checker.
    Log(String),
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedEvent {
    /// When it was recorded.
    pub at: Time,
    /// The event.
    pub event: Event,
}

/// The events so far, with their times. Clones share the events.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<Vec<RecordedEvent>>>);

impl History {
    /// Appends an event.
    pub fn record(&self, now: Time, event: Event) {
        lock(&self.0).push(RecordedEvent { at: now, event });
    }

    /// Removes and returns all events in chronological order.
    pub fn take(&self) -> Vec<RecordedEvent> {
        let mut all = std::mem::take(&mut *lock(&self.0));
        all.sort_by_key(|recorded| recorded.at);
        all
    }
}

/// A digest of a whole history, as lower-case hexadecimal digits. Equal digests mean equal histories.
pub fn digest(history: &[RecordedEvent]) -> String {
    let mut hasher = Sha256::new();
    for RecordedEvent { at, event } in history {
        hasher.update(format!("{} {event:?}\n", at.since(Time::default()).as_nanos()));
    }
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}
