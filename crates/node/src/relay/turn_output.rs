//! The output of a turn that is to be stored, and its recording for a client that resumes the stream after a cut.

use juniperwing_protocol::headers;
use juniperwing_protocol::identity::{ProgramId, RequestId};
use juniperwing_protocol::session::{OutputEvent, TurnKey};

use super::events::Event;
use super::exchange::Exchange;
use super::http_headers::header_text;
use super::stream_position::event_number;
use super::trace::StoredTurnSize;
use crate::sessions_client::OutputSender;

/// The output of a stream that is recorded for a resumption, in bytes. What exceeds it is generated again.
const MAX_RECORDED_BYTES: usize = 1 << 20;
/// The approximate memory use of a recorded event without its output, in bytes.
const RECORDED_EVENT_OVERHEAD_BYTES: usize = 64;

/// The data of all events of a turn, each followed by a line feed.
#[derive(Default)]
pub struct TurnOutput {
    text: Vec<u8>,
    events: u64,
    recording: Option<Recording>,
}

/// The recording of events at the stores while they are handed out.
struct Recording {
    sender: OutputSender,
    last_id: Option<u64>,
    /// The output of events without an id since the last one with an id.
    unrecorded: Vec<u8>,
    recorded_bytes: usize,
}

impl TurnOutput {
    /// The output of a turn of which these events were handed out to the client before.
    pub fn handed_out(events: &[OutputEvent]) -> TurnOutput {
        let text = events.iter().flat_map(|event| event.output.iter().copied()).collect();
        TurnOutput { text, events: events.len() as u64, recording: None }
    }

    /// Records all events that follow through `sender`, to which those handed out before have been sent.
    pub fn record_through(&mut self, sender: OutputSender, last_id: Option<u64>) {
        let recorded_bytes = self.text.len();
        self.recording = Some(Recording { sender, last_id, unrecorded: Vec::new(), recorded_bytes });
    }

    /// Appends an event. Returns how many bytes are retained for it.
    pub fn push(&mut self, event: &Event) -> usize {
        let start = self.text.len();
        if let Some(data) = &event.data {
            self.text.extend_from_slice(data);
            self.text.push(b'\n');
            self.events += 1;
        }
        let output = &self.text[start..];
        let recorded_bytes = match &mut self.recording {
            Some(recording) if recording.accepts(event) => recording.push(event, output),
            _ => {
                self.recording = None;
                0
            }
        };
        self.text.len() - start + recorded_bytes
    }

    /// The bytes retained for the output before any event is appended, with those of the recording.
    pub fn retained_bytes(&self) -> usize {
        2 * self.text.len() + self.events as usize * RECORDED_EVENT_OVERHEAD_BYTES
    }

    /// The size of the output.
    pub fn size(&self) -> StoredTurnSize {
        StoredTurnSize { events: self.events, output_bytes: self.text.len() }
    }

    /// Removes and returns the output.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.text)
    }
}

impl Recording {
    /// Whether an event can be recorded: ids must be numbers that increase, and the recording must stay within its
    /// limit.
    fn accepts(&self, event: &Event) -> bool {
        let is_next = event.id.is_none() || event_number(event.id.as_ref()) > self.last_id;
        is_next && self.recorded_bytes < MAX_RECORDED_BYTES
    }

    /// Records an event; returns how many bytes are retained for it.
    fn push(&mut self, event: &Event, output: &[u8]) -> usize {
        self.unrecorded.extend_from_slice(output);
        if let Some(id) = event_number(event.id.as_ref()) {
            let output = std::mem::take(&mut self.unrecorded).into();
            // If nothing receives the event any more, the output is generated again.
            let _ = self.sender.send(OutputEvent { id, output });
            self.last_id = Some(id);
        }
        let bytes = output.len() + RECORDED_EVENT_OVERHEAD_BYTES;
        self.recorded_bytes += bytes;
        bytes
    }
}

/// Identifies the turn of a request across the client's tries; `None` if the request names no program.
pub fn turn_key(exchange: &Exchange, previous: Option<&RequestId>) -> Option<TurnKey> {
    let program: ProgramId = exchange.program.clone()?;
    let target = format!("{}{}", exchange.route.hostname, exchange.uri);
    Some(TurnKey {
        program,
        session: header_text(&exchange.headers, headers::SESSION).into(),
        previous: previous.cloned(),
        target: target.into(),
        input_digest: TurnKey::digest(&exchange.body),
    })
}
