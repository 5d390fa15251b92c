//! Plain HTTP calls, as `curl` makes them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The longest that anything may take, on a machine that does much else.
pub const PATIENCE: Duration = Duration::from_secs(40);
/// Between two tries of a call that is not yet answered as wanted.
const AGAIN: Duration = Duration::from_millis(50);

/// Status and body, with the framing of a chunked body left in; `None` if nobody answers.
pub fn call(address: SocketAddr, line: &str, headers: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let length = body.len();
    let request =
        format!("{line} HTTP/1.1\r\n{headers}Connection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}

/// Calls until `wanted` comes back, with a new number each time. Returns the body.
pub fn call_until(wanted: u16, mut attempt: impl FnMut(u32) -> Option<(u16, String)>) -> String {
    let end = Instant::now() + PATIENCE;
    let mut number = 0;
    loop {
        number += 1;
        let answer = attempt(number);
        match answer {
            Some((status, body)) if status == wanted => return body,
            _ => assert!(Instant::now() < end, "{wanted} is wanted, at last {answer:?}"),
        }
        std::thread::sleep(AGAIN);
    }
}
