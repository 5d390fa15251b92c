//! What a relay needs of the stores: budgets are reserved, and turns are fetched and stored.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use juniperwing_protocol::session::{BeginTurn, FinishTurn, Turn};
use snafu::Snafu;

use crate::sessions_client::{CommitUncertain, SessionError, SessionsClient, StoreFailure};

/// Why a turn cannot be begun or finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum TurnError {
    /// The budget is exhausted: the turn must not run.
    #[snafu(display("the budget is exhausted"))]
    BudgetExhausted,
    /// The previous turn is certainly not stored.
    #[snafu(display("the previous turn is unknown"))]
    UnknownTurn,
    /// The stores cannot decide now.
    #[snafu(display("the stores are unavailable: {cause}"))]
    Unavailable {
        /// Why, as far as is known.
        cause: StoreFailure,
    },
}

/// The result of a call to the stores.
pub type SessionCall<T> = Pin<Box<dyn Future<Output = Result<T, TurnError>> + Send>>;

/// The stores as a relay uses them.
pub trait SessionStore: Send + Sync + 'static {
    /// Reserves the most tokens that a turn may generate, and fetches the previous turns, oldest first.
    fn begin_turn(&self, turn: BeginTurn, max_wait: Duration) -> SessionCall<Vec<Turn>>;

    /// Commits the tokens of a turn and stores the turn where requested.
    fn finish_turn(&self, turn: FinishTurn, max_wait: Duration) -> SessionCall<()>;

    /// Commits the tokens of a turn in the background, with retries for a limited time.
    fn finish_turn_in_background(&self, turn: FinishTurn);

    /// Waits until no turn is being committed in the background.
    fn background_commits_done(&self) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(std::future::ready(()))
    }

    /// The number of turns that are being committed in the background.
    fn background_commits(&self) -> usize {
        0
    }

    /// The number of turns that could not be committed in the background: their reservations count in full.
    fn lost_commits(&self) -> u64 {
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

    fn finish_turn(&self, turn: FinishTurn, max_wait: Duration) -> SessionCall<()> {
        let client = self.clone();
        Box::pin(async move {
            let finished = client.finish(turn, max_wait).await;
            finished.map_err(|CommitUncertain { failure }| TurnError::Unavailable { cause: failure })
        })
    }

    fn finish_turn_in_background(&self, turn: FinishTurn) {
        self.finish_in_background(turn);
    }

    fn background_commits_done(&self) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        let client = self.clone();
        Box::pin(async move { client.wait_for_background_commits().await })
    }

    fn background_commits(&self) -> usize {
        self.background_commits()
    }

    fn lost_commits(&self) -> u64 {
        self.lost_commits()
    }
}
