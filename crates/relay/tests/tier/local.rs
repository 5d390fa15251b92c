//! README's way: a tier on loopback, a configuration, an endpoint, requests.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::http::{call, call_until};
use crate::process::{Running, signal};

/// The folder of the repository with the settings that README names.
const DEPLOY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/local");

/// A copy of settings for addresses and folders that no other test has.
struct Copy {
    folder: PathBuf,
    network: String,
}

impl Copy {
    fn of(name: &str, number: u8) -> Self {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("juniperwing-local-{process}-{number}"));
        let network = format!("127.{}.{}.", process % 200 + 20, 100 + number);
        std::fs::create_dir_all(&folder).unwrap();
        for entry in std::fs::read_dir(Path::new(DEPLOY).join(name)).unwrap() {
            let path = entry.unwrap().path();
            let text = std::fs::read_to_string(&path).unwrap();
            let text =
                text.replace("127.0.0.", &network).replace("target/local", &folder.display().to_string());
            std::fs::write(folder.join(path.file_name().unwrap()), text).unwrap();
        }
        Copy { folder, network }
    }

    fn address(&self, machine: u8, port: u16) -> SocketAddr {
        format!("{}{machine}:{port}", self.network).parse().unwrap()
    }

    fn start(&self) -> Running {
        Running::start(&["local", self.folder.to_str().unwrap()])
    }

    fn endpoint(&self, id: &str) -> Running {
        let keeper = self.address(1, 8_144).to_string();
        Running::start(&["endpoint", "--keeper", &keeper, "--id", id, "--pause-ms", "1", "--drain-ms", "200"])
    }

    fn put_configuration(&self, machine: u8) {
        let body = std::fs::read_to_string(Path::new(DEPLOY).join("configuration.json")).unwrap();
        let headers = "Host: k\r\nIf-Match: 0\r\nContent-Type: application/json\r\n";
        call_until(200, |_| call(self.address(machine, 8_144), "PUT /config", headers, &body));
    }

    /// A request that is answered at last; its body.
    fn request(&self, path: &str, headers: &str, body: &str) -> String {
        self.request_and_id(path, headers, body).1
    }

    /// A request that is answered at last; the id that was answered, and the body.
    fn request_and_id(&self, path: &str, headers: &str, body: &str) -> (String, String) {
        let mut id = String::new();
        let answer = call_until(200, |number| {
            id = format!("{path}-{number}");
            let headers = format!("Host: demo.example\r\nX-Request-Id: {id}\r\n{headers}");
            call(self.address(1, 8_080), &format!("POST {path}"), &headers, body)
        });
        (id, answer)
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        // The system clears its folder of temporary files if this cannot.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn the_steps_of_the_readme_lead_to_a_response_a_stream_and_a_stored_turn() {
    let copy = Copy::of("one", 1);
    let tier = copy.start();
    copy.put_configuration(1);
    let endpoint = copy.endpoint("i-readme");
    assert_eq!(copy.request("/echo/hello", "", "good day"), "i-readme ran POST /echo/hello: good day\n");
    let stream = copy.request("/stream/a", "", "");
    assert!((1..=5).all(|number| stream.contains(&format!("id: {number}\n"))), "{stream}");
    let turn = "Program: p\r\nSession: s\r\nBudget: 100\r\nX-Token-Count: 3,5\r\n";
    let (id, answer) = copy.request_and_id("/stream/turns/a", turn, "first");
    assert!(answer.contains("id: 5\n"), "{answer}");
    let kept: usize =
        answer.lines().filter_map(|line| line.strip_prefix("data: ")).map(|data| data.len() + 1).sum();
    let next = copy.request("/stream/turns/b", &format!("{turn}Previous: {id}\r\n"), "second");
    let whole = "first".len() + kept + "second".len();
    assert!(next.contains(&format!("was sent {whole} bytes")), "{whole}\n{next}");
    let unknown = format!("Host: demo.example\r\nX-Request-Id: u\r\n{turn}Previous: nobody\r\n");
    let (status, _) = call(copy.address(1, 8_080), "POST /stream/turns/a", &unknown, "x").unwrap();
    assert_eq!(status, 404);
    assert_eq!(endpoint.stop(), Some(0));
    assert_eq!(tier.stop(), Some(0));
    let again = copy.start();
    let held = call_until(200, |_| call(copy.address(1, 8_144), "GET /config", "Host: k\r\n", ""));
    assert!(held.contains("\"generation\": 1"), "{held}");
    assert_eq!(again.stop(), Some(0));
}

#[test]
fn three_machines_keep_serving_when_the_processes_of_one_are_killed() {
    let copy = Copy::of("three", 2);
    let tier = copy.start();
    copy.put_configuration(2);
    let endpoint = copy.endpoint("i-three");
    copy.request("/echo/before", "", "");
    for process in children(tier.id(), "-3.toml") {
        signal(process, "KILL");
    }
    copy.request("/echo/after", "", "");
    call_until(200, |_| call(copy.address(3, 8_144), "GET /config", "Host: k\r\n", ""));
    assert_eq!(endpoint.stop(), Some(0));
    assert_eq!(tier.stop(), Some(0));
}

#[test]
fn a_role_that_cannot_start_ends_the_others() {
    let copy = Copy::of("one", 3);
    let file = copy.folder.join("store-1.toml");
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, text.replace("dataDirectory", "somethingElse")).unwrap();
    let output = crate::process::run(&["local", copy.folder.to_str().unwrap()]);
    let said = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(said.contains("dataDirectory"), "{said}");
}

/// The child processes of one whose command line ends so.
fn children(parent: u32, ending: &str) -> Vec<u32> {
    let list = format!("/proc/{parent}/task");
    let mut found = Vec::new();
    for task in std::fs::read_dir(list).unwrap() {
        let text = std::fs::read_to_string(task.unwrap().path().join("children")).unwrap();
        found.extend(text.split_whitespace().map(|id| id.parse::<u32>().unwrap()));
    }
    found.retain(|id| {
        let line = std::fs::read_to_string(format!("/proc/{id}/cmdline")).unwrap_or_default();
        line.trim_end_matches('\0').ends_with(ending)
    });
    assert_eq!(found.len(), 2, "a keeper and a store");
    found
}
