//! Takes a stream of server-sent events apart, as its bytes come.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// The largest event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event is larger than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("an event of more than {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLarge;

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as they came, the empty line at its end included.
    pub raw: Bytes,
    /// Its id.
    pub id: Option<Bytes>,
    /// The content of its `data` lines with a line feed between them; `None` if it has none.
    pub data: Option<Bytes>,
}

/// Splits bytes into events. Lines end with a line feed, with or without a carriage return before it.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// How far the buffer has been searched: the start of the line that is not whole yet.
    line_start: usize,
}

impl EventSplitter {
    /// Takes in bytes and gives back the events that are whole now.
    ///
    /// # Errors
    ///
    /// If an event grows too large; the splitter is of no use then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventTooLarge> {
        let searched = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut position = searched;
        while let Some(found) = self.buffer.get(position..).and_then(find_line_feed) {
            let line_end = position + found;
            let line = without_carriage_return(&self.buffer[self.line_start..line_end]);
            let ends_event = line.is_empty();
            position = line_end + 1;
            self.line_start = position;
            if ends_event {
                let raw = self.buffer.split_to(position).freeze();
                events.push(Event::read(raw));
                (position, self.line_start) = (0, 0);
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES { EventTooLargeSnafu.fail() } else { Ok(events) }
    }

    /// The bytes of an event that is not whole.
    pub fn rest(&mut self) -> Bytes {
        self.line_start = 0;
        self.buffer.split().freeze()
    }
}

impl Event {
    fn read(raw: Bytes) -> Event {
        let (mut id, mut data) = (None, Vec::new());
        for line in raw.split(|byte| *byte == b'\n').map(without_carriage_return) {
            let (field, value) = field_of(line);
            match field {
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

/// The name and value of a line; one space behind the colon belongs to neither.
fn field_of(line: &[u8]) -> (&[u8], &[u8]) {
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
