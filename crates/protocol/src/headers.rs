//! Names of the HTTP headers that clients, endpoints and the tier exchange, in lower case.

/// One try of a client.
pub const REQUEST_ID: &str = "x-request-id";
/// The milliseconds that the caller still waits.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// The parts of a prompt, `ID:TOKENS` with commas between.
pub const PROMPT_PREFIX: &str = "x-prompt-prefix";
/// The last event that the caller of a stream has.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// An endpoint's stamp on its answer.
pub const SERVER_SIGNATURE: &str = "x-server-signature";
/// The instance that alone may run the request.
pub const EXPECT_INSTANCE: &str = "x-expect-instance";
/// The instance that answers.
pub const INSTANCE_ID: &str = "x-instance-id";
/// An endpoint's load: running, waiting, slots, with commas between.
pub const SERVER_LOAD: &str = "x-server-load";
/// An endpoint's promise that the request did not run.
pub const NOT_EXECUTED: &str = "x-not-executed";
/// Seconds until the request may be sent again.
pub const RETRY_AFTER: &str = "retry-after";
/// The configuration version that an order builds on.
pub const IF_MATCH: &str = "if-match";
/// The model asked for.
pub const MODEL: &str = "x-model";
/// Tokens of the prompt and the most that may be generated, with a comma between.
pub const TOKEN_COUNT: &str = "x-token-count";
/// The agent program of a request.
pub const PROGRAM: &str = "program";
/// The line of turns of a request.
pub const SESSION: &str = "session";
/// Milliseconds until the program should be over.
pub const FINISH_MS: &str = "finish-ms";
/// Tokens that all turns of the program may generate together.
pub const BUDGET: &str = "budget";
/// The turn that a turn continues from.
pub const PREVIOUS: &str = "previous";
/// Urgency at an endpoint, 0 first.
pub const PRIORITY: &str = "priority";
