//! Listening sockets and the establishment of connections.

use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};

use juniperwing_clock::Time;
use juniperwing_node::sync::lock;
use tokio::sync::Notify;

use super::pipes::Pipe;
use super::{Network, PipeId, State};

/// The first ephemeral port given to a connecting end; also the number of these ports.
const FIRST_EPHEMERAL_PORT: u16 = 20_000;

/// The queue of a listening socket.
#[derive(Debug, Default)]
pub struct AcceptQueue {
    /// Connections not yet accepted, with the times of their arrival, in order of arrival.
    pub queue: Mutex<VecDeque<(Time, Connection)>>,
    /// Notified of each new entry.
    pub arrivals: Notify,
}

/// One end of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// The address of the other end.
    pub peer: SocketAddr,
    /// The pipe that this end reads.
    pub incoming: PipeId,
    /// The pipe that this end writes.
    pub outgoing: PipeId,
}

/// The outcome of an attempt to connect.
#[derive(Clone, Copy, Debug)]
pub enum ConnectOutcome {
    /// The connection is established at this time.
    Established(Time, Connection),
    /// There is no listener; the refusal arrives at this time.
    Refused(Time),
    /// There is no response.
    NoResponse,
}

impl Network {
    /// Opens a listening socket.
    ///
    /// # Errors
    ///
    /// `AddrInUse` if the address has one already.
    pub fn listen(&self, address: SocketAddr) -> io::Result<Arc<AcceptQueue>> {
        let mut state = self.lock();
        if state.listeners.contains_key(&address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let accept_queue = Arc::new(AcceptQueue::default());
        state.listeners.insert(address, Arc::clone(&accept_queue));
        Ok(accept_queue)
    }

    /// Closes a listening socket and returns the connections that were not accepted.
    pub fn stop_listening(&self, address: SocketAddr) -> Vec<Connection> {
        let accept_queue = self.lock().listeners.remove(&address);
        let Some(accept_queue) = accept_queue else { return Vec::new() };
        let mut queue = lock(&accept_queue.queue);
        queue.drain(..).map(|(_, connection)| connection).collect()
    }

    /// Attempts to establish a connection.
    pub fn connect(&self, now: Time, from: IpAddr, to: SocketAddr) -> ConnectOutcome {
        self.change(|state| state.connect(now, from, to))
    }
}

impl State {
    fn connect(&mut self, now: Time, from: IpAddr, to: SocketAddr) -> ConnectOutcome {
        let is_frozen = self.machines.get(&to.ip()).is_some_and(|machine_state| machine_state.is_frozen);
        if self.is_blocked(from, to.ip())
            || self.is_blocked(to.ip(), from)
            || !self.has_power(to.ip())
            || is_frozen
        {
            return ConnectOutcome::NoResponse;
        }
        let arrival = now + self.random_delay();
        let established_at = arrival + self.random_delay();
        let Some(accept_queue) = self.listeners.get(&to).cloned() else {
            return ConnectOutcome::Refused(established_at);
        };
        let machine_state = self.machines.entry(from).or_default();
        let port = FIRST_EPHEMERAL_PORT + machine_state.next_port % FIRST_EPHEMERAL_PORT;
        machine_state.next_port = machine_state.next_port.wrapping_add(1);
        let (forward, reverse) = (self.next_pipe, self.next_pipe + 1);
        self.next_pipe += 2;
        let (from_boot_count, to_boot_count) = (self.boot_count(from), self.boot_count(to.ip()));
        self.pipes.insert(forward, Pipe::new(from, to.ip(), to_boot_count, reverse, arrival));
        self.pipes.insert(reverse, Pipe::new(to.ip(), from, from_boot_count, forward, established_at));
        let accepted = Connection { peer: SocketAddr::new(from, port), incoming: forward, outgoing: reverse };
        let mut queue = lock(&accept_queue.queue);
        let position = queue.partition_point(|(at, _)| *at <= arrival);
        queue.insert(position, (arrival, accepted));
        drop(queue);
        accept_queue.arrivals.notify_one();
        ConnectOutcome::Established(
            established_at,
            Connection { peer: to, incoming: reverse, outgoing: forward },
        )
    }
}
