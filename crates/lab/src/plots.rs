//! Line plots as SVG.

use plotters::prelude::*;

use crate::error::LabResult;

const SIZE_PX: (u32, u32) = (900, 300);
const LINE_COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
];
const SHADE_COLOUR: RGBColor = RGBColor(250, 225, 190);
const BAND_OPACITY: f64 = 0.18;
/// The y axis ends this much above the highest value.
const HEADROOM: f64 = 1.08;
/// The minimum length of an axis, needed to draw one without values.
const MIN_AXIS_LENGTH: f64 = 1e-9;

/// A line of a plot.
pub struct Line {
    /// Its name in the legend.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
    /// A band around it as (x, lower end, upper end); empty for no band.
    pub band: Vec<(f64, f64, f64)>,
}

impl Line {
    /// A line of values at 0, 1, 2 and so on.
    pub fn of_values(name: &str, values: &[f64]) -> Line {
        let points = values.iter().enumerate().map(|(n, value)| (n as f64, *value)).collect();
        Line { name: name.to_owned(), points, band: Vec::new() }
    }
}

/// Draws lines as SVG text, with ranges of the x axis shaded.
///
/// # Errors
///
/// If the drawing library fails.
pub fn line_plot(
    title: &str, x_label: &str, y_label: &str, lines: &[Line], shaded: &[(f64, f64)],
) -> LabResult<String> {
    let Extent { min_x, max_x, top } = extent(lines);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(min_x..max_x.max(min_x + MIN_AXIS_LENGTH), 0.0..top.max(MIN_AXIS_LENGTH))?;
        chart.configure_mesh().x_desc(x_label).y_desc(y_label).light_line_style(WHITE).draw()?;
        for (from, to) in shaded {
            let (from, to) = (from.clamp(min_x, max_x), to.clamp(min_x, max_x));
            chart.draw_series([Rectangle::new([(from, 0.0), (to, top)], SHADE_COLOUR.filled())])?;
        }
        for (n, line) in lines.iter().enumerate() {
            let colour = LINE_COLOURS[n % LINE_COLOURS.len()];
            if !line.band.is_empty() {
                chart.draw_series([Polygon::new(outline(&line.band), colour.mix(BAND_OPACITY).filled())])?;
            }
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?
                .label(line.name.as_str())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        if lines.len() > 1 {
            let mut legend = chart.configure_series_labels();
            legend.position(SeriesLabelPosition::UpperRight).background_style(WHITE.mix(0.8)).draw()?;
        }
        root.present()?;
    }
    Ok(svg)
}

/// The ranges of the axes before the minimum length is applied.
struct Extent {
    min_x: f64,
    max_x: f64,
    top: f64,
}

fn extent(lines: &[Line]) -> Extent {
    let points = || lines.iter().flat_map(|line| line.points.iter().copied());
    let bands = lines.iter().flat_map(|line| line.band.iter().copied());
    let (min_x, max_x) = bounds(points().map(|(x, _)| x));
    let (_, max_y) = bounds(points().map(|(_, y)| y).chain(bands.map(|(_, _, high)| high)));
    Extent { min_x, max_x, top: max_y * HEADROOM }
}

/// The outline of a band: along its lower end and back along its upper end.
fn outline(band: &[(f64, f64, f64)]) -> Vec<(f64, f64)> {
    let lower = band.iter().map(|(x, low, _)| (*x, *low));
    let upper = band.iter().rev().map(|(x, _, high)| (*x, *high));
    lower.chain(upper).collect()
}

/// The minimum and the maximum of the finite values; 0 and 1 if there are none.
fn bounds(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let finite: Vec<f64> = values.filter(|value| value.is_finite()).collect();
    let min = finite.iter().copied().fold(f64::INFINITY, f64::min);
    let max = finite.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if min > max { (0.0, 1.0) } else { (min, max) }
}
