//! The options of a stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The options of a stand-in.
#[derive(Clone, Debug)]
pub struct EndpointOptions {
    /// The id of this incarnation; a new one for each start.
    pub instance_id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// The address on which it listens; port 0 selects any free port.
    pub listen: SocketAddr,
    /// The control listeners of the keepers.
    pub keepers: Vec<SocketAddr>,
    /// The maximum number of concurrent requests; more are rejected.
    pub capacity: usize,
    /// The time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// How long it continues to serve after it has reported that it is draining.
    pub drain_duration: Duration,
    /// The prefix of the paths whose response is a stream.
    pub stream_prefix: String,
    /// The maximum number of events of a stream.
    pub max_events: u64,
    /// The time between two events.
    pub event_interval: Duration,
}

impl Default for EndpointOptions {
    fn default() -> Self {
        EndpointOptions {
            instance_id: format!("i-{}", std::process::id()),
            service: "demo".to_owned(),
            zone: "local".to_owned(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            keepers: vec![SocketAddr::from((Ipv4Addr::LOCALHOST, 8_144))],
            capacity: 8,
            heartbeat_interval: Duration::from_secs(1),
            drain_duration: Duration::from_secs(2),
            stream_prefix: "/stream/".to_owned(),
            max_events: 5,
            event_interval: Duration::from_millis(200),
        }
    }
}
