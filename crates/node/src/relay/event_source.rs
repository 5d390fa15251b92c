//! Reads the events of an endpoint's stream as they arrive.

use bytes::Bytes;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use juniperwing_protocol::identity::InstanceId;

use super::attempt::EndpointResponse;
use super::attempt_outcome::{AttemptFailure, FailureCause};
use super::events::{Event, EventSplitter};
use super::http_headers::keep_alive_secs;
use super::upstream::{Connection, ConnectionPool};

/// A stream of an endpoint whose head and first events have arrived.
pub struct StartedStream {
    /// The head of the response.
    pub parts: response::Parts,
    /// The source of further events.
    pub source: EventSource,
    /// The events that have arrived.
    pub first_events: Vec<Event>,
}

impl StartedStream {
    /// Reads the first events of a response. If the stream ends without a complete event, its bytes are returned as
    /// one.
    ///
    /// # Errors
    ///
    /// If the stream breaks before that.
    pub async fn read(response: EndpointResponse) -> Result<StartedStream, AttemptFailure> {
        let (parts, mut source) = EventSource::new(response);
        let first_events = match source.next().await? {
            SourceItem::Events(events) => events,
            SourceItem::End(remainder) if remainder.is_empty() => Vec::new(),
            SourceItem::End(remainder) => vec![Event { raw: remainder, id: None, data: None }],
        };
        Ok(StartedStream { parts, source, first_events })
    }
}

/// Reads the events of an endpoint's stream.
pub struct EventSource {
    /// `None` once the stream has ended.
    body: Option<Incoming>,
    connection: Option<Connection>,
    keep_alive_secs: Option<u64>,
    /// Whether the stream is delimited only by the end of the connection.
    ends_with_connection: bool,
    splitter: EventSplitter,
}

/// What an [`EventSource`] yields.
pub enum SourceItem {
    /// Complete events.
    Events(Vec<Event>),
    /// The proper end of the stream, with the bytes after the last complete event.
    End(Bytes),
}

impl EventSource {
    /// Splits a response into its head and the source of its events.
    pub fn new(response: EndpointResponse) -> (response::Parts, EventSource) {
        let source = EventSource {
            body: Some(response.body),
            connection: Some(response.connection),
            keep_alive_secs: keep_alive_secs(&response.parts.headers),
            ends_with_connection: response.ends_with_connection,
            splitter: EventSplitter::default(),
        };
        (response.parts, source)
    }

    /// Waits for complete events, or for the end of the stream.
    ///
    /// # Errors
    ///
    /// If the stream breaks, or an event is too large.
    pub async fn next(&mut self) -> Result<SourceItem, AttemptFailure> {
        let broken = AttemptFailure::possibly_executed(FailureCause::ConnectionBroken);
        loop {
            let Some(body) = &mut self.body else { return Ok(SourceItem::End(Bytes::new())) };
            match body.frame().await {
                None => {
                    self.body = None;
                    let remainder = self.splitter.take_remainder();
                    // If only the connection delimits the stream, an end within an event means that it is truncated.
                    let is_complete = remainder.is_empty() || !self.ends_with_connection;
                    return if is_complete { Ok(SourceItem::End(remainder)) } else { Err(broken) };
                }
                Some(Err(_)) => return Err(broken),
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else { continue };
                    let events = self.splitter.push(data);
                    let events = events
                        .map_err(|_| AttemptFailure::possibly_executed(FailureCause::InvalidResponse))?;
                    if !events.is_empty() {
                        return Ok(SourceItem::Events(events));
                    }
                }
            }
        }
    }

    /// Closes the connection.
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Returns the connection to the pool after the end of the stream.
    pub fn return_connection(&mut self, pool: &ConnectionPool, endpoint: &InstanceId) {
        if let Some(connection) = self.connection.take() {
            pool.put_idle(endpoint, connection, self.keep_alive_secs);
        }
    }
}
