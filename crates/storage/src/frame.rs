//! The file format. A frame consists of a magic number, the length of the contents, their checksum, and the contents.
//!
//! A segment is a sequence of frames. A snapshot file is a single frame, whose contents begin with the version number.

use std::io::Write;
use std::path::Path;

use snafu::ResultExt;

use crate::error::{CorruptSnafu, IoSnafu, StorageError, UnsupportedLayoutSnafu};
use crate::file_system::{self, File};

/// The first bytes of a frame, which identify its kind.
type Magic = [u8; 8];

/// Magic number of a batch in a segment. Snapshots of an earlier layout, without a version number, had it as well.
const BATCH_MAGIC: Magic = *b"JNPRWNG1";
/// Magic number of a snapshot.
const SNAPSHOT_MAGIC: Magic = *b"JNPRWNG2";
const HEADER_BYTES: usize = size_of::<Magic>() + 8 + 4;

/// Encodes a batch as a frame.
pub(crate) fn batch_frame(contents: &[u8]) -> Vec<u8> {
    frame(BATCH_MAGIC, contents)
}

fn frame(magic: Magic, contents: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + contents.len());
    bytes.extend_from_slice(&magic);
    bytes.extend_from_slice(&(contents.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(contents).to_le_bytes());
    bytes.extend_from_slice(contents);
    bytes
}

/// Splits off the contents of the first batch; `None` if the batch is torn or there is none.
pub(crate) fn first_batch(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    first_frame(BATCH_MAGIC, bytes)
}

fn first_frame(magic: Magic, bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let rest = bytes.strip_prefix(&magic)?;
    let (length, rest) = rest.split_first_chunk::<8>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u64::from_le_bytes(*length)).ok()?;
    let (contents, remainder) = rest.split_at_checked(length)?;
    let is_intact = u32::from_le_bytes(*checksum) == crc32fast::hash(contents);
    is_intact.then_some((contents, remainder))
}

fn single_frame(magic: Magic, bytes: &[u8]) -> Option<&[u8]> {
    first_frame(magic, bytes).filter(|(_, remainder)| remainder.is_empty()).map(|(contents, _)| contents)
}

/// Writes a snapshot to a new file and syncs it.
pub(crate) fn write_snapshot(path: &Path, number: u64, contents: &[u8]) -> Result<(), StorageError> {
    let numbered = [&number.to_le_bytes(), contents].concat();
    let mut file = File::create(path).context(IoSnafu { action: "creating", path })?;
    file.write_all(&frame(SNAPSHOT_MAGIC, &numbered)).context(IoSnafu { action: "writing", path })?;
    file.sync_all().context(IoSnafu { action: "syncing", path })
}

/// Reads a snapshot and checks that it has this version number.
pub(crate) fn read_snapshot(path: &Path, number: u64) -> Result<Vec<u8>, StorageError> {
    let bytes = file_system::read(path).context(IoSnafu { action: "reading", path })?;
    if single_frame(BATCH_MAGIC, &bytes).is_some() {
        return UnsupportedLayoutSnafu { path }.fail();
    }
    let numbered = single_frame(SNAPSHOT_MAGIC, &bytes).and_then(<[u8]>::split_first_chunk::<8>);
    let Some((stored_number, contents)) = numbered else {
        return CorruptSnafu { path, found: "a torn version" }.fail();
    };
    if u64::from_le_bytes(*stored_number) != number {
        return CorruptSnafu { path, found: "another version" }.fail();
    }
    Ok(contents.to_vec())
}

/// Makes the contents of a file durable, including the unsynced writes of a process that was killed.
pub(crate) fn sync_file(path: &Path) -> Result<(), StorageError> {
    let opened = File::open(path).context(IoSnafu { action: "opening", path })?;
    opened.sync_all().context(IoSnafu { action: "syncing", path })
}

/// Makes the entries of a directory durable.
pub(crate) fn sync_directory(directory: &Path) -> Result<(), StorageError> {
    sync_file(directory)
}

/// Lists the numbers of the files whose names consist of `prefix` and a hexadecimal number, in ascending order.
pub(crate) fn list_numbers(directory: &Path, prefix: &str) -> Result<Vec<u64>, StorageError> {
    let names = file_system::read_dir(directory).context(IoSnafu { action: "listing", path: directory })?;
    let mut numbers = Vec::new();
    for name in names {
        let digits = name.to_str().and_then(|name| name.strip_prefix(prefix));
        numbers.extend(digits.and_then(|digits| u64::from_str_radix(digits, 16).ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// The name of the file with this number.
pub(crate) fn file_name(prefix: &str, number: u64) -> String {
    format!("{prefix}{number:016x}")
}
