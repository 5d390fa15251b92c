//! The build that the deploy file names, run in a small workspace.

use std::fs::{self, File, FileTimes};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, SystemTime};

const MANIFEST: &str = r#"[workspace]
members = ["crates/*"]
[package]
name = "juniperwing"
version = "0.1.0"
edition = "2024"
[dependencies]
juniperwing-part = { path = "crates/part" }
"#;
const PART_MANIFEST: &str = r#"[package]
name = "juniperwing-part"
version = "0.1.0"
edition = "2024"
"#;
/// Prints what the real program prints for its version, and then the part of the code that the tests change.
const MAIN: &str = r#"fn main() {
    let digest = option_env!("JUNIPERWING_SOURCE_DIGEST").unwrap_or("unknown");
    let code = juniperwing_part::CODE;
    println!("juniperwing {code} (source digest {digest})");
}
"#;
/// A time before any build of the test.
const LONG_AGO: Duration = Duration::from_secs(1_000_000_000);

/// A workspace with the scripts of this one; removed when this is dropped.
struct Workspace(PathBuf);

impl Workspace {
    fn new(name: &str) -> Workspace {
        let path = std::env::temp_dir().join(format!("juniperwing-build-{}-{name}", std::process::id()));
        let workspace = Workspace(path);
        for directory in ["deploy", "src", "crates/part/src"] {
            fs::create_dir_all(workspace.0.join(directory)).unwrap();
        }
        let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
        for script in ["build", "source-digest"] {
            fs::copy(deploy.join(script), workspace.0.join("deploy").join(script)).unwrap();
        }
        workspace.write("Cargo.toml", MANIFEST);
        workspace.write("crates/part/Cargo.toml", PART_MANIFEST);
        workspace.write("src/main.rs", MAIN);
        workspace.write_code("old");
        assert!(workspace.run("cargo", &["generate-lockfile", "--offline"]).status.success());
        workspace
    }

    /// Writes a file with a time before any build, as an unpacked archive may have it.
    fn write(&self, name: &str, text: &str) {
        let path = self.0.join(name);
        fs::write(&path, text).unwrap();
        let times = FileTimes::new().set_modified(SystemTime::UNIX_EPOCH + LONG_AGO);
        File::options().write(true).open(path).unwrap().set_times(times).unwrap();
    }

    fn write_code(&self, code: &str) {
        self.write("crates/part/src/lib.rs", &format!("pub const CODE: &str = \"{code}\";\n"));
    }

    fn run(&self, program: &str, arguments: &[&str]) -> Output {
        let mut command = Command::new(program);
        command.args(arguments).current_dir(&self.0);
        for variable in ["CARGO_TARGET_DIR", "CARGO_BUILD_TARGET", "JUNIPERWING_SOURCE_DIGEST"] {
            command.env_remove(variable);
        }
        command.output().unwrap()
    }

    fn deploy_build(&self) -> Output {
        self.run("sh", &["deploy/build"])
    }

    fn source_digest(&self) -> String {
        let output = self.run("sh", &["deploy/source-digest"]);
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).unwrap().trim().to_owned()
    }

    fn program_version(&self) -> String {
        let output = self.run("target/release/juniperwing", &["version"]);
        String::from_utf8(output.stdout).unwrap().trim().to_owned()
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        // A failure is ignored: the system cleans up temporary files.
        let _ = fs::remove_dir_all(&self.0);
    }
}

// Guards against a deployment that runs old code, since cargo takes sources with old file times for built (review/6).
#[test]
fn sources_with_old_file_times_are_built() {
    let workspace = Workspace::new("old-times");
    assert!(workspace.run("cargo", &["build", "--release"]).status.success());
    assert_eq!(workspace.program_version(), "juniperwing old (source digest unknown)");
    workspace.write_code("new");
    assert!(workspace.run("cargo", &["build", "--release"]).status.success());
    assert!(
        workspace.program_version().starts_with("juniperwing old"),
        "cargo alone does not see the change"
    );
    let built = workspace.deploy_build();
    assert!(built.status.success(), "{built:?}");
    let expected = format!("juniperwing new (source digest {})", workspace.source_digest());
    assert_eq!(workspace.program_version(), expected);
}

// Guards against a package that another build of the same folder left compiled from other sources.
#[test]
fn parts_that_another_build_left_are_built_again() {
    let workspace = Workspace::new("mixed");
    assert!(workspace.deploy_build().status.success());
    workspace.write_code("other");
    fs::remove_dir_all(workspace.0.join("target/release/.fingerprint")).unwrap();
    let other = workspace.run("cargo", &["build", "--release", "--package", "juniperwing-part"]);
    assert!(other.status.success(), "{other:?}");
    workspace.write_code("old");
    assert!(workspace.deploy_build().status.success());
    assert!(workspace.program_version().starts_with("juniperwing old"), "{}", workspace.program_version());
}

#[test]
fn the_digest_depends_on_contents_alone_and_not_on_tests() {
    let workspace = Workspace::new("digest");
    let digest = workspace.source_digest();
    assert_eq!(digest.len(), 16, "{digest}");
    fs::create_dir_all(workspace.0.join("crates/part/tests")).unwrap();
    fs::write(workspace.0.join("crates/part/tests/part.rs"), "// A test.\n").unwrap();
    fs::write(workspace.0.join("src/main.rs"), MAIN).unwrap();
    assert_eq!(workspace.source_digest(), digest);
    workspace.write_code("new");
    assert_ne!(workspace.source_digest(), digest);
}

#[test]
fn a_failed_build_leaves_no_program() {
    let workspace = Workspace::new("failed");
    assert!(workspace.deploy_build().status.success());
    workspace.write("crates/part/src/lib.rs", "not Rust");
    assert!(!workspace.deploy_build().status.success());
    assert!(!workspace.0.join("target/release/juniperwing").exists());
}

// Guards against a program of another place, as with a target platform that the settings of cargo name.
#[test]
fn a_program_with_another_digest_fails_the_build() {
    let workspace = Workspace::new("other-program");
    workspace.write("src/main.rs", "fn main() { println!(\"juniperwing old (source digest unknown)\"); }\n");
    let built = workspace.deploy_build();
    assert!(!built.status.success());
    let message = String::from_utf8(built.stderr).unwrap();
    assert!(message.contains(&workspace.source_digest()), "{message}");
}
