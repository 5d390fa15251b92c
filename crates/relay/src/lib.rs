//! The notification relay as a process: accepts notifications over HTTP, has the core decide, and pushes them.
//!
//! One thread runs an event loop. Each iteration collects the events of the sockets, passes them to the core, carries out
//! the core's commands, writes the journal, and only then sends bytes. The modules follow a notification:
//! `client_connections`, `admission`, `core_driver`, `upstream`, `endpoint_response` and `notices`; `server` connects them.

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
