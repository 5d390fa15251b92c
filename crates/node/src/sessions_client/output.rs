//! The output of streams that are being handed out: recorded at the replicas of a program's partition, and fetched when a
//! client resumes a stream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use juniperwing_protocol::RequestId;
use juniperwing_protocol::session::{
    FindOutput, OutputEvent, RecordOutput, SessionCall, SessionReply, TurnKey,
};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

use super::routing::{PartitionPrimary, replicas_of};
use super::{ATTEMPT_TIMEOUT, SessionsClient};

/// How often a stream is recorded from its start at a replica that has lost it. Replicas drop streams if they hold too
/// many, and recording all of it again would not end then.
const MAX_RESTARTS: u32 = 2;
/// The output in one call, in bytes, unless a single event is larger. Calls of many streams may wait on one link, whose
/// queue is bounded.
const MAX_CALL_BYTES: usize = 64 << 10;

/// Passes the events of a stream on, to be recorded in the background.
pub type OutputSender = mpsc::UnboundedSender<OutputEvent>;

impl SessionsClient {
    /// Returns the output of a turn that was handed out up to the client's last event, from the first event on and
    /// without gaps; empty if no replica knows any within `max_wait`.
    pub async fn find_output(&self, find: FindOutput, max_wait: Duration) -> Vec<OutputEvent> {
        let deadline = Instant::now() + max_wait.min(ATTEMPT_TIMEOUT);
        let mut calls = JoinSet::new();
        for replica in replicas_of(&self.map.clone().borrow_and_update(), &find.turn.program) {
            let (client, call) = (self.clone(), SessionCall::FindOutput(find.clone()));
            calls.spawn(async move { client.call_once(replica, call, deadline).await });
        }
        let mut longest = Vec::new();
        while let Ok(Some(reply)) = timeout_at(deadline, calls.join_next()).await {
            let Ok(Ok(SessionReply::OutputFound { events })) = reply else { continue };
            if last_id(&events) > last_id(&longest) {
                longest = events;
            }
            if last_id(&longest) == Some(find.last_event_id) {
                break;
            }
        }
        longest
    }

    /// Records the events of a stream at all replicas, in the background, until the sender is dropped and what was sent
    /// has been tried once more. Nothing waits for it: what is not recorded has to be generated again. Replicas retain the
    /// stream for `retention_ms` milliseconds after its last event, or longer.
    pub fn record_output(&self, turn: TurnKey, request: RequestId, retention_ms: u64) -> OutputSender {
        let (sender, receiver) = mpsc::unbounded_channel();
        let recorder = OutputRecorder {
            client: self.clone(),
            turn,
            request,
            retention_ms,
            events: Vec::new(),
            replicas: BTreeMap::new(),
            calls: JoinSet::new(),
        };
        tokio::spawn(recorder.run(receiver));
        sender
    }
}

fn last_id(events: &[OutputEvent]) -> Option<u64> {
    events.last().map(|event| event.id)
}

/// What is recorded at one replica.
#[derive(Debug, Default)]
struct ReplicaProgress {
    /// The number of events that the replica has.
    recorded_events: usize,
    /// How often the replica had fewer events than before.
    restarts: u32,
    is_call_in_flight: bool,
    /// Whether the last call failed and no event has been added since.
    has_failed: bool,
}

/// A reply of a replica: the number of events that it has, or `None` if there was no reply.
type RecordedEvents = (SocketAddr, Option<usize>);

/// Records one stream.
struct OutputRecorder {
    client: SessionsClient,
    turn: TurnKey,
    request: RequestId,
    retention_ms: u64,
    /// All events of the stream so far.
    events: Vec<OutputEvent>,
    replicas: BTreeMap<SocketAddr, ReplicaProgress>,
    /// The calls in flight, one for each replica at most. An event that arrives meanwhile goes with the next call.
    calls: JoinSet<RecordedEvents>,
}

impl OutputRecorder {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<OutputEvent>) {
        let mut is_open = true;
        while is_open || !self.calls.is_empty() {
            tokio::select! {
                biased;
                Some(reply) = self.calls.join_next() => {
                    if let Ok((replica, events)) = reply {
                        self.handle_reply(replica, events);
                    }
                }
                event = receiver.recv(), if is_open => match event {
                    Some(event) => self.add(event),
                    None => is_open = false,
                },
            }
            while let Ok(event) = receiver.try_recv() {
                self.add(event);
            }
            self.start_calls();
        }
    }

    fn add(&mut self, event: OutputEvent) {
        self.events.push(event);
        self.replicas.values_mut().for_each(|progress| progress.has_failed = false);
    }

    fn handle_reply(&mut self, replica: SocketAddr, events: Option<usize>) {
        let Some(progress) = self.replicas.get_mut(&replica) else { return };
        progress.is_call_in_flight = false;
        match events {
            None => progress.has_failed = true,
            Some(events) => {
                progress.restarts += u32::from(events < progress.recorded_events);
                progress.recorded_events = events.min(self.events.len());
            }
        }
    }

    /// Sends every replica the events that it lacks.
    fn start_calls(&mut self) {
        let program = &self.turn.program;
        for replica in replicas_of(&self.client.map.clone().borrow_and_update(), program) {
            let progress = self.replicas.entry(replica.address).or_default();
            let first = progress.recorded_events;
            let may_call = !progress.is_call_in_flight && !progress.has_failed;
            if !may_call || progress.restarts > MAX_RESTARTS || first >= self.events.len() {
                continue;
            }
            progress.is_call_in_flight = true;
            let record = RecordOutput {
                turn: self.turn.clone(),
                request: self.request.clone(),
                first: first as u32,
                events: events_of_call(&self.events[first..]),
                retention_ms: self.retention_ms,
            };
            self.calls.spawn(record_once(self.client.clone(), replica, record));
        }
    }
}

/// The first of these events that go into one call.
fn events_of_call(events: &[OutputEvent]) -> Vec<OutputEvent> {
    let mut bytes = 0;
    let fits = |event: &&OutputEvent| {
        let is_first = bytes == 0;
        bytes += event.output.len();
        is_first || bytes <= MAX_CALL_BYTES
    };
    events.iter().take_while(fits).cloned().collect()
}

async fn record_once(
    client: SessionsClient, replica: PartitionPrimary, record: RecordOutput,
) -> RecordedEvents {
    let deadline = Instant::now() + ATTEMPT_TIMEOUT;
    let reply = client.call_once(replica, SessionCall::RecordOutput(record), deadline).await;
    let events = match reply {
        Ok(SessionReply::OutputRecorded { events }) => Some(events as usize),
        _ => None,
    };
    (replica.address, events)
}
