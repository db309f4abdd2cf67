//! Measures a resource at all sizes, and fits a line through each figure.

use crate::error::Result;
use crate::measure::Figures;
use std::collections::BTreeMap;

/// Smallest number of points for a line with a standard error.
const LINE_POINTS: usize = 3;

/// A figure at one size.
struct Point {
    size: f64,
    value: f64,
}

/// A line through points.
struct Line {
    slope: f64,
    standard_error: f64,
}

impl Line {
    /// Fits a line by least squares.
    fn through(points: &[Point]) -> Line {
        let count = points.len() as f64;
        let mean =
            |coordinate: fn(&Point) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
        let mean_size = mean(|point| point.size);
        let mean_value = mean(|point| point.value);
        let variation: f64 = points
            .iter()
            .map(|point| (point.size - mean_size).powi(2))
            .sum();
        let covariation: f64 = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum();
        let slope = covariation / variation;
        let residual = |point: &Point| point.value - mean_value - slope * (point.size - mean_size);
        let residual_squares: f64 = points.iter().map(|point| residual(point).powi(2)).sum();
        Line {
            slope,
            standard_error: (residual_squares / (count - 2.0) / variation).sqrt(),
        }
    }
}

/// Measures a resource at each size, and prints the figures and the lines through them.
pub fn run(
    resource: &str,
    sizes: &[&str],
    measure: impl Fn(usize) -> Result<Figures>,
) -> Result<()> {
    let mut points: BTreeMap<String, Vec<Point>> = BTreeMap::new();
    for size in sizes {
        let size: usize = size.parse()?;
        for (figure, value) in measure(size)? {
            println!("{resource} {size}: {figure} {value:.6e}");
            let size = size as f64;
            points
                .entry(figure)
                .or_default()
                .push(Point { size, value });
        }
    }
    for (figure, points) in &points {
        if points.len() >= LINE_POINTS {
            print_line(resource, figure, points);
        }
    }
    Ok(())
}

fn print_line(resource: &str, figure: &str, points: &[Point]) {
    let Line {
        slope,
        standard_error,
    } = Line::through(points);
    println!(
        "{resource}: {figure} grows by {slope:.4e} for each, standard error {standard_error:.1e}"
    );
}
