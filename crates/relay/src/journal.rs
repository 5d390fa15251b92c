//! The journal: stores accepted notifications, in memory and in an append-only file, until they are complete.
//!
//! Each record has its length and a checksum, so that a torn tail is detected and truncated. When most of the file is
//! obsolete, it is compacted: the live notifications are written to a new file that replaces it. The size limit of the
//! directory always leaves space for both files.

mod frame;
mod record;

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use juniperwing::time::Time;

use frame::DecodedFrame;
use record::Record;
pub use record::{
    AcceptedNotification, Attributes, Guarantee, History, RecordedSemantics, SentPush, UndeliveredEnd,
};

const FILE_NAME: &str = "log";
/// The name of the new file during a compaction.
const COMPACTED_FILE_NAME: &str = "log.new";
/// The block size of the file system, in bytes; files occupy multiples of it.
const FILE_BLOCK_BYTES: u64 = 512;
/// The maximum growth of a record when it is rewritten with its history, in bytes.
const MAX_HISTORY_BYTES: u64 = 256;
/// The maximum size of a record without body and history, in bytes: the JSON-escaped attributes.
const MAX_ATTRIBUTES_BYTES: u64 = 8 * 1024;
/// The file size above which an obsolete file is compacted, in bytes.
const MIN_COMPACTION_BYTES: u64 = 64 * 1024;

/// A live notification: one that is not complete.
#[derive(Debug)]
pub struct JournalEntry {
    /// The notification without its body.
    pub notification: AcceptedNotification,
    /// The body; empty once the notification has ended.
    pub body: Vec<u8>,
    /// The number of pushes that the core decided on. A push whose connection was never established is not recorded, so
    /// the next process does not count it.
    pub decided_pushes: u32,
    /// The maximum space that it occupies in the file, in bytes.
    max_record_bytes: u64,
}

/// The journal of a directory. Notifications are numbered from 1 in the order accepted.
pub struct Journal {
    directory: PathBuf,
    file: File,
    file_bytes: u64,
    /// Frames that are not yet appended to the file.
    unflushed: Vec<u8>,
    live: BTreeMap<u64, JournalEntry>,
    /// The ids of all live notifications.
    ids: BTreeSet<String>,
    /// The sum of the entries' `max_record_bytes`.
    live_bytes: u64,
    next_number: u64,
    max_bytes: u64,
}

/// An opened journal, and how much of its file was torn.
pub struct OpenedJournal {
    /// The journal, with all records before the first torn one.
    pub journal: Journal,
    /// The length of the torn tail that was truncated, in bytes.
    pub torn_bytes: u64,
}

impl Journal {
    /// Opens the journal in a directory whose size is limited to `max_bytes`.
    ///
    /// # Errors
    ///
    /// A file in the directory cannot be removed, read, opened or truncated.
    pub fn open(directory: &Path, max_bytes: u64) -> io::Result<OpenedJournal> {
        // Left by a process that ended during a compaction; the journal itself is intact.
        match fs::remove_file(directory.join(COMPACTED_FILE_NAME)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let path = directory.join(FILE_NAME);
        let bytes = match fs::read(&path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            read => read?,
        };
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        let mut journal = Journal {
            directory: directory.to_owned(),
            file,
            file_bytes: 0,
            unflushed: Vec::new(),
            live: BTreeMap::new(),
            ids: BTreeSet::new(),
            live_bytes: 0,
            next_number: 1,
            max_bytes: max_bytes.saturating_sub(4 * FILE_BLOCK_BYTES),
        };
        let torn_bytes = journal.replay(&bytes)?;
        Ok(OpenedJournal { journal, torn_bytes })
    }

    /// Applies all intact records and truncates the file after them. Returns the length of the truncated tail.
    fn replay(&mut self, bytes: &[u8]) -> io::Result<u64> {
        let mut position = 0;
        while let Some(DecodedFrame { record, body, length }) = frame::decode(&bytes[position..]) {
            self.apply(record, body, length);
            position += length;
        }
        let torn_bytes = (bytes.len() - position) as u64;
        if torn_bytes > 0 {
            self.file.set_len(position as u64)?;
        }
        self.file_bytes = position as u64;
        Ok(torn_bytes)
    }

    /// Applies a record whose frame has this length to the entries in memory.
    fn apply(&mut self, record: Record, body: Vec<u8>, frame_length: usize) {
        match record {
            Record::Accepted(number, notification) => {
                self.apply_accepted(number, *notification, body, frame_length);
            }
            Record::Pushed(number, sent_at_ns, zone) => {
                if let Some(entry) = self.live.get_mut(&number) {
                    let history = &mut entry.notification.history;
                    history.push_count += 1;
                    history.in_flight = Some(SentPush { sent_at_ns, zone });
                    entry.decided_pushes = entry.decided_pushes.max(history.push_count);
                }
            }
            Record::PushEnded(number, may_have_executed, may_run_since_ns) => {
                if let Some(entry) = self.live.get_mut(&number) {
                    let history = &mut entry.notification.history;
                    let ended = history.in_flight.take().filter(|_| may_have_executed);
                    history.first_possible_execution = history.first_possible_execution.take().or(ended);
                    history.may_run_since_ns = may_run_since_ns.or(history.may_run_since_ns);
                }
            }
            Record::Ended(number, end) => {
                if let Some(entry) = self.live.get_mut(&number) {
                    entry.notification.history.end = Some(end);
                    let body_bytes = std::mem::take(&mut entry.body).len() as u64;
                    entry.max_record_bytes -= body_bytes;
                    self.live_bytes -= body_bytes;
                }
            }
            Record::Closed(number) => {
                if let Some(entry) = self.live.remove(&number) {
                    self.ids.remove(&entry.notification.attributes.id);
                    self.live_bytes -= entry.max_record_bytes;
                }
            }
        }
    }

    fn apply_accepted(
        &mut self, number: u64, notification: AcceptedNotification, body: Vec<u8>, frame_length: usize,
    ) {
        let max_record_bytes = frame_length as u64 + MAX_HISTORY_BYTES;
        self.ids.insert(notification.attributes.id.clone());
        self.next_number = self.next_number.max(number + 1);
        self.live_bytes += max_record_bytes;
        let decided_pushes = notification.history.push_count;
        self.live.insert(number, JournalEntry { notification, body, decided_pushes, max_record_bytes });
    }

    fn append(&mut self, record: Record, body: Vec<u8>) {
        let bytes_before = self.unflushed.len();
        frame::encode(&mut self.unflushed, &record, &body);
        self.apply(record, body, self.unflushed.len() - bytes_before);
    }

    /// Whether another notification with a body of this length fits. A compacted file must fit beside the current one
    /// at any time: live notifications may use two fifths of the space, and the current file the rest.
    pub fn has_capacity_for(&self, body_bytes: usize) -> bool {
        self.live_bytes + body_bytes as u64 + MAX_ATTRIBUTES_BYTES <= self.max_live_bytes()
    }

    fn max_live_bytes(&self) -> u64 {
        self.max_bytes * 2 / 5
    }

    /// Records an accepted notification. Returns its number.
    pub fn accept(
        &mut self, attributes: Attributes, valid_until: Time, guarantee: Guarantee, body: Vec<u8>,
    ) -> u64 {
        let number = self.next_number;
        let notification = AcceptedNotification {
            attributes,
            valid_until_ns: unix_nanos(valid_until),
            history: History::default(),
            guarantee: Some(guarantee),
        };
        self.append(Record::Accepted(number, Box::new(notification)), body);
        number
    }

    /// Counts a push that the core decided on. Returns its index, from 0.
    pub fn count_push(&mut self, number: u64) -> Option<u32> {
        let entry = self.live.get_mut(&number)?;
        entry.decided_pushes += 1;
        Some(entry.decided_pushes - 1)
    }

    /// Records that a push is about to be sent. After the next flush, a process that reads the journal assumes that the
    /// push may have run.
    pub fn record_push(&mut self, number: u64, sent_at: Time, zone: &str) {
        self.append(Record::Pushed(number, unix_nanos(sent_at), zone.to_owned()), Vec::new());
    }

    /// Records the end of a push: whether it may have run, and, if it may still be running, when it ended.
    pub fn record_push_ended(&mut self, number: u64, may_have_executed: bool, may_run_since: Option<Time>) {
        self.append(Record::PushEnded(number, may_have_executed, may_run_since.map(unix_nanos)), Vec::new());
    }

    /// Records that a notification ended undelivered; its client has yet to be notified.
    pub fn record_end(&mut self, number: u64, end: UndeliveredEnd) {
        self.append(Record::Ended(number, end), Vec::new());
    }

    /// Records that a notification is complete and no longer live.
    pub fn close(&mut self, number: u64) {
        self.append(Record::Closed(number), Vec::new());
    }

    /// Whether a live notification has this id.
    pub fn contains_id(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Returns the live notification with this number.
    pub fn get(&self, number: u64) -> Option<&JournalEntry> {
        self.live.get(&number)
    }

    /// Iterates over the live notifications with their numbers, in the order accepted.
    pub fn live(&self) -> impl Iterator<Item = (u64, &JournalEntry)> {
        self.live.iter().map(|(number, entry)| (*number, entry))
    }

    /// Returns the number of live notifications.
    pub fn live_count(&self) -> usize {
        self.live.len()
    }

    /// Writes all new records to the file. They survive a crash of the process but, since the file is not synced,
    /// possibly not a power loss.
    ///
    /// # Errors
    ///
    /// The file cannot be written or replaced.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.unflushed.is_empty() {
            return Ok(());
        }
        let grown_bytes = self.file_bytes + self.unflushed.len() as u64;
        let is_mostly_obsolete = grown_bytes > MIN_COMPACTION_BYTES && grown_bytes > 4 * self.live_bytes;
        if is_mostly_obsolete || grown_bytes > self.max_bytes - self.max_live_bytes() {
            return self.compact();
        }
        self.file.write_all(&self.unflushed)?;
        self.file_bytes = grown_bytes;
        self.unflushed.clear();
        Ok(())
    }

    /// Writes the live notifications to a new file that replaces the current one. The unflushed records are already
    /// applied to them.
    fn compact(&mut self) -> io::Result<()> {
        let mut bytes = Vec::new();
        for (number, entry) in &self.live {
            let record = Record::Accepted(*number, Box::new(entry.notification.clone()));
            frame::encode(&mut bytes, &record, &entry.body);
        }
        let path = self.directory.join(COMPACTED_FILE_NAME);
        let mut file = OpenOptions::new().create(true).append(true).open(&path)?;
        file.write_all(&bytes)?;
        fs::rename(&path, self.directory.join(FILE_NAME))?;
        (self.file, self.file_bytes) = (file, bytes.len() as u64);
        self.unflushed.clear();
        Ok(())
    }
}

fn unix_nanos(time: Time) -> u64 {
    time.since(Time::default()).as_nanos()
}
