//! SVG plots of sweeps. The generated pages refer to the files by [`file_name`].

use super::error::ScaleError;
use super::fit::Extent;
use super::report::Slope;
use plotters::prelude::{
    ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, SVGBackend, BLACK, BLUE, WHITE,
};
use reelfall_testbed::Result;
use std::path::Path;

/// Width of a plot, in pixels.
const WIDTH: u32 = 640;
/// Height of a plot, in pixels.
const HEIGHT: u32 = 400;
/// Padding of an axis, as a ratio to its extent.
const PADDING_RATIO: f64 = 0.05;
/// Smallest padding, as a ratio to the largest value, for an extent that is empty.
const MIN_PADDING_RATIO: f64 = 1e-6;
/// Size of the caption, in pixels.
const CAPTION_SIZE: u32 = 16;
/// Margin around the chart, in pixels.
const MARGIN: u32 = 12;
/// Space for the labels of the horizontal axis, in pixels.
const X_LABEL_HEIGHT: u32 = 40;
/// Space for the labels of the vertical axis, in pixels.
const Y_LABEL_WIDTH: u32 = 80;
/// Radius of a point, in pixels.
const POINT_RADIUS: u32 = 4;

/// Writes a plot of each sweep into the folder.
///
/// # Errors
/// If a file can't be written.
pub fn write_plots(slopes: &[Slope], folder: &Path) -> Result<()> {
    std::fs::create_dir_all(folder)?;
    for slope in slopes {
        let file = folder.join(file_name(slope));
        draw(slope, &file).map_err(|source| ScaleError::Plot { file, source })?;
    }
    Ok(())
}

/// Returns the file name of a plot: the axis and the figure, in letters, digits and `-`.
pub fn file_name(slope: &Slope) -> String {
    let text = format!("{:?} {}", slope.axis, slope.figure).to_lowercase();
    let words: Vec<&str> = text
        .split(|character: char| !character.is_ascii_alphanumeric())
        .filter(|word| !word.is_empty())
        .collect();
    format!("{}.svg", words.join("-"))
}

fn draw(slope: &Slope, file: &Path) -> Result<()> {
    let line = |x: f64| slope.intercept + slope.slope * x;
    let horizontal = padded(Extent::of(slope.points.iter().map(|(x, _)| *x)));
    let figures = slope.points.iter().map(|(_, y)| *y);
    let fitted = slope.points.iter().map(|(x, _)| line(*x));
    let vertical = padded(Extent::of(figures.chain(fitted).chain([0.0])));
    let area = SVGBackend::new(file, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE)?;
    let caption = if slope.bent {
        format!("{} (bent)", slope.figure)
    } else {
        slope.figure.clone()
    };
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", CAPTION_SIZE))
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_HEIGHT)
        .y_label_area_size(Y_LABEL_WIDTH)
        .build_cartesian_2d(horizontal.min..horizontal.max, vertical.min..vertical.max)?;
    chart
        .configure_mesh()
        .x_desc(format!("{:?}", slope.axis))
        .draw()?;
    let ends = [horizontal.min, horizontal.max].map(|x| (x, line(x)));
    chart.draw_series(LineSeries::new(ends, &BLUE))?;
    let circle = |point: &(f64, f64)| Circle::new(*point, POINT_RADIUS, BLACK.filled());
    chart.draw_series(slope.points.iter().map(circle))?;
    area.present()?;
    Ok(())
}

fn padded(extent: Extent) -> Extent {
    let min_padding = f64::MIN_POSITIVE.max(extent.max.abs() * MIN_PADDING_RATIO);
    let padding = (extent.span() * PADDING_RATIO).max(min_padding);
    Extent {
        min: extent.min - padding,
        max: extent.max + padding,
    }
}
