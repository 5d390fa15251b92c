//! Owns what the relay has taken on and not ended: in memory, and in a log in the folder that lasts, so that
//! it outlives the process. It must never let the folder outgrow its limit, or decide what becomes of a
//! notification.
//!
//! The log is only appended to; each record carries its length and a checksum, so a torn tail is found and
//! cut off. Once it holds much that is over, what is live is written to a new file that takes its place. Room
//! for both is always kept.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use juniperwing::interface::{Effect, Group, TopicType};
use juniperwing::time::{Span, Time};
use serde::{Deserialize, Serialize};

/// Length, checksum, and length of the part before the body.
const FRAME_HEADER_BYTES: usize = 12;
/// Files count in whole blocks.
const FILE_BLOCK_BYTES: u64 = 512;
/// What a record may grow by when it is written anew with all that has happened since.
const MAX_HISTORY_BYTES: u64 = 256;
/// The most that a record may need beside the body and what is counted as history: its words, escaped.
const MAX_ATTRIBUTES_BYTES: u64 = 8 * 1024;
/// A log smaller than this is not worth compacting.
const MIN_COMPACTION_BYTES: u64 = 64 * 1024;

/// A push that is out or may have run: when it went, and to which zone.
pub type SentPush = (u64, String);

/// How a notification ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UndeliveredEnd {
    GivenUp,
    /// With the milliseconds after which its client should come again; 0 if none are advised.
    #[serde(rename = "HandedBack")]
    ReturnedToClient(u64),
}

/// What has been done with a notification. All times are Unix time in nanoseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Pushes of which at least a byte may have gone out.
    #[serde(rename = "pushes")]
    pub push_count: u32,
    /// The one of these that is out.
    #[serde(rename = "out")]
    pub in_flight: Option<SentPush>,
    /// The first push that may have run.
    #[serde(rename = "ran")]
    pub first_may_have_run: Option<SentPush>,
    /// When a push last ended that may still be running.
    #[serde(rename = "doubt")]
    pub may_run_since_ns: Option<u64>,
    /// Its end, while its client has not heard of it.
    pub end: Option<UndeliveredEnd>,
}

/// What a notification says of itself beside its body. Ids are kept as they came.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attributes {
    pub id: String,
    pub topic: String,
    pub account: Option<String>,
    pub key: Option<String>,
    pub idempotency_key: Option<String>,
    pub destination: u64,
}

/// A notification that was taken on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedNotification {
    #[serde(rename = "words")]
    pub attributes: Attributes,
    #[serde(rename = "valid_until")]
    pub valid_until_ns: u64,
    pub history: History,
    /// What a second run would do, by the settings it was taken on under; a log of before then says nothing.
    #[serde(default, rename = "kept")]
    pub guarantee: Option<Guarantee>,
}

/// What holds for a notification whatever the settings become.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guarantee {
    pub effect: RecordedEffect,
    #[serde(rename = "ordered")]
    pub is_ordered: bool,
}

/// The core's effects, as they are written down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedEffect {
    #[serde(rename = "Runs")]
    Repeatable,
    /// Dropped for so many nanoseconds, by all endpoints or by those of one zone.
    #[serde(rename = "Dropped")]
    Collapsible {
        #[serde(rename = "all")]
        is_group_all: bool,
        #[serde(rename = "window")]
        window_ns: u64,
    },
    #[serde(rename = "Never")]
    OnceOnly,
}

impl From<&TopicType> for Guarantee {
    fn from(topic: &TopicType) -> Guarantee {
        let effect = match topic.effect {
            Effect::Repeatable => RecordedEffect::Repeatable,
            Effect::Collapsible { group, window } => RecordedEffect::Collapsible {
                is_group_all: group == Group::All,
                window_ns: window.as_nanos(),
            },
            Effect::OnceOnly => RecordedEffect::OnceOnly,
        };
        Guarantee { effect, is_ordered: topic.ordered }
    }
}

impl Guarantee {
    /// A topic type as it is now, but for what was promised.
    pub fn apply_to(self, topic: &TopicType) -> TopicType {
        let effect = match self.effect {
            RecordedEffect::Repeatable => Effect::Repeatable,
            RecordedEffect::Collapsible { is_group_all, window_ns } => {
                let group = if is_group_all { Group::All } else { Group::Zone };
                Effect::Collapsible { group, window: Span::from_nanos(window_ns) }
            }
            RecordedEffect::OnceOnly => Effect::OnceOnly,
        };
        TopicType { effect, ordered: self.is_ordered, ..topic.clone() }
    }
}

#[derive(Serialize, Deserialize)]
enum Record {
    #[serde(rename = "Taken")]
    Accepted(u64, Box<AcceptedNotification>),
    /// A push is about to be written to its endpoint, in the turn in which its first byte may go out.
    Pushed(u64, u64, String),
    /// A push ended: whether it may have run, and since when it may still be running.
    #[serde(rename = "Returned")]
    PushEnded(u64, bool, Option<u64>),
    Ended(u64, UndeliveredEnd),
    /// Nothing more is owed.
    #[serde(rename = "Over")]
    Closed(u64),
}

#[derive(Debug)]
pub struct JournalEntry {
    pub notification: AcceptedNotification,
    pub body: Vec<u8>,
    /// Pushes decided on. One whose connection never came up is in no log: for the next process it never was.
    pub decided_pushes: u32,
    /// What it takes in the log at the most.
    max_record_bytes: u64,
}

pub struct Journal {
    directory: PathBuf,
    file: File,
    /// Bytes of the log, and of what is still to be appended to it.
    file_bytes: u64,
    unflushed: Vec<u8>,
    live: BTreeMap<u64, JournalEntry>,
    /// The ids of all that is live.
    ids: BTreeSet<String>,
    live_bytes: u64,
    next_number: u64,
    max_bytes: u64,
}

impl Journal {
    /// Opens the log in a folder, which may hold `most` bytes. Says how many bytes of a torn tail were cut
    /// off.
    pub fn open(folder: &Path, most: u64) -> io::Result<(Journal, u64)> {
        // Left by a process that died while it compacted; the log is still whole.
        match fs::remove_file(folder.join("log.new")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let path = folder.join("log");
        let bytes = match fs::read(&path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            read => read?,
        };
        let log = OpenOptions::new().create(true).append(true).open(&path)?;
        let mut store = Journal {
            directory: folder.to_owned(),
            file: log,
            file_bytes: 0,
            unflushed: Vec::new(),
            live: BTreeMap::new(),
            ids: BTreeSet::new(),
            live_bytes: 0,
            next_number: 1,
            max_bytes: most.saturating_sub(4 * FILE_BLOCK_BYTES),
        };
        let mut at = 0;
        while let Some((record, body, length)) = decode(&bytes[at..]) {
            store.apply(record, body, length);
            at += length;
        }
        let torn = (bytes.len() - at) as u64;
        if torn > 0 {
            store.file.set_len(at as u64)?;
        }
        store.file_bytes = at as u64;
        Ok((store, torn))
    }

    /// Takes in a record that has a length in the log.
    fn apply(&mut self, record: Record, body: Vec<u8>, length: usize) {
        match record {
            Record::Accepted(n, taken) => {
                let bytes = length as u64 + MAX_HISTORY_BYTES;
                self.ids.insert(taken.attributes.id.clone());
                self.next_number = self.next_number.max(n + 1);
                self.live_bytes += bytes;
                let chosen = taken.history.push_count;
                self.live.insert(
                    n,
                    JournalEntry {
                        notification: *taken,
                        body,
                        decided_pushes: chosen,
                        max_record_bytes: bytes,
                    },
                );
            }
            Record::Pushed(n, at, zone) => {
                if let Some(kept) = self.live.get_mut(&n) {
                    let history = &mut kept.notification.history;
                    history.push_count += 1;
                    history.in_flight = Some((at, zone));
                    kept.decided_pushes = kept.decided_pushes.max(history.push_count);
                }
            }
            Record::PushEnded(n, ran, doubt) => {
                if let Some(history) = self.history(n) {
                    let out = history.in_flight.take().filter(|_| ran);
                    history.first_may_have_run = history.first_may_have_run.take().or(out);
                    history.may_run_since_ns = doubt.or(history.may_run_since_ns);
                }
            }
            Record::Ended(n, end) => {
                if let Some(kept) = self.live.get_mut(&n) {
                    kept.notification.history.end = Some(end);
                    let body = std::mem::take(&mut kept.body).len() as u64;
                    kept.max_record_bytes -= body;
                    self.live_bytes -= body;
                }
            }
            Record::Closed(n) => {
                if let Some(kept) = self.live.remove(&n) {
                    self.ids.remove(&kept.notification.attributes.id);
                    self.live_bytes -= kept.max_record_bytes;
                }
            }
        }
    }

    fn history(&mut self, n: u64) -> Option<&mut History> {
        self.live.get_mut(&n).map(|kept| &mut kept.notification.history)
    }

    fn append(&mut self, record: Record, body: Vec<u8>) {
        let before = self.unflushed.len();
        encode(&mut self.unflushed, &record, &body);
        self.apply(record, body, self.unflushed.len() - before);
    }

    /// Whether there is room for a further notification. A new log of all that is live must fit beside the old
    /// one at any time: what is live has two fifths of the space, and the old log the rest.
    pub fn has_capacity_for(&self, body: usize) -> bool {
        self.live_bytes + body as u64 + MAX_ATTRIBUTES_BYTES <= self.max_live_bytes()
    }

    fn max_live_bytes(&self) -> u64 {
        self.max_bytes * 2 / 5
    }

    /// Takes a notification on and numbers it.
    pub fn accept(&mut self, words: Attributes, valid_until: Time, kept: Guarantee, body: Vec<u8>) -> u64 {
        let n = self.next_number;
        let history = History::default();
        let notification = AcceptedNotification {
            attributes: words,
            valid_until_ns: unix_nanos(valid_until),
            history,
            guarantee: Some(kept),
        };
        self.append(Record::Accepted(n, Box::new(notification)), body);
        n
    }

    /// Counts a push that was decided on. Gives its number, from 0.
    pub fn count_push(&mut self, n: u64) -> Option<u32> {
        let kept = self.live.get_mut(&n)?;
        kept.decided_pushes += 1;
        Some(kept.decided_pushes - 1)
    }

    /// A push is about to be written: after the next flush, whoever reads the log must take it that it may have run.
    pub fn record_push(&mut self, n: u64, at: Time, zone: &str) {
        self.append(Record::Pushed(n, unix_nanos(at), zone.to_owned()), Vec::new());
    }

    pub fn record_push_ended(&mut self, n: u64, ran: bool, doubt: Option<Time>) {
        self.append(Record::PushEnded(n, ran, doubt.map(unix_nanos)), Vec::new());
    }

    /// Not delivered; its client is still to hear of it.
    pub fn record_end(&mut self, n: u64, end: UndeliveredEnd) {
        self.append(Record::Ended(n, end), Vec::new());
    }

    /// Nothing more is owed.
    pub fn close(&mut self, n: u64) {
        self.append(Record::Closed(n), Vec::new());
    }

    /// Whether something with that id is live.
    pub fn contains_id(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    pub fn get(&self, n: u64) -> Option<&JournalEntry> {
        self.live.get(&n)
    }

    /// All that is live, in the order taken.
    pub fn live(&self) -> impl Iterator<Item = (u64, &JournalEntry)> {
        self.live.iter().map(|(n, kept)| (*n, kept))
    }

    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Hands all new records to the system, which keeps them whatever becomes of this process.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.unflushed.is_empty() {
            return Ok(());
        }
        let grown = self.file_bytes + self.unflushed.len() as u64;
        if grown > MIN_COMPACTION_BYTES && grown > 4 * self.live_bytes
            || grown > self.max_bytes - self.max_live_bytes()
        {
            return self.compact();
        }
        self.file.write_all(&self.unflushed)?;
        self.file_bytes = grown;
        self.unflushed.clear();
        Ok(())
    }

    /// Writes what is live, which all pending records are part of, to a new log that takes the place of the
    /// old.
    fn compact(&mut self) -> io::Result<()> {
        let mut bytes = Vec::new();
        for (n, kept) in &self.live {
            encode(&mut bytes, &Record::Accepted(*n, Box::new(kept.notification.clone())), &kept.body);
        }
        let path = self.directory.join("log.new");
        let mut log = OpenOptions::new().create(true).append(true).open(&path)?;
        log.write_all(&bytes)?;
        fs::rename(&path, self.directory.join("log"))?;
        (self.file, self.file_bytes) = (log, bytes.len() as u64);
        self.unflushed.clear();
        Ok(())
    }
}

fn unix_nanos(time: Time) -> u64 {
    time.since(Time::default()).as_nanos()
}

fn encode(to: &mut Vec<u8>, record: &Record, body: &[u8]) {
    let meta = serde_json::to_vec(record).expect("a record is plain data");
    let mut check = crc32fast::Hasher::new();
    check.update(&meta);
    check.update(body);
    for number in [meta.len() + body.len(), check.finalize() as usize, meta.len()] {
        to.extend_from_slice(&(number as u32).to_le_bytes());
    }
    to.extend_from_slice(&meta);
    to.extend_from_slice(body);
}

/// The first record, its body and its length; nothing if it is torn.
fn decode(bytes: &[u8]) -> Option<(Record, Vec<u8>, usize)> {
    let number = |place: usize| {
        let four = bytes.get(place * 4..place * 4 + 4)?;
        Some(u32::from_le_bytes(four.try_into().ok()?) as usize)
    };
    let (length, check, meta) = (number(0)?, number(1)?, number(2)?);
    let data = bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length).filter(|_| meta <= length)?;
    if crc32fast::hash(data) as usize != check {
        return None;
    }
    let record = serde_json::from_slice(&data[..meta]).ok()?;
    Some((record, data[meta..].to_vec(), FRAME_HEADER_BYTES + length))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("juniperwing-store-{}-{name}", std::process::id()));
        // Left by an earlier run that failed, if it is there.
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder for temporary files");
        folder
    }

    fn take(store: &mut Journal, id: &str, body: &[u8]) -> u64 {
        let words = Attributes {
            id: id.to_owned(),
            topic: "t".to_owned(),
            account: None,
            key: Some("k".to_owned()),
            idempotency_key: None,
            destination: 7,
        };
        let kept = Guarantee {
            effect: RecordedEffect::Collapsible { is_group_all: true, window_ns: 5 },
            is_ordered: true,
        };
        store.accept(words, Time::from_nanos(9), kept, body.to_vec())
    }

    fn held(store: &Journal) -> Vec<(u64, AcceptedNotification, Vec<u8>)> {
        store.live().map(|(n, kept)| (n, kept.notification.clone(), kept.body.clone())).collect()
    }

    /// What was written before the cut is all there, whichever byte it falls on, and the log can be gone on with.
    #[test]
    fn a_log_cut_anywhere_keeps_what_came_before() {
        let folder = folder("cut");
        let (mut store, _) = Journal::open(&folder, 1_000_000).expect("a new log");
        let (mut states, mut ends) = (vec![held(&store)], vec![0]);
        let first = take(&mut store, "1", b"one");
        let steps: [&dyn Fn(&mut Journal); 5] = [
            &|store| assert_eq!(take(store, "2", b"two"), first + 1),
            &|store| store.record_push(first, Time::from_nanos(5), "z"),
            &|store| store.record_push_ended(first, true, Some(Time::from_nanos(6))),
            &|store| store.record_end(first, UndeliveredEnd::ReturnedToClient(3)),
            &|store| store.close(first),
        ];
        for step in steps {
            store.flush().expect("room");
            states.push(held(&store));
            ends.push(store.file_bytes as usize);
            step(&mut store);
        }
        store.flush().expect("room");
        let whole = fs::read(folder.join("log")).expect("a log");
        for cut in 0..whole.len() {
            fs::write(folder.join("log"), &whole[..cut]).expect("room");
            let (mut store, torn) = Journal::open(&folder, 1_000_000).expect("a log");
            let last = ends.iter().rposition(|end| *end <= cut).expect("the empty log at least");
            assert_eq!(
                (held(&store), torn as usize),
                (states[last].clone(), cut - ends[last]),
                "cut at {cut}"
            );
            let n = take(&mut store, "3", b"three");
            store.flush().expect("room");
            let (store, torn) = Journal::open(&folder, 1_000_000).expect("a log");
            assert_eq!((store.get(n).map(|kept| &*kept.body), torn), (Some(&b"three"[..]), 0));
        }
        fs::remove_dir_all(folder).expect("a folder of ours");
    }

    /// Writing anew what is live keeps it, with its history, and stays within the limit while both files are there.
    #[test]
    fn a_compacted_log_holds_the_same_and_never_outgrows_its_folder() {
        let folder = folder("compact");
        let most = 300_000;
        let (mut store, _) = Journal::open(&folder, most).expect("a new log");
        let mut shrunk = 0;
        for round in 0..2_000u64 {
            let before = store.file_bytes;
            if store.has_capacity_for(700) {
                let n = take(&mut store, &format!("{round}"), &[round as u8; 700]);
                store.record_push(n, Time::from_nanos(round), "zone");
                store.record_push_ended(n, round % 2 == 0, None);
            } else {
                let oldest = store.live().next().map(|(n, _)| n).expect("something is held");
                store.close(oldest);
            }
            // Many in one turn now and then, as in a burst.
            if round % 300 > 40 {
                store.flush().expect("room");
            }
            if store.file_bytes < before {
                shrunk += 1;
                assert!(before + store.file_bytes + 2 * FILE_BLOCK_BYTES <= most);
            }
            assert!(store.file_bytes + 2 * FILE_BLOCK_BYTES <= most);
        }
        store.flush().expect("room");
        assert!(shrunk > 3, "{shrunk}");
        let (again, torn) = Journal::open(&folder, most).expect("a log");
        assert_eq!((held(&again), torn), (held(&store), 0));
        assert!(again.live().all(|(_, kept)| kept.notification.history.push_count == 1));
        fs::remove_dir_all(folder).expect("a folder of ours");
    }
}
