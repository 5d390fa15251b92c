//! Reads the body of a heartbeat.

use std::net::SocketAddr;

use juniperwing_protocol::registry::{Instance, InstanceState};
use juniperwing_protocol::{InstanceId, ServiceName};
use serde::{Deserialize, Serialize};

/// The longest text in any field, in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// What is wrong with a body, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldError {
    /// The field; empty for the whole body.
    #[serde(rename = "place")]
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

/// The fields that matter here; all others are passed over.
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

/// The instance that the body of `PUT /instances/ID` tells of.
///
/// # Errors
///
/// All that is wrong, each with its field.
pub fn parse_heartbeat(id: &str, body: &[u8]) -> Result<Instance, Vec<FieldError>> {
    let message: HeartbeatBody = match serde_json::from_slice(body) {
        Ok(message) => message,
        Err(error) => return Err(vec![field_error("", error)]),
    };
    let mut findings = Vec::new();
    check_text("id", id, &mut findings);
    check_text("backend", &message.backend, &mut findings);
    check_text("zone", &message.zone, &mut findings);
    let address = message.address.parse::<SocketAddr>();
    if let Err(error) = &address {
        findings.push(field_error("address", error));
    }
    let state = parse_state(&message.state);
    if state.is_none() {
        findings.push(field_error("state", "neither ready nor draining"));
    }
    if message.sequence.is_none() {
        findings.push(field_error("sequence", "missing"));
    }
    let capacity = message.capacity.unwrap_or(1.0);
    if !(0.0..=f64::from(u32::MAX)).contains(&capacity) {
        findings.push(field_error("capacity", "not a number of requests"));
    }
    match (address, state, message.sequence) {
        (Ok(address), Some(state), Some(sequence)) if findings.is_empty() => Ok(Instance {
            id: InstanceId::from(id),
            service: ServiceName::from(message.backend.as_str()),
            address,
            zone: message.zone.as_str().into(),
            capacity: capacity as u32,
            state,
            sequence,
        }),
        _ => Err(findings),
    }
}

fn parse_state(text: &str) -> Option<InstanceState> {
    match text {
        "ready" => Some(InstanceState::Ready),
        "draining" => Some(InstanceState::Draining),
        _ => None,
    }
}

fn check_text(field: &str, text: &str, findings: &mut Vec<FieldError>) {
    if text.is_empty() {
        findings.push(field_error(field, "missing or empty"));
    } else if text.len() > MAX_TEXT_BYTES {
        findings.push(field_error(field, format_args!("longer than {MAX_TEXT_BYTES} bytes")));
    }
}

fn field_error(place: &str, problem: impl ToString) -> FieldError {
    FieldError { field: place.to_owned(), problem: problem.to_string() }
}
