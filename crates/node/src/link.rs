//! Links: TCP connections between processes of the tier that carry envelopes in both directions.
//!
//! The end that opened the connection sends a ping when it has received nothing for [`PING_INTERVAL`]; either end does so
//! while it has received only part of an envelope for that long. Either end closes the link when it has received
//! nothing for [`LINK_TIMEOUT`]. Closing a link fails all its pending calls.

mod connection;
mod pool;

pub use connection::{CallError, Link, LinkId, ReplySender, Service, serve};
pub use pool::LinkPool;
pub(crate) use pool::connect;

use std::time::Duration;

/// Time without received bytes after which the connecting end sends a ping.
pub const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Time without received bytes after which a link is closed.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(700);
/// Time-out for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of bytes queued for writing on a link; more means that the peer does not read.
pub const MAX_QUEUED_BYTES: usize = 64 << 20;
