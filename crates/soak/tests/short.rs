//! The short form of the soak, for CI: a few plays side by side, in under two minutes.

use std::path::PathBuf;
use std::sync::{Condvar, Mutex, PoisonError};

use juniperwing_node::role::Role;
use juniperwing_node::sync::lock;
use juniperwing_soak::play::{Options, Report, play};
use juniperwing_soak::schedule::{Flavor, Schedule, Trouble};
use juniperwing_soak::troubles::{Machine, TroubleKind};

/// About how long troubles come, in milliseconds.
const LENGTH_MS: u64 = 9_000;

fn options(name: &str, seed: u64, troubles: Option<Vec<Trouble>>) -> Options {
    Options {
        seed,
        length: LENGTH_MS,
        // Apart from the networks of other plays on this machine.
        network: u64::from(std::process::id()) + seed,
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("soak-{name}-{}", std::process::id())),
        program: PathBuf::from(env!("CARGO_BIN_EXE_juniperwing-soak")),
        keep: false,
        troubles,
    }
}

/// Plays at the same time: each takes most of a core in a debug build.
const SIDE_BY_SIDE: usize = 3;

/// A place among the plays at the same time; given back when it is dropped.
struct Place;

static TAKEN: Mutex<usize> = Mutex::new(0);
static FREED: Condvar = Condvar::new();

impl Place {
    fn take() -> Place {
        let taken = lock(&TAKEN);
        let wait = FREED.wait_while(taken, |taken| *taken >= SIDE_BY_SIDE);
        *wait.unwrap_or_else(PoisonError::into_inner) += 1;
        Place
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *lock(&TAKEN) -= 1;
        FREED.notify_one();
    }
}

fn played(options: &Options) -> Report {
    let _place = Place::take();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(play(options)).unwrap()
}

fn expect_nothing(report: &Report) {
    let Report { schedule, findings, summary, folder } = report;
    assert!(findings.is_empty(), "{schedule}{summary}\n{findings:#?}\nfiles: {folder:?}");
}

/// The first seed of a flavor.
fn seed_of(flavor: Flavor) -> u64 {
    (1..).find(|seed| Schedule::draw(*seed, LENGTH_MS).flavor == flavor).expect("one in three, or more")
}

#[test]
fn planned_work_cuts_nothing() {
    expect_nothing(&played(&options("planned", seed_of(Flavor::Planned), None)));
}

#[test]
fn a_play_within_the_tolerance_finds_nothing() {
    expect_nothing(&played(&options("within", seed_of(Flavor::WithinTolerance), None)));
}

#[test]
fn a_play_beyond_the_tolerance_loses_nothing() {
    expect_nothing(&played(&options("beyond", seed_of(Flavor::BeyondTolerance), None)));
}

/// A process that has lost a task does not go on with a part of its work.
#[test]
fn processes_whose_writing_task_panics_end_and_come_back() {
    let panics = |at, role, number| Trouble {
        at,
        lasts: 1_500,
        kind: TroubleKind::DiskPanic(Machine { role, number }),
    };
    let troubles = vec![panics(1_500, Role::Store, 0), panics(8_000, Role::Keeper, 0)];
    expect_nothing(&played(&options("panics", 5, Some(troubles))));
}

/// A disk that answers nothing costs one machine, not the service.
#[test]
fn disks_that_answer_nothing_stop_no_service() {
    let stalls = |at, role, number| Trouble {
        at,
        lasts: 12_000,
        kind: TroubleKind::DiskStall(Machine { role, number }),
    };
    // What is told to end meanwhile does so within its grace.
    let stop =
        Trouble { at: 9_000, lasts: 0, kind: TroubleKind::Stop(Machine { role: Role::Store, number: 0 }) };
    let troubles = vec![stalls(1_500, Role::Store, 0), stop, stalls(18_000, Role::Keeper, 0)];
    expect_nothing(&played(&options("stalls", 6, Some(troubles))));
}
