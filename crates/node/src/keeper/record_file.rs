//! The keeper's disk: one file with all that a replica must remember.

use std::path::Path;
use std::sync::Arc;

use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::{Epoch, Version};
use juniperwing_replication::{Ballot, Record};
use juniperwing_storage::{StorageError, VersionFiles};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// The name of the state in the data directory.
const STATE_NAME: &str = "control";

/// Why the disk cannot be used.
#[derive(Debug, Snafu)]
pub enum DiskError {
    /// It refuses.
    #[snafu(display("{source}"))]
    Refused {
        /// What was tried.
        source: StorageError,
    },
    /// What it holds is not a record.
    #[snafu(display("the record on disk cannot be read: {source}"))]
    Malformed {
        /// What the decoder says.
        source: postcard::Error,
    },
}

/// The layout of a record on disk.
#[derive(Serialize, Deserialize)]
struct StoredRecord {
    promised: EpochNumber,
    accepted: Epoch,
    version: Version,
    state: Arc<Vec<u8>>,
}

/// The file, replaced whole with every write. All calls block on the disk.
pub(super) struct RecordFile {
    files: VersionFiles,
}

impl RecordFile {
    /// Opens the file and reads the newest record; `None` if there is none yet.
    pub(super) fn open(folder: &Path) -> Result<(Self, Option<Record>), DiskError> {
        let (files, newest) = VersionFiles::open(folder, STATE_NAME).context(RefusedSnafu)?;
        let record = newest.map(|bytes| decode(&bytes)).transpose()?;
        Ok((RecordFile { files }, record))
    }

    /// Writes a record. When this returns, it outlasts a loss of power.
    pub(super) fn write(&mut self, record: &Record) -> Result<(), DiskError> {
        let stored = StoredRecord {
            promised: record.ballot.promised,
            accepted: record.ballot.accepted.clone(),
            version: record.version,
            state: Arc::clone(&record.state),
        };
        let bytes = postcard::to_stdvec(&stored).context(MalformedSnafu)?;
        self.files.write(&bytes).context(RefusedSnafu)
    }
}

fn decode(bytes: &[u8]) -> Result<Record, DiskError> {
    let stored: StoredRecord = postcard::from_bytes(bytes).context(MalformedSnafu)?;
    let ballot = Ballot { promised: stored.promised, accepted: stored.accepted };
    Ok(Record { ballot, version: stored.version, state: stored.state })
}
