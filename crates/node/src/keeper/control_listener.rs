//! The control listener: accepts connections of endpoints and operators, and drains them at shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::control_api::router;
use super::controller::Controller;
use crate::host::{Listener, Stream};
use crate::panics::isolate;
use crate::sync::watch;

/// How long a connection may be idle, or take to send the headers of a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A connection with unacknowledged bytes is closed after this time: the peer is unreachable.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long open requests may take after the keeper began to shut down.
const REQUEST_DRAIN_TIMEOUT: Duration = Duration::from_millis(900);
/// The maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 3_000;
/// The delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The server of the control listener.
pub(super) struct ControlServer {
    /// Set to `true` to stop serving.
    stop: watch::Sender<bool>,
    /// Closed when no connection is open any more: every connection holds a sender.
    open_connections: mpsc::Receiver<()>,
    accepting: JoinHandle<()>,
}

impl ControlServer {
    /// Serves requests on the listener.
    pub(super) fn start(listener: Listener, controller: Arc<Controller>) -> ControlServer {
        let (stop, stop_receiver) = watch::channel(false);
        let (connection_guard, open_connections) = mpsc::channel(1);
        let accepting =
            tokio::spawn(accept_connections(listener, controller, stop_receiver, connection_guard));
        ControlServer { stop, open_connections, accepting }
    }

    /// Accepts no more requests and waits a limited time for the open ones.
    pub(super) async fn drain(mut self) {
        self.stop.send_replace(true);
        let _ = timeout(REQUEST_DRAIN_TIMEOUT, self.open_connections.recv()).await;
        self.accepting.abort();
    }
}

/// Accepts connections until `stop` is set. `connection_guard` is held by every connection.
async fn accept_connections(
    listener: Listener, controller: Arc<Controller>, mut stop: watch::Receiver<bool>,
    connection_guard: mpsc::Sender<()>,
) {
    let router = router(controller);
    loop {
        let accepted = tokio::select! {
            biased;
            () = wait_for_stop(&mut stop) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            // The count includes this loop's own sender.
            Ok(_) if connection_guard.strong_count() > MAX_CONNECTIONS => {}
            Ok(mut stream) => {
                if stream.configure(TCP_USER_TIMEOUT).is_ok() {
                    let serving =
                        serve_connection(stream, router.clone(), stop.clone(), connection_guard.clone());
                    tokio::spawn(isolate(serving));
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Binds the listener.
///
/// # Errors
///
/// If the address cannot be used.
pub(super) async fn bind(address: SocketAddr) -> io::Result<Listener> {
    Listener::bind(address).await
}

/// Returns when serving should stop.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // The wait fails only if the sender is dropped, which stops serving as well.
    let _ = stop.wait_for(|stop| *stop).await;
}

/// Serves one connection; after `stop` only the open request is finished.
async fn serve_connection(
    stream: Stream, router: Router, mut stop: watch::Receiver<bool>, connection_guard: mpsc::Sender<()>,
) {
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    let serving = builder.serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    tokio::pin!(serving);
    let is_stopping = tokio::select! {
        biased;
        _ = serving.as_mut() => false,
        () = wait_for_stop(&mut stop) => true,
    };
    if is_stopping {
        serving.as_mut().graceful_shutdown();
        // An error means that the client has disconnected; no response is due.
        let _ = serving.await;
    }
    drop(connection_guard);
}
