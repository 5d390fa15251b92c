//! Links: TCP connections between processes of the tier that carry envelopes both ways.
//!
//! The connecting end sends a ping when it has heard nothing for [`PING_AFTER`], and either end does while it has
//! read only a part of an envelope for so long; either end gives the link up when it has heard nothing for
//! [`DEAD_AFTER`]. A link that is given up fails all its open calls.

mod connection;
mod pool;

pub use connection::{CallError, Link, LinkId, ReplySender, Service, serve};
pub use pool::LinkPool;
pub(crate) use pool::connect;

use std::time::Duration;

/// Silence after which the connecting end pings.
pub const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Silence after which a link counts as dead.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a connection may take to come up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Bytes that may wait to be written on one link; more means that the other end does not read.
pub const MAX_QUEUED_BYTES: usize = 64 << 20;
