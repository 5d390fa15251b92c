//! Recovery of a keeper's record after kills and power losses at random disk calls: the next start finds the newest
//! confirmed record or a later one.

#[path = "../../storage/tests/common/mod.rs"]
mod power_loss;

use std::path::Path;
use std::sync::Arc;

use juniperwing_node::keeper::record_file::{DiskError, OpenedRecordFile, open};
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::Version;
use juniperwing_replication::{AcceptorState, Record};
use juniperwing_storage::file_system;
use power_loss::PowerLossDisk;
use proptest::collection::vec;
use proptest::prelude::*;

/// Limit of the disk calls of an incarnation: more than opening and a few writes need.
const MAX_DISK_CALLS: usize = 90;

/// One incarnation of a keeper: the number of disk calls before it is killed, its writes, and whether it ends by a power
/// loss.
#[derive(Clone, Debug)]
struct Incarnation {
    max_disk_calls: usize,
    /// For each write, whether it changes the replicated state or only the acceptor state.
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

/// The records that may be on disk, oldest first, and the index of the newest confirmed one.
#[derive(Default)]
struct History {
    written: Vec<Record>,
    confirmed: Option<usize>,
}

impl History {
    fn next_record(&self, changes_state: bool) -> Record {
        let number = self.written.len() as u64 + 1;
        let promised = EpochNumber(number);
        let previous = self.written.last();
        let acceptor = AcceptorState { promised, ..AcceptorState::default() };
        match previous.filter(|_| !changes_state) {
            Some(previous) => Record { acceptor, ..previous.clone() },
            None => {
                let version = Version { epoch: promised, sequence: number };
                Record { acceptor, version, state: Arc::new(vec![number as u8; number as usize * 3]) }
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
        // Unconfirmed records that were not found are unknown to the keeper as well.
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

    /// Fails if the newest acceptor state is not read, or if that of an older record is read.
    #[test]
    fn the_newest_confirmed_record_survives(seed: u64, incarnations in incarnations()) {
        let disk = Arc::new(PowerLossDisk::new(seed));
        let _simulation = file_system::simulate(disk.clone());
        let mut history = History::default();
        for incarnation in incarnations {
            disk.kill_after(incarnation.max_disk_calls);
            // Fails when the keeper is killed.
            let _ = history.run_incarnation(&incarnation.writes);
            if incarnation.loses_power { disk.lose_power() } else { disk.restart() }
        }
        history.run_incarnation(&[true, false]).expect("a healthy disk");
    }
}
