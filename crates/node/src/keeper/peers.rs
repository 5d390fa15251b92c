//! Links to the other keepers. Messages to one that cannot be reached are dropped, not piled up.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniperwing_protocol::Message;

use crate::link::{CallError, Link, LinkPool, Service};
use crate::sync::lock;

/// Messages that wait for a connection to come up; the oldest give way.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Keepers that are remembered; more than ever take part.
const MAX_PEERS: usize = 64;

/// The links to other keepers.
pub(super) struct Peers {
    pool: LinkPool,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
}

#[derive(Default)]
struct Peer {
    link: Option<Link>,
    queued: VecDeque<Message>,
    is_connecting: bool,
}

impl Peers {
    /// No links yet; what the others send goes to `service`.
    pub(super) fn new(service: Arc<dyn Service>) -> Self {
        Peers { pool: LinkPool::new(service), peers: Mutex::default() }
    }

    /// Sends a message that nobody answers. It may be lost.
    pub(super) fn send(self: &Arc<Self>, address: SocketAddr, message: Message) {
        let mut peers = self.lock();
        if peers.len() >= MAX_PEERS {
            peers.retain(|_, peer| peer.is_connecting || peer.live_link().is_some());
        }
        let peer = peers.entry(address).or_default();
        if let Some(link) = peer.live_link() {
            return link.send(message);
        }
        if peer.queued.len() == MAX_QUEUED_MESSAGES {
            peer.queued.pop_front();
        }
        peer.queued.push_back(message);
        if !peer.is_connecting {
            peer.is_connecting = true;
            tokio::spawn(Arc::clone(self).connect(address));
        }
    }

    /// Calls another keeper and waits for its answer.
    pub(super) async fn call(
        &self, address: SocketAddr, message: Message, within: Duration,
    ) -> Result<Message, CallError> {
        self.pool.call(address, message, within).await
    }

    /// The link to a keeper, which comes up if there is none.
    pub(super) async fn link(&self, address: SocketAddr) -> Result<Link, CallError> {
        self.pool.link(address).await
    }

    async fn connect(self: Arc<Self>, address: SocketAddr) {
        let link = self.pool.link(address).await.ok();
        let mut peers = self.lock();
        let Some(peer) = peers.get_mut(&address) else { return };
        peer.is_connecting = false;
        let waiting = std::mem::take(&mut peer.queued);
        if let Some(link) = &link {
            waiting.into_iter().for_each(|message| link.send(message));
        }
        peer.link = link;
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        lock(&self.peers)
    }
}

impl Peer {
    fn live_link(&self) -> Option<&Link> {
        self.link.as_ref().filter(|link| !link.is_closed())
    }
}
