//! Fault injection for the relay: clients that disconnect at any byte, and endpoints that violate the protocol.
//!
//! [`script`] generates the test cases, [`endpoint`] and [`client`] run them on raw sockets, and [`oracle`] checks what
//! both observed.

pub mod case_state;
pub mod client;
pub mod endpoint;
pub mod oracle;
pub mod relay_thread;
pub mod responses;
pub mod script;
pub mod violation;
pub mod wire;
