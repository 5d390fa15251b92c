//! The short form of the soak test for CI: a few concurrent plays, in under two minutes.

use std::path::PathBuf;
use std::sync::{Condvar, Mutex, PoisonError};

use juniperwing_node::role::Role;
use juniperwing_node::sync::lock;
use juniperwing_soak::faults::{FaultKind, Machine};
use juniperwing_soak::play::{Options, Report, play};
use juniperwing_soak::schedule::{Fault, Flavor, Schedule};

/// Approximate time for which faults are injected, in milliseconds.
const LENGTH_MS: u64 = 9_000;

fn options(name: &str, seed: u64, faults: Option<Vec<Fault>>) -> Options {
    Options {
        seed,
        length_ms: LENGTH_MS,
        // Makes it unlikely that concurrent plays on this host try the same network first.
        network: u64::from(std::process::id()) + seed,
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("soak-{name}-{}", std::process::id())),
        program: PathBuf::from(env!("CARGO_BIN_EXE_juniperwing-soak")),
        keep: false,
        faults,
    }
}

/// Maximum number of concurrent plays: each takes most of a core in a debug build.
const MAX_CONCURRENT_PLAYS: usize = 3;

/// A permit to run a play, which is released when it is dropped.
struct PlayPermit;

static PERMITS_TAKEN: Mutex<usize> = Mutex::new(0);
static PERMIT_FREED: Condvar = Condvar::new();

impl PlayPermit {
    fn acquire() -> PlayPermit {
        let taken = lock(&PERMITS_TAKEN);
        let wait = PERMIT_FREED.wait_while(taken, |taken| *taken >= MAX_CONCURRENT_PLAYS);
        *wait.unwrap_or_else(PoisonError::into_inner) += 1;
        PlayPermit
    }
}

impl Drop for PlayPermit {
    fn drop(&mut self) {
        *lock(&PERMITS_TAKEN) -= 1;
        PERMIT_FREED.notify_one();
    }
}

fn run_play(options: &Options) -> Report {
    let _permit = PlayPermit::acquire();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(play(options)).unwrap()
}

fn assert_no_findings(report: &Report) {
    let Report { schedule, findings, summary, folder } = report;
    assert!(findings.is_empty(), "{schedule}{summary}\n{findings:#?}\nfiles: {folder:?}");
}

/// The first seed of a flavor.
fn first_seed_of(flavor: Flavor) -> u64 {
    (1..)
        .find(|seed| Schedule::draw(*seed, LENGTH_MS).flavor == flavor)
        .expect("each flavor has a share of at least 20%")
}

#[test]
fn planned_work_cuts_no_request() {
    assert_no_findings(&run_play(&options("planned", first_seed_of(Flavor::Planned), None)));
}

#[test]
fn play_within_tolerance_has_no_findings() {
    assert_no_findings(&run_play(&options("within", first_seed_of(Flavor::WithinTolerance), None)));
}

#[test]
fn play_beyond_tolerance_loses_no_acknowledged_state() {
    assert_no_findings(&run_play(&options("beyond", first_seed_of(Flavor::BeyondTolerance), None)));
}

/// A process must exit and be restarted when its writing task panics. Otherwise it would continue with only a part of
/// its work.
#[test]
fn process_restarts_after_panic_of_its_writing_task() {
    let panics = |starts_at, role, number| Fault {
        starts_at,
        duration_ms: 1_500,
        kind: FaultKind::DiskPanic(Machine { role, number }),
    };
    let faults = vec![panics(1_500, Role::Store, 0), panics(8_000, Role::Keeper, 0)];
    assert_no_findings(&run_play(&options("panics", 5, Some(faults))));
}

/// A disk whose operations never return takes down one machine, but must not interrupt the service.
#[test]
fn stalled_disk_does_not_interrupt_service() {
    let stalls = |starts_at, role, number| Fault {
        starts_at,
        duration_ms: 12_000,
        kind: FaultKind::DiskStall(Machine { role, number }),
    };
    // A store that is stopped while its disk is stalled must still exit within its grace period.
    let stop = Fault {
        starts_at: 9_000,
        duration_ms: 0,
        kind: FaultKind::Stop(Machine { role: Role::Store, number: 0 }),
    };
    let faults = vec![stalls(1_500, Role::Store, 0), stop, stalls(18_000, Role::Keeper, 0)];
    assert_no_findings(&run_play(&options("stalls", 6, Some(faults))));
}
