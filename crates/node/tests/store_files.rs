//! The file names and the map version format of a store are compatible with earlier releases.

mod loopback;
#[allow(dead_code)]
mod stores;

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use juniperwing_protocol::session::{BeginTurn, TurnLease};
use juniperwing_protocol::{ProgramId, RequestId};
use juniperwing_storage::{SnapshotFiles, layout};
use stores::{STORE_COUNT, TEST_TIMEOUT, TestCluster};

#[tokio::test]
async fn a_store_keeps_its_files_under_their_names() {
    let cluster = TestCluster::start("files").await;
    let turn = BeginTurn {
        program: ProgramId::from("program"),
        request: RequestId::from("request"),
        previous: None,
        budget: Some(1_000),
        max_tokens: 40,
        imported: Vec::new(),
        lease: TurnLease::default(),
    };
    cluster.client.begin(turn, TEST_TIMEOUT).await.unwrap();
    for number in 0..STORE_COUNT {
        let directory = cluster.data_directory(number);
        assert_eq!(names(&directory), set(["identity-", "layout-sessions-", "sessions"]));
        assert_eq!(names(&directory.join("sessions")), set(["segment-"]));
        layout::check(&directory, "sessions", 1).expect("the first layout");
    }
}

/// The map version is written before a store reports that a joining replica has caught up.
#[tokio::test]
async fn a_store_keeps_the_version_of_its_map_in_eight_bytes() {
    let cluster = TestCluster::start("map-version").await;
    let disks = cluster.keeper.wait_for_stores(STORE_COUNT).await;
    let epoch = cluster.assign(&disks[..1], &disks[1..2]);
    cluster.keeper.wait_until_caught_up(disks[1], epoch, &[0, 1]).await;
    let written = (0..STORE_COUNT).filter_map(|number| newest_map_version(&cluster.data_directory(number)));
    assert_eq!(written.collect::<Vec<_>>(), [epoch.0.to_le_bytes()]);
}

/// Reads the newest map version from a copy of the files, since opening a directory removes unfinished versions.
fn newest_map_version(directory: &Path) -> Option<Vec<u8>> {
    let copy = directory.with_extension("copy");
    let _ = fs::remove_dir_all(&copy);
    fs::create_dir_all(&copy).unwrap();
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap();
        if name.starts_with("map-version-") {
            // The store may remove an old version meanwhile.
            let _ = fs::copy(&path, copy.join(name));
        }
    }
    SnapshotFiles::open(&copy, "map-version").unwrap().1
}

/// The file names in a directory without their trailing numbers.
fn names(directory: &Path) -> BTreeSet<String> {
    let entries = fs::read_dir(directory).unwrap();
    let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    names
        .map(|name| {
            name.trim_end_matches(|digit: char| digit.is_ascii_hexdigit() && name.contains('-')).to_owned()
        })
        .collect()
}

fn set<const N: usize>(names: [&str; N]) -> BTreeSet<String> {
    names.map(str::to_owned).into()
}
