//! The reasons for which a response is aborted.

use snafu::Snafu;

/// Why a response is aborted. The client sees the connection close before the response is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StreamError {
    /// The endpoint's stream broke and was not resumed at another endpoint.
    #[snafu(display("endpoint's stream broke"))]
    EndpointFailed,
    /// The deadline has passed.
    #[snafu(display("deadline exceeded"))]
    DeadlineExceeded,
    /// The turn could not be stored.
    #[snafu(display("turn could not be stored"))]
    TurnNotStored,
    /// The stream has ended without the event that the client named as its last one.
    #[snafu(display("unknown last event id"))]
    UnknownEventId,
    /// There is no memory left for what has to be retained of the response.
    #[snafu(display("no memory for the response"))]
    NoMemory,
}

impl StreamError {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            StreamError::EndpointFailed => "endpoint failed",
            StreamError::DeadlineExceeded => "deadline exceeded",
            StreamError::TurnNotStored => "turn not stored",
            StreamError::UnknownEventId => "unknown last event id",
            StreamError::NoMemory => "no memory for the response",
        }
    }
}
