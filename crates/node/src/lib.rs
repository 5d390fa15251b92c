//! The processes of the serving tier: settings, logging, signals, links between processes, and the roles.
//!
//! Every process runs on a single-threaded `tokio` runtime; blocking disk operations run on other threads.

pub mod build_info;
pub mod check_configuration;
pub mod clock;
pub mod command;
pub mod gossip;
pub mod host;
pub mod keeper;
pub mod link;
pub mod local;
pub mod log;
pub mod metrics;
pub mod panics;
pub mod process;
pub mod rate_limit;
pub mod relay;
pub mod role;
pub mod sessions_client;
pub mod settings;
pub mod signals;
pub mod store;
pub mod subscriber;
pub mod sync;
