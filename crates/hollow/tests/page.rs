//! `docs/CAPACITY.md` agrees with `docs/capacity.json`, and the file with itself.

use std::path::{Path, PathBuf};

use juniperwing_hollow::data::Data;
use juniperwing_hollow::page::{BEGIN, NoMarkers, rewrite};

fn document(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)
}

fn data() -> Data {
    serde_json::from_str(&std::fs::read_to_string(document("capacity.json")).unwrap()).unwrap()
}

#[test]
fn the_page_shows_what_the_data_file_holds() {
    let page = std::fs::read_to_string(document("CAPACITY.md")).unwrap();
    assert_eq!(rewrite(&page, &data()).unwrap(), page, "run `make capacity`");
}

#[test]
fn the_lines_follow_from_the_runs() {
    let data = data();
    let again = Data::of(data.command.clone(), data.runs.clone());
    for (held, drawn) in data.slopes.iter().zip(&again.slopes) {
        assert_eq!((&held.series, &held.role, &held.resource), (&drawn.series, &drawn.role, &drawn.resource));
        assert!((held.line.slope - drawn.line.slope).abs() <= 1e-9 * drawn.line.slope.abs().max(1e-9));
    }
    assert_eq!(data.slopes.len(), again.slopes.len());
}

#[test]
fn a_page_without_markers_is_not_touched() {
    assert_eq!(rewrite("# Capacity\n", &Data::default()), Err(NoMarkers));
    assert_eq!(rewrite(BEGIN, &Data::default()), Err(NoMarkers));
}
