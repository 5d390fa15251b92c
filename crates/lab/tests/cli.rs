//! The lab as a program: rejected input, written files, and the reproducibility of results.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

use expect_test::expect;

const SMALL: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../lab/scenarios/small.toml");

/// A temporary directory of one test, removed with this value.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new() -> TestDirectory {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name =
            format!("juniperwing-lab-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("space for temporary files");
        TestDirectory(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("space");
        path.display().to_string()
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        // A failure only leaves a temporary directory behind.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_juniperwing-lab")).args(args).output().expect("the lab runs")
}

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn small_scenario() -> String {
    std::fs::read_to_string(SMALL).expect("the bundled scenario")
}

/// The bundled scenario with a shorter duration, for fast tests.
fn short_scenario() -> String {
    small_scenario().replace("span_s = 45", "span_s = 16").replace("start_s = 12", "start_s = 4")
}

#[test]
fn run_writes_scenario_metrics_and_report() {
    let directory = TestDirectory::new();
    let (file, out) = (directory.write("short.toml", &short_scenario()), directory.path("out"));
    let output = lab(&["run", &file, "--seed", "4", "--out", &out, "--quiet"]);
    assert!(output.status.success(), "{}", output_text(&output));
    let of = Path::new(&out).join("small-core-4");
    let figures: serde_json::Value =
        serde_json::from_slice(&std::fs::read(of.join("figures.json")).expect("figures")).expect("JSON");
    assert!(
        figures["served"].as_f64().is_some_and(|served| (0.3..1.0).contains(&served)),
        "{}",
        figures["served"]
    );
    assert_eq!((figures["broken"].as_u64(), figures["seed"].as_u64()), (Some(0), Some(4)));
    let report = std::fs::read_to_string(of.join("report.html")).expect("a report");
    for part in ["<svg", "All six rules kept.", "silent", "status", "Scenario as resolved"] {
        assert!(report.contains(part), "no {part}");
    }
    assert!(
        !report.contains("http://") || report.contains("http://www.w3.org"),
        "it needs nothing from elsewhere"
    );
    let rows = std::fs::read_to_string(of.join("seconds.csv")).expect("a table");
    assert!(rows.lines().count() > 16, "{rows}");
    // The resolved scenario is a valid scenario; a run of it with the same seed has the same results.
    let again = directory.path("again");
    let resolved = of.join("scenario.toml").display().to_string();
    assert!(lab(&["run", &resolved, "--seed", "4", "--out", &again, "--quiet"]).status.success());
    let same = |name: &str| {
        let read = |out: &str| std::fs::read(Path::new(out).join("small-core-4").join(name)).expect("a file");
        assert!(read(&out) == read(&again), "{name} differs");
    };
    ["scenario.toml", "figures.json", "seconds.csv", "report.html"].into_iter().for_each(same);
}

#[test]
fn results_do_not_depend_on_the_number_of_cores() {
    let directory = TestDirectory::new();
    let file = directory.write("short.toml", &short_scenario());
    let outs = ["1", "4"].map(|jobs| {
        let out = directory.path(&format!("jobs-{jobs}"));
        let args = ["run", &file, "--seeds", "4", "--jobs", jobs, "--out", &out, "--quiet"];
        assert!(lab(&args).status.success());
        out
    });
    for seed in 1..=4 {
        let read = |out: &String| {
            let of = Path::new(out).join(format!("small-core-{seed}"));
            ["figures.json", "report.html"].map(|name| std::fs::read(of.join(name)).expect("a file"))
        };
        assert!(read(&outs[0]) == read(&outs[1]), "seed {seed} differs");
    }
}

#[test]
fn comparison_pairs_by_seed_and_states_its_interval() {
    let directory = TestDirectory::new();
    let (file, out) = (directory.write("short.toml", &short_scenario()), directory.path("out"));
    let sides = [file.clone(), format!("{file}@one-try")];
    let output = lab(&["compare", &sides[0], &sides[0], "--seeds", "3", "--out", &out, "--quiet"]);
    assert!(output.status.success(), "{}", output_text(&output));
    assert!(
        output_text(&output).contains("+0.0000  +0.0000 to +0.0000  not clear"),
        "{}",
        output_text(&output)
    );
    let output = lab(&["compare", &sides[0], &sides[1], "--seeds", "3", "--out", &out, "--quiet"]);
    assert!(output_text(&output).contains("3 pairs"), "{}", output_text(&output));
    let page = std::fs::read_to_string(Path::new(&out).join("compare.html")).expect("a page");
    assert!(page.contains("95 %") && page.contains("<svg"));
}

#[test]
fn sweep_has_a_point_for_each_value_and_policy() {
    let directory = TestDirectory::new();
    let (file, out) = (directory.write("short.toml", &short_scenario()), directory.path("out"));
    let over = "trouble.0.extent=0.1,0.6";
    let args = [
        "sweep", &file, "--over", over, "--policy", "core", "--policy", "one-try", "--seeds", "2", "--out",
        &out, "--quiet",
    ];
    let output = lab(&args);
    let text = output_text(&output);
    assert_eq!(text.lines().filter(|line| line.contains("trouble.0.extent = ")).count(), 4, "{text}");
    let rows = std::fs::read_to_string(Path::new(&out).join("sweep.csv")).expect("a table");
    assert_eq!(rows.lines().count(), 1 + 8, "{rows}");
    for over in ["trouble.7.extent=1", "nothing=1", "traffic.load", "traffic.load=much", "topic.0.name=3"] {
        assert_eq!(lab(&["sweep", &file, "--over", over, "--quiet"]).status.code(), Some(2), "{over}");
    }
}

#[test]
fn invalid_scenario_is_rejected_with_file_line_and_reason() {
    let directory = TestDirectory::new();
    let with = |from: &str, to: &str| {
        let text = small_scenario();
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    };
    let cases = [
        with("zipf = 0.5", "zipfian = 0.5"),
        with("slots_room = [1.6, 2.0]", "slots_room = [2.0, 1.6]"),
        with("extent = 0.15", "zone = \"b\""),
        with("extent = 0.15", "extent = 1.5"),
        with("extent = 0.15", "kind = \"triple\""),
        with("what = \"silent\"", "what = \"loud\""),
        with("what = \"silent\"", "what = \"topic-fails\""),
        with("kinds = [\"bulk\"]", "kinds = [\"bulk\", \"odd\"]"),
        with("window_ms = 4000", "window_ms = 0"),
        with("ttl_ms = 16000", "ttl_ms = 1600"),
        with("name = \"single\"", "name = \"bulk\""),
        with("count = 3", "count = 0"),
        with("count = 16", "count = 1"),
        with("rate = 94", "rate = \"94\""),
        with("rate = 94", "rate = nan"),
        with("span_s = 45", ""),
        "span_s = [".to_owned(),
        String::new(),
    ];
    let mut trace = String::new();
    for (n, text) in cases.iter().enumerate() {
        let path = directory.write(&format!("{n}.toml"), text);
        let output = lab(&["check", &path]);
        assert_eq!(output.status.code(), Some(2), "{text}");
        trace += &output_text(&output).replace(&directory.path(""), "");
    }
    expect![[r#"
        0.toml:11: unknown field `zipfian`, expected one of `count`, `zipf`, `slots_room`, `least_slots`, `hold_s`, `least_held`, `tick_ms`, `pushes`, `notice_ms`
        1.toml:12: relays.slots_room: the range is reversed: the minimum 2 is above the maximum 1.6
        2.toml:102: trouble.0.zone: unknown zone "b"
        3.toml:102: trouble.0.extent: must be from 0 to 1
        4.toml:102: trouble.0.kind: unknown kind "triple"
        5.toml:99: unknown variant `loud`, expected one of `slow`, `silent`, `errors`, `refuses`, `down`, `pauses`, `topic-fails`, `limit`, `handshakes`, `burst`, `hot`, `account-burst`, `release`, `hot-relays`, `list-down`, `list-stale`, `deploy`, `cut-there`, `cut-back`, `resets`, `hurry`, `kill`, `lose`
        6.toml:99: trouble.0.what: topic-fails needs the topic type that fails: topic = ".."
        7.toml:56: topic.1.kinds.1: unknown kind "odd"
        8.toml:35: topic.0.window_ms: a collapsible topic type needs a window above 0
        9.toml:39: topic.0.ttl_ms: the TTL is shorter than the latency objective
        10.toml:59: kind.0.name: duplicate name "bulk"
        10.toml:73: kind.1.name: duplicate name "bulk"
        11.toml:10: relays.count: must be from 1 to 20000
        12.toml:27: destinations.count: must not be less than the number of kinds
        13.toml:18: expected a number, or a range of two numbers such as [2, 5]
        14.toml:18: traffic.rate: must be from 0 to 1000000
        15.toml:1: missing field `span_s`
        16.toml:1: unclosed array, expected `]`
        17.toml:1: missing field `name`
    "#]].assert_eq(&trace);
}

#[test]
fn unusable_files_and_policies_are_rejected() {
    let directory = TestDirectory::new();
    let large = directory.write("large.toml", &"#".repeat(2 << 20));
    let path = directory.0.join("bytes.toml");
    std::fs::write(&path, [0xff, 0xfe, b'\n']).expect("space");
    for (path, part) in [
        (directory.path("none.toml"), "No such file"),
        (directory.path(""), "is no file"),
        (large, "is larger than"),
        (path.display().to_string(), "is not UTF-8"),
    ] {
        let output = lab(&["run", &path, "--quiet"]);
        assert_eq!(output.status.code(), Some(2), "{path}");
        assert!(output_text(&output).contains(part), "{}", output_text(&output));
    }
    let output = lab(&["run", SMALL, "--policy", "magic", "--quiet"]);
    assert!(
        output_text(&output).contains("unknown policy \"magic\"; known policies: core, one-try"),
        "{}",
        output_text(&output)
    );
}

/// The backoff baseline overloads recovering destinations. The hunt must find a run with that violation and shrink it,
/// and a replay of the file that it writes must show the violation again.
#[test]
fn hunt_finds_a_violation_and_its_file_reproduces_it() {
    let directory = TestDirectory::new();
    let (file, out) = (directory.write("short.toml", &short_scenario()), directory.path("out"));
    let hunt = [
        "hunt",
        &file,
        "--rules",
        "--only",
        "silent,slow",
        "--budget",
        "24",
        "--policy",
        "backoff",
        "--out",
        &out,
        "--quiet",
    ];
    let output = lab(&hunt);
    let text = output_text(&output);
    assert_eq!(output.status.code(), Some(1), "{text}");
    let found = text.lines().last().expect("a file").to_owned();
    let kept = std::fs::read_to_string(&found).expect("the file it names");
    assert!(kept.contains("seed = ") && kept.matches("[[trouble]]").count() <= 2, "{kept}");
    let again = lab(&["replay", &found, "--policy", "backoff", "--out", &out]);
    assert_eq!(again.status.code(), Some(1), "{}", output_text(&again));
    assert!(output_text(&again).contains("BROKEN (return"), "{}", output_text(&again));
    // The same hunt has the same result.
    assert_eq!(text, output_text(&lab(&hunt)));
    assert_eq!(lab(&["replay", &file]).status.code(), Some(2));
    assert_eq!(lab(&["hunt", &file, "--only", "bad-luck"]).status.code(), Some(2));
}

/// An adapter that sends an invalid reply, or ends, fails the run.
#[test]
fn failed_adapter_fails_the_run_with_a_reason() {
    let directory = TestDirectory::new();
    let file = directory.write("short.toml", &short_scenario());
    for (program, part) in
        [("/bin/cat", "invalid reply"), ("/bin/true", "/bin/true: "), ("/no/adapter", "cannot be started")]
    {
        let output = lab(&[
            "run",
            &file,
            "--policy",
            &format!("adapter:{program}"),
            "--out",
            &directory.path("out"),
            "--quiet",
        ]);
        assert_eq!(output.status.code(), Some(2), "{program}");
        assert!(output_text(&output).contains(part), "{}", output_text(&output));
    }
}
