//! How calls to endpoints end.

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The response was complete and not a server error.
    Succeeded,
    /// The response was a server error.
    ServerError,
    /// There was no response within the timeout.
    TimedOut,
    /// The endpoint declined the call, usually because it is full.
    Overloaded,
    /// The connection broke or was not established, or the response was invalid.
    Failed,
    /// The caller abandoned the call, which does not count against the endpoint.
    Cancelled,
}
