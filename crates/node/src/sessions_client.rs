//! The relay's way to the stores: begins and finishes turns at the primary of a program's partition.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
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

use crate::link::LinkPool;

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
pub struct Begun {
    /// The turns before, oldest first.
    pub chain: Vec<Turn>,
}

/// Why a turn must not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SessionError {
    /// The budget is spent. The turn has not run and never will.
    #[snafu(display("the budget is spent"))]
    BudgetSpent,
    /// There is no such previous turn; all partitions are certain of that.
    #[snafu(display("the previous turn is not known"))]
    UnknownTurn,
    /// No certain answer in time. The turn may have been reserved: settle it at 0 tokens.
    #[snafu(display("no certain answer in time"))]
    Unavailable,
}

/// A turn was not settled in time, or not certainly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the turn is not certain to be settled"))]
pub struct NotSettled;

/// Talks to the stores. Cheap to clone.
#[derive(Clone)]
pub struct SessionsClient {
    pool: Arc<LinkPool>,
    map: watch::Receiver<Arc<StoreMap>>,
    settling: Arc<Semaphore>,
}

/// The primary of a program's partition.
#[derive(Clone, Copy, Debug)]
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
        SessionsClient { pool, map, settling: Arc::new(Semaphore::new(MAX_SETTLING)) }
    }

    /// Reserves the most that a turn may generate and fetches the turns before it. May be called again with
    /// the same request, which counts once.
    ///
    /// # Errors
    ///
    /// If the turn must not run, or it is not certain `within` this time that it may.
    pub async fn begin(&self, begin: BeginTurn, within: Duration) -> Result<Begun, SessionError> {
        if begin.budget.is_none() && begin.previous.is_none() {
            return Ok(Begun::default());
        }
        let until = Instant::now() + within;
        let mut begin = begin;
        loop {
            match self.ask(&begin.program, SessionCall::Begin(begin.clone()), until).await {
                Some(SessionReply::Begun { chain }) => return Ok(Begun { chain }),
                Some(SessionReply::BudgetSpent) => return Err(SessionError::BudgetSpent),
                Some(SessionReply::UnknownTurn) if begin.imported.is_empty() => {
                    let previous = begin.previous.as_ref().ok_or(SessionError::Unavailable)?;
                    begin.imported = self.find(previous, until).await?;
                }
                _ => return Err(SessionError::Unavailable),
            }
        }
    }

    /// Settles a turn, and keeps it where `finish` says so.
    ///
    /// # Errors
    ///
    /// If it is not certain `within` this time that it is on enough disks.
    pub async fn finish(&self, finish: FinishTurn, within: Duration) -> Result<(), NotSettled> {
        let until = Instant::now() + within;
        let program = finish.program.clone();
        match self.ask(&program, SessionCall::Finish(finish), until).await {
            Some(SessionReply::Finished) => Ok(()),
            _ => Err(NotSettled),
        }
    }

    /// Settles a turn with nobody waiting for it, trying for about ten seconds. `false` if too many are under
    /// way: the turn then counts at its most.
    pub fn finish_later(&self, finish: FinishTurn) -> bool {
        let Ok(permit) = Arc::clone(&self.settling).try_acquire_owned() else { return false };
        let client = self.clone();
        tokio::spawn(async move {
            // Not settled after all this time: it counts at its most.
            let _ = client.finish(finish, SETTLE_WITHIN).await;
            drop(permit);
        });
        true
    }

    /// Asks the primary of a program's partition until it decides; `None` when the time is over.
    async fn ask(&self, program: &ProgramId, call: SessionCall, until: Instant) -> Option<SessionReply> {
        let mut map = self.map.clone();
        loop {
            let target = target(&map.borrow_and_update(), program);
            if let Some(target) = target {
                let reply = self.try_once(target, call.clone(), until).await;
                if reply.is_some() {
                    return reply;
                }
            }
            wait_for_change(&mut map, until).await?;
        }
    }

    /// One try; `None` if the store could not decide.
    async fn try_once(&self, target: Target, call: SessionCall, until: Instant) -> Option<SessionReply> {
        let request = SessionRequest { partition: target.partition, epoch: target.epoch, body: call };
        let within = TRY_WITHIN.min(until.saturating_duration_since(Instant::now()));
        match self.pool.call(target.address, Message::SessionRequest(request), within).await {
            Ok(Message::SessionReply(SessionReply::NotPrimary { .. } | SessionReply::Unavailable)) => None,
            Ok(Message::SessionReply(reply)) => Some(reply),
            _ => None,
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
                    wait_for_change(&mut map, until).await.ok_or(SessionError::Unavailable)?;
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
                Ok(Some(SessionReply::Found { chain })) => return Search::Found(chain),
                Ok(Some(SessionReply::UnknownTurn)) => {}
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
