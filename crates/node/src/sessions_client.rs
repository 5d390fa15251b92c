//! The client of the stores: begins and finishes turns at the primary of a program's partition.

mod background;
mod error;
mod lookup;
mod routing;

use std::sync::Arc;
use std::time::Duration;

use juniperwing_protocol::session::{BeginTurn, FinishTurn, SessionCall, SessionReply, SessionRequest, Turn};
use juniperwing_protocol::subscription::StoreMap;
use juniperwing_protocol::{Message, ProgramId};
use tokio::time::{Instant, sleep_until, timeout_at};

use self::background::BackgroundCommits;
pub use self::error::{CommitUncertain, SessionError, StoreFailure, StoreFailureReason};
use self::routing::{PartitionPrimary, primary_of, wait_until_replaced};
use crate::link::LinkPool;
use crate::sync::watch;

/// How long one attempt may take.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);
/// The delay before the next attempt, unless the map changes before.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A turn that may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BegunTurn {
    /// The previous turns, oldest first.
    pub chain: Vec<Turn>,
}

/// A client of the stores. Cheap to clone.
#[derive(Clone)]
pub struct SessionsClient {
    pool: Arc<LinkPool>,
    map: watch::Receiver<Arc<StoreMap>>,
    background: BackgroundCommits,
}

impl SessionsClient {
    /// A client that follows the newest map in `map`.
    pub fn new(pool: Arc<LinkPool>, map: watch::Receiver<Arc<StoreMap>>) -> Self {
        SessionsClient { pool, map, background: BackgroundCommits::new() }
    }

    /// Reserves the most tokens that a turn may generate and fetches the previous turns. May be called again with the
    /// same request, which counts once.
    ///
    /// # Errors
    ///
    /// If the turn must not run, or it is not certain within `max_wait` that it may.
    pub async fn begin(&self, begin: BeginTurn, max_wait: Duration) -> Result<BegunTurn, SessionError> {
        if begin.budget.is_none() && begin.previous.is_none() {
            return Ok(BegunTurn::default());
        }
        let deadline = Instant::now() + max_wait;
        let mut begin = begin;
        loop {
            let call = SessionCall::Begin(begin.clone());
            match self.call_primary(&begin.program, call, deadline).await? {
                SessionReply::TurnBegun { chain } => return Ok(BegunTurn { chain }),
                SessionReply::BudgetExhausted => return Err(SessionError::BudgetExhausted),
                SessionReply::UnknownTurn if begin.imported.is_empty() => {
                    let previous = begin.previous.as_ref().ok_or(StoreFailureReason::UnexpectedReply)?;
                    begin.imported = self.find_turn(previous, deadline).await?;
                }
                SessionReply::UnknownTurn => return Err(StoreFailureReason::Uncertain.into()),
                _ => return Err(StoreFailureReason::UnexpectedReply.into()),
            }
        }
    }

    /// Commits a turn, and stores it where `finish` requests that.
    ///
    /// # Errors
    ///
    /// If it is not certain within `max_wait` that it is on enough disks.
    pub async fn finish(&self, finish: FinishTurn, max_wait: Duration) -> Result<(), CommitUncertain> {
        let deadline = Instant::now() + max_wait;
        let program = finish.program.clone();
        match self.call_primary(&program, SessionCall::Finish(finish), deadline).await {
            Ok(SessionReply::TurnFinished) => Ok(()),
            Ok(_) => Err(CommitUncertain { failure: StoreFailureReason::UnexpectedReply.into() }),
            Err(failure) => Err(CommitUncertain { failure }),
        }
    }

    /// Calls the primary of a program's partition until it decides, or the deadline passes. An attempt ends as soon as
    /// the map names another primary or epoch: the store that was called may be down.
    async fn call_primary(
        &self, program: &ProgramId, call: SessionCall, deadline: Instant,
    ) -> Result<SessionReply, StoreFailure> {
        let mut map = self.map.clone();
        loop {
            let primary = primary_of(&map.borrow_and_update(), program);
            let result = match primary {
                Some(primary) => tokio::select! {
                    biased;
                    result = self.call_once(primary, call.clone(), deadline) => result,
                    () = wait_until_replaced(&mut map, program, primary) => continue,
                },
                None => Err(StoreFailureReason::NoPrimary),
            };
            let failure = match result {
                Ok(reply) => return Ok(reply),
                Err(reason) => StoreFailure { store: primary.map(|primary| primary.address), reason },
            };
            wait_before_retry(&mut map, deadline).await.ok_or(failure)?;
        }
    }

    /// One attempt.
    async fn call_once(
        &self, primary: PartitionPrimary, call: SessionCall, deadline: Instant,
    ) -> Result<SessionReply, StoreFailureReason> {
        let request = SessionRequest { partition: primary.partition, epoch: primary.epoch, body: call };
        let timeout = ATTEMPT_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
        match self.pool.call(primary.address, Message::SessionRequest(request), timeout).await? {
            Message::SessionReply(SessionReply::NotPrimary { .. }) => Err(StoreFailureReason::NotPrimary),
            Message::SessionReply(SessionReply::Unavailable) => Err(StoreFailureReason::Unavailable),
            Message::SessionReply(reply) => Ok(reply),
            _ => Err(StoreFailureReason::UnexpectedReply),
        }
    }
}

/// Waits for another map or the retry delay; `None` if that would pass the deadline.
async fn wait_before_retry(map: &mut watch::Receiver<Arc<StoreMap>>, deadline: Instant) -> Option<()> {
    let retry_at = Instant::now() + RETRY_DELAY;
    if retry_at >= deadline {
        return None;
    }
    // There will be no further map: only the delay is left.
    if let Ok(Err(_)) = timeout_at(retry_at, map.changed()).await {
        sleep_until(retry_at).await;
    }
    Some(())
}
