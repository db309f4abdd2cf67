//! Least squares: lines through sweeps, their errors, and whether the points bend away from a line.
//!
//! A bend is told by a quadratic term added to the line: it is one if the term's t statistic is beyond the two-sided
//! 5 % point of Student's distribution with so many degrees of freedom as points are left over. With five points
//! that is 4.30, so that a slight bend may go unseen; an unseen bend is no proof of a line. Points that lie on a
//! curve exactly have no error to compare with, and bend if the term moves the figure by more than [`EXACT`] of it.

use super::report::{Axis, Bend, Projection, Size, Slope};

/// Two-sided 5 % points of Student's t, by degrees of freedom from 1.
const T_BOUNDS: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];
/// The same for more degrees of freedom.
const T_BOUND_MANY: f64 = 1.96;
/// Relative size below which a difference is taken for rounding.
pub const EXACT: f64 = 1e-9;
/// A greater t is told as this: JSON knows no infinity.
pub const T_LARGEST: f64 = 1e12;
/// Fewest points by which a bend can be told: a quadratic through three leaves none over.
pub const POINTS_LEAST: usize = 4;

/// A fit of a figure by several terms.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// The factor of each term.
    pub factors: Vec<f64>,
    /// The standard error of each.
    pub errors: Vec<f64>,
    /// The figure less the fit, point by point.
    pub residuals: Vec<f64>,
}

/// Fits a figure by terms: each row has the value of every term at one point.
///
/// `None` if there are fewer points than terms, terms that can't be told apart, or figures that are no numbers.
pub fn least_squares(rows: &[Vec<f64>], figures: &[f64]) -> Option<Fit> {
    let terms = rows.first()?.len();
    if rows.len() < terms
        || rows.len() != figures.len()
        || rows.iter().any(|row| row.len() != terms)
    {
        return None;
    }
    if !rows
        .iter()
        .flatten()
        .chain(figures)
        .all(|value| value.is_finite())
    {
        return None;
    }
    // Each term is scaled to its largest value, so that the sums of squares are of one size.
    let scale = |term: usize| rows.iter().map(|row| row[term].abs()).fold(0.0, f64::max);
    let scales: Vec<f64> = (0..terms).map(scale).collect();
    if scales.iter().any(|scale| *scale <= 0.0) {
        return None;
    }
    let scaled: Vec<Vec<f64>> = rows
        .iter()
        .map(|row| {
            row.iter()
                .zip(&scales)
                .map(|(value, scale)| value / scale)
                .collect()
        })
        .collect();
    let inverse = inverse(normal(&scaled, terms))?;
    let sums: Vec<f64> = (0..terms)
        .map(|term| {
            scaled
                .iter()
                .zip(figures)
                .map(|(row, y)| row[term] * y)
                .sum()
        })
        .collect();
    let solved: Vec<f64> = inverse
        .iter()
        .map(|row| row.iter().zip(&sums).map(|(a, b)| a * b).sum::<f64>())
        .collect();
    let fitted = |row: &Vec<f64>| {
        row.iter()
            .zip(&solved)
            .map(|(value, factor)| value * factor)
            .sum::<f64>()
    };
    let residuals: Vec<f64> = scaled
        .iter()
        .zip(figures)
        .map(|(row, y)| y - fitted(row))
        .collect();
    let left_over = rows.len() - terms;
    let squares: f64 = residuals.iter().map(|residual| residual * residual).sum();
    let variance = if left_over == 0 {
        f64::NAN
    } else {
        squares / left_over as f64
    };
    let error = |term: usize| (variance * inverse[term][term].max(0.0)).sqrt() / scales[term];
    Some(Fit {
        errors: (0..terms).map(error).collect(),
        factors: solved
            .iter()
            .zip(&scales)
            .map(|(factor, scale)| factor / scale)
            .collect(),
        residuals,
    })
}

/// The sums of products of each two terms.
fn normal(rows: &[Vec<f64>], terms: usize) -> Vec<Vec<f64>> {
    let sum = |a: usize, b: usize| rows.iter().map(|row| row[a] * row[b]).sum();
    (0..terms)
        .map(|a| (0..terms).map(|b| sum(a, b)).collect())
        .collect()
}

/// Gauss and Jordan's elimination with pivots; `None` if there is no inverse.
fn inverse(mut matrix: Vec<Vec<f64>>) -> Option<Vec<Vec<f64>>> {
    let n = matrix.len();
    let unit = |row: usize| {
        (0..n)
            .map(|column| f64::from(u8::from(row == column)))
            .collect()
    };
    let mut inverse: Vec<Vec<f64>> = (0..n).map(unit).collect();
    for column in 0..n {
        let greater = |a: &usize, b: &usize| {
            matrix[*a][column]
                .abs()
                .total_cmp(&matrix[*b][column].abs())
        };
        let pivot = (column..n).max_by(greater)?;
        if matrix[pivot][column].abs() < 1e-14 {
            return None;
        }
        matrix.swap(column, pivot);
        inverse.swap(column, pivot);
        let by = matrix[column][column];
        matrix[column]
            .iter_mut()
            .chain(&mut inverse[column])
            .for_each(|value| *value /= by);
        let (from, from_inverse) = (matrix[column].clone(), inverse[column].clone());
        for row in (0..n).filter(|row| *row != column) {
            let by = matrix[row][column];
            subtract(&mut matrix[row], &from, by);
            subtract(&mut inverse[row], &from_inverse, by);
        }
    }
    Some(inverse)
}

fn subtract(row: &mut [f64], other: &[f64], by: f64) {
    row.iter_mut()
        .zip(other)
        .for_each(|(value, other)| *value -= by * other);
}

/// The two-sided 5 % point of Student's t.
pub fn t_bound(degrees: usize) -> f64 {
    match degrees {
        0 => f64::INFINITY,
        n => T_BOUNDS.get(n - 1).copied().unwrap_or(T_BOUND_MANY),
    }
}

/// Looks for a bend; see the module. Too few points can't tell.
pub fn bend(points: &[(f64, f64)]) -> Option<Bend> {
    if points.len() < POINTS_LEAST {
        return None;
    }
    let (low, high) = range(points.iter().map(|(x, _)| *x));
    let span = high - low;
    if span <= 0.0 {
        return None;
    }
    // Centred, so that the line and the bend are nearly independent.
    let place = |x: f64| 2.0 * (x - low) / span - 1.0;
    let rows: Vec<Vec<f64>> = points
        .iter()
        .map(|(x, _)| vec![1.0, place(*x), place(*x).powi(2)])
        .collect();
    let figures: Vec<f64> = points.iter().map(|(_, y)| *y).collect();
    let fit = least_squares(&rows, &figures)?;
    let largest = figures.iter().map(|y| y.abs()).fold(0.0, f64::max);
    let bound = t_bound(points.len() - 3);
    let (term, error) = (fit.factors[2], fit.errors[2]);
    if term.abs() <= EXACT * largest {
        return Some(Bend {
            t: 0.0,
            bound,
            bent: false,
        });
    }
    let t = if error <= EXACT * largest {
        T_LARGEST.copysign(term)
    } else {
        term / error
    };
    let t = t.clamp(-T_LARGEST, T_LARGEST);
    Some(Bend {
        t,
        bound,
        bent: t.abs() > bound,
    })
}

/// The least and the greatest.
pub fn range(values: impl Iterator<Item = f64>) -> (f64, f64) {
    values.fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), x| {
        (low.min(x), high.max(x))
    })
}

/// A line through the points of a sweep; `None` if no line can be told from them.
pub fn slope(axis: Axis, figure: &str, points: &[(f64, f64)]) -> Option<Slope> {
    let rows: Vec<Vec<f64>> = points.iter().map(|(x, _)| vec![1.0, *x]).collect();
    let figures: Vec<f64> = points.iter().map(|(_, y)| *y).collect();
    let fit = least_squares(&rows, &figures)?;
    let bend = bend(points)?;
    let line = Slope {
        axis,
        figure: figure.to_owned(),
        points: points.to_vec(),
        intercept: fit.factors[0],
        slope: fit.factors[1],
        standard_error: fit.errors[1],
        bent: bend.bent,
        residuals: Vec::new(),
        bend: Some(bend),
        projection: None,
    };
    let at = Size::TARGET.get(axis) as f64;
    let projection = projection(&line, at);
    let projection = projection.map(|(figure, standard_error)| Projection {
        at,
        figure,
        standard_error,
    });
    Some(Slope {
        residuals: residuals(&line),
        projection,
        ..line
    })
}

/// What the line says elsewhere, with the error that its slope brings; `None` where the points bend.
pub fn projection(slope: &Slope, at: f64) -> Option<(f64, f64)> {
    let count = slope.points.len().max(1) as f64;
    let mean = slope.points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let error = slope.standard_error * (at - mean).abs();
    (!slope.bent).then_some((slope.intercept + slope.slope * at, error))
}

/// The figure less the line, point by point.
pub fn residuals(slope: &Slope) -> Vec<f64> {
    slope
        .points
        .iter()
        .map(|(x, y)| y - slope.intercept - slope.slope * x)
        .collect()
}
