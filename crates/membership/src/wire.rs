//! Datagrams and their encoding.
//!
//! A datagram consists of a version byte and, encoded by `postcard`, the sender's own record, the message, and records
//! up to the end. The order of fields and variants is part of the format.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::digest::{Buckets, HashRange};
use crate::member::{Incarnation, MemberId, Record};

/// Maximum size of a datagram, in bytes; it fits into one packet of any usual link.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Maximum length of the name of a node or zone, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;

/// The highest incarnation that is accepted, so that a corrupt record cannot exhaust the range.
pub const MAX_INCARNATION: Incarnation = Incarnation(1 << 48);

/// Version of the encoding; the first byte of every datagram.
pub const WIRE_VERSION: u8 = 1;

/// Associates an ack with its ping.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sequence(pub u32);

/// The message of a datagram. The records that follow it are updates, unless stated otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a [`Message::Ack`].
    Ping {
        /// Returned in the ack.
        sequence: Sequence,
    },
    /// Reply to [`Message::Ping`].
    Ack {
        /// The sequence of the ping.
        sequence: Sequence,
    },
    /// SWIM's ping-req: asks the receiver to ping another member.
    PingRequest {
        /// Returned in the ack.
        sequence: Sequence,
        /// The member to ping.
        target: MemberId,
        /// The address of the target.
        address: SocketAddr,
    },
    /// Reply to [`Message::PingRequest`] once the target has sent an ack.
    IndirectAck {
        /// The sequence of the request.
        sequence: Sequence,
        /// The member that sent the ack.
        target: MemberId,
    },
    /// Carries only updates.
    Gossip,
    /// The checksums of the sender's table; requests a [`Message::Page`] for each range that differs.
    Digest {
        /// The checksums.
        buckets: Buckets,
    },
    /// All live members in a range; requests a [`Message::PageReply`] with the records that the sender is missing.
    Page {
        /// The range.
        range: HashRange,
        /// Whether the tables differ in other ranges for which no page was sent.
        has_more: bool,
    },
    /// Records that the sender of a page is missing; requests a [`Message::Correction`] for those that the
    /// receiver can supersede.
    PageReply,
    /// Records that supersede those sent by the receiver. Never replied to.
    Correction,
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The sender's own record.
    pub sender: Record,
    /// The message.
    pub message: Message,
    /// The records that follow the message.
    pub records: Vec<Record>,
}

/// Why a datagram cannot be decoded.
#[derive(Clone, Debug, Snafu, PartialEq)]
pub enum DecodeError {
    /// The datagram is empty.
    #[snafu(display("datagram is empty"))]
    Empty,
    /// The datagram exceeds [`MAX_DATAGRAM_BYTES`].
    #[snafu(display("datagram has {bytes} bytes; the limit is {MAX_DATAGRAM_BYTES}"))]
    TooLarge {
        /// The size of the datagram.
        bytes: usize,
    },
    /// The datagram has another version of the encoding.
    #[snafu(display("unsupported encoding version {version}; this member uses version {WIRE_VERSION}"))]
    UnsupportedVersion {
        /// The version of the datagram.
        version: u8,
    },
    /// The bytes do not follow the encoding.
    #[snafu(display("datagram cannot be decoded: {source}"))]
    Malformed {
        /// The error of the decoder.
        source: postcard::Error,
    },
    /// A name is empty or exceeds [`MAX_TEXT_BYTES`].
    #[snafu(display("name has {bytes} bytes; 1 to {MAX_TEXT_BYTES} are allowed"))]
    InvalidNameLength {
        /// The length of the name.
        bytes: usize,
    },
    /// An incarnation exceeds [`MAX_INCARNATION`].
    #[snafu(display("incarnation {} exceeds the limit of {}", incarnation.0, MAX_INCARNATION.0))]
    ImplausibleIncarnation {
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// A digest does not have one checksum per range.
    #[snafu(display("digest has the wrong number of ranges"))]
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
    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// If the bytes are not a valid datagram of this version.
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

/// Encodes a datagram with the records that fit, in order; those after the first that does not fit are omitted.
pub fn encode(sender: &Record, message: &Message, records: &[Record]) -> Vec<u8> {
    let mut outgoing = DatagramBuilder::new(sender, message);
    for record in records {
        if !outgoing.push(record) {
            break;
        }
    }
    outgoing.into_bytes()
}

/// An encoded datagram to which records are appended.
pub struct DatagramBuilder(Vec<u8>);

impl DatagramBuilder {
    /// A datagram without records.
    pub fn new(sender: &Record, message: &Message) -> Self {
        DatagramBuilder(append(vec![WIRE_VERSION], &HeaderView { sender, message }))
    }

    /// Appends `record`; returns `false` if it does not fit.
    pub fn push(&mut self, record: &Record) -> bool {
        let before = self.0.len();
        self.0 = append(std::mem::take(&mut self.0), record);
        let fits = self.0.len() <= MAX_DATAGRAM_BYTES;
        if !fits {
            self.0.truncate(before);
        }
        fits
    }

    /// The size so far, in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The encoded datagram.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }
}

/// Appends a value. Serializing data of known length into a growing buffer does not fail.
fn append<T: Serialize>(buffer: Vec<u8>, value: &T) -> Vec<u8> {
    postcard::to_extend(value, buffer).unwrap_or_default()
}
