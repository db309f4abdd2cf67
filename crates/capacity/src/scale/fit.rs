//! Lines through sweeps: their errors, and whether the points bend away from a line. Called by [`sweep`](super::sweep),
//! [`lines`](super::lines) and [`smoke`](super::smoke).
//!
//! A bend is a significant quadratic term: its t statistic exceeds the two-sided 5 % point of Student's distribution
//! with as many degrees of freedom as points are left over. With five points that is 4.30, so that a slight bend may go
//! unseen; an unseen bend is no proof of a line. Points that lie on a curve exactly have no error to compare with, and
//! bend if the term moves the figure by more than [`ROUNDING_TOLERANCE`] of it.

use super::least_squares::least_squares;
use super::report::{Axis, Bend, Projection, Size, Slope};

/// Two-sided 5 % points of Student's t, by degrees of freedom from 1.
const T_BOUNDS: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];
/// The two-sided 5 % point for more degrees of freedom than [`T_BOUNDS`] has.
const T_BOUND_LIMIT: f64 = 1.96;
/// Relative size below which a difference counts as rounding.
pub const ROUNDING_TOLERANCE: f64 = 1e-9;
/// A t statistic is clamped to this: JSON has no infinity.
pub const T_CLAMP: f64 = 1e12;
/// Coefficients of a parabola.
const PARABOLA_TERMS: usize = 3;
/// Fewest points that show a bend: a parabola through three leaves no degree of freedom.
pub const MIN_BEND_POINTS: usize = PARABOLA_TERMS + 1;

/// A point of a sweep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size on the axis.
    pub x: f64,
    /// The figure.
    pub y: f64,
}

/// The smallest and the largest of some values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Extent {
    /// The smallest; infinite if there are none.
    pub min: f64,
    /// The largest; negatively infinite if there are none.
    pub max: f64,
}

impl Extent {
    /// The extent of some values.
    pub fn of(values: impl Iterator<Item = f64>) -> Extent {
        let empty = Extent {
            min: f64::INFINITY,
            max: f64::NEG_INFINITY,
        };
        values.fold(empty, |extent, value| Extent {
            min: extent.min.min(value),
            max: extent.max.max(value),
        })
    }

    /// Returns the difference between the largest and the smallest value.
    pub fn span(&self) -> f64 {
        self.max - self.min
    }
}

/// The two-sided 5 % point of Student's t.
pub fn t_bound(degrees_of_freedom: usize) -> f64 {
    match degrees_of_freedom.checked_sub(1) {
        None => f64::INFINITY,
        Some(index) => T_BOUNDS.get(index).copied().unwrap_or(T_BOUND_LIMIT),
    }
}

/// Tests the points for a bend, as described in the module comment; `None` if there are too few points.
pub fn bend(points: &[Point]) -> Option<Bend> {
    if points.len() < MIN_BEND_POINTS {
        return None;
    }
    let extent = Extent::of(points.iter().map(|point| point.x));
    if extent.span() <= 0.0 {
        return None;
    }
    // Centred, so that the linear and the quadratic term are nearly independent.
    let centred = |x: f64| 2.0 * (x - extent.min) / extent.span() - 1.0;
    let rows: Vec<Vec<f64>> = points
        .iter()
        .map(|point| vec![1.0, centred(point.x), centred(point.x).powi(2)])
        .collect();
    let figures: Vec<f64> = points.iter().map(|point| point.y).collect();
    let fit = least_squares(&rows, &figures)?;
    let magnitude = figures
        .iter()
        .map(|figure| figure.abs())
        .fold(0.0, f64::max);
    let bound = t_bound(points.len() - PARABOLA_TERMS);
    let quadratic = PARABOLA_TERMS - 1;
    let t = t_statistic(
        fit.coefficients[quadratic],
        fit.standard_errors[quadratic],
        magnitude,
    );
    Some(Bend {
        t,
        bound,
        bent: t.abs() > bound,
    })
}

/// The t statistic of a coefficient of a figure of this magnitude; zero if the coefficient is rounding.
fn t_statistic(coefficient: f64, standard_error: f64, magnitude: f64) -> f64 {
    let rounding = ROUNDING_TOLERANCE * magnitude;
    if coefficient.abs() <= rounding {
        return 0.0;
    }
    let t = if standard_error <= rounding {
        T_CLAMP.copysign(coefficient)
    } else {
        coefficient / standard_error
    };
    t.clamp(-T_CLAMP, T_CLAMP)
}

/// The line through the points of a sweep; `None` if they do not determine one.
pub fn slope(axis: Axis, figure: &str, points: &[Point]) -> Option<Slope> {
    let rows: Vec<Vec<f64>> = points.iter().map(|point| vec![1.0, point.x]).collect();
    let figures: Vec<f64> = points.iter().map(|point| point.y).collect();
    let fit = least_squares(&rows, &figures)?;
    let bend = bend(points)?;
    let line = Slope {
        axis,
        figure: figure.to_owned(),
        points: points.iter().map(|point| (point.x, point.y)).collect(),
        intercept: fit.coefficients[0],
        slope: fit.coefficients[1],
        standard_error: fit.standard_errors[1],
        bent: bend.bent,
        residuals: Vec::new(),
        bend: Some(bend),
        projection: None,
    };
    let target = Size::TARGET.get(axis) as f64;
    Some(Slope {
        residuals: residuals(&line),
        projection: projection(&line, target),
        ..line
    })
}

/// Extrapolates the line to `at`, with the error that the slope contributes; `None` if the points bend.
pub fn projection(line: &Slope, at: f64) -> Option<Projection> {
    if line.bent {
        return None;
    }
    let count = line.points.len().max(1) as f64;
    let mean = line.points.iter().map(|(x, _)| x).sum::<f64>() / count;
    Some(Projection {
        at,
        figure: line.intercept + line.slope * at,
        standard_error: line.standard_error * (at - mean).abs(),
    })
}

/// The figure minus the line, point by point.
pub fn residuals(line: &Slope) -> Vec<f64> {
    line.points
        .iter()
        .map(|(x, y)| y - line.intercept - line.slope * x)
        .collect()
}
