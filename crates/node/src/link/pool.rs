//! Links to other processes, opened when they are first needed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_protocol::Message;
use tokio::time::timeout;

use super::connection::{CallError, Link, Service};
use super::{CONNECT_TIMEOUT, LINK_TIMEOUT};
use crate::host::Stream;
use crate::sync::lock;

type Slot = Arc<tokio::sync::Mutex<Option<Link>>>;

/// One link for each process that this one talks to.
pub struct LinkPool {
    service: Arc<dyn Service>,
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl LinkPool {
    /// A pool whose links hand what the other ends send to `service`.
    pub fn new(service: Arc<dyn Service>) -> Self {
        LinkPool { service, slots: Mutex::default() }
    }

    /// The link to a process, which comes up if there is none.
    ///
    /// # Errors
    ///
    /// [`CallError::NotConnected`] if it does not come up in time.
    pub async fn link(&self, address: SocketAddr) -> Result<Link, CallError> {
        let slot = {
            let mut slots = lock(&self.slots);
            // A process is known by its address; those gone leave an empty slot, dropped here.
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
            Link::start(stream, true, Arc::clone(&self.service)).map_err(|_| CallError::NotConnected)?;
        *slot = Some(link.clone());
        Ok(link)
    }

    /// Calls a process and waits for its answer; opening the connection counts in.
    ///
    /// # Errors
    ///
    /// If there is no answer; the error tells whether the call may have been handled.
    pub async fn call(
        &self, address: SocketAddr, message: Message, within: Duration,
    ) -> Result<Message, CallError> {
        let begun = tokio::time::Instant::now();
        let link = timeout(within, self.link(address)).await.map_err(|_| CallError::NotConnected)??;
        link.call(message, within.saturating_sub(begun.elapsed())).await
    }

    /// Sends a message that nobody answers.
    ///
    /// # Errors
    ///
    /// If no connection comes up.
    pub async fn send(&self, address: SocketAddr, message: Message) -> Result<(), CallError> {
        self.link(address).await?.send(message);
        Ok(())
    }
}

fn is_live(slot: &Option<Link>) -> bool {
    slot.as_ref().is_some_and(|link| !link.is_closed())
}

/// Opens a connection; `None` if it does not come up in time.
pub(crate) async fn connect(address: SocketAddr) -> Option<Stream> {
    timeout(CONNECT_TIMEOUT, Stream::connect(address, LINK_TIMEOUT)).await.ok()?.ok()
}
