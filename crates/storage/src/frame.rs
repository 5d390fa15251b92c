//! The layout of files: frames, each a magic number, the length of the contents, their checksum, the contents.
//! A file of one version is one frame, whose contents begin with the number of the version.

use std::io::Write;
use std::path::Path;

use snafu::ResultExt;

use crate::error::{CorruptSnafu, IoSnafu, StorageError, UnsupportedLayoutSnafu};
use crate::file_system::{self, File};

/// Begins a frame.
type Magic = [u8; 8];

/// Begins a batch of a segment; versions without their numbers began with it, too.
const BATCH: Magic = *b"JNPRWNG1";
/// Begins a version.
const VERSION: Magic = *b"JNPRWNG2";
const HEADER_BYTES: usize = size_of::<Magic>() + 8 + 4;

/// A batch behind its header.
pub(crate) fn batch_frame(contents: &[u8]) -> Vec<u8> {
    frame(BATCH, contents)
}

fn frame(magic: Magic, contents: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + contents.len());
    bytes.extend_from_slice(&magic);
    bytes.extend_from_slice(&(contents.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(contents).to_le_bytes());
    bytes.extend_from_slice(contents);
    bytes
}

/// The contents of the first batch and the bytes behind it; `None` if it is torn or none.
pub(crate) fn first_batch(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    first_frame(BATCH, bytes)
}

fn first_frame(magic: Magic, bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let rest = bytes.strip_prefix(&magic)?;
    let (length, rest) = rest.split_first_chunk::<8>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u64::from_le_bytes(*length)).ok()?;
    let (contents, behind) = rest.split_at_checked(length)?;
    let intact = u32::from_le_bytes(*checksum) == crc32fast::hash(contents);
    intact.then_some((contents, behind))
}

fn only_frame(magic: Magic, bytes: &[u8]) -> Option<&[u8]> {
    first_frame(magic, bytes).filter(|(_, behind)| behind.is_empty()).map(|(contents, _)| contents)
}

/// Writes a new file of one version and syncs it.
pub(crate) fn write_version(path: &Path, number: u64, contents: &[u8]) -> Result<(), StorageError> {
    let numbered = [&number.to_le_bytes(), contents].concat();
    let mut file = File::create(path).context(IoSnafu { action: "creating", path })?;
    file.write_all(&frame(VERSION, &numbered)).context(IoSnafu { action: "writing", path })?;
    file.sync_all().context(IoSnafu { action: "syncing", path })
}

/// The contents of the version that has this number.
pub(crate) fn read_version(path: &Path, number: u64) -> Result<Vec<u8>, StorageError> {
    let bytes = file_system::read(path).context(IoSnafu { action: "reading", path })?;
    if only_frame(BATCH, &bytes).is_some() {
        return UnsupportedLayoutSnafu { path }.fail();
    }
    let numbered = only_frame(VERSION, &bytes).and_then(<[u8]>::split_first_chunk::<8>);
    let Some((held, contents)) = numbered else {
        return CorruptSnafu { path, found: "a torn version" }.fail();
    };
    if u64::from_le_bytes(*held) != number {
        return CorruptSnafu { path, found: "another version" }.fail();
    }
    Ok(contents.to_vec())
}

/// Makes what a file holds last, also what a process that was killed wrote to it.
pub(crate) fn sync_file(path: &Path) -> Result<(), StorageError> {
    let opened = File::open(path).context(IoSnafu { action: "opening", path })?;
    opened.sync_all().context(IoSnafu { action: "syncing", path })
}

/// Makes the names in a folder last as they are.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    sync_file(folder)
}

/// The files of a folder whose names are `prefix`, a number in hexadecimal, and nothing else; in the order of
/// the numbers.
pub(crate) fn numbered(folder: &Path, prefix: &str) -> Result<Vec<u64>, StorageError> {
    let names = file_system::list(folder).context(IoSnafu { action: "listing", path: folder })?;
    let mut numbers = Vec::new();
    for name in names {
        let digits = name.to_str().and_then(|name| name.strip_prefix(prefix));
        numbers.extend(digits.and_then(|digits| u64::from_str_radix(digits, 16).ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// The name of the file with this number.
pub(crate) fn name(prefix: &str, number: u64) -> String {
    format!("{prefix}{number:016x}")
}
