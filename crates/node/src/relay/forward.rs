//! Passes a request on: chooses endpoints, restarts slow tries, and gives up as the design says.

use std::sync::Arc;

use http::Response;
use juniperwing_balancing::CallOutcome;
use juniperwing_clock::{Span, Time};
use juniperwing_protocol::identity::InstanceId;
use tokio::time::timeout;

use super::RelayState;
use super::attempt::{self, Answer, keep_alive};
use super::attempt_outcome::{AttemptFailure, ExecutionStatus, FailureCause, Rejection};
use super::body::RelayBody;
use super::dispatcher::{Slot, SlotError};
use super::exchange::{Exchange, remove_hop_by_hop};
use super::frontend::reject;
use super::retries::RetryState;
use super::stream::{self, LiveStream};
use super::trace::{AttemptEnd, Outcome};
use super::turn::OpenTurn;
use crate::clock::{duration, now};

/// Passes a request on and gives back the final answer.
pub async fn forward(
    core: &Arc<RelayState>, exchange: Exchange, turn: Option<OpenTurn>,
) -> Response<RelayBody> {
    let mut tries = RetryState::new(Arc::clone(&exchange.trace));
    loop {
        match run_attempt(core, &exchange, &mut tries).await {
            Ok(Reply::Whole(answer)) => {
                core.metrics.answered.add();
                exchange.trace.ended(Outcome::Answered(answer.status()));
                return answer;
            }
            Ok(Reply::Live(live)) => {
                core.metrics.answered.add();
                return stream::pass_on(core, exchange, turn, *live, tries);
            }
            Err(Ended::Again) => core.metrics.resends.add(),
            Err(Ended::Rejection(why)) => return final_answer(core, tries, why),
        }
    }
}

/// What a try brought.
enum Reply {
    /// An answer, read to its end.
    Whole(Response<RelayBody>),
    /// A stream whose first event has come.
    Live(Box<LiveStream>),
}

/// How a try without an answer ended.
enum Ended {
    /// There may be another.
    Again,
    /// There is none.
    Rejection(Rejection),
}

fn final_answer(core: &RelayState, tries: RetryState, why: Rejection) -> Response<RelayBody> {
    let fate = tries.fate();
    if let Some(failed) = tries.failed {
        core.metrics.answered.add();
        tries.trace.ended(Outcome::Answered(failed.status()));
        return failed;
    }
    reject(core, &tries.trace, why, fate)
}

async fn run_attempt(
    core: &Arc<RelayState>, exchange: &Exchange, tries: &mut RetryState,
) -> Result<Reply, Ended> {
    let slot = take_slot(core, exchange, tries).await?;
    let endpoint = slot.endpoint().clone();
    exchange.trace.attempt_began(&endpoint);
    let connection = match attempt::connect(core, exchange, &slot).await {
        Ok(connection) => connection,
        Err(failure) => return Err(after_failure(core, exchange, tries, slot, failure)),
    };
    let may_last = time_out(core, exchange, tries);
    let begun = now();
    let run = async {
        let answer = attempt::send(core, exchange, &slot, connection).await?;
        read_reply(core, exchange, &endpoint, answer).await
    };
    match timeout(duration(may_last), run).await {
        Ok(Ok(Reply::Whole(answer))) => after_answer(core, exchange, tries, slot, begun, answer),
        Ok(Ok(Reply::Live(mut live))) => {
            let lasted = now().since(begun);
            core.dispatcher.record(&exchange.destination, lasted, false);
            core.dispatcher.answered(&exchange.ask(Vec::new(), may_last), &endpoint, lasted);
            live.slot = Some(slot);
            Ok(Reply::Live(live))
        }
        Ok(Err(failure)) => Err(after_failure(core, exchange, tries, slot, failure)),
        Err(_) => {
            core.dispatcher.record(&exchange.destination, now().since(begun), true);
            Err(after_failure(
                core,
                exchange,
                tries,
                slot,
                AttemptFailure::may_have_run(FailureCause::TimedOut),
            ))
        }
    }
}

/// Passes an answer on, or keeps it back while another endpoint may do better.
fn after_answer(
    core: &RelayState, exchange: &Exchange, tries: &mut RetryState, slot: Slot, begun: Time,
    answer: Response<RelayBody>,
) -> Result<Reply, Ended> {
    if !answer.status().is_server_error() {
        core.dispatcher.record(&exchange.destination, now().since(begun), false);
        slot.end(CallOutcome::Succeeded);
        exchange.trace.attempt_ended(AttemptEnd::Answered);
        return Ok(Reply::Whole(answer));
    }
    if exchange.is_retryable() && tries.left(exchange) > 1 {
        tries.failed = Some(answer);
        let failure = AttemptFailure::may_have_run(FailureCause::EndpointError);
        return Err(after_failure(core, exchange, tries, slot, failure));
    }
    // Errors come fast: an endpoint that gives them must not look free and sound.
    slot.end(CallOutcome::ServerError);
    exchange.trace.attempt_ended(AttemptEnd::Failed(FailureCause::EndpointError));
    Ok(Reply::Whole(answer))
}

/// A slot for the next try, if one is worth making.
async fn take_slot(
    core: &Arc<RelayState>, exchange: &Exchange, tries: &mut RetryState,
) -> Result<Slot, Ended> {
    if tries.left(exchange) == 0 {
        return Err(Ended::Rejection(Rejection::RetriesExhausted));
    }
    let has_time_for_attempt =
        || core.dispatcher.has_time_for_attempt(&exchange.destination, exchange.left());
    if !has_time_for_attempt() {
        return Err(Ended::Rejection(Rejection::DeadlineTooClose));
    }
    let ask = exchange.ask(tries.excluded.clone(), time_out(core, exchange, tries));
    let slot = core.dispatcher.slot(ask, exchange.patience()).await;
    let slot = slot.map_err(|why| match why {
        SlotError::NoEndpoint => Ended::Rejection(Rejection::NoEndpoint),
        SlotError::Full => Ended::Rejection(Rejection::Full),
    })?;
    // The wait for the slot has taken its time.
    if has_time_for_attempt() { Ok(slot) } else { Err(Ended::Rejection(Rejection::DeadlineTooClose)) }
}

/// How long a try may last: the restart timer's interval, or all the time left where there is no second try.
fn time_out(core: &RelayState, exchange: &Exchange, tries: &RetryState) -> Span {
    let left = exchange.left();
    let tries_left = if exchange.is_retryable() { tries.left(exchange) } else { 1 };
    core.dispatcher.time_out(&exchange.destination, left, tries_left)
}

fn after_failure(
    core: &RelayState, exchange: &Exchange, tries: &mut RetryState, slot: Slot, failure: AttemptFailure,
) -> Ended {
    tries.note(core, slot.endpoint().clone(), failure);
    slot.end(failure.cause.ending());
    if failure.fate == ExecutionStatus::MayHaveRun && !exchange.is_retryable() {
        let silent = failure.cause == FailureCause::TimedOut;
        return Ended::Rejection(if silent { Rejection::DeadlineTooClose } else { Rejection::Broken });
    }
    Ended::Again
}

/// Reads an answer to its end, or, where it is a stream, to its first event.
async fn read_reply(
    core: &RelayState, exchange: &Exchange, endpoint: &InstanceId, answer: Answer,
) -> Result<Reply, AttemptFailure> {
    if exchange.route.route_type.is_streaming() && answer.parts.status.is_success() {
        return stream::first_event(answer).await.map(|live| Reply::Live(Box::new(live)));
    }
    let Answer { mut parts, mut body, connection, .. } = answer;
    let kept_for = keep_alive(&parts.headers);
    let mut held = core.memory.take(0).ok_or(AttemptFailure::may_have_run(FailureCause::NoCapacity))?;
    let pieces = attempt::read_complete_body(&mut body, &mut held).await?;
    core.pool.give_back(endpoint, connection, kept_for);
    remove_hop_by_hop(&mut parts.headers);
    Ok(Reply::Whole(Response::from_parts(parts, RelayBody::whole_held(pieces, held))))
}
