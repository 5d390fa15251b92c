//! What several crossings need: watches by hand, and moments to wait for.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::harness::ReceivedMessage;

/// The destination's endpoint is where nothing comes up until it is accepted.
pub fn set_endpoint_address(config: &mut Value, dial: std::net::SocketAddr) {
    config["known"]["hosts"][0]["dial"] = json!(dial.to_string());
}

/// Sleeps until so long after a moment: some times of the relay's are to be up, whatever else happens.
pub fn sleep_until(since: Instant, ms: u64) {
    std::thread::sleep(Duration::from_millis(ms).saturating_sub(since.elapsed()));
}

pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A list of endpoints of destination 7.
pub fn endpoint_list(seq: u32, whole: bool, hosts: &[(&str, &str, Option<std::net::SocketAddr>)]) -> Value {
    let host = |(name, health, dial): &(&str, &str, Option<std::net::SocketAddr>)| {
        json!({"host": name, "dial": dial.map(|dial| dial.to_string()).unwrap_or_default(), "site": "z",
            "class": "plain", "block": 7, "health": health})
    };
    json!({"seq": seq, "whole": whole, "hosts": hosts.iter().map(host).collect::<Vec<_>>()})
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn write_list(watch: &mut ReceivedMessage, list: &Value) {
    watch.write(&chunk(&format!("{list}\n")));
}
