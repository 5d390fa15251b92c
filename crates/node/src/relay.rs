//! The relay role: a reverse proxy that forms the data plane.
//!
//! A relay accepts client requests ([`frontend`]), looks up their route in the state published by the keepers
//! ([`cluster_view`]), begins their turns at the stores ([`turn`]), and forwards them ([`forward`]) to endpoints over
//! pooled connections ([`upstream`]). The crate `juniperwing-balancing`, called through the [`dispatcher`], decides
//! which endpoint serves a request, when, and how long an attempt may last.

mod attempt;
mod attempt_outcome;
mod body;
mod capacity;
mod client_stream;
mod cluster_view;
mod connections;
mod dispatcher;
mod event_source;
mod events;
mod exchange;
mod forward;
mod frontend;
mod gauges;
mod http_headers;
mod maintenance;
mod memory;
mod metrics;
mod readiness;
mod rejection;
mod request_handler;
mod request_log;
mod request_reader;
mod responses;
mod retries;
mod server;
mod sessions;
mod shutdown;
mod snapshot;
mod state;
mod stream;
mod stream_error;
mod stream_position;
mod trace;
mod turn;
mod turn_history;
mod turn_output;
mod upstream;

pub use cluster_view::ClusterView;
pub use events::{Event, EventSplitter, EventTooLarge, MAX_EVENT_BYTES};
pub use server::{Relay, run};
pub use sessions::{OutputCall, SessionCall, SessionStore, TurnError};
pub use state::RelayState;
pub use upstream::{Connection, ConnectionPool};
