//! Plots as SVG.

use juniperwing_lab::plots::{Line, line_plot};

#[test]
fn plot_shows_its_lines_and_an_empty_plot_is_drawn() {
    let lines = [Line::of_values("first", &[1.0, 2.0, f64::NAN]), Line::of_values("second", &[0.0, 0.5])];
    let svg = line_plot("title", "s", "share", &lines, &[(0.5, 1.5)]).expect("drawn");
    assert!(svg.starts_with("<svg") && svg.contains("first") && svg.contains("title"), "{svg}");
    assert!(line_plot("none", "s", "share", &[], &[]).expect("drawn").contains("none"));
}
