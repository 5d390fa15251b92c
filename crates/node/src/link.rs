//! Links: TCP connections that carry envelopes between processes of the tier in both directions.
//!
//! The connecting end sends a ping when it has received nothing for [`PING_INTERVAL`]. While an end has received only part
//! of an envelope, it sends pings at this interval, whether or not it is the connecting end. Either end closes the link
//! when it has received nothing for [`LINK_TIMEOUT`]. Closing a link fails all of its pending calls.

mod connection;
mod pool;

pub use connection::{CallError, Link, LinkId, MessageHandler, ReplySender, serve};
pub use pool::LinkPool;
pub(crate) use pool::connect;

use std::time::Duration;

/// Idle time (no bytes received) after which the connecting end sends a ping.
pub const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Idle time (no bytes received) after which a link is closed.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of bytes queued for writing on a link. A longer queue means that the peer has stopped reading, and
/// closes the link.
pub const MAX_QUEUED_BYTES: usize = 64 << 20;
