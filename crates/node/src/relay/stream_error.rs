//! Why a response ends early.

use snafu::Snafu;

/// Why a response is aborted. The client sees its connection end before the response does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StreamError {
    /// The stream of the endpoint broke, and no other endpoint may resume it.
    #[snafu(display("the endpoint's stream broke"))]
    EndpointFailed,
    /// The deadline has passed.
    #[snafu(display("the deadline has passed"))]
    DeadlineExceeded,
    /// The turn could not be stored.
    #[snafu(display("the turn could not be stored"))]
    TurnNotStored,
    /// There is no memory for what has to be retained of the response.
    #[snafu(display("no memory for the response"))]
    NoCapacity,
}

impl StreamError {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            StreamError::EndpointFailed => "endpoint failed",
            StreamError::DeadlineExceeded => "deadline exceeded",
            StreamError::TurnNotStored => "turn not stored",
            StreamError::NoCapacity => "no memory for the response",
        }
    }
}
