//! Accepts client connections.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};

use juniperwing::time::{Span, Time};
use polling::{Event, PollMode};
use socket2::{Domain, Protocol, Socket, Type};

use super::{ConnectionEvent, ConnectionRole, LISTENER_KEY, Net, PollResult, QueuedEvent};

/// The delay before accepting is resumed after a failure for lack of resources.
const ACCEPT_RETRY_INTERVAL: Span = Span::from_millis(100);
/// The length of the accept queue.
const LISTEN_BACKLOG: i32 = 1_024;

pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from(socket))
}

impl Net {
    /// Returns the address that clients connect to, while the listener is open.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|listener| listener.local_addr().ok())
    }

    /// Accepts all pending client connections, up to the limit.
    pub(super) fn accept(&mut self, polled: &mut PollResult) {
        while self.client_count < self.max_clients {
            let Some(listener) = &self.listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    // File descriptors or memory are exhausted. Without a pause, the poller would report the same
                    // client in every iteration.
                    self.accept_retry_at = self.clock.now() + ACCEPT_RETRY_INTERVAL;
                    return self.set_accepting(false);
                }
            };
            let socket = Socket::from(stream);
            if socket.set_nonblocking(true).is_err() {
                continue;
            }
            // A failure only delays responses.
            let _ = socket.set_tcp_nodelay(true);
            let role = ConnectionRole::Client;
            if let Ok(token) = self.insert(socket, role, true) {
                polled.events.push(QueuedEvent { token, role, event: ConnectionEvent::Accepted });
            }
        }
        // The limit is reached: further clients wait in the accept queue.
        self.set_accepting(false);
    }

    pub(super) fn set_accepting(&mut self, is_accepting: bool) {
        if let Some(listener) = self.listener.as_ref().filter(|_| self.is_accepting != is_accepting) {
            let interest =
                if is_accepting { Event::readable(LISTENER_KEY) } else { Event::none(LISTENER_KEY) };
            if self.poller.modify_with_mode(listener, interest, PollMode::Level).is_ok() {
                self.is_accepting = is_accepting;
            }
        }
    }

    /// Resumes accepting after the pause that follows a failure.
    pub(super) fn retry_accepting(&mut self, now: Time) {
        if self.accept_retry_at <= now {
            self.accept_retry_at = Time::NEVER;
            self.set_accepting(true);
        }
    }

    /// Accepts the clients that have already connected, then closes the listener.
    pub fn stop_listening(&mut self) {
        let mut last_result = PollResult::default();
        self.accept(&mut last_result);
        self.deferred_events.extend(last_result.events);
        if let Some(listener) = self.listener.take() {
            // Dropping the listener closes it, even if the poller returns an error.
            let _ = self.poller.delete(&listener);
        }
    }

    /// Whether no client is accepted until another one disconnects.
    pub fn is_client_limit_reached(&self) -> bool {
        self.client_count >= self.max_clients
    }
}
