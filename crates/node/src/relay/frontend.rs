//! Accepts and serves client connections.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use juniperwing_configuration::Limits;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::client_stream::ClientStream;
use super::connections::RegisteredConnection;
use super::request_handler::handle_request;
use super::state::RelayState;
use crate::panics::isolate;

/// The delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The number of connections beyond the limit whose requests are answered with a rejection. Further connections are
/// closed immediately.
const MAX_REJECTED_CONNECTIONS: usize = 64;
/// The part of the read buffer that is for the request line, in bytes. It is also the minimum buffer size of the HTTP
/// library.
const REQUEST_LINE_BYTES: usize = 8 << 10;
/// The maximum number of header lines in a request. Their total size is limited by the configuration.
const MAX_HEADER_LINES: usize = 512;

/// Accepts connections until the future is dropped.
pub async fn accept(state: Arc<RelayState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(&state, stream),
            Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}

fn spawn_connection(state: &Arc<RelayState>, stream: TcpStream) {
    let count = state.connections.count();
    if count >= state.max_client_connections + MAX_REJECTED_CONNECTIONS {
        return;
    }
    let has_capacity = count < state.max_client_connections;
    let limits = state.cluster.snapshot().limits();
    // Registered before the task starts, because a shutdown waits for all accepted connections.
    let registered = state.connections.register(limits.max_header_bytes);
    tokio::spawn(isolate(serve_connection(Arc::clone(state), stream, registered, limits, has_capacity)));
}

async fn serve_connection(
    state: Arc<RelayState>, stream: TcpStream, registered: RegisteredConnection, limits: Limits,
    has_capacity: bool,
) {
    // If this fails, responses are only slower.
    let _ = stream.set_nodelay(true);
    let connection = Arc::clone(&registered.connection);
    let service = {
        let (state, connection) = (Arc::clone(&state), Arc::clone(&connection));
        service_fn(move |request| {
            handle_request(Arc::clone(&state), Arc::clone(&connection), request, has_capacity)
        })
    };
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None);
    builder.auto_date_header(false);
    builder.max_headers(MAX_HEADER_LINES);
    builder.max_buf_size((limits.max_header_bytes as usize).saturating_add(REQUEST_LINE_BYTES));
    let stream = ClientStream { stream, connection: Arc::clone(&connection) };
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    loop {
        tokio::select! {
            biased;
            // An error means that the client has disconnected.
            _ = served.as_mut() => return,
            () = connection.close_when_idle.notified() => served.as_mut().graceful_shutdown(),
            () = connection.abort.notified() => return,
        }
    }
}
