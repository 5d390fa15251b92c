//! Splits a stream of server-sent events into events, regardless of how it is divided into chunks.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// The maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event is larger than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("event exceeds the limit of {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLarge;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes as they arrived, including the empty line at the end.
    pub raw: Bytes,
    /// The value of the last `id` line.
    pub id: Option<Bytes>,
    /// The values of the `data` lines, joined by line feeds; `None` if there are none.
    pub data: Option<Bytes>,
}

/// Splits bytes into events. Lines end with a line feed, with or without a carriage return before it.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// The start of the last, incomplete line in the buffer. The lines before it have been examined.
    line_start: usize,
}

impl EventSplitter {
    /// Appends bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// If an event is too large. The splitter must not be used after that.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventTooLarge> {
        let searched = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut position = searched;
        while let Some(offset) = self.buffer.get(position..).and_then(find_line_feed) {
            let line_end = position + offset;
            let line = without_carriage_return(&self.buffer[self.line_start..line_end]);
            let ends_event = line.is_empty();
            position = line_end + 1;
            self.line_start = position;
            if ends_event {
                let raw = self.buffer.split_to(position).freeze();
                events.push(Event::parse(raw));
                (position, self.line_start) = (0, 0);
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES { EventTooLargeSnafu.fail() } else { Ok(events) }
    }

    /// Removes and returns the bytes of the incomplete event at the end.
    pub fn take_remainder(&mut self) -> Bytes {
        self.line_start = 0;
        self.buffer.split().freeze()
    }
}

impl Event {
    fn parse(raw: Bytes) -> Event {
        let (mut id, mut data) = (None, Vec::new());
        for line in raw.split(|byte| *byte == b'\n').map(without_carriage_return) {
            let (name, value) = split_field(line);
            match name {
                b"id" => id = Some(raw.slice_ref(value)),
                b"data" => data.push(value),
                _ => {}
            }
        }
        let data = match data.as_slice() {
            [] => None,
            [only] => Some(raw.slice_ref(only)),
            lines => Some(Bytes::from(lines.join(&b'\n'))),
        };
        Event { id, data, raw }
    }
}

/// Splits a line into field name and value. One space after the colon is skipped.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|byte| *byte == b':') {
        None => (line, &[]),
        Some(colon) => {
            let value = &line[colon + 1..];
            (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
        }
    }
}

fn find_line_feed(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}

fn without_carriage_return(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}
