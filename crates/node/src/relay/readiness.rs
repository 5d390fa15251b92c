//! The listener for the platform's readiness checks.

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use tokio::net::TcpListener;

use super::state::RelayState;

/// Answers `GET /readyz` until the future is dropped.
pub async fn serve(state: Arc<RelayState>, listener: TcpListener) {
    let router = Router::new().route("/readyz", get(handle_readyz)).with_state(state);
    // Returns only after a graceful shutdown, which is never requested.
    let _ = axum::serve(listener, router).await;
}

async fn handle_readyz(State(state): State<Arc<RelayState>>) -> StatusCode {
    if state.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}
