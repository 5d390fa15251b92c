//! What a stand-in is told at its start.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// What a stand-in is told.
#[derive(Clone, Debug)]
pub struct EndpointOptions {
    /// The id of this life; a new one for each start.
    pub instance: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens; port 0 takes one that is free.
    pub listen: SocketAddr,
    /// Control listeners of keepers.
    pub keepers: Vec<SocketAddr>,
    /// Requests that it works on at a time; more are declined.
    pub capacity: usize,
    /// Between two heartbeats.
    pub heartbeat: Duration,
    /// For how long it serves on after it has said that it drains.
    pub drain: Duration,
    /// A path that begins with this is answered with a stream.
    pub stream_prefix: String,
    /// Events of a stream at most.
    pub events: u64,
    /// Between two events.
    pub pause: Duration,
}

impl Default for EndpointOptions {
    fn default() -> Self {
        EndpointOptions {
            instance: format!("i-{}", std::process::id()),
            service: "demo".to_owned(),
            zone: "local".to_owned(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            keepers: vec![SocketAddr::from((Ipv4Addr::LOCALHOST, 8_144))],
            capacity: 8,
            heartbeat: Duration::from_secs(1),
            drain: Duration::from_secs(2),
            stream_prefix: "/stream/".to_owned(),
            events: 5,
            pause: Duration::from_millis(200),
        }
    }
}
