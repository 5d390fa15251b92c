//! A keeper's record and acceptor state have the same file names and bytes as in earlier releases.

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
const ACCEPTOR_FILE: &str = "ballot-0000000000000001";

#[test]
fn a_record_has_its_golden_bytes() {
    let encode = |record: &Record| {
        let directory = TempDirectory::new("write-record");
        open_directory(&directory.0).record_file.write(record).unwrap();
        directory.read(RECORD_FILE)
    };
    let decode = |bytes: &[u8]| {
        let directory = TempDirectory::new("read-record");
        open_directory(&directory.0);
        fs::write(directory.0.join(RECORD_FILE), bytes).unwrap();
        open_directory(&directory.0).record.expect("a record")
    };
    assert_golden("golden/records", &[("filled", record(first_acceptor_state()))], encode, decode);
}

#[test]
fn an_acceptor_state_has_its_golden_bytes() {
    let encode = |acceptor: &AcceptorState| {
        let directory = TempDirectory::new("write-acceptor");
        let mut file = open_directory(&directory.0).record_file;
        file.write(&record(first_acceptor_state())).unwrap();
        file.write(&record(acceptor.clone())).unwrap();
        directory.read(ACCEPTOR_FILE)
    };
    let decode = |bytes: &[u8]| {
        let directory = TempDirectory::new("read-acceptor");
        open_directory(&directory.0).record_file.write(&record(first_acceptor_state())).unwrap();
        fs::write(directory.0.join(ACCEPTOR_FILE), bytes).unwrap();
        open_directory(&directory.0).record.expect("a record").acceptor
    };
    assert_golden("golden/ballots", &[("later", later_acceptor_state())], encode, decode);
}

/// Opens a data directory. If it is new, it is given the identity `DISK`, which the files in it must contain.
fn open_directory(directory: &Path) -> OpenedRecordFile {
    let opened = open(directory, || DISK).unwrap();
    assert!(opened.loss.is_none(), "{:?}", opened.loss);
    opened
}

fn record(acceptor: AcceptorState) -> Record {
    let version = Version { epoch: EpochNumber(204), sequence: 205 };
    Record { acceptor, version, state: Arc::new(vec![0, 1, 127, 128, 255]) }
}

fn first_acceptor_state() -> AcceptorState {
    AcceptorState { promised: EpochNumber(206), accepted: epoch(203, vec![voter(13, "cedar", ipv4(7013))]) }
}

fn later_acceptor_state() -> AcceptorState {
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

struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> Self {
        let name = format!("juniperwing-node-golden-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&path);
        TempDirectory(path)
    }

    fn read(&self, name: &str) -> Vec<u8> {
        fs::read(self.0.join(name)).expect("the file that was written")
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
