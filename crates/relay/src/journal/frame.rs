//! The frame of a record. Its header holds the length of the data, a checksum, and the length of the JSON part before
//! the body, each as 32 bits in little-endian order.

use super::record::Record;

const FRAME_HEADER_BYTES: usize = 12;

/// A decoded record.
pub(super) struct DecodedFrame {
    pub(super) record: Record,
    pub(super) body: Vec<u8>,
    /// The length of the entire frame, in bytes.
    pub(super) length: usize,
}

/// Appends a frame with a record and the body of its notification to `output`.
pub(super) fn encode(output: &mut Vec<u8>, record: &Record, body: &[u8]) {
    let json = serde_json::to_vec(record).expect("a record can be serialised");
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&json);
    checksum.update(body);
    for number in [json.len() + body.len(), checksum.finalize() as usize, json.len()] {
        output.extend_from_slice(&(number as u32).to_le_bytes());
    }
    output.extend_from_slice(&json);
    output.extend_from_slice(body);
}

/// Decodes the first frame; `None` if it is incomplete or corrupt.
pub(super) fn decode(bytes: &[u8]) -> Option<DecodedFrame> {
    let number = |index: usize| {
        let number = bytes.get(index * 4..index * 4 + 4)?;
        Some(u32::from_le_bytes(number.try_into().ok()?) as usize)
    };
    let (data_length, checksum, json_length) = (number(0)?, number(1)?, number(2)?);
    let length = FRAME_HEADER_BYTES + data_length;
    let data = bytes.get(FRAME_HEADER_BYTES..length).filter(|_| json_length <= data_length)?;
    if crc32fast::hash(data) as usize != checksum {
        return None;
    }
    let record = serde_json::from_slice(&data[..json_length]).ok()?;
    Some(DecodedFrame { record, body: data[json_length..].to_vec(), length })
}
