//! Turns whose streams are resumed: what was handed out before is fetched, and what follows is recorded at the stores.

use juniperwing_protocol::headers;
use juniperwing_protocol::session::{FindOutput, OutputEvent, TurnKey};

use super::{BEGIN_TIMEOUT_FRACTION, OpenTurn};
use crate::clock::duration;
use crate::relay::exchange::Exchange;
use crate::relay::http_headers::header_number;
use crate::relay::stream_position::event_number;
use crate::relay::turn_output::{TurnOutput, turn_key};

impl OpenTurn {
    /// Prepares the output of a turn whose stream the client may resume, since a turn is stored with all of its events.
    /// The endpoint continues after the last event that the stores know to be handed out; what the client has beyond it
    /// is generated again.
    pub(super) async fn resume(&mut self, exchange: &mut Exchange) {
        let sent = event_number(exchange.sent_event_id.as_ref());
        exchange.set_last_event_id(None);
        let key = turn_key(exchange, self.previous.as_ref());
        let Some(key) = key.filter(|_| exchange.route.is_retryable()) else { return };
        let handed_out = match sent {
            Some(sent) => self.find_output(exchange, key.clone(), sent).await,
            None => Vec::new(),
        };
        let last_id = handed_out.last().map(|event| event.id);
        exchange.set_last_event_id(last_id);
        exchange.trace.record_known_output(last_id);
        self.output = TurnOutput::handed_out(&handed_out);
        // If this exceeds the memory budget, so does the body that is reserved next, and the request is rejected.
        exchange.memory.grow(self.output.retained_bytes());
        self.record_output(exchange, key, handed_out);
    }

    /// Fetches the output that was handed out to the client, up to the event `sent`.
    async fn find_output(&self, exchange: &Exchange, turn: TurnKey, sent: u64) -> Vec<OutputEvent> {
        let max_wait = exchange.remaining_time().mul_f64(BEGIN_TIMEOUT_FRACTION);
        let find = FindOutput { turn, last_event_id: sent };
        self.sessions.find_output(find, duration(max_wait)).await
    }

    /// Records the output from now on, beginning with what was handed out before.
    fn record_output(&mut self, exchange: &Exchange, turn: TurnKey, handed_out: Vec<OutputEvent>) {
        let last_id = handed_out.last().map(|event| event.id);
        let sender =
            self.sessions.record_output(turn, self.request.clone(), self.resumption_time_ms(exchange));
        for event in handed_out {
            // If nothing receives the event any more, the output is generated again.
            let _ = sender.send(event);
        }
        self.output.record_through(sender, last_id);
    }

    /// How long the client may resume the stream, in milliseconds: up to its own deadline, if it states one.
    fn resumption_time_ms(&self, exchange: &Exchange) -> u64 {
        let client_deadline_ms = header_number(&exchange.headers, headers::DEADLINE_MS);
        client_deadline_ms.unwrap_or_else(|| self.lease(exchange).duration_ms)
    }
}
