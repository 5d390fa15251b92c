//! The relay's way to the stores: begins and finishes turns at the primary of a program's partition.

use std::collections::BTreeMap;
use std::fmt;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use juniperwing_protocol::session::{
    BeginTurn, FinishTurn, PartitionEpoch, SessionCall, SessionReply, SessionRequest, Turn,
};
use juniperwing_protocol::subscription::StoreMap;
use juniperwing_protocol::{EpochNumber, Message, PartitionId, ProgramId, RequestId};
use snafu::Snafu;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::link::{CallError, LinkPool};

/// How long one try may take.
const TRY_WITHIN: Duration = Duration::from_millis(300);
/// The pause before the next try, unless the map changes before.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// For how long a turn that nobody waits for is tried to be settled.
const SETTLE_WITHIN: Duration = Duration::from_secs(10);
/// Turns that are being settled with nobody waiting.
const MAX_SETTLING: usize = 1_024;

/// What a turn may go on with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BegunTurn {
    /// The turns before, oldest first.
    pub chain: Vec<Turn>,
}

/// What the last try at the stores came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreFailure {
    /// The store that was asked last, if one was.
    pub store: Option<SocketAddr>,
    /// Why it did not decide.
    pub reason: StoreFailureReason,
}

impl From<StoreFailureReason> for StoreFailure {
    fn from(why: StoreFailureReason) -> Self {
        StoreFailure { store: None, reason: why }
    }
}

impl fmt::Display for StoreFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.reason.name())?;
        match self.store {
            Some(store) => write!(formatter, " ({store})"),
            None => Ok(()),
        }
    }
}

/// Why a store did not decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailureReason {
    /// No map of the stores is known, or it names no primary for the program.
    NoPrimary,
    /// The primary cannot be reached.
    NotConnected,
    /// The link to it broke.
    ConnectionLost,
    /// It did not answer in time.
    TimedOut,
    /// It is not, or not certainly, the primary any more.
    NotPrimary,
    /// It cannot decide now.
    Unavailable,
    /// It answered what nobody asked.
    UnexpectedReply,
    /// Some partition could not say whether it has the turn before.
    Uncertain,
}

impl StoreFailureReason {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            StoreFailureReason::NoPrimary => "no primary known",
            StoreFailureReason::NotConnected => "not connected",
            StoreFailureReason::ConnectionLost => "link broke",
            StoreFailureReason::TimedOut => "no answer",
            StoreFailureReason::NotPrimary => "not primary",
            StoreFailureReason::Unavailable => "unavailable",
            StoreFailureReason::UnexpectedReply => "wrong answer",
            StoreFailureReason::Uncertain => "uncertain",
        }
    }
}

impl From<CallError> for StoreFailureReason {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotConnected => StoreFailureReason::NotConnected,
            CallError::LinkClosed => StoreFailureReason::ConnectionLost,
            CallError::TimedOut => StoreFailureReason::TimedOut,
        }
    }
}

/// Why a turn must not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SessionError {
    /// The budget is spent. The turn has not run and never will.
    #[snafu(display("the budget is spent"))]
    BudgetExhausted,
    /// There is no such previous turn; all partitions are certain of that.
    #[snafu(display("the previous turn is not known"))]
    UnknownTurn,
    /// No certain answer in time. The turn may have been reserved: settle it at 0 tokens.
    #[snafu(display("no certain answer in time: {failure}"))]
    Unavailable {
        /// Why, as far as is known.
        failure: StoreFailure,
    },
}

/// A turn was not settled in time, or not certainly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the turn is not certain to be settled: {failure}"))]
pub struct CommitUncertain {
    /// Why, as far as is known.
    pub failure: StoreFailure,
}

/// Talks to the stores. Cheap to clone.
#[derive(Clone)]
pub struct SessionsClient {
    pool: Arc<LinkPool>,
    map: watch::Receiver<Arc<StoreMap>>,
    settling: Arc<Semaphore>,
    settlements_lost: Arc<AtomicU64>,
}

/// The primary of a program's partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Target {
    partition: PartitionId,
    epoch: EpochNumber,
    address: SocketAddr,
}

/// The partitions that one store leads.
struct Led {
    address: SocketAddr,
    partitions: Vec<PartitionEpoch>,
}

/// What the stores know of a turn.
enum Search {
    Found(Vec<Turn>),
    /// No partition has it.
    Nowhere,
    /// Some partition was not certain.
    Uncertain,
}

impl SessionsClient {
    /// A client that goes by the newest map that `map` holds.
    pub fn new(pool: Arc<LinkPool>, map: watch::Receiver<Arc<StoreMap>>) -> Self {
        let settling = Arc::new(Semaphore::new(MAX_SETTLING));
        SessionsClient { pool, map, settling, settlements_lost: Arc::default() }
    }

    /// Reserves the most that a turn may generate and fetches the turns before it. May be called again with
    /// the same request, which counts once.
    ///
    /// # Errors
    ///
    /// If the turn must not run, or it is not certain `within` this time that it may.
    pub async fn begin(&self, begin: BeginTurn, within: Duration) -> Result<BegunTurn, SessionError> {
        if begin.budget.is_none() && begin.previous.is_none() {
            return Ok(BegunTurn::default());
        }
        let until = Instant::now() + within;
        let mut begin = begin;
        loop {
            let reply = self.ask(&begin.program, SessionCall::Begin(begin.clone()), until).await;
            match reply.map_err(|trouble| SessionError::Unavailable { failure: trouble })? {
                SessionReply::TurnBegun { chain } => return Ok(BegunTurn { chain }),
                SessionReply::BudgetExhausted => return Err(SessionError::BudgetExhausted),
                SessionReply::UnknownTurn if begin.imported.is_empty() => {
                    let wrong =
                        SessionError::Unavailable { failure: StoreFailureReason::UnexpectedReply.into() };
                    let previous = begin.previous.as_ref().ok_or(wrong)?;
                    begin.imported = self.find(previous, until).await?;
                }
                SessionReply::UnknownTurn => {
                    return Err(SessionError::Unavailable { failure: StoreFailureReason::Uncertain.into() });
                }
                _ => {
                    return Err(SessionError::Unavailable {
                        failure: StoreFailureReason::UnexpectedReply.into(),
                    });
                }
            }
        }
    }

    /// Settles a turn, and keeps it where `finish` says so.
    ///
    /// # Errors
    ///
    /// If it is not certain `within` this time that it is on enough disks.
    pub async fn finish(&self, finish: FinishTurn, within: Duration) -> Result<(), CommitUncertain> {
        let until = Instant::now() + within;
        let program = finish.program.clone();
        match self.ask(&program, SessionCall::Finish(finish), until).await {
            Ok(SessionReply::TurnFinished) => Ok(()),
            Ok(_) => Err(CommitUncertain { failure: StoreFailureReason::UnexpectedReply.into() }),
            Err(trouble) => Err(CommitUncertain { failure: trouble }),
        }
    }

    /// Settles a turn with nobody waiting for it, trying for about ten seconds. If too many are under way, or the
    /// time is over, the turn counts at its most.
    pub fn finish_in_background(&self, finish: FinishTurn) {
        let Ok(permit) = Arc::clone(&self.settling).try_acquire_owned() else { return self.count_lost() };
        let client = self.clone();
        tokio::spawn(async move {
            if client.finish(finish, SETTLE_WITHIN).await.is_err() {
                client.count_lost();
            }
            drop(permit);
        });
    }

    fn count_lost(&self) {
        self.settlements_lost.fetch_add(1, Ordering::Relaxed);
    }

    /// Waits until no turn is being settled with nobody waiting for it.
    pub async fn wait_for_background_commits(&self) {
        // The semaphore is never closed.
        let _ = self.settling.acquire_many(MAX_SETTLING as u32).await;
    }

    /// Turns that are being settled with nobody waiting for them.
    pub fn background_commits(&self) -> usize {
        MAX_SETTLING - self.settling.available_permits()
    }

    /// Turns that could not be settled with nobody waiting for them.
    pub fn lost_commits(&self) -> u64 {
        self.settlements_lost.load(Ordering::Relaxed)
    }

    /// Asks the primary of a program's partition until it decides, or the time is over. A try ends as soon as the map
    /// names another primary or epoch: the one that was asked may be gone.
    async fn ask(
        &self, program: &ProgramId, call: SessionCall, until: Instant,
    ) -> Result<SessionReply, StoreFailure> {
        let mut map = self.map.clone();
        loop {
            let target = target(&map.borrow_and_update(), program);
            let tried = match target {
                Some(asked) => tokio::select! {
                    tried = self.try_once(asked, call.clone(), until) => tried,
                    () = replaced(&mut map, program, asked) => continue,
                },
                None => Err(StoreFailureReason::NoPrimary),
            };
            let trouble = match tried {
                Ok(reply) => return Ok(reply),
                Err(why) => StoreFailure { store: target.map(|target| target.address), reason: why },
            };
            wait_for_change(&mut map, until).await.ok_or(trouble)?;
        }
    }

    /// One try.
    async fn try_once(
        &self, target: Target, call: SessionCall, until: Instant,
    ) -> Result<SessionReply, StoreFailureReason> {
        let request = SessionRequest { partition: target.partition, epoch: target.epoch, body: call };
        let within = TRY_WITHIN.min(until.saturating_duration_since(Instant::now()));
        match self.pool.call(target.address, Message::SessionRequest(request), within).await? {
            Message::SessionReply(SessionReply::NotPrimary { .. }) => Err(StoreFailureReason::NotPrimary),
            Message::SessionReply(SessionReply::Unavailable) => Err(StoreFailureReason::Unavailable),
            Message::SessionReply(reply) => Ok(reply),
            _ => Err(StoreFailureReason::UnexpectedReply),
        }
    }

    /// Looks for a turn in all partitions.
    async fn find(&self, turn: &RequestId, until: Instant) -> Result<Vec<Turn>, SessionError> {
        let mut map = self.map.clone();
        loop {
            let newest = Arc::clone(&map.borrow_and_update());
            match self.search(&newest, turn, until).await {
                Search::Found(chain) => return Ok(chain),
                Search::Nowhere => return Err(SessionError::UnknownTurn),
                Search::Uncertain => {
                    let uncertain =
                        SessionError::Unavailable { failure: StoreFailureReason::Uncertain.into() };
                    wait_for_change(&mut map, until).await.ok_or(uncertain)?;
                }
            }
        }
    }

    /// One search: one call to each store, for all the partitions that it leads.
    async fn search(&self, map: &StoreMap, turn: &RequestId, until: Instant) -> Search {
        let Some(led) = led(map) else { return Search::Uncertain };
        let mut calls = JoinSet::new();
        for Led { address, partitions } in led {
            let Some(first) = partitions.first().copied() else { continue };
            let target = Target { partition: first.partition, epoch: first.epoch, address };
            let call = SessionCall::Find { turn: turn.clone(), partitions };
            let client = self.clone();
            calls.spawn(async move { client.try_once(target, call, until).await });
        }
        let mut certain = true;
        while let Some(ended) = calls.join_next().await {
            match ended {
                Ok(Ok(SessionReply::TurnFound { chain })) => return Search::Found(chain),
                Ok(Ok(SessionReply::UnknownTurn)) => {}
                _ => certain = false,
            }
        }
        if certain { Search::Nowhere } else { Search::Uncertain }
    }
}

fn target(map: &StoreMap, program: &ProgramId) -> Option<Target> {
    let partition = map.partition_of(&program.0)?;
    let assignment = map.assignment(partition)?;
    let address = map.store(assignment.primary)?.address;
    Some(Target { partition, epoch: assignment.epoch, address })
}

/// Waits until the map names another primary or epoch for a program than the one asked.
async fn replaced(map: &mut watch::Receiver<Arc<StoreMap>>, program: &ProgramId, asked: Target) {
    while map.changed().await.is_ok() {
        if target(&map.borrow_and_update(), program).is_some_and(|newest| newest != asked) {
            return;
        }
    }
    // Nobody fills the map any more.
    pending().await
}

/// All partitions, by the stores that lead them; `None` if there are none or the map lacks a store.
fn led(map: &StoreMap) -> Option<Vec<Led>> {
    let mut by_primary = BTreeMap::new();
    for (number, assignment) in map.partitions.iter().enumerate() {
        let address = map.store(assignment.primary)?.address;
        let led =
            by_primary.entry(assignment.primary).or_insert_with(|| Led { address, partitions: Vec::new() });
        let partition = PartitionId(u16::try_from(number).ok()?);
        led.partitions.push(PartitionEpoch { partition, epoch: assignment.epoch });
    }
    (!by_primary.is_empty()).then(|| by_primary.into_values().collect())
}

/// Waits for another map or for a short pause; `None` when the time is over.
async fn wait_for_change(map: &mut watch::Receiver<Arc<StoreMap>>, until: Instant) -> Option<()> {
    let pause = Instant::now() + RETRY_AFTER;
    if pause >= until {
        return None;
    }
    // Nobody fills the map any more: only the pause is left.
    if let Ok(Err(_)) = timeout_at(pause, map.changed()).await {
        sleep_until(pause).await;
    }
    Some(())
}
