//! What a relay wants of the stores: budgets reserved, turns fetched and kept.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use juniperwing_protocol::session::{BeginTurn, FinishTurn, Turn};
use snafu::Snafu;

use crate::sessions_client::{NotSettled, SessionError, SessionsClient, StoreTrouble};

/// Why a turn cannot be begun or finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum TurnError {
    /// The budget is spent: the turn must not run.
    #[snafu(display("the budget is spent"))]
    BudgetExhausted,
    /// The turn that it continues from is certainly not kept.
    #[snafu(display("the turn before is not known"))]
    UnknownTurn,
    /// It cannot be done now.
    #[snafu(display("the stores cannot do it now: {trouble}"))]
    Unavailable {
        /// Why, as far as is known.
        trouble: StoreTrouble,
    },
}

/// A call to the stores.
pub type SessionCall<T> = Pin<Box<dyn Future<Output = Result<T, TurnError>> + Send>>;

/// The stores, as a relay uses them.
pub trait Sessions: Send + Sync + 'static {
    /// Reserves the most that a turn may generate, and fetches the turns before it, oldest first.
    fn begin(&self, turn: BeginTurn, within: Duration) -> SessionCall<Vec<Turn>>;

    /// Settles a turn, and keeps it where asked, before the answer's end is passed on.
    fn finish(&self, turn: FinishTurn, within: Duration) -> SessionCall<()>;

    /// Settles a turn in the background; tried again for a while.
    fn finish_later(&self, turn: FinishTurn);

    /// Waits until no turn is being settled in the background.
    fn settled(&self) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(std::future::ready(()))
    }

    /// Turns that are being settled in the background.
    fn settling(&self) -> usize {
        0
    }

    /// Turns that could not be settled in the background: they count at their most.
    fn settlements_lost(&self) -> u64 {
        0
    }
}

/// The stores behind their client.
impl Sessions for SessionsClient {
    fn begin(&self, turn: BeginTurn, within: Duration) -> SessionCall<Vec<Turn>> {
        let client = self.clone();
        Box::pin(async move {
            let begun = client.begin(turn, within).await.map_err(|error| match error {
                SessionError::BudgetSpent => TurnError::BudgetExhausted,
                SessionError::UnknownTurn => TurnError::UnknownTurn,
                SessionError::Unavailable { trouble } => TurnError::Unavailable { trouble },
            })?;
            Ok(begun.chain)
        })
    }

    fn finish(&self, turn: FinishTurn, within: Duration) -> SessionCall<()> {
        let client = self.clone();
        Box::pin(async move {
            let finished = client.finish(turn, within).await;
            finished.map_err(|NotSettled { trouble }| TurnError::Unavailable { trouble })
        })
    }

    fn finish_later(&self, turn: FinishTurn) {
        SessionsClient::finish_later(self, turn);
    }

    fn settled(&self) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        let client = self.clone();
        Box::pin(async move { client.settled().await })
    }

    fn settling(&self) -> usize {
        SessionsClient::settling(self)
    }

    fn settlements_lost(&self) -> u64 {
        SessionsClient::settlements_lost(self)
    }
}
