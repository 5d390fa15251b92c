//! Judges a case by what its clients got and what its endpoints were sent.

use std::collections::HashMap;

use super::client::{ClientAnswer, Outcome};
use super::endpoint::{Stage, failure};
use super::script::{EVENTS, RequestPlan, answer_body, request_body};
use super::wire::{split_head, split_length};

/// Judges a case.
///
/// # Errors
///
/// The first thing that is wrong.
pub fn judge(
    plans: &HashMap<String, RequestPlan>, outcomes: &[Outcome], stage: &Stage,
) -> Result<(), String> {
    let mut arrivals: HashMap<String, usize> = HashMap::new();
    for stream in stage.streams.lock().unwrap().iter() {
        for id in requests_in(&stream.lock().unwrap(), plans)? {
            *arrivals.entry(id).or_default() += 1;
        }
    }
    let declined = stage.declined.lock().unwrap();
    let runs = |id: &str| {
        let declined = declined.iter().filter(|declined| *declined == id).count();
        arrivals.get(id).copied().unwrap_or(0) - declined
    };
    for (id, plan) in plans {
        if !plan.kind.is_retryable() && runs(id) > 1 {
            return Err(format!("{id} may have run {} times", runs(id)));
        }
    }
    for Outcome { id, answer } in outcomes {
        let Some(answer) = answer else { continue };
        judge_answer(id, &plans[id], answer, runs(id)).map_err(|why| format!("{id}: {why}: {answer:?}"))?;
    }
    Ok(())
}

/// The ids of the requests that came over a connection, each of which must be as its client sent it. The last may
/// be cut short.
fn requests_in(bytes: &[u8], plans: &HashMap<String, RequestPlan>) -> Result<Vec<String>, String> {
    let (mut ids, mut bytes) = (Vec::new(), bytes);
    while !bytes.is_empty() {
        let Some(split) = split_head(bytes) else { break };
        let (head, rest) = split?;
        let id = head.header("x-request-id").ok_or("a request without id")?.to_owned();
        let plan = plans.get(&id).ok_or_else(|| format!("a request that no client sent: {head:?}"))?;
        let line = format!("POST {}{id} HTTP/1.1", plan.kind.prefix());
        let lengths: Vec<&str> = head.all("content-length").collect();
        let framed = match lengths.as_slice() {
            [] => plan.body == 0,
            [length] => *length == plan.body.to_string(),
            _ => false,
        };
        if head.line != line || !framed || head.header("transfer-encoding").is_some() {
            return Err(format!("a changed request: {head:?}"));
        }
        let body = split_length(rest, plan.body);
        if !request_body(&id, plan.body).starts_with(&body.data) {
            return Err(format!("other bytes in the body of {id}"));
        }
        ids.push(id);
        bytes = body.rest;
    }
    Ok(ids)
}

fn judge_answer(
    id: &str, plan: &RequestPlan, answer: &ClientAnswer, runs: usize,
) -> Result<(), &'static str> {
    let status =
        answer.head.line.strip_prefix("HTTP/1.1 ").and_then(|line| line.get(..3)).unwrap_or_default();
    let stamp = answer.head.header("x-server-signature");
    if answer.head.all("x-request-id").any(|other| other != id) {
        return Err("it bears another id");
    }
    match status {
        "200" => {
            if stamp != Some(&format!("by-{id}")) {
                return Err("a success without its stamp");
            }
            judge_success(id, plan, answer)
        }
        "500" => {
            let expected = failure(id);
            let fits = expected.as_bytes().starts_with(&answer.body);
            let whole = !answer.is_whole || expected.len() == answer.body.len();
            if fits && whole { Ok(()) } else { Err("another failure than the endpoint's") }
        }
        "408" | "421" | "429" | "503" if stamp.is_some() => Err("a stamp on an answer of the relay"),
        "408" | "421" | "429" | "503" if runs > 0 && !plan.kind.is_retryable() => Err("it has run after all"),
        "408" | "421" | "429" | "503" => Ok(()),
        "502" | "504" if stamp.is_some() => Err("a stamp on an answer of the relay"),
        "502" | "504" => Ok(()),
        _ => Err("a status that nobody gave"),
    }
}

fn judge_success(id: &str, plan: &RequestPlan, answer: &ClientAnswer) -> Result<(), &'static str> {
    let expected = answer_body(id, plan.kind, 0);
    if !expected.starts_with(&answer.body) {
        return Err("other bytes than the endpoint's");
    }
    if answer.is_whole && expected.len() != answer.body.len() {
        return Err("it looks whole and is not");
    }
    let at_event = (0..=EVENTS)
        .any(|after| expected.len() - answer_body(id, plan.kind, after).len() == answer.body.len());
    // A client that leaves may do so within an event.
    if plan.kind.is_stream() && !at_event && !answer.client_left {
        return Err("part of an event");
    }
    Ok(())
}
