//! Addresses of the machines of one play on the loopback network.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use juniperwing_node::role::Role;

/// Port of relays for clients. Each port is the same on all machines.
pub const FRONTEND_PORT: u16 = 8_149;
/// Port of relays for readiness probes.
pub const READINESS_PORT: u16 = 8_141;
/// Port of keepers for endpoints and operators.
pub const CONTROL_PORT: u16 = 8_144;
/// Port of all roles for metrics.
pub const METRICS_PORT: u16 = 9_464;
/// First and last port for traffic between machines of the tier.
pub const TIER_PORTS: (u16, u16) = (7_380, 7_395);

/// Number of networks that concurrent plays may use: 127.20.0.0/16 to 127.219.0.0/16.
const NETWORK_COUNT: u64 = 200;
const FIRST_NETWORK: u64 = 20;
const ENDPOINT_SUBNET: u8 = 4;

/// Port that the play that uses a network binds, to reserve the network.
const RESERVED_PORT: u16 = 7_379;

/// The loopback network of one play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network(u8);

/// Guard that reserves a network against other plays on this host until it is dropped.
#[derive(Debug)]
pub struct Reservation(#[expect(dead_code, reason = "reserves the network until it is dropped")] TcpListener);

impl Network {
    /// The network with a number. Numbers above the last network wrap around.
    pub fn new(number: u64) -> Network {
        Network((FIRST_NETWORK + number % NETWORK_COUNT) as u8)
    }

    /// Reserves the first network, counted from a number on, that no other play uses.
    ///
    /// # Errors
    ///
    /// If no network can be reserved.
    pub fn reserve(number: u64) -> io::Result<(Network, Reservation)> {
        let mut last_error = io::ErrorKind::AddrInUse.into();
        for offset in 0..NETWORK_COUNT {
            let network = Network::new(number.wrapping_add(offset));
            match TcpListener::bind((network.address(0, 0), RESERVED_PORT)) {
                Ok(listener) => return Ok((network, Reservation(listener))),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// The address of a machine of a role. Numbers start at 0.
    pub fn machine(self, role: Role, number: usize) -> IpAddr {
        let subnet = match role {
            Role::Keeper => 1,
            Role::Store => 2,
            Role::Relay => 3,
        };
        self.address(subnet, number)
    }

    /// The address of an endpoint machine. Numbers start at 0.
    pub fn endpoint(self, number: usize) -> IpAddr {
        self.address(ENDPOINT_SUBNET, number)
    }

    /// The address of a listener on a machine of a role.
    pub fn listener(self, role: Role, number: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.machine(role, number), port)
    }

    fn address(self, subnet: u8, number: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, subnet, 1 + number as u8))
    }
}
