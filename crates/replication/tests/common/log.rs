//! The replicated state of the tests: a list of all changes.

use juniperwing_replication::{MalformedState, ReplicatedState};

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log(pub Vec<u64>);

fn malformed() -> MalformedState {
    MalformedState { reason: String::from("not a multiple of the entry size") }
}

impl ReplicatedState for Log {
    type Change = u64;

    fn apply(&mut self, change: &u64) {
        self.0.push(*change);
    }

    fn encode(&self) -> Vec<u8> {
        self.0.iter().flat_map(|entry| entry.to_le_bytes()).collect()
    }

    fn decode(bytes: &[u8]) -> Result<Self, MalformedState> {
        let (entries, rest) = bytes.as_chunks::<8>();
        if !rest.is_empty() {
            return Err(malformed());
        }
        Ok(Log(entries.iter().map(|entry| u64::from_le_bytes(*entry)).collect()))
    }

    fn encode_change(change: &u64) -> Vec<u8> {
        change.to_le_bytes().to_vec()
    }

    fn decode_change(bytes: &[u8]) -> Result<u64, MalformedState> {
        bytes.try_into().map(u64::from_le_bytes).map_err(|_| malformed())
    }
}
