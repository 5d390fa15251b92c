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

use juniperwing::interface::{DeduplicationScope, Semantics, TopicType};
use juniperwing::time::{Span, Time};
use serde::{Deserialize, Serialize};

/// Length, checksum, and length of the part before the body.
const FRAME: usize = 12;
/// Files count in whole blocks.
const BLOCK: u64 = 512;
/// What a record may grow by when it is written anew with all that has happened since.
const HISTORY: u64 = 256;
/// The most that a record may need beside the body and what is counted as history: its words, escaped.
const WORDS_MOST: u64 = 8 * 1024;
/// A log smaller than this is not worth compacting.
const SMALL: u64 = 64 * 1024;

/// A push that is out or may have run: when it went, and to which zone.
pub type Gone = (u64, String);

/// How a notification ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    GivenUp,
    /// With the milliseconds after which its client should come again; 0 if none are advised.
    HandedBack(u64),
}

/// What has been done with a notification. All times are Unix time in nanoseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Pushes of which at least a byte may have gone out.
    pub pushes: u32,
    /// The one of these that is out.
    pub out: Option<Gone>,
    /// The first push that may have run.
    pub ran: Option<Gone>,
    /// When a push last ended that may still be running.
    pub doubt: Option<u64>,
    /// Its end, while its client has not heard of it.
    pub end: Option<End>,
}

/// What a notification says of itself beside its body. Ids are kept as they came.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Words {
    pub id: String,
    pub topic: String,
    pub account: Option<String>,
    pub key: Option<String>,
    pub idempotency_key: Option<String>,
    pub destination: u64,
}

/// A notification that was taken on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    pub words: Words,
    pub valid_until: u64,
    pub history: History,
    /// What a second run would do, by the settings it was taken on under; a log of before then says nothing.
    #[serde(default)]
    pub kept: Option<Promise>,
}

/// What holds for a notification whatever the settings become.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    pub effect: Repeat,
    pub ordered: bool,
}

/// The core's effects, as they are written down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    Runs,
    /// Dropped for so many nanoseconds, by all endpoints or by those of one zone.
    Dropped {
        all: bool,
        window: u64,
    },
    Never,
}

impl From<&TopicType> for Promise {
    fn from(topic: &TopicType) -> Promise {
        let effect = match topic.semantics {
            Semantics::Idempotent => Repeat::Runs,
            Semantics::Deduplicated { scope, window } => {
                Repeat::Dropped { all: scope == DeduplicationScope::All, window: window.as_nanos() }
            }
            Semantics::NonIdempotent => Repeat::Never,
        };
        Promise { effect, ordered: topic.is_ordered }
    }
}

impl Promise {
    /// A topic type as it is now, but for what was promised.
    pub fn keep(self, topic: &TopicType) -> TopicType {
        let effect = match self.effect {
            Repeat::Runs => Semantics::Idempotent,
            Repeat::Dropped { all, window } => {
                let group = if all { DeduplicationScope::All } else { DeduplicationScope::Zone };
                Semantics::Deduplicated { scope: group, window: Span::from_nanos(window) }
            }
            Repeat::Never => Semantics::NonIdempotent,
        };
        TopicType { semantics: effect, is_ordered: self.ordered, ..topic.clone() }
    }
}

#[derive(Serialize, Deserialize)]
enum Record {
    Taken(u64, Box<Taken>),
    /// A push is about to be written to its endpoint, in the turn in which its first byte may go out.
    Pushed(u64, u64, String),
    /// A push ended: whether it may have run, and since when it may still be running.
    Returned(u64, bool, Option<u64>),
    Ended(u64, End),
    /// Nothing more is owed.
    Over(u64),
}

#[derive(Debug)]
pub struct Kept {
    pub taken: Taken,
    pub body: Vec<u8>,
    /// Pushes decided on. One whose connection never came up is in no log: for the next process it never was.
    pub chosen: u32,
    /// What it takes in the log at the most.
    bytes: u64,
}

pub struct Store {
    folder: PathBuf,
    log: File,
    /// Bytes of the log, and of what is still to be appended to it.
    written: u64,
    pending: Vec<u8>,
    live: BTreeMap<u64, Kept>,
    /// The ids of all that is live.
    ids: BTreeSet<String>,
    live_bytes: u64,
    next: u64,
    most: u64,
}

impl Store {
    /// Opens the log in a folder, which may hold `most` bytes. Says how many bytes of a torn tail were cut
    /// off.
    pub fn open(folder: &Path, most: u64) -> io::Result<(Store, u64)> {
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
        let mut store = Store {
            folder: folder.to_owned(),
            log,
            written: 0,
            pending: Vec::new(),
            live: BTreeMap::new(),
            ids: BTreeSet::new(),
            live_bytes: 0,
            next: 1,
            most: most.saturating_sub(4 * BLOCK),
        };
        let mut at = 0;
        while let Some((record, body, length)) = decode(&bytes[at..]) {
            store.apply(record, body, length);
            at += length;
        }
        let torn = (bytes.len() - at) as u64;
        if torn > 0 {
            store.log.set_len(at as u64)?;
        }
        store.written = at as u64;
        Ok((store, torn))
    }

    /// Takes in a record that has a length in the log.
    fn apply(&mut self, record: Record, body: Vec<u8>, length: usize) {
        match record {
            Record::Taken(n, taken) => {
                let bytes = length as u64 + HISTORY;
                self.ids.insert(taken.words.id.clone());
                self.next = self.next.max(n + 1);
                self.live_bytes += bytes;
                let chosen = taken.history.pushes;
                self.live.insert(n, Kept { taken: *taken, body, chosen, bytes });
            }
            Record::Pushed(n, at, zone) => {
                if let Some(kept) = self.live.get_mut(&n) {
                    let history = &mut kept.taken.history;
                    history.pushes += 1;
                    history.out = Some((at, zone));
                    kept.chosen = kept.chosen.max(history.pushes);
                }
            }
            Record::Returned(n, ran, doubt) => {
                if let Some(history) = self.history(n) {
                    let out = history.out.take().filter(|_| ran);
                    history.ran = history.ran.take().or(out);
                    history.doubt = doubt.or(history.doubt);
                }
            }
            Record::Ended(n, end) => {
                if let Some(kept) = self.live.get_mut(&n) {
                    kept.taken.history.end = Some(end);
                    let body = std::mem::take(&mut kept.body).len() as u64;
                    kept.bytes -= body;
                    self.live_bytes -= body;
                }
            }
            Record::Over(n) => {
                if let Some(kept) = self.live.remove(&n) {
                    self.ids.remove(&kept.taken.words.id);
                    self.live_bytes -= kept.bytes;
                }
            }
        }
    }

    fn history(&mut self, n: u64) -> Option<&mut History> {
        self.live.get_mut(&n).map(|kept| &mut kept.taken.history)
    }

    fn record(&mut self, record: Record, body: Vec<u8>) {
        let before = self.pending.len();
        encode(&mut self.pending, &record, &body);
        self.apply(record, body, self.pending.len() - before);
    }

    /// Whether there is room for a further notification. A new log of all that is live must fit beside the old
    /// one at any time: what is live has two fifths of the space, and the old log the rest.
    pub fn takes(&self, body: usize) -> bool {
        self.live_bytes + body as u64 + WORDS_MOST <= self.live_most()
    }

    fn live_most(&self) -> u64 {
        self.most * 2 / 5
    }

    /// Takes a notification on and numbers it.
    pub fn take(&mut self, words: Words, valid_until: Time, kept: Promise, body: Vec<u8>) -> u64 {
        let n = self.next;
        let history = History::default();
        let taken = Taken { words, valid_until: nanos(valid_until), history, kept: Some(kept) };
        self.record(Record::Taken(n, Box::new(taken)), body);
        n
    }

    /// Counts a push that was decided on. Gives its number, from 0.
    pub fn chosen(&mut self, n: u64) -> Option<u32> {
        let kept = self.live.get_mut(&n)?;
        kept.chosen += 1;
        Some(kept.chosen - 1)
    }

    /// A push is about to be written: after the next flush, whoever reads the log must take it that it may have run.
    pub fn pushed(&mut self, n: u64, at: Time, zone: &str) {
        self.record(Record::Pushed(n, nanos(at), zone.to_owned()), Vec::new());
    }

    pub fn returned(&mut self, n: u64, ran: bool, doubt: Option<Time>) {
        self.record(Record::Returned(n, ran, doubt.map(nanos)), Vec::new());
    }

    /// Not delivered; its client is still to hear of it.
    pub fn ended(&mut self, n: u64, end: End) {
        self.record(Record::Ended(n, end), Vec::new());
    }

    /// Nothing more is owed.
    pub fn over(&mut self, n: u64) {
        self.record(Record::Over(n), Vec::new());
    }

    /// Whether something with that id is live.
    pub fn holds(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    pub fn get(&self, n: u64) -> Option<&Kept> {
        self.live.get(&n)
    }

    /// All that is live, in the order taken.
    pub fn live(&self) -> impl Iterator<Item = (u64, &Kept)> {
        self.live.iter().map(|(n, kept)| (*n, kept))
    }

    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Hands all new records to the system, which keeps them whatever becomes of this process.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let grown = self.written + self.pending.len() as u64;
        if grown > SMALL && grown > 4 * self.live_bytes || grown > self.most - self.live_most() {
            return self.compact();
        }
        self.log.write_all(&self.pending)?;
        self.written = grown;
        self.pending.clear();
        Ok(())
    }

    /// Writes what is live, which all pending records are part of, to a new log that takes the place of the
    /// old.
    fn compact(&mut self) -> io::Result<()> {
        let mut bytes = Vec::new();
        for (n, kept) in &self.live {
            encode(&mut bytes, &Record::Taken(*n, Box::new(kept.taken.clone())), &kept.body);
        }
        let path = self.folder.join("log.new");
        let mut log = OpenOptions::new().create(true).append(true).open(&path)?;
        log.write_all(&bytes)?;
        fs::rename(&path, self.folder.join("log"))?;
        (self.log, self.written) = (log, bytes.len() as u64);
        self.pending.clear();
        Ok(())
    }
}

fn nanos(time: Time) -> u64 {
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
    let data = bytes.get(FRAME..FRAME + length).filter(|_| meta <= length)?;
    if crc32fast::hash(data) as usize != check {
        return None;
    }
    let record = serde_json::from_slice(&data[..meta]).ok()?;
    Some((record, data[meta..].to_vec(), FRAME + length))
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

    fn take(store: &mut Store, id: &str, body: &[u8]) -> u64 {
        let words = Words {
            id: id.to_owned(),
            topic: "t".to_owned(),
            account: None,
            key: Some("k".to_owned()),
            idempotency_key: None,
            destination: 7,
        };
        let kept = Promise { effect: Repeat::Dropped { all: true, window: 5 }, ordered: true };
        store.take(words, Time::from_nanos(9), kept, body.to_vec())
    }

    fn held(store: &Store) -> Vec<(u64, Taken, Vec<u8>)> {
        store.live().map(|(n, kept)| (n, kept.taken.clone(), kept.body.clone())).collect()
    }

    /// What was written before the cut is all there, whichever byte it falls on, and the log can be gone on with.
    #[test]
    fn a_log_cut_anywhere_keeps_what_came_before() {
        let folder = folder("cut");
        let (mut store, _) = Store::open(&folder, 1_000_000).expect("a new log");
        let (mut states, mut ends) = (vec![held(&store)], vec![0]);
        let first = take(&mut store, "1", b"one");
        let steps: [&dyn Fn(&mut Store); 5] = [
            &|store| assert_eq!(take(store, "2", b"two"), first + 1),
            &|store| store.pushed(first, Time::from_nanos(5), "z"),
            &|store| store.returned(first, true, Some(Time::from_nanos(6))),
            &|store| store.ended(first, End::HandedBack(3)),
            &|store| store.over(first),
        ];
        for step in steps {
            store.flush().expect("room");
            states.push(held(&store));
            ends.push(store.written as usize);
            step(&mut store);
        }
        store.flush().expect("room");
        let whole = fs::read(folder.join("log")).expect("a log");
        for cut in 0..whole.len() {
            fs::write(folder.join("log"), &whole[..cut]).expect("room");
            let (mut store, torn) = Store::open(&folder, 1_000_000).expect("a log");
            let last = ends.iter().rposition(|end| *end <= cut).expect("the empty log at least");
            assert_eq!(
                (held(&store), torn as usize),
                (states[last].clone(), cut - ends[last]),
                "cut at {cut}"
            );
            let n = take(&mut store, "3", b"three");
            store.flush().expect("room");
            let (store, torn) = Store::open(&folder, 1_000_000).expect("a log");
            assert_eq!((store.get(n).map(|kept| &*kept.body), torn), (Some(&b"three"[..]), 0));
        }
        fs::remove_dir_all(folder).expect("a folder of ours");
    }

    /// Writing anew what is live keeps it, with its history, and stays within the limit while both files are there.
    #[test]
    fn a_compacted_log_holds_the_same_and_never_outgrows_its_folder() {
        let folder = folder("compact");
        let most = 300_000;
        let (mut store, _) = Store::open(&folder, most).expect("a new log");
        let mut shrunk = 0;
        for round in 0..2_000u64 {
            let before = store.written;
            if store.takes(700) {
                let n = take(&mut store, &format!("{round}"), &[round as u8; 700]);
                store.pushed(n, Time::from_nanos(round), "zone");
                store.returned(n, round % 2 == 0, None);
            } else {
                let oldest = store.live().next().map(|(n, _)| n).expect("something is held");
                store.over(oldest);
            }
            // Many in one turn now and then, as in a burst.
            if round % 300 > 40 {
                store.flush().expect("room");
            }
            if store.written < before {
                shrunk += 1;
                assert!(before + store.written + 2 * BLOCK <= most);
            }
            assert!(store.written + 2 * BLOCK <= most);
        }
        store.flush().expect("room");
        assert!(shrunk > 3, "{shrunk}");
        let (again, torn) = Store::open(&folder, most).expect("a log");
        assert_eq!((held(&again), torn), (held(&store), 0));
        assert!(again.live().all(|(_, kept)| kept.taken.history.pushes == 1));
        fs::remove_dir_all(folder).expect("a folder of ours");
    }
}
