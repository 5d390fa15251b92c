//! Parses and validates the JSON body of an endpoint's heartbeat.

use std::net::SocketAddr;

use juniperwing_protocol::registry::{Instance, InstanceState};
use juniperwing_protocol::{InstanceId, ServiceName};
use serde::{Deserialize, Serialize};

/// Maximum length of a text field, in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// An invalid field of a request body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldError {
    /// The name of the field; empty if the body as a whole is invalid.
    #[serde(rename = "place")]
    pub field: String,
    /// What is wrong with the field.
    pub problem: String,
}

/// The fields that discovery uses; all others are ignored.
#[derive(Deserialize)]
struct HeartbeatBody {
    #[serde(default)]
    backend: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    zone: String,
    capacity: Option<f64>,
    #[serde(default)]
    state: String,
    sequence: Option<u64>,
}

/// Parses the body of `PUT /instances/ID`.
///
/// # Errors
///
/// All invalid fields.
pub fn parse_heartbeat(id: &str, body: &[u8]) -> Result<Instance, Vec<FieldError>> {
    let body: HeartbeatBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return Err(vec![field_error("", error)]),
    };
    let mut errors = Vec::new();
    check_text("id", id, &mut errors);
    check_text("backend", &body.backend, &mut errors);
    check_text("zone", &body.zone, &mut errors);
    let address = body.address.parse::<SocketAddr>();
    if let Err(error) = &address {
        errors.push(field_error("address", error));
    }
    let state = parse_state(&body.state);
    if state.is_none() {
        errors.push(field_error("state", "neither ready nor draining"));
    }
    if body.sequence.is_none() {
        errors.push(field_error("sequence", "missing"));
    }
    let capacity = body.capacity.unwrap_or(1.0);
    if !(0.0..=f64::from(u32::MAX)).contains(&capacity) {
        errors.push(field_error("capacity", "not a number of requests"));
    }
    match (address, state, body.sequence) {
        (Ok(address), Some(state), Some(sequence)) if errors.is_empty() => Ok(Instance {
            id: InstanceId::from(id),
            service: ServiceName::from(body.backend.as_str()),
            address,
            zone: body.zone.as_str().into(),
            capacity: capacity as u32,
            state,
            sequence,
        }),
        _ => Err(errors),
    }
}

fn parse_state(text: &str) -> Option<InstanceState> {
    match text {
        "ready" => Some(InstanceState::Ready),
        "draining" => Some(InstanceState::Draining),
        _ => None,
    }
}

fn check_text(field: &str, text: &str, errors: &mut Vec<FieldError>) {
    if text.is_empty() {
        errors.push(field_error(field, "missing or empty"));
    } else if text.len() > MAX_TEXT_BYTES {
        errors.push(field_error(field, format_args!("longer than {MAX_TEXT_BYTES} bytes")));
    }
}

fn field_error(field: &str, problem: impl ToString) -> FieldError {
    FieldError { field: field.to_owned(), problem: problem.to_string() }
}
