//! The addresses of one play on the loopback network.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use juniperwing_node::role::Role;

/// The port of relays for clients. Ports are the same on all machines.
pub const FRONTEND_PORT: u16 = 8_149;
/// The port of relays for readiness probes.
pub const READINESS_PORT: u16 = 8_141;
/// The port of keepers for endpoints and operators.
pub const CONTROL_PORT: u16 = 8_144;
/// The port of all roles for metrics.
pub const METRICS_PORT: u16 = 9_464;
/// The first and the last port for messages between machines of the tier.
pub const TIER_PORTS: (u16, u16) = (7_380, 7_395);

/// Number of networks that plays may use at the same time: 127.20 to 127.219.
const NETWORK_COUNT: u64 = 200;
const FIRST_NETWORK: u64 = 20;
const ENDPOINT_SUBNET: u8 = 4;

/// Bound by the play that uses a network.
const RESERVED_PORT: u16 = 7_379;

/// The addresses of one play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network(u8);

/// Reserves a network against other plays on this machine until it is dropped.
#[derive(Debug)]
pub struct Reservation(#[expect(dead_code, reason = "reserves the network until it is dropped")] TcpListener);

impl Network {
    /// The network with a number; numbers wrap around.
    pub fn new(number: u64) -> Network {
        Network((FIRST_NETWORK + number % NETWORK_COUNT) as u8)
    }

    /// The first network from a number on that no other play uses.
    ///
    /// # Errors
    ///
    /// If all are in use.
    pub fn reserve(number: u64) -> io::Result<(Network, Reservation)> {
        let mut failure = io::ErrorKind::AddrInUse.into();
        for offset in 0..NETWORK_COUNT {
            let network = Network::new(number.wrapping_add(offset));
            match TcpListener::bind((network.address(0, 0), RESERVED_PORT)) {
                Ok(listener) => return Ok((network, Reservation(listener))),
                Err(error) => failure = error,
            }
        }
        Err(failure)
    }

    /// The machine of a role, by its number from 0 on.
    pub fn machine(self, role: Role, number: usize) -> IpAddr {
        let kind = match role {
            Role::Keeper => 1,
            Role::Store => 2,
            Role::Relay => 3,
        };
        self.address(kind, number)
    }

    /// The machine of an endpoint, by its number from 0 on.
    pub fn endpoint(self, number: usize) -> IpAddr {
        self.address(ENDPOINT_SUBNET, number)
    }

    /// A listener on the machine of a role.
    pub fn listener(self, role: Role, number: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.machine(role, number), port)
    }

    fn address(self, kind: u8, number: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, kind, 1 + number as u8))
    }
}
