//! How far a stream has been read from endpoints, and how far the client has it.
//!
//! The two differ where the client resumes a turn that is to be stored: the turn is stored with all of its events, also
//! with those that an earlier request of the client has brought. What the stores do not know of these is read from an
//! endpoint again and not sent to the client.

use bytes::Bytes;

use super::events::Event;

/// Where an event belongs in relation to what was read and sent before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventNovelty {
    /// It was not read from an endpoint before.
    pub is_unread: bool,
    /// The client does not have it.
    pub is_unsent: bool,
}

/// The positions of a stream. Ids increase, so an endpoint that resumes a stream may repeat earlier events.
#[derive(Clone, Debug)]
pub struct StreamPosition {
    /// The id of the last event that was read from endpoints or is known from the stores.
    read: Option<Bytes>,
    /// The id of the last event that the client has, either sent to it or given in its `Last-Event-Id`.
    sent: Option<Bytes>,
    /// The number of the last event of the current source, or of the event after which the source began. An event
    /// without an id follows it.
    source: Option<u64>,
    /// Whether the event `sent` is still to come. It is awaited if its id is no number, so that no other event can be
    /// compared with it: the events up to it are those that the client has.
    awaits_sent: bool,
}

impl StreamPosition {
    /// The position of a stream that begins after the event `read`, for a client that has the events up to `sent`.
    pub fn new(read: Option<Bytes>, sent: Option<Bytes>) -> StreamPosition {
        let source = event_number(read.as_ref());
        let awaits_sent = sent.is_some() && event_number(sent.as_ref()).is_none() && read != sent;
        StreamPosition { read, sent, source, awaits_sent }
    }

    /// Whether the event that the client named has not come. At the end of a stream, this means that it is not one of
    /// its events.
    pub fn awaits_sent(&self) -> bool {
        self.awaits_sent
    }

    /// The id of the event after which another endpoint has to resume the stream.
    pub fn resume_after(&self) -> Option<&Bytes> {
        self.read.as_ref()
    }

    /// The number of the event after which another endpoint has to resume the stream, if its id is a number.
    pub fn resume_after_number(&self) -> Option<u64> {
        event_number(self.read.as_ref())
    }

    /// Begins another source, which resumes the stream after [`StreamPosition::resume_after`].
    pub fn change_source(&mut self) {
        self.source = self.resume_after_number();
    }

    /// Advances the positions over the next event of the source; returns what it adds to them.
    pub fn advance(&mut self, event: &Event) -> EventNovelty {
        let novelty = EventNovelty {
            is_unread: self.is_after(event, self.read.as_ref()),
            is_unsent: !self.awaits_sent && self.is_after(event, self.sent.as_ref()),
        };
        self.awaits_sent &= event.id != self.sent;
        if event.id.is_some() {
            self.source = event_number(event.id.as_ref()).or(self.source);
            if novelty.is_unread {
                self.read.clone_from(&event.id);
            }
            if novelty.is_unsent {
                self.sent.clone_from(&event.id);
            }
        }
        novelty
    }

    /// Whether an event of the source follows the event with the id `position`. If that cannot be told from the ids, it
    /// does.
    fn is_after(&self, event: &Event, position: Option<&Bytes>) -> bool {
        let Some(position) = event_number(position) else { return true };
        match &event.id {
            Some(_) => event_number(event.id.as_ref()).is_none_or(|number| number > position),
            None => self.source.is_none_or(|source| source >= position),
        }
    }
}

/// The id of an event as a number, if it is one.
pub fn event_number(id: Option<&Bytes>) -> Option<u64> {
    std::str::from_utf8(id?).ok()?.trim().parse().ok()
}
