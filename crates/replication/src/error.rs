//! Why a proposal, a read or a decoding failed.

use snafu::Snafu;

/// Why a proposal was not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ProposeError {
    /// This keeper is not primary; the change is not in force and will not be.
    #[snafu(display("not the primary"))]
    NotPrimary,
    /// The state is no longer the one that the change was computed on; it will not be in force.
    #[snafu(display("computed on another version"))]
    Conflict,
    /// Too many proposals wait; this one was not taken.
    #[snafu(display("too many proposals wait"))]
    Busy,
    /// It waited too long and was not begun; it will not be in force.
    #[snafu(display("too few copies can be kept now"))]
    Unavailable,
    /// It was begun and may come into force or not.
    #[snafu(display("begun, the outcome is not known"))]
    Unknown,
}

/// Why a read was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ReadError {
    /// This keeper is not primary.
    #[snafu(display("not the primary"))]
    NotPrimary,
    /// Too many reads wait; this one was not taken.
    #[snafu(display("too many reads wait"))]
    Busy,
    /// No majority answered in time.
    #[snafu(display("no majority of voters answered in time"))]
    Unavailable,
}

/// Bytes that are not a state or a change.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not a replicated state or change: {reason}"))]
pub struct MalformedState {
    /// What the decoder says.
    pub reason: String,
}
