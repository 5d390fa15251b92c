//! Runs commands until they exit, and provides an endpoint that does not accept connections.

use std::net::{SocketAddr, TcpStream};
use std::process::Output;

use serde_json::Value;
use socket2::{Domain, Socket, Type};

use crate::harness::{TEST_TIMEOUT, program};

/// Creates a listener with an accept queue of one connection, which is occupied: further connections are not
/// established until that one is accepted.
pub fn unaccepting_listener() -> (Socket, SocketAddr, TcpStream) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    listener.listen(0).expect("the socket listens");
    listener.set_read_timeout(Some(TEST_TIMEOUT)).expect("a read timeout");
    let address = listener.local_addr().expect("an address").as_socket().expect("IPv4");
    let queued = TcpStream::connect(address).expect("capacity for one connection");
    (listener, address, queued)
}

pub fn run_program(args: &[&str], state: &str) -> Output {
    program().args(args).env("ROUTER_STATE", state).output().expect("the program runs")
}

/// Runs `check-config` on a configuration. Returns what it prints if it fails.
pub fn check_config(config: &Value) -> Result<(), String> {
    let file = std::env::temp_dir().join(format!("juniperwing-check-{}.json", std::process::id()));
    std::fs::write(&file, config.to_string()).expect("disk space");
    let output = program().args(["check-config", "--config"]).arg(&file).output().expect("the program runs");
    std::fs::remove_file(&file).expect("the file can be removed");
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    if output.status.success() { Ok(()) } else { Err(message) }
}
