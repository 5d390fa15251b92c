//! The layout of files: frames, each a magic number, the length of the contents, their checksum, the contents.

use std::io::Write;
use std::path::Path;

use snafu::ResultExt;

use crate::disk::{self, File};
use crate::error::{StorageError, StorageSnafu};

const MAGIC: [u8; 8] = *b"JNPRWNG1";
const HEADER_BYTES: usize = MAGIC.len() + 8 + 4;

/// Contents behind their header.
pub(crate) fn frame(contents: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + contents.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(contents.len() as u64).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(contents).to_le_bytes());
    bytes.extend_from_slice(contents);
    bytes
}

/// The contents of the first frame and the bytes behind it; `None` if it is torn or none.
pub(crate) fn first_frame(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let rest = bytes.strip_prefix(&MAGIC)?;
    let (length, rest) = rest.split_first_chunk::<8>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u64::from_le_bytes(*length)).ok()?;
    let (contents, behind) = rest.split_at_checked(length)?;
    let intact = u32::from_le_bytes(*checksum) == crc32fast::hash(contents);
    intact.then_some((contents, behind))
}

/// Writes a new file of one frame and syncs it.
pub(crate) fn write_synced(path: &Path, contents: &[u8]) -> Result<(), StorageError> {
    let mut file = File::create(path).context(StorageSnafu { action: "creating", path })?;
    file.write_all(&frame(contents)).context(StorageSnafu { action: "writing", path })?;
    file.sync_all().context(StorageSnafu { action: "syncing", path })
}

/// The contents of a file of one frame; `None` if it is torn or not of this layout.
pub(crate) fn read_checked(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    let bytes = disk::read(path).context(StorageSnafu { action: "reading", path })?;
    let only = first_frame(&bytes).filter(|(_, behind)| behind.is_empty());
    Ok(only.map(|(contents, _)| contents.to_vec()))
}

/// Makes renamed and removed names of a folder last.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let opened = File::open(folder).context(StorageSnafu { action: "opening", path: folder })?;
    opened.sync_all().context(StorageSnafu { action: "syncing", path: folder })
}

/// The files of a folder whose names are `prefix`, a number in hexadecimal, and nothing else; in the order of
/// the numbers.
pub(crate) fn numbered(folder: &Path, prefix: &str) -> Result<Vec<u64>, StorageError> {
    let names = disk::list(folder).context(StorageSnafu { action: "listing", path: folder })?;
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
