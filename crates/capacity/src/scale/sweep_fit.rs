//! Fits through the runs of a [`sweep`](super::sweep): lines along one axis, and fits by two axes and their product.

use super::figure::Figure;
use super::fit::{self, Point};
use super::least_squares::least_squares;
use super::record::{AxisPair, InteractionFit, InteractionPoint, Record};
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

/// Returns a point for each run that has the figure.
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
pub fn add_interactions(
    axes: AxisPair,
    runs: &[Run],
    figures: &[Figure],
    prefix: &str,
    record: &mut Record,
) {
    for figure in figures {
        let name = format!("{prefix}{}", figure.name);
        match interaction(axes, &name, figure.value, runs) {
            Some(fit) => {
                print_interaction(&fit);
                record.interactions.push(fit);
            }
            None => record.note_omission(format!(
                "{:?} and {:?} together: {name}",
                axes.first, axes.second
            )),
        }
    }
}

/// Fits a figure by two axes and their product; `None` if the runs do not determine the coefficients and their errors.
pub fn interaction(
    axes: AxisPair,
    name: &str,
    value: fn(&Run) -> Option<f64>,
    runs: &[Run],
) -> Option<InteractionFit> {
    let at = |run: &Run, axis: Axis| run.size.get(axis) as f64;
    let point = |run: &Run| {
        value(run).map(|figure| InteractionPoint {
            first: at(run, axes.first),
            second: at(run, axes.second),
            figure,
        })
    };
    let points: Vec<InteractionPoint> = runs.iter().filter_map(point).collect();
    let terms =
        |point: &InteractionPoint| vec![1.0, point.first, point.second, point.first * point.second];
    let rows: Vec<Vec<f64>> = points.iter().map(terms).collect();
    let figures: Vec<f64> = points.iter().map(|point| point.figure).collect();
    let fit = least_squares(&rows, &figures)
        .filter(|fit| fit.standard_errors.iter().all(|error| error.is_finite()))?;
    Some(InteractionFit {
        axes,
        figure: name.to_owned(),
        points,
        coefficients: fit.coefficients,
        standard_errors: fit.standard_errors,
    })
}

fn print_interaction(fit: &InteractionFit) {
    let AxisPair { first, second } = fit.axes;
    let terms = [
        "constant".to_owned(),
        format!("{first:?}"),
        format!("{second:?}"),
        format!("{first:?} x {second:?}"),
    ];
    let parts: Vec<String> = terms
        .iter()
        .zip(fit.coefficients.iter().zip(&fit.standard_errors))
        .map(|(term, (coefficient, error))| {
            format!("{term} {coefficient:.3e} (standard error {error:.1e})")
        })
        .collect();
    println!(
        "{first:?} and {second:?} together, {}: {}",
        fit.figure,
        parts.join(", ")
    );
}
