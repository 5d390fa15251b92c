//! Plain HTTP requests, as sent by `curl`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The maximum duration of a call or wait on a busy machine.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(40);
/// The pause between two attempts of a call.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returns status and body, including the framing of a chunked body; `None` if there is no response.
pub fn call(address: SocketAddr, line: &str, headers: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    let length = body.len();
    let request =
        format!("{line} HTTP/1.1\r\n{headers}Connection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    let (head, body) = response.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}

/// Repeats a call, with the number of the attempt, until the status is `expected`. Returns the body.
pub fn call_until(expected: u16, mut attempt: impl FnMut(u32) -> Option<(u16, String)>) -> String {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let mut number = 0;
    loop {
        number += 1;
        let response = attempt(number);
        match response {
            Some((status, body)) if status == expected => return body,
            _ => assert!(Instant::now() < deadline, "expected {expected}, got {response:?}"),
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}
