//! Why the stores did not decide, and why a turn must not run.

use std::fmt;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::link::CallError;

/// The failure of the last attempt at the stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreFailure {
    /// The store that was called last, if one was.
    pub store: Option<SocketAddr>,
    /// Why it did not decide.
    pub reason: StoreFailureReason,
}

impl From<StoreFailureReason> for StoreFailure {
    fn from(reason: StoreFailureReason) -> Self {
        StoreFailure { store: None, reason }
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
    /// There is no map of the stores yet, or it names no primary for the program.
    NoPrimary,
    /// There is no connection to the primary.
    NotConnected,
    /// The connection was lost during the call.
    ConnectionLost,
    /// The call timed out.
    TimedOut,
    /// The store is not the primary any more, or not certainly.
    NotPrimary,
    /// The store cannot decide now.
    Unavailable,
    /// The reply does not fit the request.
    UnexpectedReply,
    /// Some partition could not say whether it has the previous turn.
    Uncertain,
}

impl StoreFailureReason {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            StoreFailureReason::NoPrimary => "no primary known",
            StoreFailureReason::NotConnected => "not connected",
            StoreFailureReason::ConnectionLost => "connection lost",
            StoreFailureReason::TimedOut => "timed out",
            StoreFailureReason::NotPrimary => "not primary",
            StoreFailureReason::Unavailable => "unavailable",
            StoreFailureReason::UnexpectedReply => "unexpected reply",
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
    /// The budget is exhausted. The turn has not run and never will.
    #[snafu(display("budget exhausted"))]
    BudgetExhausted,
    /// The previous turn does not exist; all partitions are certain of that.
    #[snafu(display("previous turn unknown"))]
    UnknownTurn,
    /// No certain reply in time. The turn may have been reserved: commit it at 0 tokens.
    #[snafu(display("no certain reply from the stores: {failure}"))]
    Unavailable {
        /// The failure of the last attempt.
        failure: StoreFailure,
    },
}

impl From<StoreFailure> for SessionError {
    fn from(failure: StoreFailure) -> Self {
        SessionError::Unavailable { failure }
    }
}

impl From<StoreFailureReason> for SessionError {
    fn from(reason: StoreFailureReason) -> Self {
        StoreFailure::from(reason).into()
    }
}

/// A turn was not committed in time, or not certainly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the turn is not certain to be committed: {failure}"))]
pub struct CommitUncertain {
    /// The failure of the last attempt.
    pub failure: StoreFailure,
}
