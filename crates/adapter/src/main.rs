//! Adapter between the basalt-6b6a protocol, with one JSON batch per line, and relays of the juniperwing core.
//!
//! It hosts any number of independent relays and contains no decision logic.

mod commands;
mod error;
mod events;
mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use snafu::ResultExt;

use crate::error::{AdapterError, InputSnafu, NotUtf8Snafu};
use crate::host::Host;

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut output = io::stdout().lock();
    let mut input = io::stdin().lock();
    let mut line = Vec::new();
    for number in 1u64.. {
        let reply = match next_reply(&mut host, &mut input, &mut line) {
            Ok(Some(reply)) => reply,
            Ok(None) => return ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("juniperwing-adapter: line {number}: {error}");
                return ExitCode::FAILURE;
            }
        };
        if let Err(error) = writeln!(output, "{reply}").and_then(|()| output.flush()) {
            eprintln!("juniperwing-adapter: cannot write the reply to line {number}: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Reads the next line into `line` and returns the reply to it; `None` at the end of the input.
fn next_reply(
    host: &mut Host, input: &mut impl BufRead, line: &mut Vec<u8>,
) -> Result<Option<String>, AdapterError> {
    line.clear();
    if input.read_until(b'\n', line).context(InputSnafu)? == 0 {
        return Ok(None);
    }
    let text = std::str::from_utf8(line).context(NotUtf8Snafu)?;
    host.handle_batch(text).map(Some)
}
