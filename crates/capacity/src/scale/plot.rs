//! Plots of sweeps, as SVG.

use super::fit::range;
use super::report::Slope;
use plotters::prelude::*;
use reelfall_testbed::Result;
use std::path::Path;

/// Width and height of a plot.
const SIZE: (u32, u32) = (640, 400);
/// Room around what is drawn, as a share of its range.
const ROOM: f64 = 0.05;

/// Draws each sweep into a file of the folder.
///
/// # Errors
/// If a file can't be written.
pub fn all(slopes: &[Slope], folder: &Path) -> Result<()> {
    std::fs::create_dir_all(folder)?;
    for slope in slopes {
        let file = folder.join(file_name(slope));
        draw(slope, &file).map_err(|fault| format!("{}: {fault}", file.display()))?;
    }
    Ok(())
}

/// The file of a plot: its axis and its figure, in letters, digits and `-`.
pub fn file_name(slope: &Slope) -> String {
    let text = format!("{:?} {}", slope.axis, slope.figure).to_lowercase();
    let words: Vec<&str> = text
        .split(|c: char| !c.is_ascii_alphanumeric())
        .filter(|w| !w.is_empty())
        .collect();
    format!("{}.svg", words.join("-"))
}

fn draw(slope: &Slope, file: &Path) -> Result<()> {
    let line = |x: f64| slope.intercept + slope.slope * x;
    let (low, high) = widened(range(slope.points.iter().map(|(x, _)| *x)));
    let measured = slope.points.iter().map(|(_, y)| *y);
    let drawn = slope.points.iter().map(|(x, _)| line(*x));
    let (least, most) = widened(range(measured.chain(drawn).chain([0.0])));
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let caption = if slope.bent {
        format!("{} (bent)", slope.figure)
    } else {
        slope.figure.clone()
    };
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(low..high, least..most)?;
    chart
        .configure_mesh()
        .x_desc(format!("{:?}", slope.axis))
        .draw()?;
    chart.draw_series(LineSeries::new(
        [(low, line(low)), (high, line(high))],
        &BLUE,
    ))?;
    chart.draw_series(
        slope
            .points
            .iter()
            .map(|point| Circle::new(*point, 4, BLACK.filled())),
    )?;
    area.present()?;
    Ok(())
}

fn widened((low, high): (f64, f64)) -> (f64, f64) {
    let room = ((high - low) * ROOM).max(f64::MIN_POSITIVE.max(high.abs() * 1e-6));
    (low - room, high + room)
}
