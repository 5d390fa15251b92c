//! What a relay wants of the stores: budgets reserved, turns fetched and kept.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use juniperwing_protocol::session::{BeginTurn, FinishTurn, Turn};
use snafu::Snafu;

use crate::sessions_client::{SessionError, SessionsClient};

/// Why a turn cannot be begun or finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SessionFault {
    /// The budget is spent: the turn must not run.
    #[snafu(display("the budget is spent"))]
    BudgetSpent,
    /// The turn that it continues from is certainly not kept.
    #[snafu(display("the turn before is not known"))]
    UnknownTurn,
    /// It cannot be done now.
    #[snafu(display("the stores cannot do it now"))]
    Unavailable,
}

/// A call to the stores.
pub type SessionCall<T> = Pin<Box<dyn Future<Output = Result<T, SessionFault>> + Send>>;

/// The stores, as a relay uses them.
pub trait Sessions: Send + Sync + 'static {
    /// Reserves the most that a turn may generate, and fetches the turns before it, oldest first.
    fn begin(&self, turn: BeginTurn, within: Duration) -> SessionCall<Vec<Turn>>;

    /// Settles a turn, and keeps it where asked, before the answer's end is passed on.
    fn finish(&self, turn: FinishTurn, within: Duration) -> SessionCall<()>;

    /// Settles a turn in the background; tried again for a while.
    fn finish_later(&self, turn: FinishTurn);
}

/// The stores behind their client.
impl Sessions for SessionsClient {
    fn begin(&self, turn: BeginTurn, within: Duration) -> SessionCall<Vec<Turn>> {
        let client = self.clone();
        Box::pin(async move {
            let begun = client.begin(turn, within).await.map_err(|error| match error {
                SessionError::BudgetSpent => SessionFault::BudgetSpent,
                SessionError::UnknownTurn => SessionFault::UnknownTurn,
                SessionError::Unavailable => SessionFault::Unavailable,
            })?;
            Ok(begun.chain)
        })
    }

    fn finish(&self, turn: FinishTurn, within: Duration) -> SessionCall<()> {
        let client = self.clone();
        Box::pin(async move { client.finish(turn, within).await.map_err(|_| SessionFault::Unavailable) })
    }

    fn finish_later(&self, turn: FinishTurn) {
        // Where too many are under way already, the turn counts at its most.
        SessionsClient::finish_later(self, turn);
    }
}
