//! The keeper's disk: its identity, and one file with all that a replica must remember.
//!
//! The record carries the identity of its folder. A folder whose newest record is torn, is an older one under the
//! newest name, or is that of another folder, counts as lost: the keeper comes back with a new identity and
//! nothing else, as after the loss of the disk, since it may have promised or confirmed more than it finds. No
//! loss of power leads there, see `juniperwing_storage::VersionFiles`.

use std::path::Path;
use std::sync::Arc;

use juniperwing_protocol::replication::{Epoch, Version};
use juniperwing_protocol::{DiskId, EpochNumber};
use juniperwing_replication::{Ballot, Record};
use juniperwing_storage::{StorageError, VersionFiles, identity};
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
    /// The record was written by the keeper of another folder.
    #[snafu(display("the record on disk is that of disk {}, not of {}", found.0, expected.0))]
    Foreign {
        /// The identity in the record.
        found: DiskId,
        /// The identity of the folder.
        expected: DiskId,
    },
}

impl DiskError {
    /// Whether the disk counts as lost.
    fn is_loss(&self) -> bool {
        match self {
            DiskError::Refused { source } => source.is_damage(),
            DiskError::Malformed { .. } => false,
            DiskError::Foreign { .. } => true,
        }
    }
}

/// The layout of a record on disk.
#[derive(Serialize, Deserialize)]
struct StoredRecord {
    disk: DiskId,
    promised: EpochNumber,
    accepted: Epoch,
    version: Version,
    state: Arc<Vec<u8>>,
}

/// What a keeper finds on its disk.
pub(super) struct Opened {
    /// The identity of its folder.
    pub(super) disk: DiskId,
    /// Where its records go.
    pub(super) file: RecordFile,
    /// The newest record; `None` if there is none yet.
    pub(super) record: Option<Record>,
    /// Why what was there counts as lost, if it does; the identity is a new one then.
    pub(super) loss: Option<DiskError>,
}

/// Opens the keeper's folder. New identities are drawn where they are needed.
pub(super) fn open(folder: &Path, draw: impl Fn() -> u64) -> Result<Opened, DiskError> {
    let (disk, _) = identity::open(folder, draw()).context(RefusedSnafu)?;
    let disk = DiskId(disk);
    match RecordFile::open(folder, disk) {
        Ok((file, record)) => Ok(Opened { disk, file, record, loss: None }),
        Err(loss) if loss.is_loss() => start_over(folder, DiskId(draw()), loss),
        Err(error) => Err(error),
    }
}

/// The identity goes first: a record that is still there after a loss of power is a foreign one then.
fn start_over(folder: &Path, disk: DiskId, loss: DiskError) -> Result<Opened, DiskError> {
    identity::renew(folder, disk.0).context(RefusedSnafu)?;
    let files = VersionFiles::clear(folder, STATE_NAME).context(RefusedSnafu)?;
    Ok(Opened { disk, file: RecordFile { disk, files }, record: None, loss: Some(loss) })
}

/// The file, replaced whole with every write. All calls block on the disk.
pub(super) struct RecordFile {
    disk: DiskId,
    files: VersionFiles,
}

impl RecordFile {
    /// Opens the file and reads the newest record of this disk.
    fn open(folder: &Path, disk: DiskId) -> Result<(Self, Option<Record>), DiskError> {
        let (files, newest) = VersionFiles::open(folder, STATE_NAME).context(RefusedSnafu)?;
        let record = newest.map(|bytes| decode(&bytes, disk)).transpose()?;
        Ok((RecordFile { disk, files }, record))
    }

    /// Writes a record. When this returns, it outlasts a loss of power.
    pub(super) fn write(&mut self, record: &Record) -> Result<(), DiskError> {
        let stored = StoredRecord {
            disk: self.disk,
            promised: record.ballot.promised,
            accepted: record.ballot.accepted.clone(),
            version: record.version,
            state: Arc::clone(&record.state),
        };
        let bytes = postcard::to_stdvec(&stored).context(MalformedSnafu)?;
        self.files.write(&bytes).context(RefusedSnafu)
    }
}

fn decode(bytes: &[u8], expected: DiskId) -> Result<Record, DiskError> {
    let stored: StoredRecord = postcard::from_bytes(bytes).context(MalformedSnafu)?;
    if stored.disk != expected {
        return ForeignSnafu { found: stored.disk, expected }.fail();
    }
    let ballot = Ballot { promised: stored.promised, accepted: stored.accepted };
    Ok(Record { ballot, version: stored.version, state: stored.state })
}
