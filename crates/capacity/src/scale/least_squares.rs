//! Linear least squares by the normal equations, for [`fit`](super::fit) and [`sweep`](super::sweep).

/// A pivot below this counts as zero: the matrix is singular.
const MIN_PIVOT: f64 = 1e-14;

type Matrix = Vec<Vec<f64>>;

/// A linear model of a figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// The coefficient of each term.
    pub coefficients: Vec<f64>,
    /// The standard error of each.
    pub standard_errors: Vec<f64>,
    /// The figure minus the model, point by point.
    pub residuals: Vec<f64>,
}

/// Fits a figure by a linear combination of terms; each row has the value of every term at one point.
///
/// Returns `None` if there are fewer points than terms, linearly dependent terms, or values that are not finite.
pub fn least_squares(rows: &[Vec<f64>], figures: &[f64]) -> Option<Fit> {
    let terms = rows.first()?.len();
    if !is_well_formed(rows, figures, terms) {
        return None;
    }
    let scales = term_scales(rows, terms);
    if scales.iter().any(|scale| *scale <= 0.0) {
        return None;
    }
    let scaled = scale_rows(rows, &scales);
    let inverse = inverse(normal_matrix(&scaled, terms))?;
    let moments: Vec<f64> = (0..terms)
        .map(|term| moment(&scaled, figures, term))
        .collect();
    let solution: Vec<f64> = inverse.iter().map(|row| dot(row, &moments)).collect();
    let residuals: Vec<f64> = scaled
        .iter()
        .zip(figures)
        .map(|(row, figure)| figure - dot(row, &solution))
        .collect();
    let variance = residual_variance(&residuals, rows.len() - terms);
    let standard_error =
        |term: usize| (variance * inverse[term][term].max(0.0)).sqrt() / scales[term];
    Some(Fit {
        standard_errors: (0..terms).map(standard_error).collect(),
        coefficients: solution
            .iter()
            .zip(&scales)
            .map(|(coefficient, scale)| coefficient / scale)
            .collect(),
        residuals,
    })
}

/// Returns whether there are enough points, each with a figure and all terms, and all values are finite.
fn is_well_formed(rows: &[Vec<f64>], figures: &[f64], terms: usize) -> bool {
    rows.len() >= terms
        && rows.len() == figures.len()
        && rows.iter().all(|row| row.len() == terms)
        && rows
            .iter()
            .flatten()
            .chain(figures)
            .all(|value| value.is_finite())
}

/// Returns the largest absolute value of each term. Dividing by it brings the sums of squares to the same magnitude.
fn term_scales(rows: &[Vec<f64>], terms: usize) -> Vec<f64> {
    let scale = |term: usize| rows.iter().map(|row| row[term].abs()).fold(0.0, f64::max);
    (0..terms).map(scale).collect()
}

fn scale_rows(rows: &[Vec<f64>], scales: &[f64]) -> Matrix {
    let scale_row = |row: &Vec<f64>| {
        row.iter()
            .zip(scales)
            .map(|(value, scale)| value / scale)
            .collect()
    };
    rows.iter().map(scale_row).collect()
}

/// The sum of the products of a term and the figure.
fn moment(rows: &[Vec<f64>], figures: &[f64], term: usize) -> f64 {
    rows.iter()
        .zip(figures)
        .map(|(row, figure)| row[term] * figure)
        .sum()
}

fn dot(left: &[f64], right: &[f64]) -> f64 {
    left.iter()
        .zip(right)
        .map(|(left, right)| left * right)
        .sum()
}

/// The variance of the residuals; not a number without degrees of freedom.
fn residual_variance(residuals: &[f64], degrees_of_freedom: usize) -> f64 {
    let squares: f64 = residuals.iter().map(|residual| residual * residual).sum();
    if degrees_of_freedom == 0 {
        f64::NAN
    } else {
        squares / degrees_of_freedom as f64
    }
}

/// The sums of the products of each two terms.
fn normal_matrix(rows: &[Vec<f64>], terms: usize) -> Matrix {
    let sum = |left: usize, right: usize| rows.iter().map(|row| row[left] * row[right]).sum();
    (0..terms)
        .map(|left| (0..terms).map(|right| sum(left, right)).collect())
        .collect()
}

fn identity(size: usize) -> Matrix {
    let unit_row = |row: usize| {
        (0..size)
            .map(|column| f64::from(u8::from(row == column)))
            .collect()
    };
    (0..size).map(unit_row).collect()
}

/// Inverts a matrix by Gauss-Jordan elimination with partial pivoting; `None` if it is singular.
fn inverse(mut matrix: Matrix) -> Option<Matrix> {
    let size = matrix.len();
    let mut inverse = identity(size);
    for column in 0..size {
        let pivot_row = pivot_row(&matrix, column)?;
        matrix.swap(column, pivot_row);
        inverse.swap(column, pivot_row);
        let pivot = matrix[column][column];
        matrix[column]
            .iter_mut()
            .chain(&mut inverse[column])
            .for_each(|value| *value /= pivot);
        let (pivots, pivots_of_inverse) = (matrix[column].clone(), inverse[column].clone());
        for row in (0..size).filter(|row| *row != column) {
            let factor = matrix[row][column];
            subtract_multiple(&mut matrix[row], &pivots, factor);
            subtract_multiple(&mut inverse[row], &pivots_of_inverse, factor);
        }
    }
    Some(inverse)
}

/// The row from the diagonal on with the largest value in a column; `None` if that is zero.
fn pivot_row(matrix: &[Vec<f64>], column: usize) -> Option<usize> {
    let by_magnitude = |left: &usize, right: &usize| {
        matrix[*left][column]
            .abs()
            .total_cmp(&matrix[*right][column].abs())
    };
    let row = (column..matrix.len()).max_by(by_magnitude)?;
    let is_singular = matrix[row][column].abs() < MIN_PIVOT;
    (!is_singular).then_some(row)
}

fn subtract_multiple(row: &mut [f64], other: &[f64], factor: f64) {
    row.iter_mut()
        .zip(other)
        .for_each(|(value, other)| *value -= factor * other);
}
