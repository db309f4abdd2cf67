//! Fits through the runs of a [`sweep`](super::sweep): lines along one axis, and two axes with their product.

use super::figure::Figure;
use super::fit::{self, Point};
use super::least_squares::least_squares;
use super::record::{Product, Record};
use super::report::{Axis, Run};

/// Adds a line through each figure of runs along an axis.
pub fn add_lines(axis: Axis, runs: &[Run], figures: &[Figure], prefix: &str, record: &mut Record) {
    for figure in figures {
        let name = format!("{prefix}{}", figure.name);
        let points = points(axis, runs, figure);
        match fit::slope(axis, &name, &points) {
            Some(slope) => record.add_slope(slope),
            None => record.note_omission(format!(
                "{name} over {axis:?}: no line through {} points",
                points.len()
            )),
        }
    }
}

/// The figure of each run that has it.
pub fn points<'a>(
    axis: Axis,
    runs: impl IntoIterator<Item = &'a Run>,
    figure: &Figure,
) -> Vec<Point> {
    let point = |run: &Run| {
        let x = run.size.get(axis) as f64;
        (figure.value)(run).map(|y| Point { x, y })
    };
    runs.into_iter().filter_map(point).collect()
}

/// Adds a fit of each figure by two axes and their product.
pub fn add_products(
    first: Axis,
    second: Axis,
    runs: &[Run],
    figures: &[Figure],
    prefix: &str,
    record: &mut Record,
) {
    for figure in figures {
        let name = format!("{prefix}{}", figure.name);
        match product(first, second, &name, figure.value, runs) {
            Some(product) => {
                print_product(&product);
                record.products.push(product);
            }
            None => record.note_omission(format!("{first:?} and {second:?} together: {name}")),
        }
    }
}

/// A figure by two axes and their product; `None` if the runs do not determine it and its errors.
pub fn product(
    first: Axis,
    second: Axis,
    name: &str,
    value: fn(&Run) -> Option<f64>,
    runs: &[Run],
) -> Option<Product> {
    let at = |run: &Run, axis: Axis| run.size.get(axis) as f64;
    let point = |run: &Run| Some((at(run, first), at(run, second), value(run)?));
    let points: Vec<(f64, f64, f64)> = runs.iter().filter_map(point).collect();
    let rows: Vec<Vec<f64>> = points
        .iter()
        .map(|(first, second, _)| vec![1.0, *first, *second, first * second])
        .collect();
    let figures: Vec<f64> = points.iter().map(|(_, _, figure)| *figure).collect();
    let fit = least_squares(&rows, &figures)
        .filter(|fit| fit.standard_errors.iter().all(|error| error.is_finite()))?;
    Some(Product {
        axes: (first, second),
        figure: name.to_owned(),
        points,
        factors: fit.coefficients,
        standard_errors: fit.standard_errors,
    })
}

fn print_product(product: &Product) {
    let (first, second) = product.axes;
    let terms = [
        "constant".to_owned(),
        format!("{first:?}"),
        format!("{second:?}"),
        format!("{first:?} x {second:?}"),
    ];
    let parts: Vec<String> = terms
        .iter()
        .zip(product.factors.iter().zip(&product.standard_errors))
        .map(|(term, (factor, error))| format!("{term} {factor:.3e} (standard error {error:.1e})"))
        .collect();
    println!(
        "{first:?} and {second:?} together, {}: {}",
        product.figure,
        parts.join(", ")
    );
}
