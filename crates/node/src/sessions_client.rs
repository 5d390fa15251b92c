//! Client of the stores: begins and finishes turns at the primary of a program's partition.

mod background;
mod error;
mod lookup;
mod output;
mod renewal;
mod routing;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use juniperwing_protocol::session::{BeginTurn, FinishTurn, SessionCall, SessionReply, SessionRequest, Turn};
use juniperwing_protocol::subscription::StoreMap;
use juniperwing_protocol::{Message, ProgramId};
use tokio::time::{Instant, sleep_until, timeout_at};

use self::background::BackgroundCommits;
pub use self::error::{CallUnconfirmed, SessionError, StoreFailure, StoreFailureReason};
pub use self::output::OutputSender;
pub use self::renewal::{LeaseRenewal, renew_at_intervals};
use self::routing::{PartitionPrimary, primary_of, wait_until_replaced};
use crate::link::LinkPool;
use crate::sync::watch;

/// The timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);
/// The delay before the next attempt; a change of the map ends it early.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A turn that the store has admitted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BegunTurn {
    /// The previous turns, oldest first.
    pub chain: Vec<Turn>,
}

/// A client of the stores. Clones are cheap and share connections and background commits.
#[derive(Clone)]
pub struct SessionsClient {
    pool: Arc<LinkPool>,
    map: watch::Receiver<Arc<StoreMap>>,
    background: BackgroundCommits,
    failed_renewals: Arc<AtomicU64>,
}

impl SessionsClient {
    /// Creates a client that routes requests by the newest value of `map`.
    pub fn new(pool: Arc<LinkPool>, map: watch::Receiver<Arc<StoreMap>>) -> Self {
        SessionsClient { pool, map, background: BackgroundCommits::new(), failed_renewals: Arc::default() }
    }

    /// Reserves the maximum number of tokens that a turn may generate and fetches the previous turns. The call is
    /// idempotent: repeated calls with the same request reserve tokens once.
    ///
    /// # Errors
    ///
    /// If the turn was denied, or no definite reply arrives within `max_wait`.
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

    /// Commits a turn, and stores its contents if `finish` includes them.
    ///
    /// # Errors
    ///
    /// If the commit is not confirmed by the required number of replicas within `max_wait`.
    pub async fn finish(&self, finish: FinishTurn, max_wait: Duration) -> Result<(), CallUnconfirmed> {
        let program = finish.program.clone();
        self.call_until_confirmed(
            &program,
            SessionCall::Finish(finish),
            &SessionReply::TurnFinished,
            max_wait,
        )
        .await
    }

    /// Makes a call that has one definite reply.
    async fn call_until_confirmed(
        &self, program: &ProgramId, call: SessionCall, confirmation: &SessionReply, max_wait: Duration,
    ) -> Result<(), CallUnconfirmed> {
        match self.call_primary(program, call, Instant::now() + max_wait).await {
            Ok(reply) if reply == *confirmation => Ok(()),
            Ok(_) => Err(CallUnconfirmed { failure: StoreFailureReason::UnexpectedReply.into() }),
            Err(failure) => Err(CallUnconfirmed { failure }),
        }
    }

    /// Calls the primary of a program's partition until it returns a definite reply or the deadline passes. An attempt
    /// is cancelled as soon as the map names another primary or epoch, since the store that was called may be down.
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

    /// Makes one attempt.
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

/// Waits for a map change or the retry delay, whichever comes first. Returns `None` without waiting if the delay would
/// end at or after the deadline.
async fn wait_before_retry(map: &mut watch::Receiver<Arc<StoreMap>>, deadline: Instant) -> Option<()> {
    let retry_at = Instant::now() + RETRY_DELAY;
    if retry_at >= deadline {
        return None;
    }
    // The sender of the map is gone, so no change can end the delay early.
    if let Ok(Err(_)) = timeout_at(retry_at, map.changed()).await {
        sleep_until(retry_at).await;
    }
    Some(())
}
