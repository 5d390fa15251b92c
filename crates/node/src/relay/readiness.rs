//! The listener for the platform's readiness checks.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use tokio::net::TcpListener;

use super::RelayState;

/// Answers `GET /readyz` until it is dropped.
pub async fn serve(core: Arc<RelayState>, listener: TcpListener) {
    let routes = Router::new().route("/readyz", get(readyz)).with_state(core);
    // It only returns when it is told to end, which nobody does.
    let _ = axum::serve(listener, routes).await;
}

async fn readyz(State(core): State<Arc<RelayState>>) -> StatusCode {
    if core.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

impl RelayState {
    /// Whether new connections of clients are wanted: all that is needed is known, and no end is near.
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.world.is_complete()
    }
}
