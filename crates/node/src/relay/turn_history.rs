//! The history of a turn: the earlier turns of its chain, which endpoints get before the new input.

use bytes::{BufMut, Bytes, BytesMut};
use juniperwing_protocol::identity::InstanceId;
use juniperwing_protocol::session::Turn;

use super::exchange::Exchange;

/// Prepends the earlier turns to the request's body, and records what the balancer needs to know about them.
pub fn prepend_turns(exchange: &mut Exchange, earlier_turns: &[Turn]) {
    let last = earlier_turns.last();
    exchange.previous_endpoint = last.and_then(|turn| turn.endpoint.clone()).map(InstanceId);
    let new_bytes = exchange.body.len();
    exchange.body = with_history(earlier_turns, &exchange.body);
    exchange.trace.record_history(exchange.body.len() - new_bytes);
    // Approximates the fraction of tokens by that of bytes, assuming about the same tokens per byte everywhere.
    exchange.new_prompt_fraction = new_bytes as f64 / exchange.body.len().max(1) as f64;
}

/// Concatenates the input and output of each earlier turn and the new input.
fn with_history(earlier_turns: &[Turn], input: &Bytes) -> Bytes {
    if earlier_turns.is_empty() {
        return input.clone();
    }
    let history_bytes: usize = earlier_turns.iter().map(|turn| turn.input.len() + turn.output.len()).sum();
    let mut body = BytesMut::with_capacity(history_bytes + input.len());
    for turn in earlier_turns {
        body.put_slice(&turn.input);
        body.put_slice(&turn.output);
    }
    body.put_slice(input);
    body.freeze()
}
