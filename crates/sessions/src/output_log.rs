//! The output of streams that are being handed out, for clients that resume a stream after a cut.
//!
//! The log is kept in memory only and not replicated between stores: relays record at every replica of a partition. What
//! it lacks is generated again by an endpoint. It is needed only as long as clients retry, and is bounded by dropping the
//! streams that began first.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::RequestId;
use juniperwing_protocol::session::{FindOutput, OutputEvent, RecordOutput, SessionReply, TurnKey};

use crate::limits::EXPIRY_SWEEP_INTERVAL;

/// The minimum time for which a stream is retained after its last recorded event, in milliseconds.
const MIN_OUTPUT_RETENTION_MS: u64 = 60_000;
/// The approximate memory use of an event without its output, in bytes.
const EVENT_OVERHEAD_BYTES: u64 = 40;
/// The approximate memory use of a stream without its events and the texts of its key, in bytes.
const STREAM_OVERHEAD_BYTES: u64 = 300;

/// Identifies a stream by the order in which streams began at this store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StreamId(u64);

/// The output of one request.
#[derive(Clone, Debug)]
struct RecordedStream {
    turn: TurnKey,
    request: RequestId,
    events: Vec<OutputEvent>,
    bytes: u64,
    expires_at: Time,
}

impl RecordedStream {
    fn last_id(&self) -> Option<u64> {
        self.events.last().map(|event| event.id)
    }

    /// The events up to the client's last one.
    fn events_up_to(&self, last_event_id: u64) -> Vec<OutputEvent> {
        let end = self.events.partition_point(|event| event.id <= last_event_id);
        self.events[..end].to_vec()
    }
}

/// The streams of which output was recorded.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutputLog {
    streams: BTreeMap<StreamId, RecordedStream>,
    by_turn: BTreeMap<TurnKey, BTreeSet<StreamId>>,
    bytes: u64,
    max_bytes: u64,
    /// When expired streams are removed next.
    next_sweep_at: Time,
    last_id: u64,
}

impl OutputLog {
    /// Creates a log that retains about `max_bytes`.
    pub(crate) fn new(max_bytes: u64) -> Self {
        OutputLog { max_bytes, ..OutputLog::default() }
    }

    /// Appends the events that follow what is recorded of their stream; returns the reply.
    pub(crate) fn record(&mut self, now: Time, record: RecordOutput) -> SessionReply {
        self.remove_expired(now);
        let retention = Span::from_millis(record.retention_ms.max(MIN_OUTPUT_RETENTION_MS));
        let known = self.find(&record.turn, &record.request);
        if known.is_none() && record.first > 0 {
            // The start of the stream is missing: the relay sends it after this reply.
            return SessionReply::OutputRecorded { events: 0 };
        }
        let id = known.unwrap_or_else(|| self.insert(record.turn, record.request));
        let Some(stream) = self.streams.get_mut(&id) else {
            return SessionReply::OutputRecorded { events: 0 };
        };
        let known_events = stream.events.len();
        let known_of_these = known_events.saturating_sub(record.first as usize);
        if record.first as usize <= known_events {
            let new_events = record.events.into_iter().skip(known_of_these);
            stream.events.extend(new_events);
        }
        stream.expires_at = now + retention;
        let added = &stream.events[known_events..];
        let added_bytes =
            added.iter().map(|event| EVENT_OVERHEAD_BYTES + event.output.len() as u64).sum::<u64>();
        let events = stream.events.len() as u32;
        stream.bytes += added_bytes;
        self.bytes += added_bytes;
        self.remove_oldest();
        SessionReply::OutputRecorded { events }
    }

    /// Returns the output of the stream that the client holds: the latest one that has the client's last event, or
    /// otherwise the one that comes closest to it.
    pub(crate) fn find_output(&mut self, now: Time, find: &FindOutput) -> SessionReply {
        self.remove_expired(now);
        let ids = self.by_turn.get(&find.turn).into_iter().flatten();
        let streams = ids.filter_map(|id| self.streams.get(id));
        // Of equally good streams the last one wins, which began last.
        let best = streams.max_by_key(|stream| stream.last_id().min(Some(find.last_event_id)));
        let events = best.map(|stream| stream.events_up_to(find.last_event_id)).unwrap_or_default();
        SessionReply::OutputFound { events }
    }

    /// The approximate size of all streams in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    fn find(&self, turn: &TurnKey, request: &RequestId) -> Option<StreamId> {
        let ids = self.by_turn.get(turn)?;
        ids.iter().copied().find(|id| self.streams.get(id).is_some_and(|stream| stream.request == *request))
    }

    fn insert(&mut self, turn: TurnKey, request: RequestId) -> StreamId {
        self.last_id += 1;
        let id = StreamId(self.last_id);
        self.by_turn.entry(turn.clone()).or_default().insert(id);
        let texts = [&turn.program.0, &turn.session, &turn.target, &request.0];
        let bytes = STREAM_OVERHEAD_BYTES + texts.iter().map(|text| text.len() as u64).sum::<u64>();
        self.bytes += bytes;
        let stream = RecordedStream { turn, request, events: Vec::new(), bytes, expires_at: Time::NEVER };
        self.streams.insert(id, stream);
        id
    }

    fn remove_expired(&mut self, now: Time) {
        if now < self.next_sweep_at {
            return;
        }
        self.next_sweep_at = now + EXPIRY_SWEEP_INTERVAL;
        let expired: Vec<StreamId> =
            self.streams.iter().filter(|(_, stream)| stream.expires_at <= now).map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| self.remove(id));
    }

    /// Removes the streams that began first until the rest is within the limit.
    fn remove_oldest(&mut self) {
        while self.bytes > self.max_bytes
            && let Some(oldest) = self.streams.keys().next().copied()
        {
            self.remove(oldest);
        }
    }

    fn remove(&mut self, id: StreamId) {
        let Some(stream) = self.streams.remove(&id) else { return };
        self.bytes -= stream.bytes;
        if let Some(ids) = self.by_turn.get_mut(&stream.turn) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_turn.remove(&stream.turn);
            }
        }
    }
}
