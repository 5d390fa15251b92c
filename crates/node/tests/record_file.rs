//! A keeper's record through kills and losses of power at every call to the disk: what it promised, accepted and
//! confirmed comes back, or a later record does.

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

/// More calls than opening and a few writes take.
const MOST_CALLS: usize = 90;

/// One life of a keeper: the calls that it gets to make, what it writes, and how it ends.
#[derive(Clone, Debug)]
struct Life {
    calls: usize,
    /// Whether each write changes the state, and not only the ballot.
    writes: Vec<bool>,
    loses_power: bool,
}

fn lives() -> impl Strategy<Value = Vec<Life>> {
    let life = (0..MOST_CALLS, vec(any::<bool>(), 0..5), any::<bool>());
    vec(life.prop_map(|(calls, writes, loses_power)| Life { calls, writes, loses_power }), 1..10)
}

/// All records that were ever written, oldest first, and the newest that was confirmed.
#[derive(Default)]
struct History {
    written: Vec<Record>,
    confirmed: Option<usize>,
}

impl History {
    fn next(&self, changes_state: bool) -> Record {
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

    fn live(&mut self, writes: &[bool]) -> Result<(), DiskError> {
        let OpenedRecordFile { mut record_file, record, loss, .. } = open(Path::new("/data"), || 7)?;
        assert!(loss.is_none(), "{loss:?}");
        let read = record.map(|record| {
            self.written.iter().position(|written| *written == record).expect("a record that was written")
        });
        assert!(read >= self.confirmed, "{read:?} of {}, {:?} confirmed", self.written.len(), self.confirmed);
        self.confirmed = read;
        // What was not confirmed and did not come back is forgotten by the keeper as well.
        self.written.truncate(read.map_or(0, |read| read + 1));
        for changes_state in writes {
            let record = self.next(*changes_state);
            self.written.push(record.clone());
            record_file.write(&record)?;
            self.confirmed = Some(self.written.len() - 1);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, ..ProptestConfig::default() })]

    /// Fails if the newest ballot is not read, and if a ballot of an older record is.
    #[test]
    fn the_newest_confirmed_record_comes_back(seed: u64, lives in lives()) {
        let disk = Arc::new(ForgetfulDisk::new(seed));
        let _entered = file_system::simulate(disk.clone());
        let mut history = History::default();
        for life in lives {
            disk.die_after(life.calls);
            // It dies of its last call.
            let _ = history.live(&life.writes);
            if life.loses_power { disk.lose_power() } else { disk.restart() }
        }
        history.live(&[true, false]).expect("a healthy disk");
    }
}
