//! Tables of lines through sweeps and of computations on the page of scale runs.

use super::cells::runs;
use super::Reports;
use crate::budget::markdown::{self, NOT_MEASURED};
use crate::budget::measurements::not_projected;
use crate::budget::units::{amount, plain, Unit};
use crate::scale::computation::Computation;
use crate::scale::record::{AxisPair, InteractionFit};
use crate::scale::report::{Run, Slope, Source};
use crate::scale::{fit, plot};

/// Renders the lines through sweeps.
pub(super) fn lines(slopes: &[Slope]) -> String {
    let header = [
        "axis",
        "figure",
        "slope (standard error)",
        "largest residual",
        "bend: t of a quadratic term",
        "at the target (standard error)",
        "plot",
    ];
    let rows: Vec<_> = slopes.iter().map(line_cells).collect();
    markdown::table(&header, &rows)
}

fn line_cells(slope: &Slope) -> Vec<String> {
    let fit::Extent {
        min: smallest,
        max: largest,
    } = fit::Extent::of(slope.points.iter().map(|(size, _)| *size));
    let axis = format!("{:?}", slope.axis).to_lowercase();
    let bend = slope.bend.map_or(NOT_MEASURED.to_owned(), |bend| {
        format!("{:.2}, bound {:.2}", bend.t, bend.bound)
    });
    vec![
        format!("{axis}, {} to {}", plain(smallest), plain(largest)),
        slope.figure.clone(),
        format!("{:.3e} ({:.1e})", slope.slope, slope.standard_error),
        format!("{:.1e}", largest_residual(slope)),
        bend,
        projection_text(slope),
        format!("![](scale/{})", plot::file_name(slope)),
    ]
}

fn largest_residual(slope: &Slope) -> f64 {
    let residuals = slope.residuals.iter().map(|residual| residual.abs());
    residuals.fold(0.0, f64::max)
}

fn projection_text(slope: &Slope) -> String {
    match slope.projection {
        Some(projection) => format!(
            "{} ({}) at {}",
            plain(projection.figure),
            plain(projection.standard_error),
            plain(projection.at)
        ),
        None => not_projected(slope).to_owned(),
    }
}

/// Renders the fits of figures over two axes and their product.
pub(super) fn products(products: &[InteractionFit]) -> String {
    let header = [
        "axes",
        "figure",
        "constant (standard error)",
        "of the first",
        "of the second",
        "of their product",
    ];
    let rows: Vec<_> = products.iter().map(product_cells).collect();
    markdown::table(&header, &rows)
}

fn product_cells(product: &InteractionFit) -> Vec<String> {
    let AxisPair { first, second } = product.axes;
    let mut cells = vec![
        format!("{first:?}, {second:?}").to_lowercase(),
        product.figure.clone(),
    ];
    let terms = product.coefficients.iter().zip(&product.standard_errors);
    cells.extend(terms.map(|(coefficient, error)| format!("{coefficient:.3e} ({error:.1e})")));
    cells
}

/// Renders the processor time and memory of computations of these kinds from all reports.
pub(super) fn computations(reports: &Reports, kinds: &[Computation]) -> String {
    let header = [
        "computation",
        "servers",
        "services",
        "routes",
        "tenants",
        "length",
        "processor time",
        "most memory of the process",
        "report",
    ];
    let mut rows = Vec::new();
    for named in reports.all() {
        for kind in kinds {
            let runs = runs(&named.record, kind.name(), Source::Computation);
            rows.extend(runs.map(|run| computation_cells(&named.name, run)));
        }
    }
    markdown::table(&header, &rows)
}

fn computation_cells(report: &str, run: &Run) -> Vec<String> {
    let count = |count: usize| amount(count as f64, Unit::Count);
    let bytes = |bytes: Option<f64>| {
        bytes.map_or(NOT_MEASURED.to_owned(), |bytes| amount(bytes, Unit::Bytes))
    };
    vec![
        run.name.clone(),
        count(run.size.servers),
        count(run.size.services),
        count(run.size.routes),
        count(run.size.tenants),
        bytes(run.read_bytes.map(|bytes| bytes as f64)),
        amount(run.per_node.cpu, Unit::Seconds),
        bytes(run.per_node.memory),
        format!("`{report}`"),
    ]
}
