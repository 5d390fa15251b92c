//! Errors of proposals, reads and decoding.

use snafu::Snafu;

/// The reason why a proposal was not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ProposeError {
    /// This keeper is not primary; the change has not taken effect and will not.
    #[snafu(display("not the primary"))]
    NotPrimary,
    /// The state has changed since the version that the change was computed on; it will not take effect.
    #[snafu(display("computed on another version"))]
    Conflict,
    /// Too many proposals are pending; this one was rejected.
    #[snafu(display("too many pending proposals"))]
    Busy,
    /// The proposal timed out before its write was started; it will not take effect.
    #[snafu(display("too few replicas in sync"))]
    Unavailable,
    /// The write was started; it may or may not take effect.
    #[snafu(display("outcome unknown"))]
    Unknown,
}

/// The reason why a read was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ReadError {
    /// This keeper is not primary.
    #[snafu(display("not the primary"))]
    NotPrimary,
    /// Too many reads are pending; this one was rejected.
    #[snafu(display("too many pending reads"))]
    Busy,
    /// No majority replied in time.
    #[snafu(display("no majority of voters replied in time"))]
    Unavailable,
}

/// The bytes are not a state or a change.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not a replicated state or change: {reason}"))]
pub struct MalformedState {
    /// The message of the decoder.
    pub reason: String,
}
