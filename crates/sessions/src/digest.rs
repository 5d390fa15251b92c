//! Digests of records. All stores must compute the same values.

use std::hash::Hasher;

use fnv::FnvHasher;
use juniperwing_protocol::ProgramId;
use juniperwing_protocol::transfer::Record;

/// Computes the digest of a record. Only the lengths of a turn's input and output are hashed, since the contents of a
/// stored turn never change.
pub(crate) fn record_digest(record: &Record) -> u64 {
    let mut hasher = DigestHasher::new();
    hasher.write_text(&record.program.0);
    hasher.write_text(&record.request.0);
    hasher.write_number(record.tokens);
    hasher.write_number(record.state as u64);
    hasher.write_number(record.expires_at_ms);
    if let Some(turn) = &record.turn {
        hasher.write_number(turn.input.len() as u64);
        hasher.write_number(turn.output.len() as u64);
        hasher.write_text(turn.previous.as_ref().map_or("", |previous| &previous.0));
    }
    hasher.finish()
}

/// Returns the range, out of `ranges`, that contains a program.
pub(crate) fn range_of(program: &ProgramId, ranges: u16) -> u16 {
    let mut hasher = DigestHasher::new();
    hasher.write_text(&program.0);
    (hasher.finish() % u64::from(ranges.max(1))) as u16
}

/// FNV-1a with a final mixing step, so that differences do not cancel out when digests are summed.
struct DigestHasher(FnvHasher);

impl DigestHasher {
    fn new() -> Self {
        DigestHasher(FnvHasher::default())
    }

    fn write_text(&mut self, text: &str) {
        self.0.write(text.as_bytes());
        // Terminates the text, so that different pairs of texts never concatenate to the same bytes.
        self.0.write_u8(0xff);
    }

    fn write_number(&mut self, number: u64) {
        self.0.write(&number.to_le_bytes());
    }

    fn finish(&self) -> u64 {
        let hash = self.0.finish();
        let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        mixed ^ (mixed >> 33)
    }
}
