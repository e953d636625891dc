//! Plot of convergence time and traffic against fleet size.

use super::report::Report;
use plotters::prelude::*;
use std::collections::BTreeMap;

/// Width and height of the plot in pixels.
const SIZE: (u32, u32) = (900, 700);
const COLOURS: [RGBColor; 4] = [RED, BLUE, GREEN, MAGENTA];

/// Data points (fleet size, value) by mode.
type Points = BTreeMap<String, Vec<(f64, f64)>>;

/// Writes convergence time and bytes per change against fleet size, as SVG.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn write(file: &str, reports: &[Report]) -> anyhow::Result<()> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE.1 / 2);
    let times = points(reports, |report| report.p99_ms() as f64);
    draw(&upper, "convergence p99, ms", &times)?;
    let bytes = points(reports, Report::change_bytes);
    draw(&lower, "bytes per change and daemon", &bytes)?;
    area.present()?;
    Ok(())
}

fn points(reports: &[Report], value: impl Fn(&Report) -> f64) -> Points {
    let mut points = Points::new();
    for report in reports {
        let line = points.entry(report.mode().to_owned()).or_default();
        line.push((report.size() as f64, value(report)));
    }
    points
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    caption: &str,
    lines: &Points,
) -> anyhow::Result<()> {
    let all = || lines.values().flatten();
    let right = all().map(|point| point.0).fold(1.0, f64::max);
    let top = all().map(|point| point.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right * 1.05, 0.0..top * 1.1)?;
    chart.configure_mesh().x_desc("daemons").draw()?;
    for ((mode, line), colour) in lines.iter().zip(COLOURS) {
        chart
            .draw_series(LineSeries::new(
                line.iter().copied(),
                colour.stroke_width(2),
            ))?
            .label(mode)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
        chart.draw_series(PointSeries::of_element(
            line.iter().copied(),
            4,
            colour.filled(),
            &|at, size, style| Circle::new(at, size, style),
        ))?;
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}
