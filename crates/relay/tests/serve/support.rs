//! What several subjects need: commands run to their end, and an endpoint that is slow to come up.

use std::net::{SocketAddr, TcpStream};
use std::process::Output;

use serde_json::Value;
use socket2::{Domain, Socket, Type};

use crate::harness::{TEST_TIMEOUT, program};

/// A listener with room for one connection, which is taken: the relay's does not come up until it is accepted.
pub fn unaccepting_listener() -> (Socket, SocketAddr, TcpStream) {
    let full = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    full.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    full.listen(0).expect("it listens");
    full.set_read_timeout(Some(TEST_TIMEOUT)).expect("a limit");
    let dial = full.local_addr().expect("an address").as_socket().expect("IPv4");
    let first = TcpStream::connect(dial).expect("room for one");
    (full, dial, first)
}

pub fn run_program(args: &[&str], state: &str) -> Output {
    program().args(args).env("ROUTER_STATE", state).output().expect("the program runs")
}

/// What `check-config` says against a configuration.
pub fn check_config(config: &Value) -> Result<(), String> {
    let file = std::env::temp_dir().join(format!("juniperwing-check-{}.json", std::process::id()));
    std::fs::write(&file, config.to_string()).expect("room");
    let output = program().args(["check-config", "--config"]).arg(&file).output().expect("the program runs");
    std::fs::remove_file(&file).expect("a file of ours");
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    if output.status.success() { Ok(()) } else { Err(said) }
}
