//! Datagrams and their encoding: a version byte, then with `postcard` the sender's own record, the message,
//! and records up to the end.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::digest::{Buckets, HashRange};
use crate::member::{Incarnation, MemberId, Record};

/// The largest datagram, in bytes; it fits into one packet of any usual link.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The longest node or zone name, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;

/// The highest incarnation that is accepted, so that a damaged one cannot use up all that can follow.
pub const MAX_INCARNATION: Incarnation = Incarnation(1 << 48);

/// The first byte of every datagram.
pub const WIRE_VERSION: u8 = 1;

/// Pairs an answer with its ping.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sequence(pub u32);

/// What a datagram is for. The records behind it are updates, unless stated otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Ack`].
    Ping {
        /// Comes back in the answer.
        sequence: Sequence,
    },
    /// Answers [`Message::Ping`].
    Ack {
        /// That of the ping.
        sequence: Sequence,
    },
    /// Asks the receiver to ping another member.
    PingRequest {
        /// Comes back in the answer.
        sequence: Sequence,
        /// Whom to ping.
        target: MemberId,
        /// Where it is.
        address: SocketAddr,
    },
    /// Answers [`Message::PingRequest`] once the target has answered.
    IndirectAck {
        /// That of the request.
        sequence: Sequence,
        /// Who has answered.
        target: MemberId,
    },
    /// Nothing but updates.
    Gossip,
    /// The checksums of the sender's table; asks for a [`Message::Page`] for each range that differs.
    Digest {
        /// The checksums.
        buckets: Buckets,
    },
    /// All live members in a range; asks for an [`Message::Answer`] with what they lack.
    Page {
        /// The range.
        range: HashRange,
        /// Whether the tables differ in other ranges for which no page was sent.
        has_more: bool,
    },
    /// What the sender of a page did not know; asks for a [`Message::Correction`] where it knows better.
    PageReply,
    /// Records that supersede what the receiver has said. Not answered.
    Correction,
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The sender, as it knows itself.
    pub sender: Record,
    /// What it is for.
    pub message: Message,
    /// What comes with it.
    pub records: Vec<Record>,
}

/// Why bytes are not a datagram.
#[derive(Clone, Debug, Snafu, PartialEq)]
pub enum DecodeError {
    /// Nothing at all.
    #[snafu(display("an empty datagram"))]
    Empty,
    /// More bytes than a datagram may have.
    #[snafu(display("a datagram of {bytes} bytes; {MAX_DATAGRAM_BYTES} at most"))]
    TooLarge {
        /// How many there are.
        bytes: usize,
    },
    /// Another version of the encoding.
    #[snafu(display("version {version} of the encoding; {WIRE_VERSION} is spoken here"))]
    UnsupportedVersion {
        /// Which one.
        version: u8,
    },
    /// The bytes do not follow the encoding.
    #[snafu(display("not a datagram: {source}"))]
    Malformed {
        /// What the decoder says.
        source: postcard::Error,
    },
    /// A name is empty or too long.
    #[snafu(display("a name of {bytes} bytes; 1 to {MAX_TEXT_BYTES} are allowed"))]
    InvalidNameLength {
        /// Its length.
        bytes: usize,
    },
    /// An incarnation above [`MAX_INCARNATION`].
    #[snafu(display("incarnation {} is not plausible", incarnation.0))]
    ImplausibleIncarnation {
        /// Which one.
        incarnation: Incarnation,
    },
    /// A digest with another number of ranges.
    #[snafu(display("a digest with another number of ranges"))]
    InvalidDigest,
}

#[derive(Deserialize)]
struct Header {
    sender: Record,
    message: Message,
}

#[derive(Serialize)]
struct HeaderView<'a> {
    sender: &'a Record,
    message: &'a Message,
}

impl Datagram {
    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// If the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Result<Datagram, DecodeError> {
        ensure!(bytes.len() <= MAX_DATAGRAM_BYTES, TooLargeSnafu { bytes: bytes.len() });
        let (&version, body) = bytes.split_first().ok_or(DecodeError::Empty)?;
        ensure!(version == WIRE_VERSION, UnsupportedVersionSnafu { version });
        let (header, mut rest) = postcard::take_from_bytes::<Header>(body).context(MalformedSnafu)?;
        check_record(&header.sender)?;
        check_message(&header.message)?;
        let mut records = Vec::new();
        while !rest.is_empty() {
            let (record, after) = postcard::take_from_bytes::<Record>(rest).context(MalformedSnafu)?;
            check_record(&record)?;
            records.push(record);
            rest = after;
        }
        Ok(Datagram { sender: header.sender, message: header.message, records })
    }
}

fn check_record(record: &Record) -> Result<(), DecodeError> {
    check_text(&record.member.id.node.0)?;
    check_text(&record.member.zone)?;
    let incarnation = record.incarnation;
    ensure!(incarnation <= MAX_INCARNATION, ImplausibleIncarnationSnafu { incarnation });
    Ok(())
}

fn check_message(message: &Message) -> Result<(), DecodeError> {
    match message {
        Message::PingRequest { target, .. } | Message::IndirectAck { target, .. } => {
            check_text(&target.node.0)
        }
        Message::Digest { buckets } => {
            ensure!(buckets.is_well_formed(), InvalidDigestSnafu);
            Ok(())
        }
        _ => Ok(()),
    }
}

fn check_text(text: &str) -> Result<(), DecodeError> {
    let bytes = text.len();
    ensure!((1..=MAX_TEXT_BYTES).contains(&bytes), InvalidNameLengthSnafu { bytes });
    Ok(())
}

/// The bytes of a datagram with the records that fit, in their order; those after the first that does not fit
/// are left out.
pub fn encode(sender: &Record, message: &Message, records: &[Record]) -> Vec<u8> {
    let mut outgoing = DatagramBuilder::new(sender, message);
    for record in records {
        if !outgoing.push(record) {
            break;
        }
    }
    outgoing.into_bytes()
}

/// A datagram that is being filled.
pub struct DatagramBuilder(Vec<u8>);

impl DatagramBuilder {
    /// Starts with what every datagram has.
    pub fn new(sender: &Record, message: &Message) -> Self {
        DatagramBuilder(append(vec![WIRE_VERSION], &HeaderView { sender, message }))
    }

    /// Adds `record`; `false` if it does not fit.
    pub fn push(&mut self, record: &Record) -> bool {
        let before = self.0.len();
        self.0 = append(std::mem::take(&mut self.0), record);
        let fits = self.0.len() <= MAX_DATAGRAM_BYTES;
        if !fits {
            self.0.truncate(before);
        }
        fits
    }

    /// How many bytes there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The finished datagram.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }
}

/// Writing plain data of known lengths into a growing buffer does not fail.
fn append<T: Serialize>(buffer: Vec<u8>, value: &T) -> Vec<u8> {
    postcard::to_extend(value, buffer).unwrap_or_default()
}
