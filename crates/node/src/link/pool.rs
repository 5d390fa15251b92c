//! A pool of links to other processes, opened on demand.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_protocol::Message;
use tokio::time::timeout;

use super::connection::{CallError, Link, MessageHandler};
use super::{CONNECT_TIMEOUT, LINK_TIMEOUT};
use crate::host::Stream;
use crate::sync::lock;

type Slot = Arc<tokio::sync::Mutex<Option<Link>>>;

/// A pool with one link per remote process.
pub struct LinkPool {
    handler: Arc<dyn MessageHandler>,
    slots: Mutex<BTreeMap<SocketAddr, Slot>>,
}

impl LinkPool {
    /// Creates a pool whose links pass received messages to `handler`.
    pub fn new(handler: Arc<dyn MessageHandler>) -> Self {
        LinkPool { handler, slots: Mutex::default() }
    }

    /// Returns the link to a process, and opens one if there is none.
    ///
    /// # Errors
    ///
    /// [`CallError::NotConnected`] if it cannot be opened in time.
    pub async fn link(&self, address: SocketAddr) -> Result<Link, CallError> {
        let slot = {
            let mut slots = lock(&self.slots);
            // Slots are keyed by address. Those of closed links that are not in use are removed, so that slots of former
            // addresses do not accumulate.
            slots.retain(|known, slot| {
                *known == address
                    || Arc::strong_count(slot) > 1
                    || slot.try_lock().is_ok_and(|slot| is_live(&slot))
            });
            Arc::clone(slots.entry(address).or_default())
        };
        let mut slot = slot.lock().await;
        if let Some(link) = slot.as_ref().filter(|link| !link.is_closed()) {
            return Ok(link.clone());
        }
        let stream = connect(address).await.ok_or(CallError::NotConnected)?;
        let link =
            Link::start(stream, true, Arc::clone(&self.handler)).map_err(|_| CallError::NotConnected)?;
        *slot = Some(link.clone());
        Ok(link)
    }

    /// Calls a process and waits for its reply, for `call_timeout` at most, including the time to open a link.
    ///
    /// # Errors
    ///
    /// If there is no reply; the error says whether the call may have been handled.
    pub async fn call(
        &self, address: SocketAddr, message: Message, call_timeout: Duration,
    ) -> Result<Message, CallError> {
        let started_at = tokio::time::Instant::now();
        let link = timeout(call_timeout, self.link(address)).await.map_err(|_| CallError::NotConnected)??;
        link.call(message, call_timeout.saturating_sub(started_at.elapsed())).await
    }

    /// Sends a message without a reply.
    ///
    /// # Errors
    ///
    /// If no link can be opened.
    pub async fn send(&self, address: SocketAddr, message: Message) -> Result<(), CallError> {
        self.link(address).await?.send(message);
        Ok(())
    }
}

fn is_live(slot: &Option<Link>) -> bool {
    slot.as_ref().is_some_and(|link| !link.is_closed())
}

/// Opens a connection; `None` if it cannot be established in time.
pub(crate) async fn connect(address: SocketAddr) -> Option<Stream> {
    timeout(CONNECT_TIMEOUT, Stream::connect(address, LINK_TIMEOUT)).await.ok()?.ok()
}
