//! The steps of the README: start a tier on loopback addresses, upload a configuration, start an endpoint, send
//! requests.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::http::{call, call_until};
use crate::process::{RunningProgram, send_signal};

/// The settings directory that the README refers to.
const DEPLOY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/local");

/// A copy of the settings with its own addresses and directory.
struct SettingsCopy {
    directory: PathBuf,
    network: String,
}

impl SettingsCopy {
    fn new(name: &str, number: u8) -> Self {
        let process = std::process::id();
        let directory = std::env::temp_dir().join(format!("juniperwing-local-{process}-{number}"));
        let network = format!("127.{}.{}.", process % 200 + 20, 100 + number);
        std::fs::create_dir_all(&directory).unwrap();
        for entry in std::fs::read_dir(Path::new(DEPLOY).join(name)).unwrap() {
            let path = entry.unwrap().path();
            let text = std::fs::read_to_string(&path).unwrap();
            let text =
                text.replace("127.0.0.", &network).replace("target/local", &directory.display().to_string());
            std::fs::write(directory.join(path.file_name().unwrap()), text).unwrap();
        }
        SettingsCopy { directory, network }
    }

    fn address(&self, machine: u8, port: u16) -> SocketAddr {
        format!("{}{machine}:{port}", self.network).parse().unwrap()
    }

    fn start(&self) -> RunningProgram {
        RunningProgram::start(&["local", self.directory.to_str().unwrap()])
    }

    fn endpoint(&self, id: &str) -> RunningProgram {
        let keeper = self.address(1, 8_144).to_string();
        RunningProgram::start(&[
            "endpoint",
            "--keeper",
            &keeper,
            "--id",
            id,
            "--pause-ms",
            "1",
            "--drain-ms",
            "200",
        ])
    }

    fn put_configuration(&self, machine: u8) {
        let body = std::fs::read_to_string(Path::new(DEPLOY).join("configuration.json")).unwrap();
        let headers = "Host: k\r\nIf-Match: 0\r\nContent-Type: application/json\r\n";
        call_until(200, |_| call(self.address(machine, 8_144), "PUT /config", headers, &body));
    }

    /// Sends a request until it succeeds. Returns the body of the response.
    fn request(&self, path: &str, headers: &str, body: &str) -> String {
        self.request_and_id(path, headers, body).1
    }

    /// Sends a request until it succeeds. Returns the id of that request and the body of the response.
    fn request_and_id(&self, path: &str, headers: &str, body: &str) -> (String, String) {
        let mut id = String::new();
        let body = call_until(200, |number| {
            id = format!("{path}-{number}");
            let headers = format!("Host: demo.example\r\nX-Request-Id: {id}\r\n{headers}");
            call(self.address(1, 8_080), &format!("POST {path}"), &headers, body)
        });
        (id, body)
    }
}

impl Drop for SettingsCopy {
    fn drop(&mut self) {
        // A failure is ignored: the system cleans up temporary files.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

#[test]
fn the_steps_of_the_readme_lead_to_a_response_a_stream_and_a_stored_turn() {
    let copy = SettingsCopy::new("one", 1);
    let tier = copy.start();
    copy.put_configuration(1);
    let endpoint = copy.endpoint("i-readme");
    assert_eq!(copy.request("/echo/hello", "", "good day"), "i-readme ran POST /echo/hello: good day\n");
    let stream = copy.request("/stream/a", "", "");
    assert!((1..=5).all(|number| stream.contains(&format!("id: {number}\n"))), "{stream}");
    let turn = "Program: p\r\nSession: s\r\nBudget: 100\r\nX-Token-Count: 3,5\r\n";
    let (id, response) = copy.request_and_id("/stream/turns/a", turn, "first");
    assert!(response.contains("id: 5\n"), "{response}");
    let stored_bytes: usize =
        response.lines().filter_map(|line| line.strip_prefix("data: ")).map(|data| data.len() + 1).sum();
    let next = copy.request("/stream/turns/b", &format!("{turn}Previous: {id}\r\n"), "second");
    let byte_count = "first".len() + stored_bytes + "second".len();
    assert!(next.contains(&format!("was sent {byte_count} bytes")), "{byte_count}\n{next}");
    let unknown = format!("Host: demo.example\r\nX-Request-Id: u\r\n{turn}Previous: nobody\r\n");
    let (status, _) = call(copy.address(1, 8_080), "POST /stream/turns/a", &unknown, "x").unwrap();
    assert_eq!(status, 404);
    assert_eq!(endpoint.stop(), Some(0));
    assert_eq!(tier.stop(), Some(0));
    let restarted = copy.start();
    let configuration = call_until(200, |_| call(copy.address(1, 8_144), "GET /config", "Host: k\r\n", ""));
    assert!(configuration.contains("\"generation\": 1"), "{configuration}");
    assert_eq!(restarted.stop(), Some(0));
}

#[test]
fn three_machines_keep_serving_when_the_processes_of_one_are_killed() {
    let copy = SettingsCopy::new("three", 2);
    let tier = copy.start();
    copy.put_configuration(2);
    let endpoint = copy.endpoint("i-three");
    copy.request("/echo/before", "", "");
    for process in child_processes(tier.id(), "-3.toml") {
        send_signal(process, "KILL");
    }
    copy.request("/echo/after", "", "");
    call_until(200, |_| call(copy.address(3, 8_144), "GET /config", "Host: k\r\n", ""));
    assert_eq!(endpoint.stop(), Some(0));
    assert_eq!(tier.stop(), Some(0));
}

#[test]
fn a_role_that_cannot_start_ends_the_others() {
    let copy = SettingsCopy::new("one", 3);
    let file = copy.directory.join("store-1.toml");
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, text.replace("dataDirectory", "somethingElse")).unwrap();
    let output = crate::process::run_program(&["local", copy.directory.to_str().unwrap()]);
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{message}");
    assert!(message.contains("dataDirectory"), "{message}");
}

/// Returns the child processes of `parent` whose command lines end with `suffix`.
fn child_processes(parent: u32, suffix: &str) -> Vec<u32> {
    let list = format!("/proc/{parent}/task");
    let mut processes = Vec::new();
    for task in std::fs::read_dir(list).unwrap() {
        let text = std::fs::read_to_string(task.unwrap().path().join("children")).unwrap();
        processes.extend(text.split_whitespace().map(|id| id.parse::<u32>().unwrap()));
    }
    processes.retain(|id| {
        let line = std::fs::read_to_string(format!("/proc/{id}/cmdline")).unwrap_or_default();
        line.trim_end_matches('\0').ends_with(suffix)
    });
    assert_eq!(processes.len(), 2, "a keeper and a store");
    processes
}
