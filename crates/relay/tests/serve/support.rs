//! Commands run to their end, and an endpoint on which no connection is established.

use std::net::{SocketAddr, TcpStream};
use std::process::Output;

use serde_json::Value;
use socket2::{Domain, Socket, Type};

use crate::harness::{TEST_TIMEOUT, program};

/// A listener with a backlog of one connection, which is used up: the relay's is not established until it is accepted.
pub fn unaccepting_listener() -> (Socket, SocketAddr, TcpStream) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    listener.listen(0).expect("it listens");
    listener.set_read_timeout(Some(TEST_TIMEOUT)).expect("a limit");
    let dial = listener.local_addr().expect("an address").as_socket().expect("IPv4");
    let queued = TcpStream::connect(dial).expect("room for one");
    (listener, dial, queued)
}

pub fn run_program(args: &[&str], state: &str) -> Output {
    program().args(args).env("ROUTER_STATE", state).output().expect("the program runs")
}

/// What `check-config` prints against a configuration.
pub fn check_config(config: &Value) -> Result<(), String> {
    let file = std::env::temp_dir().join(format!("juniperwing-check-{}.json", std::process::id()));
    std::fs::write(&file, config.to_string()).expect("room");
    let output = program().args(["check-config", "--config"]).arg(&file).output().expect("the program runs");
    std::fs::remove_file(&file).expect("a file of ours");
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    if output.status.success() { Ok(()) } else { Err(message) }
}
