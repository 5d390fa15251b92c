//! Links to the other keepers. Messages to an unreachable keeper are dropped, not queued without limit.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniperwing_protocol::Message;

use crate::link::{CallError, Link, LinkPool, MessageHandler};
use crate::sync::lock;

/// The maximum number of messages queued for a keeper until its link is established; the oldest are dropped.
const MAX_QUEUED_MESSAGES: usize = 64;
/// The number of entries at which unconnected keepers are removed; larger than any group of keepers.
const MAX_PEERS: usize = 64;

/// The links to other keepers.
pub(super) struct Peers {
    pool: LinkPool,
    peers: Mutex<BTreeMap<SocketAddr, Peer>>,
}

/// Another keeper.
#[derive(Default)]
struct Peer {
    link: Option<Link>,
    /// Messages to send when the link is established.
    queued: VecDeque<Message>,
    is_connecting: bool,
}

impl Peers {
    /// A pool without links; `handler` handles messages from other keepers.
    pub(super) fn new(handler: Arc<dyn MessageHandler>) -> Self {
        Peers { pool: LinkPool::new(handler), peers: Mutex::default() }
    }

    /// Sends a message that has no reply. It may be lost.
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

    /// Sends a request to another keeper and waits for its reply.
    ///
    /// # Errors
    ///
    /// If there is no link, or no reply within `timeout`.
    pub(super) async fn call(
        &self, address: SocketAddr, message: Message, timeout: Duration,
    ) -> Result<Message, CallError> {
        self.pool.call(address, message, timeout).await
    }

    /// The link to a keeper, which is established if there is none.
    ///
    /// # Errors
    ///
    /// If the keeper cannot be connected.
    pub(super) async fn link(&self, address: SocketAddr) -> Result<Link, CallError> {
        self.pool.link(address).await
    }

    async fn connect(self: Arc<Self>, address: SocketAddr) {
        let link = self.pool.link(address).await.ok();
        let mut peers = self.lock();
        let Some(peer) = peers.get_mut(&address) else { return };
        peer.is_connecting = false;
        let queued = std::mem::take(&mut peer.queued);
        if let Some(link) = &link {
            queued.into_iter().for_each(|message| link.send(message));
        }
        peer.link = link;
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        lock(&self.peers)
    }
}

impl Peer {
    fn live_link(&self) -> Option<&Link> {
        self.link.as_ref().filter(|link| !link.is_closed())
    }
}
