//! How calls to endpoints end.

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// With a complete response that is no server error.
    Succeeded,
    /// With a response that is a server error.
    ServerError,
    /// Without a response within the timeout.
    TimedOut,
    /// The endpoint declined the call, mostly because it is full.
    Overloaded,
    /// The connection broke or was not established, or the response was invalid.
    Failed,
    /// The caller abandoned it, which says little about the endpoint.
    Cancelled,
}
