//! Helpers to write watch messages and to wait for a point in time.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::harness::ReceivedMessage;

/// Sets the address of the endpoint in the configuration.
pub fn set_endpoint_address(config: &mut Value, address: std::net::SocketAddr) {
    config["known"]["hosts"][0]["dial"] = json!(address.to_string());
}

/// Sleeps until `ms` milliseconds after `since`, so that a deadline of the relay is reached.
pub fn sleep_until(since: Instant, ms: u64) {
    std::thread::sleep(Duration::from_millis(ms).saturating_sub(since.elapsed()));
}

pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns a list of endpoints of destination 7.
pub fn endpoint_list(
    seq: u32, is_complete: bool, hosts: &[(&str, &str, Option<std::net::SocketAddr>)],
) -> Value {
    let host = |(name, health, address): &(&str, &str, Option<std::net::SocketAddr>)| {
        let address = address.map(|address| address.to_string()).unwrap_or_default();
        json!({"host": name, "dial": address, "site": "z", "class": "plain", "block": 7, "health": health})
    };
    json!({"seq": seq, "whole": is_complete, "hosts": hosts.iter().map(host).collect::<Vec<_>>()})
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn write_list(watch: &mut ReceivedMessage, list: &Value) {
    watch.write(&chunk(&format!("{list}\n")));
}
