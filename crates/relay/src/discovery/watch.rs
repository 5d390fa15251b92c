//! A watch: a chunked response to which discovery appends each change of the endpoint list.

use snafu::{OptionExt, Snafu, ensure};

use super::EndpointList;
use crate::event_loop::{Net, Token};
use crate::http;

/// The maximum length of a chunk and of an incomplete list in a watch, in bytes.
const MAX_CHUNK_BYTES: usize = 4 * 1024 * 1024;

/// The reason why a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum WatchError {
    #[snafu(display("not opened"))]
    NotOpened,
    #[snafu(display("unreachable"))]
    Unreachable,
    #[snafu(display("closed"))]
    Closed,
    #[snafu(display("rejected"))]
    Rejected,
    #[snafu(display("malformed"))]
    Malformed,
    #[snafu(display("too long"))]
    TooLong,
    #[snafu(display("ended"))]
    Ended,
    #[snafu(display("timed out"))]
    TimedOut,
}

/// The messages received over a watch.
#[derive(Default)]
pub struct WatchMessages {
    /// The lists in the order received.
    pub lists: Vec<EndpointList>,
    /// Whether any message was received: a list, or an empty line, which means that nothing has changed.
    pub has_message: bool,
    /// The reason why the watch ended; `None` while it is open.
    pub failure: Option<WatchError>,
}

pub(super) struct Watch {
    pub(super) token: Token,
    /// Whether the head of the response was received.
    pub(super) has_head: bool,
    /// Whether any message was received.
    pub(super) has_message: bool,
    /// Bytes that do not form a complete list yet.
    buffer: Vec<u8>,
}

impl Watch {
    pub(super) fn new(token: Token) -> Watch {
        Watch { token, has_head: false, has_message: false, buffer: Vec::new() }
    }

    pub(super) fn read(&mut self, net: &mut Net) -> WatchMessages {
        let mut messages = WatchMessages::default();
        messages.failure = self.read_chunks(net, &mut messages).err();
        self.has_message |= messages.has_message;
        messages
    }

    fn read_chunks(&mut self, net: &mut Net, messages: &mut WatchMessages) -> Result<(), WatchError> {
        let input = net.input(self.token).context(ClosedSnafu)?;
        if !self.has_head {
            match http::parse_response_head(input) {
                Ok(None) => return Ok(()),
                Ok(Some(head)) if head.status == 200 => drop(input.drain(..head.body_start)),
                Ok(Some(_)) => return RejectedSnafu.fail(),
                Err(_) => return MalformedSnafu.fail(),
            }
            self.has_head = true;
        }
        let unchunked = self.unchunk(input);
        // Lists received before the end of the stream, or before invalid data, are still applied.
        let parsed = self.parse_lists(messages);
        let is_too_long = self.buffer.len() > MAX_CHUNK_BYTES;
        parsed?;
        ensure!(!is_too_long, TooLongSnafu);
        unchunked
    }

    /// Moves the data of all complete chunks into the buffer.
    fn unchunk(&mut self, input: &mut Vec<u8>) -> Result<(), WatchError> {
        let mut position = 0;
        let result = loop {
            match http::parse_chunk(&input[position..], MAX_CHUNK_BYTES) {
                Ok(Some((data, next))) => {
                    self.buffer.extend_from_slice(&input[position..][data.clone()]);
                    position += next;
                    if data.is_empty() {
                        break EndedSnafu.fail();
                    }
                }
                Ok(None) => break Ok(()),
                Err(_) => break MalformedSnafu.fail(),
            }
        };
        input.drain(..position);
        result
    }

    /// Parses and removes the complete lists in the buffer. A list may span several lines.
    fn parse_lists(&mut self, messages: &mut WatchMessages) -> Result<(), WatchError> {
        loop {
            let blank_bytes = self.buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            messages.has_message |= self.buffer.drain(..blank_bytes).any(|byte| byte == b'\n');
            if self.buffer.is_empty() {
                return Ok(());
            }
            let mut lists = serde_json::Deserializer::from_slice(&self.buffer).into_iter();
            match lists.next() {
                // A complete list without `hosts` is malformed; it would remove all endpoints.
                Some(Ok(EndpointList { is_complete: true, hosts: None, .. })) => {
                    return MalformedSnafu.fail();
                }
                Some(Ok(list)) => {
                    messages.lists.push(list);
                    messages.has_message = true;
                    let length = lists.byte_offset();
                    self.buffer.drain(..length);
                }
                Some(Err(e)) if !e.is_eof() => return MalformedSnafu.fail(),
                _ => return Ok(()),
            }
        }
    }
}
