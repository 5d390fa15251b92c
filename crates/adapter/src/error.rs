//! Errors of the adapter. Each ends the program, which prints the number of the input line and the error.

use std::io;
use std::str::Utf8Error;

use snafu::Snafu;

/// The reason why an input line has no reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum AdapterError {
    /// The input cannot be read.
    #[snafu(display("{source}"))]
    Input { source: io::Error },
    /// The line is not UTF-8.
    #[snafu(display("{source}"))]
    NotUtf8 { source: Utf8Error },
    /// The line is not a batch.
    #[snafu(display("not a batch: {source}"))]
    NotABatch { source: serde_json::Error },
    /// An event does not match the schema of its kind.
    #[snafu(display("malformed {kind}: {source}"))]
    Malformed { kind: String, source: serde_json::Error },
    /// An update of the endpoint list refers to a bank that was never defined.
    #[snafu(display("Endpoints refers to a bank without an Inventory"))]
    UnknownBank,
    /// A notification has a topic type that is not in the settings.
    #[snafu(display("Accept has an unknown class: {name:?}"))]
    UnknownTopicType { name: String },
    /// The reply cannot be serialised.
    #[snafu(display("cannot serialise the reply: {source}"))]
    Reply { source: serde_json::Error },
}
