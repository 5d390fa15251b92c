//! Encoding of messages.

use std::fmt::Write;

/// Encodes a complete message: first line, headers, `Content-Length` and the body.
pub fn encode_message(first_line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in headers {
        write!(text, "{name}: {value}\r\n").expect("writing to a string cannot fail");
    }
    write!(text, "Content-Length: {}\r\n\r\n", body.len()).expect("writing to a string cannot fail");
    [text.as_bytes(), body].concat()
}

/// Returns the reason phrase of a status code.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
