//! Replies to operators' orders: their status and JSON body.

use juniperwing_control::{ControlState, RetirementState};
use juniperwing_protocol::registry::OrderReply;
use serde::Serialize;

/// The HTTP status of an order without a definite outcome.
pub(super) const STATUS_UNAVAILABLE: u16 = 503;

/// The JSON body of an error.
#[derive(Serialize)]
struct ErrorBody<'text> {
    error: &'text str,
    /// The current generation, if the order builds on another one.
    #[serde(skip_serializing_if = "Option::is_none")]
    current: Option<u64>,
}

/// The JSON body with the state of a retirement.
#[derive(Serialize)]
struct RetirementStateBody {
    state: &'static str,
}

/// A reply with a JSON body.
pub(super) fn json_reply(status: u16, body: &impl Serialize) -> OrderReply {
    // Serializing structures of numbers and text does not fail.
    OrderReply { status, body: serde_json::to_vec(body).unwrap_or_default() }
}

/// The order was executed.
pub(super) fn accepted_reply() -> OrderReply {
    json_reply(200, &serde_json::json!({}))
}

/// No definite outcome: the order may or may not take effect, and should be sent again.
pub(super) fn unavailable_reply() -> OrderReply {
    error_reply(STATUS_UNAVAILABLE, "no primary can be reached")
}

/// The current configuration.
pub(super) fn configuration_reply(state: &ControlState) -> OrderReply {
    match &state.configuration {
        Some(configuration) => OrderReply { status: 200, body: configuration.body.to_vec() },
        None => error_reply(404, "no configuration yet"),
    }
}

/// The state of a store machine's retirement.
pub(super) fn retirement_state_reply(state: RetirementState) -> OrderReply {
    let state = match state {
        RetirementState::Active => "active",
        RetirementState::Completed => "completed",
    };
    json_reply(200, &RetirementStateBody { state })
}

/// No store machine of this name is known, or it was never retired.
pub(super) fn unknown_machine_reply() -> OrderReply {
    error_reply(404, "no such machine")
}

/// The order builds on another generation than the `current` one.
pub(super) fn stale_reply(current: u64) -> OrderReply {
    let error = "builds on another version than the current one";
    json_reply(412, &ErrorBody { error, current: Some(current) })
}

/// A reply with an error message.
pub(super) fn error_reply(status: u16, error: &str) -> OrderReply {
    json_reply(status, &ErrorBody { error, current: None })
}
