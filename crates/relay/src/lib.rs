//! The notification relay process: accepts notifications over HTTP and pushes them as the core decides.
//!
//! One thread runs an event loop. Each iteration collects socket events, passes them to the core, executes the core's
//! commands, writes the journal, and only then sends bytes. A notification passes through the modules
//! `client_connections`, `admission`, `core_driver`, `upstream`, `endpoint_response` and `notices`; `server` connects
//! them.

mod admission;
mod client_connections;
mod clock;
mod command_line;
mod config;
mod core_driver;
mod discovery;
pub mod endpoint_response;
mod event_loop;
pub mod http;
pub mod journal;
mod notices;
mod server;
mod upstream;

pub use command_line::run;
