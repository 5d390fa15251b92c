//! Fits, the kernel's text, and the bodies that hollow participants send.

use juniperwing_hollow::change::configuration;
use juniperwing_hollow::endpoint::heartbeat;
use juniperwing_hollow::fit::Line;
use juniperwing_hollow::usage::{field, processor_s};

#[test]
fn a_line_goes_through_points_that_lie_on_one() {
    let line = Line::fit(&[(0.0, 1.0), (10.0, 21.0), (20.0, 41.0)]).unwrap();
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 1.0).abs() < 1e-9);
    assert!(line.residual < 1e-9 && (line.at(100.0) - 201.0).abs() < 1e-9);
}

#[test]
fn the_residual_tells_what_a_line_leaves() {
    let line = Line::fit(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).unwrap();
    assert!((line.residual - 2.0_f64.sqrt()).abs() < 1e-9);
}

#[test]
fn no_line_goes_through_one_place() {
    assert_eq!(Line::fit(&[]), None);
    assert_eq!(Line::fit(&[(1.0, 1.0)]), None);
    assert_eq!(Line::fit(&[(1.0, 1.0), (1.0, 2.0)]), None);
}

#[test]
fn processor_time_is_found_behind_a_name_with_brackets_and_spaces() {
    let stat = "7 (a) b (c) S 1 7 7 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 1 0 100 200 300";
    assert_eq!(processor_s(stat), Some(3.0));
    assert_eq!(processor_s("7 (a"), None);
    assert_eq!(field("VmPeak:\t 9 kB\nVmRSS:\t 12 kB\n", "VmRSS:"), Some(12.0));
    assert_eq!(field("VmPeak:\t 9 kB\n", "VmRSS:"), None);
}

#[test]
fn the_bodies_are_valid() {
    let instance: serde_json::Value = serde_json::from_slice(&heartbeat(258, 4)).unwrap();
    assert_eq!(instance["address"], "10.0.1.2:9");
    let configuration: serde_json::Value = serde_json::from_slice(&configuration(3, 20)).unwrap();
    assert_eq!(configuration["routes"].as_array().unwrap().len(), 20);
}
