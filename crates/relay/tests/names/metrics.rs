//! Names, labels and types of the metrics that each role exports, read from a tier on a single machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::{Child, Stdio};

use juniperwing_node::build_info::{self, BuildInfo};

use crate::golden::assert_golden;
use crate::http::{call, call_until};
use crate::program::TestDirectory;

const ROLES: [(&str, u16); 3] = [("relay", 9_461), ("keeper", 9_462), ("store", 9_463)];

/// A role process that runs until the test ends.
struct RunningRole(Child);

impl Drop for RunningRole {
    fn drop(&mut self) {
        // A failure is ignored: the process state is not needed after the test.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a role with the example settings, at a loopback address specific to this test process.
fn start_role(directory: &TestDirectory, role: &str, address: &str, port: u16) -> RunningRole {
    let file = format!("{}/../../deploy/local/one/{role}-1.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(file).expect("the settings of the role");
    let data = directory.path().display().to_string();
    directory
        .write(&format!("{role}.toml"), &text.replace("127.0.0.1", address).replace("target/local", &data));
    let (settings, metrics) = (format!("{role}.toml"), format!("{port}/metrics"));
    let mut command = directory.program(&[role, "--settings", &settings, "--metrics", &metrics]);
    RunningRole(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the program starts"))
}

/// Formats one line per series, `name{label="value"} type`, sorted and without sample values.
fn format_series(page: &str) -> String {
    let mut types = BTreeMap::new();
    let mut lines = Vec::new();
    for line in page.lines() {
        if let Some(declared) = line.strip_prefix("# TYPE ") {
            let (name, kind) = declared.split_once(' ').expect("a name and a type");
            types.insert(name.to_owned(), kind);
        } else if !line.starts_with('#') {
            let (series, _) = line.rsplit_once(' ').expect("a series and its value");
            let name = series.split('{').next().expect("a name");
            let family = ["_total", "_info"].into_iter().find_map(|suffix| name.strip_suffix(suffix));
            let kind = types.get(family.unwrap_or(name)).expect("a type");
            lines.push(format!("{series} {kind}\n"));
        }
    }
    assert!(page.ends_with("# EOF\n"), "{page}");
    lines.sort_unstable();
    lines.concat()
}

/// The labels that name this build.
fn build_labels() -> String {
    let BuildInfo { version, source_digest } = build_info::CURRENT;
    format!("{{version=\"{version}\",source_digest=\"{source_digest}\"}}")
}

#[test]
fn metrics_of_each_role() {
    let directory = TestDirectory::new();
    // No other test uses this network: those of `tier/local.rs` are numbered from 101.
    let address = format!("127.{}.100.1", std::process::id() % 200 + 20);
    let running = ROLES.map(|(role, port)| start_role(&directory, role, &address, port));
    for (role, port) in ROLES {
        let address_and_port: SocketAddr = format!("{address}:{port}").parse().expect("an address");
        let page = call_until(200, |_| call(address_and_port, "GET /metrics", "Host: metrics\r\n", ""));
        let series = format_series(&page);
        assert!(series.contains(&build_labels()), "{series}");
        let series = series.replace(&build_labels(), "{version=\"VERSION\",source_digest=\"DIGEST\"}");
        assert_golden(&format!("metrics-{role}.txt"), &series);
    }
    drop(running);
}
