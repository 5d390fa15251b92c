//! A keeper's record and ballot have the file names and bytes that earlier releases gave them.

#[path = "../../protocol/tests/golden_files/mod.rs"]
mod golden_files;

use std::fs;
use std::net::{Ipv6Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use golden_files::assert_golden;
use juniperwing_node::keeper::record_file::{OpenedRecordFile, open};
use juniperwing_protocol::replication::{Epoch, Version, Voter};
use juniperwing_protocol::{DiskId, EpochNumber, NodeName};
use juniperwing_replication::{AcceptorState, Record};

const DISK: u64 = 0x0102_0304_0506_0708;
const RECORD_FILE: &str = "control-0000000000000001";
const BALLOT_FILE: &str = "ballot-0000000000000001";

#[test]
fn a_record_has_its_golden_bytes() {
    let encode = |record: &Record| {
        let folder = Folder::new("write-record");
        open_folder(&folder.0).record_file.write(record).unwrap();
        folder.read(RECORD_FILE)
    };
    let decode = |bytes: &[u8]| {
        let folder = Folder::new("read-record");
        open_folder(&folder.0);
        fs::write(folder.0.join(RECORD_FILE), bytes).unwrap();
        open_folder(&folder.0).record.expect("a record")
    };
    assert_golden("golden/records", &[("filled", record(first_ballot()))], encode, decode);
}

#[test]
fn a_ballot_has_its_golden_bytes() {
    let encode = |ballot: &AcceptorState| {
        let folder = Folder::new("write-ballot");
        let mut file = open_folder(&folder.0).record_file;
        file.write(&record(first_ballot())).unwrap();
        file.write(&record(ballot.clone())).unwrap();
        folder.read(BALLOT_FILE)
    };
    let decode = |bytes: &[u8]| {
        let folder = Folder::new("read-ballot");
        open_folder(&folder.0).record_file.write(&record(first_ballot())).unwrap();
        fs::write(folder.0.join(BALLOT_FILE), bytes).unwrap();
        open_folder(&folder.0).record.expect("a record").acceptor
    };
    assert_golden("golden/ballots", &[("later", later_ballot())], encode, decode);
}

/// The folder's identity comes first, so every file of it names the same disk.
fn open_folder(folder: &Path) -> OpenedRecordFile {
    let opened = open(folder, || DISK).unwrap();
    assert!(opened.loss.is_none(), "{:?}", opened.loss);
    opened
}

fn record(ballot: AcceptorState) -> Record {
    let version = Version { epoch: EpochNumber(204), sequence: 205 };
    Record { acceptor: ballot, version, state: Arc::new(vec![0, 1, 127, 128, 255]) }
}

fn first_ballot() -> AcceptorState {
    AcceptorState { promised: EpochNumber(206), accepted: epoch(203, vec![voter(13, "cedar", ipv4(7013))]) }
}

fn later_ballot() -> AcceptorState {
    AcceptorState { promised: EpochNumber(0x0000_0003_0000_0207), accepted: epoch(208, Vec::new()) }
}

fn epoch(number: u64, previous_voters: Vec<Voter>) -> Epoch {
    let ipv6 = SocketAddr::from((Ipv6Addr::new(0x2001, 0xdb8, 1, 2, 3, 4, 5, 6), 7012));
    Epoch {
        number: EpochNumber(number),
        primary: DiskId(11),
        in_sync: vec![DiskId(11), DiskId(12)],
        voters: vec![voter(11, "alder", ipv4(7011)), voter(12, "birch", ipv6)],
        previous_voters,
    }
}

fn voter(disk: u64, node: &str, address: SocketAddr) -> Voter {
    Voter { disk: DiskId(disk), node: NodeName::from(node), address }
}

fn ipv4(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 20, 30, 40], port))
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let name = format!("juniperwing-node-golden-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&path);
        Folder(path)
    }

    fn read(&self, name: &str) -> Vec<u8> {
        fs::read(self.0.join(name)).expect("the file that was written")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
