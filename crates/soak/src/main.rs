//! The executable of the soak test; see the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.split_first() {
        Some((command, rest)) if command == "run" => juniperwing_soak::command::run(rest),
        Some((command, rest)) if command == "node" => juniperwing_soak::faulty_host::run(rest),
        _ => {
            eprintln!("Usage: juniperwing-soak run [OPTIONS]; --help behind it tells them");
            ExitCode::from(2)
        }
    }
}
