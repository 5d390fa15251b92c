//! Persistence of a keeper: the identity of its disk and the durable record of its replica.
//!
//! A record is one file, which is replaced atomically. Where only the acceptor state has changed, it is written to a small
//! file of its own that names the record it belongs to, so that an election does not rewrite the whole state.
//!
//! Both carry the identity of their directory. A directory whose newest record is torn, is an older one under the
//! newest name, or belongs to another directory, counts as lost: the keeper starts with a new identity and an empty
//! record, as after the loss of the disk, since it may have promised or acknowledged more than it finds. A power
//! loss does not cause this, see `juniperwing_storage::SnapshotFiles`.

use std::path::Path;
use std::sync::Arc;

use juniperwing_protocol::replication::{Epoch, Version};
use juniperwing_protocol::{DiskId, EpochNumber};
use juniperwing_replication::{AcceptorState, Record};
use juniperwing_storage::{SnapshotFiles, StorageError, identity, layout};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// The layout version of records and acceptor states; it changes with every change of their contents.
const LAYOUT_VERSION: u32 = 1;
/// The name of the record files in the data directory.
const STATE_NAME: &str = "control";
/// The name of the acceptor-state files in the data directory.
const ACCEPTOR_STATE_NAME: &str = "ballot";

/// Why the disk cannot be used.
#[derive(Debug, Snafu)]
pub enum DiskError {
    /// An operation on the disk failed.
    #[snafu(display("{source}"))]
    Storage {
        /// The failed operation.
        source: StorageError,
    },
    /// The file is not a record.
    #[snafu(display("the record on disk cannot be read: {source}"))]
    Malformed {
        /// The error of the decoder.
        source: postcard::Error,
    },
    /// The record of the newest acceptor state does not exist.
    #[snafu(display("the record of the newest acceptor state is missing"))]
    MissingRecord,
    /// The record belongs to another data directory.
    #[snafu(display("the record on disk belongs to disk {}, not to disk {}", found.0, expected.0))]
    ForeignRecord {
        /// The identity in the record.
        found: DiskId,
        /// The identity of the directory.
        expected: DiskId,
    },
}

impl DiskError {
    /// Whether the disk counts as lost.
    fn is_loss(&self) -> bool {
        match self {
            DiskError::Storage { source } => source.is_corruption(),
            DiskError::Malformed { .. } => false,
            DiskError::MissingRecord | DiskError::ForeignRecord { .. } => true,
        }
    }
}

/// A record as encoded on disk.
#[derive(Serialize, Deserialize)]
struct StoredRecord {
    disk: DiskId,
    promised: EpochNumber,
    accepted: Epoch,
    version: Version,
    state: Arc<Vec<u8>>,
}

/// An acceptor state as encoded on disk.
#[derive(Serialize, Deserialize)]
struct StoredAcceptorState {
    disk: DiskId,
    /// The number of the record file that it belongs to.
    record: u64,
    promised: EpochNumber,
    accepted: Epoch,
}

/// An opened data directory.
#[derive(Debug)]
pub struct OpenedRecordFile {
    /// The identity of the directory.
    pub disk: DiskId,
    /// The file that records are written to.
    pub record_file: RecordFile,
    /// The newest record; `None` if there is none yet.
    pub record: Option<Record>,
    /// Why the previous contents count as lost, if they do; the identity is a new one then.
    pub loss: Option<DiskError>,
}

/// Opens the keeper's data directory. `generate_identity` returns a random identity for a new or lost disk.
///
/// # Errors
///
/// If an operation on the disk fails, or the files have the layout of another release.
pub fn open(directory: &Path, generate_identity: impl Fn() -> u64) -> Result<OpenedRecordFile, DiskError> {
    let (identity, _) = identity::open(directory, generate_identity()).context(StorageSnafu)?;
    let disk = DiskId(identity);
    layout::check(directory, STATE_NAME, LAYOUT_VERSION).context(StorageSnafu)?;
    match RecordFile::open(directory, disk) {
        Ok((record_file, record)) => Ok(OpenedRecordFile { disk, record_file, record, loss: None }),
        Err(loss) if loss.is_loss() => reset_identity(directory, DiskId(generate_identity()), loss),
        Err(error) => Err(error),
    }
}

/// Starts with a new identity and no record. The identity is replaced first, so that a record that remains
/// after a power loss is recognized as foreign.
fn reset_identity(directory: &Path, disk: DiskId, loss: DiskError) -> Result<OpenedRecordFile, DiskError> {
    identity::renew(directory, disk.0).context(StorageSnafu)?;
    let record_files = SnapshotFiles::clear(directory, STATE_NAME).context(StorageSnafu)?;
    let acceptor_files = SnapshotFiles::clear(directory, ACCEPTOR_STATE_NAME).context(StorageSnafu)?;
    let record_file = RecordFile { disk, record_files, acceptor_files, newest_written: None };
    Ok(OpenedRecordFile { disk, record_file, record: None, loss: Some(loss) })
}

/// The record files of a keeper. All calls block on the disk.
#[derive(Debug)]
pub struct RecordFile {
    disk: DiskId,
    record_files: SnapshotFiles,
    acceptor_files: SnapshotFiles,
    /// The version and the state of the newest record.
    newest_written: Option<(Version, Arc<Vec<u8>>)>,
}

impl RecordFile {
    /// Opens the files and reads the newest record of this disk with its newest acceptor state.
    fn open(directory: &Path, disk: DiskId) -> Result<(Self, Option<Record>), DiskError> {
        let (record_files, newest_record) =
            SnapshotFiles::open(directory, STATE_NAME).context(StorageSnafu)?;
        let (acceptor_files, newest_acceptor) =
            SnapshotFiles::open(directory, ACCEPTOR_STATE_NAME).context(StorageSnafu)?;
        let mut record = newest_record.map(|bytes| decode_record(&bytes, disk)).transpose()?;
        let acceptor = newest_acceptor.map(|bytes| decode_acceptor_state(&bytes, disk)).transpose()?;
        if let Some((record_number, acceptor)) = acceptor {
            match &mut record {
                Some(record) if record_number == record_files.newest_number() => record.acceptor = acceptor,
                // The record was written later and contains a newer acceptor state.
                Some(_) if record_number < record_files.newest_number() => {}
                _ => return MissingRecordSnafu.fail(),
            }
        }
        let newest_written = record.as_ref().map(|record| (record.version, Arc::clone(&record.state)));
        Ok((RecordFile { disk, record_files, acceptor_files, newest_written }, record))
    }

    /// Writes a record durably: once this returns, the record survives a power loss.
    ///
    /// # Errors
    ///
    /// If the write fails; the previous record is untouched then. The new one may still be found at the next start.
    pub fn write(&mut self, record: &Record) -> Result<(), DiskError> {
        let is_written =
            |(version, state): &(Version, Arc<Vec<u8>>)| *version == record.version && *state == record.state;
        if self.newest_written.as_ref().is_some_and(is_written) {
            return self.write_acceptor_state(&record.acceptor);
        }
        // If the write fails, it is unknown which record the newest file contains.
        self.newest_written = None;
        let stored = StoredRecord {
            disk: self.disk,
            promised: record.acceptor.promised,
            accepted: record.acceptor.accepted.clone(),
            version: record.version,
            state: Arc::clone(&record.state),
        };
        let bytes = postcard::to_stdvec(&stored).context(MalformedSnafu)?;
        self.record_files.write(&bytes).context(StorageSnafu)?;
        self.newest_written = Some((record.version, Arc::clone(&record.state)));
        Ok(())
    }

    fn write_acceptor_state(&mut self, acceptor: &AcceptorState) -> Result<(), DiskError> {
        let stored = StoredAcceptorState {
            disk: self.disk,
            record: self.record_files.newest_number(),
            promised: acceptor.promised,
            accepted: acceptor.accepted.clone(),
        };
        let bytes = postcard::to_stdvec(&stored).context(MalformedSnafu)?;
        self.acceptor_files.write(&bytes).context(StorageSnafu)
    }
}

fn decode_record(bytes: &[u8], expected: DiskId) -> Result<Record, DiskError> {
    let stored: StoredRecord = postcard::from_bytes(bytes).context(MalformedSnafu)?;
    check_disk(stored.disk, expected)?;
    let acceptor = AcceptorState { promised: stored.promised, accepted: stored.accepted };
    Ok(Record { acceptor, version: stored.version, state: stored.state })
}

/// Decodes an acceptor state and the number of its record file.
fn decode_acceptor_state(bytes: &[u8], expected: DiskId) -> Result<(u64, AcceptorState), DiskError> {
    let stored: StoredAcceptorState = postcard::from_bytes(bytes).context(MalformedSnafu)?;
    check_disk(stored.disk, expected)?;
    Ok((stored.record, AcceptorState { promised: stored.promised, accepted: stored.accepted }))
}

fn check_disk(found: DiskId, expected: DiskId) -> Result<(), DiskError> {
    if found == expected { Ok(()) } else { ForeignRecordSnafu { found, expected }.fail() }
}
