//! A relay between clients that leave at any byte and endpoints that answer in every wrong way.
//!
//! [`script`] holds what a case consists of, [`endpoint`] plays the endpoints' part on raw sockets, [`client`] the
//! clients' part, and [`oracle`] judges what both saw.

pub mod client;
pub mod endpoint;
pub mod oracle;
pub mod relay_thread;
pub mod script;
pub mod wire;
