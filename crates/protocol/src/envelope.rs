//! The envelope of every message, and its encoding.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::registry::RegistryMessage;
use crate::replication::ReplicationMessage;
use crate::session::{SessionReply, SessionRequest};
use crate::subscription::{AppliedVersions, Subscribe, Update};
use crate::transfer::{TransferReply, TransferRequest};

/// The largest encoded envelope, in bytes.
pub const MAX_ENVELOPE_BYTES: usize = 32 << 20;

/// Pairs an answer with its call on one connection; 0 where no answer is wanted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// A message with what the connection needs to deliver it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The call that this is, or answers.
    pub call: CallId,
    /// Whether this answers a call.
    pub is_reply: bool,
    /// What is said.
    pub message: Message,
}

/// Everything that processes of the tier say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the other end of a connection to show that it is there.
    Ping,
    /// Answers [`Message::Ping`].
    Pong,
    /// Between keepers: epochs and replicated writes.
    Replication(ReplicationMessage),
    /// Between keepers: endpoints, orders passed on to the primary.
    Registry(RegistryMessage),
    /// A relay or store asks a keeper for updates.
    Subscribe(Subscribe),
    /// A keeper tells a subscriber what is in force.
    Update(Update),
    /// A subscriber confirms what it has applied.
    Applied(AppliedVersions),
    /// A relay asks a store.
    SessionRequest(SessionRequest),
    /// A store answers a relay.
    SessionReply(SessionReply),
    /// A store asks another store.
    TransferRequest(TransferRequest),
    /// A store answers another store.
    TransferReply(TransferReply),
}

/// Why bytes are not an envelope.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// More bytes than an envelope may have.
    #[snafu(display("an envelope of {bytes} bytes; {MAX_ENVELOPE_BYTES} at most"))]
    TooLarge {
        /// How many there are.
        bytes: usize,
    },
    /// The bytes do not follow the encoding.
    #[snafu(display("not an envelope: {source}"))]
    Malformed {
        /// What the decoder says.
        source: postcard::Error,
    },
}

impl Envelope {
    /// The envelope's bytes behind their length (four bytes, little-endian).
    ///
    /// # Errors
    ///
    /// [`DecodeError::TooLarge`] if the other end would refuse it.
    pub fn encode(&self) -> Result<Vec<u8>, DecodeError> {
        let frame = postcard::to_extend(self, vec![0; 4]).context(MalformedSnafu)?;
        let bytes = frame.len() - 4;
        ensure!(bytes <= MAX_ENVELOPE_BYTES, TooLargeSnafu { bytes });
        let mut frame = frame;
        frame[..4].copy_from_slice(&(bytes as u32).to_le_bytes());
        Ok(frame)
    }

    /// Takes the first whole envelope from the front of `buffer`; `None` while it is not whole. The number of
    /// bytes taken comes with it.
    ///
    /// # Errors
    ///
    /// If the bytes are not an envelope; the connection is of no use then.
    pub fn decode(buffer: &[u8]) -> Result<Option<(Envelope, usize)>, DecodeError> {
        let Some(length) = buffer.first_chunk::<4>() else { return Ok(None) };
        let bytes = u32::from_le_bytes(*length) as usize;
        ensure!(bytes <= MAX_ENVELOPE_BYTES, TooLargeSnafu { bytes });
        let Some(body) = buffer.get(4..4 + bytes) else { return Ok(None) };
        let envelope = postcard::from_bytes(body).context(MalformedSnafu)?;
        Ok(Some((envelope, 4 + bytes)))
    }
}
