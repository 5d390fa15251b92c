//! The keeper's disk: its identity, and all that a replica must remember.
//!
//! A record is one file, replaced whole. Where only the ballot has changed, it goes into a small file of its own
//! that names the record it belongs to, so that elections don't write the state.
//!
//! Both carry the identity of their folder. A folder whose newest record is torn, is an older one under the
//! newest name, or is that of another folder, counts as lost: the keeper comes back with a new identity and
//! nothing else, as after the loss of the disk, since it may have promised or confirmed more than it finds. No
//! loss of power leads there, see `juniperwing_storage::SnapshotFiles`.

use std::path::Path;
use std::sync::Arc;

use juniperwing_protocol::replication::{Epoch, Version};
use juniperwing_protocol::{DiskId, EpochNumber};
use juniperwing_replication::{AcceptorState, Record};
use juniperwing_storage::{SnapshotFiles, StorageError, identity, layout};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// The layout of records and ballots; another number with every change of what is in them.
const LAYOUT_VERSION: u32 = 1;
/// The name of the state in the data directory.
const STATE_NAME: &str = "control";
/// The name of the ballots that came after it.
const ACCEPTOR_STATE_NAME: &str = "ballot";

/// Why the disk cannot be used.
#[derive(Debug, Snafu)]
pub enum DiskError {
    /// It refuses.
    #[snafu(display("{source}"))]
    Storage {
        /// What was tried.
        source: StorageError,
    },
    /// What it holds is not a record.
    #[snafu(display("the record on disk cannot be read: {source}"))]
    Malformed {
        /// What the decoder says.
        source: postcard::Error,
    },
    /// A ballot belongs to a record that is not there.
    #[snafu(display("the record of the last ballot is missing"))]
    MissingRecord,
    /// The record was written by the keeper of another folder.
    #[snafu(display("the record on disk is that of disk {}, not of {}", found.0, expected.0))]
    ForeignRecord {
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
            DiskError::Storage { source } => source.is_corruption(),
            DiskError::Malformed { .. } => false,
            DiskError::MissingRecord | DiskError::ForeignRecord { .. } => true,
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

/// The layout of a ballot on disk.
#[derive(Serialize, Deserialize)]
struct StoredAcceptorState {
    disk: DiskId,
    /// The number of the record that it belongs to.
    record: u64,
    promised: EpochNumber,
    accepted: Epoch,
}

/// What a keeper finds on its disk.
#[derive(Debug)]
pub struct OpenedRecordFile {
    /// The identity of its folder.
    pub disk: DiskId,
    /// Where its records go.
    pub record_file: RecordFile,
    /// The newest record; `None` if there is none yet.
    pub record: Option<Record>,
    /// Why what was there counts as lost, if it does; the identity is a new one then.
    pub loss: Option<DiskError>,
}

/// Opens the keeper's folder. New identities are drawn where they are needed.
///
/// # Errors
///
/// If the disk refuses, or holds what another release wrote.
pub fn open(folder: &Path, draw: impl Fn() -> u64) -> Result<OpenedRecordFile, DiskError> {
    let (disk, _) = identity::open(folder, draw()).context(StorageSnafu)?;
    let disk = DiskId(disk);
    layout::check(folder, STATE_NAME, LAYOUT_VERSION).context(StorageSnafu)?;
    match RecordFile::open(folder, disk) {
        Ok((file, record)) => Ok(OpenedRecordFile { disk, record_file: file, record, loss: None }),
        Err(loss) if loss.is_loss() => reset_identity(folder, DiskId(draw()), loss),
        Err(error) => Err(error),
    }
}

/// The identity goes first: a record that is still there after a loss of power is a foreign one then.
fn reset_identity(folder: &Path, disk: DiskId, loss: DiskError) -> Result<OpenedRecordFile, DiskError> {
    identity::renew(folder, disk.0).context(StorageSnafu)?;
    let files = SnapshotFiles::clear(folder, STATE_NAME).context(StorageSnafu)?;
    let ballots = SnapshotFiles::clear(folder, ACCEPTOR_STATE_NAME).context(StorageSnafu)?;
    let file = RecordFile { disk, record_files: files, acceptor_files: ballots, newest_written: None };
    Ok(OpenedRecordFile { disk, record_file: file, record: None, loss: Some(loss) })
}

/// The files. All calls block on the disk.
#[derive(Debug)]
pub struct RecordFile {
    disk: DiskId,
    record_files: SnapshotFiles,
    acceptor_files: SnapshotFiles,
    /// The state that the newest record holds.
    newest_written: Option<(Version, Arc<Vec<u8>>)>,
}

impl RecordFile {
    /// Opens the files and reads the newest record of this disk with its newest ballot.
    fn open(folder: &Path, disk: DiskId) -> Result<(Self, Option<Record>), DiskError> {
        let (files, newest) = SnapshotFiles::open(folder, STATE_NAME).context(StorageSnafu)?;
        let (ballots, newest_ballot) =
            SnapshotFiles::open(folder, ACCEPTOR_STATE_NAME).context(StorageSnafu)?;
        let mut record = newest.map(|bytes| decode_record(&bytes, disk)).transpose()?;
        let later = newest_ballot.map(|bytes| decode_acceptor_state(&bytes, disk)).transpose()?;
        if let Some((number, ballot)) = later {
            match &mut record {
                Some(record) if number == files.newest_number() => record.acceptor = ballot,
                // The record that came after it holds a later one.
                Some(_) if number < files.newest_number() => {}
                _ => return MissingRecordSnafu.fail(),
            }
        }
        let written = record.as_ref().map(|record| (record.version, Arc::clone(&record.state)));
        Ok((
            RecordFile { disk, record_files: files, acceptor_files: ballots, newest_written: written },
            record,
        ))
    }

    /// Writes a record. When this returns, it outlasts a loss of power.
    ///
    /// # Errors
    ///
    /// If the disk refuses; the record before is untouched then. The new one may come back after a start.
    pub fn write(&mut self, record: &Record) -> Result<(), DiskError> {
        let holds =
            |(version, state): &(Version, Arc<Vec<u8>>)| *version == record.version && *state == record.state;
        if self.newest_written.as_ref().is_some_and(holds) {
            return self.write_acceptor_state(&record.acceptor);
        }
        // Where this fails, the newest number is not known to be that of a record.
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

    fn write_acceptor_state(&mut self, ballot: &AcceptorState) -> Result<(), DiskError> {
        let stored = StoredAcceptorState {
            disk: self.disk,
            record: self.record_files.newest_number(),
            promised: ballot.promised,
            accepted: ballot.accepted.clone(),
        };
        let bytes = postcard::to_stdvec(&stored).context(MalformedSnafu)?;
        self.acceptor_files.write(&bytes).context(StorageSnafu)
    }
}

fn decode_record(bytes: &[u8], expected: DiskId) -> Result<Record, DiskError> {
    let stored: StoredRecord = postcard::from_bytes(bytes).context(MalformedSnafu)?;
    check_disk(stored.disk, expected)?;
    let ballot = AcceptorState { promised: stored.promised, accepted: stored.accepted };
    Ok(Record { acceptor: ballot, version: stored.version, state: stored.state })
}

/// A ballot with the number of its record.
fn decode_acceptor_state(bytes: &[u8], expected: DiskId) -> Result<(u64, AcceptorState), DiskError> {
    let stored: StoredAcceptorState = postcard::from_bytes(bytes).context(MalformedSnafu)?;
    check_disk(stored.disk, expected)?;
    Ok((stored.record, AcceptorState { promised: stored.promised, accepted: stored.accepted }))
}

fn check_disk(found: DiskId, expected: DiskId) -> Result<(), DiskError> {
    if found == expected { Ok(()) } else { ForeignRecordSnafu { found, expected }.fail() }
}
