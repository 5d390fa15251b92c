//! Datagram sockets and the delivery of datagrams.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use juniperwing_clock::Time;
use juniperwing_node::sync::lock;
use tokio::sync::Notify;

use super::Network;

/// One datagram in this many is lost.
const DATAGRAM_LOSS_INTERVAL: u64 = 200;
/// The maximum number of datagrams that a socket queues; more are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 1_000;

/// A datagram on its way to a socket.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// When it arrives.
    pub arrival: Time,
    /// Its payload.
    pub bytes: Vec<u8>,
    /// The sender's address.
    pub from: SocketAddr,
}

/// The queue of a datagram socket.
#[derive(Debug, Default)]
pub struct DatagramQueue {
    /// Datagrams not yet received, in order of arrival.
    pub queue: Mutex<VecDeque<Datagram>>,
    /// Notified of each new entry.
    pub arrivals: Notify,
}

impl Network {
    /// Opens a datagram socket.
    ///
    /// # Errors
    ///
    /// `AddrInUse` if the address has one already.
    pub fn bind(&self, address: SocketAddr) -> io::Result<Arc<DatagramQueue>> {
        let mut state = self.lock();
        if state.datagram_queues.contains_key(&address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let datagram_queue = Arc::new(DatagramQueue::default());
        state.datagram_queues.insert(address, Arc::clone(&datagram_queue));
        Ok(datagram_queue)
    }

    /// Closes a datagram socket.
    pub fn unbind(&self, address: SocketAddr) {
        drop(self.lock().datagram_queues.remove(&address));
    }

    /// Sends a datagram, which may be lost.
    pub fn send_datagram(&self, now: Time, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let datagram_queue = {
            let mut state = self.lock();
            let is_lost = state.rng.one_in(DATAGRAM_LOSS_INTERVAL);
            let at = now + state.random_delay();
            let is_reachable = !is_lost && !state.is_blocked(from.ip(), to.ip()) && state.has_power(to.ip());
            let datagram_queue = state.datagram_queues.get(&to).filter(|_| is_reachable).cloned();
            datagram_queue.map(|datagram_queue| (datagram_queue, at))
        };
        let Some((datagram_queue, at)) = datagram_queue else { return };
        let mut queue = lock(&datagram_queue.queue);
        if queue.len() < MAX_QUEUED_DATAGRAMS {
            let position = queue.partition_point(|queued| queued.arrival <= at);
            queue.insert(position, Datagram { arrival: at, bytes: bytes.to_vec(), from });
        }
        drop(queue);
        datagram_queue.arrivals.notify_one();
    }
}
