//! The envelope of every message, and its encoding.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::registry::RegistryMessage;
use crate::replication::ReplicationMessage;
use crate::session::{SessionReply, SessionRequest};
use crate::subscription::{AppliedVersions, Subscribe, Update};
use crate::transfer::{TransferReply, TransferRequest};

/// Maximum size of an encoded envelope, in bytes.
pub const MAX_ENVELOPE_BYTES: usize = 32 << 20;

/// Correlates a reply with its call on one connection; 0 for a message that expects no reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A message with the metadata that the connection needs to dispatch it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The call that this message makes or replies to.
    pub call: CallId,
    /// Whether this message is the reply to a call.
    pub is_reply: bool,
    /// The message itself.
    pub message: Message,
}

/// The messages between processes of the serving tier.
///
/// The encoding is positional: the order of variants, and of fields within them, is part of the protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Keep-alive probe of an idle connection.
    Ping,
    /// Reply to [`Message::Ping`].
    Pong,
    /// Between keepers: election of epochs, and replication of the control state.
    Replication(ReplicationMessage),
    /// Between keepers: the endpoint registry, and orders forwarded to the primary.
    Registry(RegistryMessage),
    /// From a relay or store to a keeper: starts a subscription.
    Subscribe(Subscribe),
    /// From a keeper to a subscriber: delivers committed state.
    Update(Update),
    /// From a subscriber to a keeper: acknowledges the applied versions.
    Applied(AppliedVersions),
    /// From a relay to a store.
    SessionRequest(SessionRequest),
    /// From a store to a relay.
    SessionReply(SessionReply),
    /// From a store to another store.
    TransferRequest(TransferRequest),
    /// Reply of a store to another store.
    TransferReply(TransferReply),
}

/// Why an envelope could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum EnvelopeError {
    /// The envelope exceeds [`MAX_ENVELOPE_BYTES`].
    #[snafu(display("envelope too large: {bytes} bytes, the limit is {MAX_ENVELOPE_BYTES}"))]
    TooLarge {
        /// The length of the envelope.
        bytes: usize,
    },
    /// The bytes do not decode to an envelope.
    #[snafu(display("not an envelope: {source}"))]
    Malformed {
        /// The decoder's error.
        source: postcard::Error,
    },
}

impl Envelope {
    /// Encodes the envelope, prefixed by its length (four bytes, little-endian).
    ///
    /// # Errors
    ///
    /// [`EnvelopeError::TooLarge`] if the envelope exceeds the limit, above which receivers reject it.
    pub fn encode(&self) -> Result<Vec<u8>, EnvelopeError> {
        let frame = postcard::to_extend(self, vec![0; 4]).context(MalformedSnafu)?;
        let bytes = frame.len() - 4;
        ensure!(bytes <= MAX_ENVELOPE_BYTES, TooLargeSnafu { bytes });
        let mut frame = frame;
        frame[..4].copy_from_slice(&(bytes as u32).to_le_bytes());
        Ok(frame)
    }

    /// Decodes the first envelope in `buffer` and returns it with the number of bytes consumed; `None` if the envelope
    /// is incomplete.
    ///
    /// # Errors
    ///
    /// If the bytes are not an envelope. The stream cannot be resynchronized, so the connection has to be closed.
    pub fn decode(buffer: &[u8]) -> Result<Option<(Envelope, usize)>, EnvelopeError> {
        let Some(length) = buffer.first_chunk::<4>() else { return Ok(None) };
        let bytes = u32::from_le_bytes(*length) as usize;
        ensure!(bytes <= MAX_ENVELOPE_BYTES, TooLargeSnafu { bytes });
        let Some(body) = buffer.get(4..4 + bytes) else { return Ok(None) };
        let envelope = postcard::from_bytes(body).context(MalformedSnafu)?;
        Ok(Some((envelope, 4 + bytes)))
    }
}
