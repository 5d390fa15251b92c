//! The relay's interface to the stores: reserves budgets, and fetches and stores turns.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use juniperwing_protocol::RequestId;
use juniperwing_protocol::session::{
    BeginTurn, FindOutput, FinishTurn, OutputEvent, RenewTurn, Turn, TurnKey,
};
use snafu::Snafu;
use tokio::time::Instant;

use crate::sessions_client::{
    CallUnconfirmed, LeaseRenewal, OutputSender, SessionError, SessionsClient, StoreFailure,
};

/// Why a turn cannot be begun or finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum TurnError {
    /// The token budget is exhausted, so the turn must not run.
    #[snafu(display("token budget exhausted"))]
    BudgetExhausted,
    /// The previous turn is not stored, which is certain.
    #[snafu(display("previous turn not found"))]
    UnknownTurn,
    /// The stores cannot decide at present.
    #[snafu(display("stores unavailable: {cause}"))]
    Unavailable {
        /// The reason, as far as known.
        cause: StoreFailure,
    },
}

/// The result of a call to the stores.
pub type SessionCall<T> = Pin<Box<dyn Future<Output = Result<T, TurnError>> + Send>>;

/// The result of a search for output that was handed out.
pub type OutputCall = Pin<Box<dyn Future<Output = Vec<OutputEvent>> + Send>>;

/// The store operations that a relay uses.
pub trait SessionStore: Send + Sync + 'static {
    /// Reserves the maximum number of tokens that a turn may generate, and fetches the previous turns, oldest first.
    fn begin_turn(&self, turn: BeginTurn, max_wait: Duration) -> SessionCall<Vec<Turn>>;

    /// Renews the lease of a turn in the background, up to the turn's deadline, until the result is dropped.
    fn renew_turn(&self, renew: RenewTurn, deadline: Instant) -> LeaseRenewal;

    /// Commits the tokens of a turn, and stores the turn if requested.
    fn finish_turn(&self, turn: FinishTurn, max_wait: Duration) -> SessionCall<()>;

    /// Commits the tokens of a turn in the background, with retries for a limited time.
    fn finish_turn_in_background(&self, turn: FinishTurn);

    /// Returns the output of a turn that was handed out up to the client's last event, from the first event on and
    /// without gaps, as far as it is known.
    fn find_output(&self, find: FindOutput, max_wait: Duration) -> OutputCall;

    /// Records the events of a stream in the background, for a client that may resume it for `retention_ms` milliseconds.
    fn record_output(&self, turn: TurnKey, request: RequestId, retention_ms: u64) -> OutputSender;

    /// Waits until no turn is being committed in the background.
    fn background_commits_done(&self) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(std::future::ready(()))
    }

    /// The number of turns that are being committed in the background.
    fn background_commits(&self) -> usize {
        0
    }

    /// The number of turns that could not be committed in the background, whose reservations count in full.
    fn failed_commits(&self) -> u64 {
        0
    }

    /// The number of renewals of leases that failed; each was tried for half of a lease.
    fn failed_renewals(&self) -> u64 {
        0
    }
}

impl SessionStore for SessionsClient {
    fn begin_turn(&self, turn: BeginTurn, max_wait: Duration) -> SessionCall<Vec<Turn>> {
        let client = self.clone();
        Box::pin(async move {
            let begun = client.begin(turn, max_wait).await.map_err(|error| match error {
                SessionError::BudgetExhausted => TurnError::BudgetExhausted,
                SessionError::UnknownTurn => TurnError::UnknownTurn,
                SessionError::Unavailable { failure } => TurnError::Unavailable { cause: failure },
            })?;
            Ok(begun.chain)
        })
    }

    fn renew_turn(&self, renew: RenewTurn, deadline: Instant) -> LeaseRenewal {
        self.renew_in_background(renew, deadline)
    }

    fn finish_turn(&self, turn: FinishTurn, max_wait: Duration) -> SessionCall<()> {
        let client = self.clone();
        Box::pin(async move {
            let finished = client.finish(turn, max_wait).await;
            finished.map_err(|CallUnconfirmed { failure }| TurnError::Unavailable { cause: failure })
        })
    }

    fn finish_turn_in_background(&self, turn: FinishTurn) {
        self.finish_in_background(turn);
    }

    fn find_output(&self, find: FindOutput, max_wait: Duration) -> OutputCall {
        let client = self.clone();
        Box::pin(async move { client.find_output(find, max_wait).await })
    }

    fn record_output(&self, turn: TurnKey, request: RequestId, retention_ms: u64) -> OutputSender {
        self.record_output(turn, request, retention_ms)
    }

    fn background_commits_done(&self) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        let client = self.clone();
        Box::pin(async move { client.wait_for_background_commits().await })
    }

    fn background_commits(&self) -> usize {
        self.background_commits()
    }

    fn failed_commits(&self) -> u64 {
        self.failed_commits()
    }

    fn failed_renewals(&self) -> u64 {
        self.failed_renewals()
    }
}
