//! Errors of the client of the stores.

use std::fmt;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::link::CallError;

/// The failure of the last attempt to call a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreFailure {
    /// The store that was called last, if one was.
    pub store: Option<SocketAddr>,
    /// Why there was no definite reply.
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

/// Why a call returned no definite reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailureReason {
    /// No store map has been received yet, or it names no primary for the program.
    NoPrimary,
    /// There is no connection to the primary.
    NotConnected,
    /// The connection was lost during the call.
    ConnectionLost,
    /// The call timed out.
    TimedOut,
    /// The store is no longer the primary, or cannot tell whether it is.
    NotPrimary,
    /// The store cannot process the request now.
    Unavailable,
    /// The reply has the wrong type for the request.
    UnexpectedReply,
    /// At least one partition could not tell whether it has the previous turn.
    Uncertain,
}

impl StoreFailureReason {
    /// The name used in logs.
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

/// Why a turn cannot run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SessionError {
    /// The budget is exhausted. The denial is final: the turn will not be admitted later.
    #[snafu(display("budget exhausted"))]
    BudgetExhausted,
    /// The previous turn does not exist in any partition; all of them have confirmed that.
    #[snafu(display("previous turn unknown"))]
    UnknownTurn,
    /// No definite reply in time. Tokens may have been reserved for the turn: commit it with 0 tokens to release them.
    #[snafu(display("no definite reply from the stores: {failure}"))]
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

/// The commit of a turn, or the renewal of its lease, was not confirmed in time; it may or may not have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("call not confirmed by the stores: {failure}"))]
pub struct CallUnconfirmed {
    /// The failure of the last attempt.
    pub failure: StoreFailure,
}
