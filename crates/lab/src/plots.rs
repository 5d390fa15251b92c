//! Draws figures as SVG. It owns sizes and colours. It must never work a figure out, only show it.

use std::error::Error;

use plotters::prelude::*;

const SIZE: (u32, u32) = (900, 300);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
];
const SHADE: RGBColor = RGBColor(250, 225, 190);

/// A line of a plot.
pub struct Line {
    /// What it is, for the legend.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
    /// A band about it, where it has one: the least and the most at each point.
    pub band: Vec<(f64, f64, f64)>,
}

impl Line {
    /// A line of one value a second.
    pub fn of(name: &str, values: &[f64]) -> Line {
        let points = values.iter().enumerate().map(|(n, value)| (n as f64, *value)).collect();
        Line { name: name.to_owned(), points, band: Vec::new() }
    }
}

/// A plot as SVG text, with spans along the x axis shaded.
pub fn lines(
    title: &str, x: &str, y: &str, lines: &[Line], shaded: &[(f64, f64)],
) -> Result<String, Box<dyn Error>> {
    let all = || lines.iter().flat_map(|line| line.points.iter().copied());
    let bands = || lines.iter().flat_map(|line| line.band.iter().copied());
    let (least_x, most_x) = bounds(all().map(|p| p.0));
    let (_, most_y) = bounds(all().map(|p| p.1).chain(bands().map(|b| b.2)));
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(least_x..most_x.max(least_x + 1e-9), 0.0..(most_y * 1.08).max(1e-9))?;
        chart.configure_mesh().x_desc(x).y_desc(y).light_line_style(WHITE).draw()?;
        for (from, to) in shaded {
            let (from, to) = (from.clamp(least_x, most_x), to.clamp(least_x, most_x));
            chart.draw_series([Rectangle::new([(from, 0.0), (to, most_y * 1.08)], SHADE.filled())])?;
        }
        for (n, line) in lines.iter().enumerate() {
            let colour = COLOURS[n % COLOURS.len()];
            if !line.band.is_empty() {
                let there = line.band.iter().map(|(x, least, _)| (*x, *least));
                let back = line.band.iter().rev().map(|(x, _, most)| (*x, *most));
                let polygon = Polygon::new(there.chain(back).collect::<Vec<_>>(), colour.mix(0.18).filled());
                chart.draw_series([polygon])?;
            }
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?
                .label(line.name.as_str())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        if lines.len() > 1 {
            let mut style = chart.configure_series_labels();
            style.position(SeriesLabelPosition::UpperRight).background_style(WHITE.mix(0.8)).draw()?;
        }
        root.present()?;
    }
    Ok(svg)
}

/// The least and the most of some numbers; those that are none are passed over.
fn bounds(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let all: Vec<f64> = values.filter(|value| value.is_finite()).collect();
    let least = all.iter().copied().fold(f64::INFINITY, f64::min);
    let most = all.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if least > most { (0.0, 1.0) } else { (least, most) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_plot_shows_its_lines_and_an_empty_one_is_drawn_too() {
        let two = [Line::of("first", &[1.0, 2.0, f64::NAN]), Line::of("second", &[0.0, 0.5])];
        let svg = lines("title", "s", "share", &two, &[(0.5, 1.5)]).expect("drawn");
        assert!(svg.starts_with("<svg") && svg.contains("first") && svg.contains("title"), "{svg}");
        assert!(lines("none", "s", "share", &[], &[]).expect("drawn").contains("none"));
    }
}
