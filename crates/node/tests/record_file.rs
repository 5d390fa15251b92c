//! A keeper's record under kills and power losses at every call to the disk: the newest confirmed record, or a later
//! one, is found at the next start.

#[path = "../../storage/tests/common/mod.rs"]
mod forgetful;

use std::path::Path;
use std::sync::Arc;

use forgetful::ForgetfulDisk;
use juniperwing_node::keeper::record_file::{DiskError, OpenedRecordFile, open};
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::Version;
use juniperwing_replication::{AcceptorState, Record};
use juniperwing_storage::file_system;
use proptest::collection::vec;
use proptest::prelude::*;

/// More disk calls than opening and a few writes need.
const MAX_DISK_CALLS: usize = 90;

/// One incarnation of a keeper: the number of disk calls before it is killed, what it writes, and how it ends.
#[derive(Clone, Debug)]
struct Incarnation {
    max_disk_calls: usize,
    /// Whether each write changes the state, and not only the acceptor state.
    writes: Vec<bool>,
    loses_power: bool,
}

fn incarnations() -> impl Strategy<Value = Vec<Incarnation>> {
    let incarnation = (0..MAX_DISK_CALLS, vec(any::<bool>(), 0..5), any::<bool>());
    vec(
        incarnation.prop_map(|(calls, writes, loses_power)| Incarnation {
            max_disk_calls: calls,
            writes,
            loses_power,
        }),
        1..10,
    )
}

/// All records that may be on disk, oldest first, and the index of the newest confirmed one.
#[derive(Default)]
struct History {
    written: Vec<Record>,
    confirmed: Option<usize>,
}

impl History {
    fn next_record(&self, changes_state: bool) -> Record {
        let number = self.written.len() as u64 + 1;
        let promised = EpochNumber(number);
        let before = self.written.last();
        let ballot = AcceptorState { promised, ..AcceptorState::default() };
        match before.filter(|_| !changes_state) {
            Some(before) => Record { acceptor: ballot, ..before.clone() },
            None => {
                let version = Version { epoch: promised, sequence: number };
                Record { acceptor: ballot, version, state: Arc::new(vec![number as u8; number as usize * 3]) }
            }
        }
    }

    fn run_incarnation(&mut self, writes: &[bool]) -> Result<(), DiskError> {
        let OpenedRecordFile { mut record_file, record, loss, .. } = open(Path::new("/data"), || 7)?;
        assert!(loss.is_none(), "{loss:?}");
        let read = record.map(|record| {
            self.written.iter().position(|written| *written == record).expect("a record that was written")
        });
        assert!(read >= self.confirmed, "{read:?} of {}, {:?} confirmed", self.written.len(), self.confirmed);
        self.confirmed = read;
        // Unconfirmed records that were not found are forgotten by the keeper as well.
        self.written.truncate(read.map_or(0, |read| read + 1));
        for changes_state in writes {
            let record = self.next_record(*changes_state);
            self.written.push(record.clone());
            record_file.write(&record)?;
            self.confirmed = Some(self.written.len() - 1);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, ..ProptestConfig::default() })]

    /// Fails if the newest acceptor state is not read, and if one of an older record is.
    #[test]
    fn the_newest_confirmed_record_survives(seed: u64, incarnations in incarnations()) {
        let disk = Arc::new(ForgetfulDisk::new(seed));
        let _entered = file_system::simulate(disk.clone());
        let mut history = History::default();
        for incarnation in incarnations {
            disk.die_after(incarnation.max_disk_calls);
            // The last call kills it.
            let _ = history.run_incarnation(&incarnation.writes);
            if incarnation.loses_power { disk.lose_power() } else { disk.restart() }
        }
        history.run_incarnation(&[true, false]).expect("a healthy disk");
    }
}
