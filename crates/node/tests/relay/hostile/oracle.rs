//! The test oracle: checks what the clients and endpoints of a test case received.

use std::collections::BTreeMap;

use snafu::ResultExt;

use super::case_state::CaseState;
use super::client::{ObservedResponse, Outcome};
use super::responses::failure;
use super::script::{EVENTS, RequestPlan, request_body, response_body};
use super::violation::{ResponseViolation, Violation, WrongResponseSnafu};
use super::wire::{split_head, split_length};

/// Checks a test case.
///
/// # Errors
///
/// Returns the first violation.
pub fn check_case(
    plans: &BTreeMap<String, RequestPlan>, outcomes: &[Outcome], case: &CaseState,
) -> Result<(), Violation> {
    let mut arrivals: BTreeMap<String, usize> = BTreeMap::new();
    for stream in case.streams.lock().unwrap().iter() {
        for id in requests_in(&stream.lock().unwrap(), plans)? {
            *arrivals.entry(id).or_default() += 1;
        }
    }
    let declined = case.declined.lock().unwrap();
    let executions = |id: &str| {
        let declined = declined.iter().filter(|declined| *declined == id).count();
        arrivals.get(id).copied().unwrap_or(0) - declined
    };
    for (id, plan) in plans {
        if !plan.kind.is_retryable() && executions(id) > 1 {
            return Err(Violation::ExecutedRepeatedly { id: id.clone(), executions: executions(id) });
        }
    }
    for Outcome { id, response } in outcomes {
        let Some(response) = response else { continue };
        check_response(id, &plans[id], response, executions(id))
            .with_context(|_| WrongResponseSnafu { id, response: format!("{response:?}") })?;
    }
    Ok(())
}

/// Returns the ids of the requests on a connection, after checking that each is as its client sent it. The last one may
/// be truncated.
fn requests_in(bytes: &[u8], plans: &BTreeMap<String, RequestPlan>) -> Result<Vec<String>, Violation> {
    let (mut ids, mut bytes) = (Vec::new(), bytes);
    while !bytes.is_empty() {
        let Some(split) = split_head(bytes) else { break };
        let (head, rest) = split?;
        let id = head
            .header("x-request-id")
            .ok_or_else(|| Violation::MissingRequestId { head: format!("{head:?}") })?
            .to_owned();
        let plan = plans.get(&id).ok_or_else(|| Violation::UnknownRequest { head: format!("{head:?}") })?;
        let line = format!("POST {}{id} HTTP/1.1", plan.kind.prefix());
        let lengths: Vec<&str> = head.all("content-length").collect();
        let framed = match lengths.as_slice() {
            [] => plan.body == 0,
            [length] => *length == plan.body.to_string(),
            _ => false,
        };
        if head.line != line || !framed || head.header("transfer-encoding").is_some() {
            return Err(Violation::ChangedRequest { head: format!("{head:?}") });
        }
        let body = split_length(rest, plan.body);
        if !request_body(&id, plan.body).starts_with(&body.data) {
            return Err(Violation::ChangedRequestBody { id });
        }
        ids.push(id);
        bytes = body.rest;
    }
    Ok(ids)
}

fn check_response(
    id: &str, plan: &RequestPlan, response: &ObservedResponse, executions: usize,
) -> Result<(), ResponseViolation> {
    let status =
        response.head.line.strip_prefix("HTTP/1.1 ").and_then(|line| line.get(..3)).unwrap_or_default();
    let signature = response.head.header("x-server-signature");
    if response.head.all("x-request-id").any(|other| other != id) {
        return Err(ResponseViolation::WrongId);
    }
    match status {
        "200" => {
            if signature != Some(&format!("by-{id}")) {
                return Err(ResponseViolation::UnsignedSuccess);
            }
            check_success(id, plan, response)
        }
        "500" => {
            let expected = failure(id);
            let is_prefix = expected.as_bytes().starts_with(&response.body);
            let has_expected_length = !response.is_complete || expected.len() == response.body.len();
            if is_prefix && has_expected_length { Ok(()) } else { Err(ResponseViolation::WrongError) }
        }
        "408" | "421" | "429" | "503" if signature.is_some() => Err(ResponseViolation::SignedRelayResponse),
        "408" | "421" | "429" | "503" if executions > 0 && !plan.kind.is_retryable() => {
            Err(ResponseViolation::FalselyNotExecuted)
        }
        "408" | "421" | "429" | "503" => Ok(()),
        "502" | "504" if signature.is_some() => Err(ResponseViolation::SignedRelayResponse),
        "502" | "504" => Ok(()),
        _ => Err(ResponseViolation::UnexpectedStatus),
    }
}

fn check_success(id: &str, plan: &RequestPlan, response: &ObservedResponse) -> Result<(), ResponseViolation> {
    let expected = response_body(id, plan.kind, 0);
    if !expected.starts_with(&response.body) {
        return Err(ResponseViolation::WrongBytes);
    }
    if response.is_complete && expected.len() != response.body.len() {
        return Err(ResponseViolation::UndetectedTruncation);
    }
    let at_event = (0..=EVENTS)
        .any(|after| expected.len() - response_body(id, plan.kind, after).len() == response.body.len());
    // A client may disconnect within an event.
    if plan.kind.is_stream() && !at_event && !response.client_disconnected {
        return Err(ResponseViolation::PartialEvent);
    }
    Ok(())
}
