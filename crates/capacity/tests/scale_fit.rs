//! The statistics of scale runs, tested on data with known results.

use reelfall_capacity::scale::fit::{bend, projection, residuals, slope, t_bound, Point};
use reelfall_capacity::scale::least_squares::least_squares;
use reelfall_capacity::scale::record::AxisPair;
use reelfall_capacity::scale::record_text::slope_text;
use reelfall_capacity::scale::report::{Axis, PerNode, Run, Size, Slope, Source, Traffic};
use reelfall_capacity::scale::{lines, plot, sweep, sweep_fit};
use std::ops::Range;

/// The first two of Anscombe's data sets ("Graphs in Statistical Analysis", 1973), which have the same regression line:
/// the points scatter around the line in the first, and lie on a curve in the second.
const X: [f64; 11] = [10.0, 8.0, 13.0, 9.0, 11.0, 14.0, 6.0, 4.0, 12.0, 7.0, 5.0];
const SCATTERED: [f64; 11] = [
    8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68,
];
const CURVED: [f64; 11] = [
    9.14, 8.14, 8.74, 8.77, 9.26, 8.10, 6.13, 3.10, 9.13, 7.26, 4.74,
];

/// Returns the points of one of Anscombe's data sets.
fn anscombe_points(figures: &[f64; 11]) -> Vec<Point> {
    let points = X.iter().zip(figures);
    points.map(|(x, y)| Point { x: *x, y: *y }).collect()
}

/// Returns the points of a function at the given x values.
fn function_points(places: Range<u32>, function: impl Fn(f64) -> f64) -> Vec<Point> {
    let places = places.map(f64::from);
    places.map(|x| Point { x, y: function(x) }).collect()
}

#[track_caller]
fn assert_near(value: f64, expected: f64, tolerance: f64) {
    assert!(
        (value - expected).abs() <= tolerance,
        "{value} differs from {expected}"
    );
}

fn fitted_slope(points: &[Point]) -> Slope {
    slope(Axis::Nodes, "figure", points).expect("a slope")
}

#[test]
fn anscombe_fits_match_published_values() {
    for figures in [&SCATTERED, &CURVED] {
        let fitted = fitted_slope(&anscombe_points(figures));
        assert_near(fitted.slope, 0.500, 0.001);
        assert_near(fitted.intercept, 3.00, 0.005);
        assert_near(fitted.standard_error, 0.118, 0.001);
    }
}

#[test]
fn only_the_curved_anscombe_set_is_bent() {
    let scattered = anscombe_points(&SCATTERED);
    let curved = anscombe_points(&CURVED);
    assert!(!fitted_slope(&scattered).bent);
    assert!(fitted_slope(&curved).bent);
    let bend = bend(&curved).expect("enough points");
    // The quadratic term is negative and far beyond its bound.
    assert!(bend.t < -100.0, "{}", bend.t);
    assert_near(bend.bound, 2.306, 1e-9);
}

#[test]
fn exact_line_is_fitted_exactly() {
    let places = (1..=6).map(|thousands| f64::from(thousands) * 1000.0);
    let exact: Vec<Point> = places
        .map(|x| Point {
            x,
            y: 2.0 + 3.0 * x,
        })
        .collect();
    let fitted = fitted_slope(&exact);
    assert_near(fitted.slope, 3.0, 1e-9);
    assert_near(fitted.intercept, 2.0, 1e-6);
    assert!(fitted.standard_error < 1e-9);
    assert!(!fitted.bent);
    assert!(residuals(&fitted)
        .iter()
        .all(|residual| residual.abs() < 1e-6));
}

#[test]
fn exact_parabola_is_bent() {
    // An exact fit has no residual error to compare the quadratic term with.
    let fitted = fitted_slope(&function_points(0..5, |x| x * x));
    assert!(fitted.bent);
    assert_eq!(projection(&fitted, 100.0), None);
}

#[test]
fn constant_figure_is_not_bent() {
    let fitted = fitted_slope(&function_points(0..5, |_| 7.0));
    assert_near(fitted.slope, 0.0, 1e-12);
    assert!(!fitted.bent);
    let zeros = function_points(0..5, |_| 0.0);
    assert!(!fitted_slope(&zeros).bent);
}

#[test]
fn noise_around_a_line_is_within_the_bend_bound() {
    // Alternating noise has almost no quadratic part.
    let noise = |x: f64| if x % 2.0 == 0.0 { 0.5 } else { -0.5 };
    let noisy = function_points(0..6, |x| 2.0 * x + noise(x));
    let bend = bend(&noisy).expect("enough points");
    assert!(!bend.bent && bend.t.abs() < bend.bound, "{bend:?}");
}

#[test]
fn t_bounds_match_students_distribution() {
    assert_near(t_bound(1), 12.706, 1e-9);
    assert_near(t_bound(2), 4.303, 1e-9);
    assert_near(t_bound(10), 2.228, 1e-9);
    assert_near(t_bound(30), 2.042, 1e-9);
    assert_near(t_bound(1000), 1.96, 1e-9);
    assert_eq!(t_bound(0), f64::INFINITY);
}

#[test]
fn projection_error_grows_with_distance_from_mean() {
    let fitted = fitted_slope(&anscombe_points(&SCATTERED));
    let mean = projection(&fitted, 9.0).expect("no bend");
    assert_near(mean.figure, 7.50, 0.01);
    assert_near(mean.standard_error, 0.0, 1e-9);
    let far = projection(&fitted, 109.0).expect("no bend");
    assert_near(far.figure, mean.figure + 100.0 * fitted.slope, 1e-9);
    assert_near(far.standard_error, 100.0 * fitted.standard_error, 1e-9);
}

#[test]
fn slope_contains_residuals_bend_and_projection() {
    let straight = fitted_slope(&anscombe_points(&SCATTERED));
    assert_eq!(straight.residuals, residuals(&straight));
    let stored_points = straight.points.iter();
    let stored_points: Vec<Point> = stored_points.map(|(x, y)| Point { x: *x, y: *y }).collect();
    assert_eq!(straight.bend, bend(&stored_points));
    let expected = projection(&straight, Size::TARGET.nodes as f64).expect("no bend");
    let target = straight.projection.expect("no bend");
    assert_eq!(
        (target.at, target.figure, target.standard_error),
        (6_000.0, expected.figure, expected.standard_error)
    );
    let bent = fitted_slope(&anscombe_points(&CURVED));
    assert!(bent.bent && bent.bend.is_some_and(|bend| bend.bent && bend.t < -100.0));
    assert_eq!(bent.projection, None);
    // An exact curve has no error, but its t is still a number that JSON can represent.
    let exact = function_points(0..5, |x| x * x);
    let text = serde_json::to_string(&fitted_slope(&exact)).expect("JSON");
    let decoded: Slope = serde_json::from_str(&text).expect("a slope");
    assert!(decoded.bend.is_some_and(|bend| bend.t >= 1e12), "{text}");
}

#[test]
fn text_of_a_bent_slope_has_no_projection() {
    let straight = slope_text(&fitted_slope(&anscombe_points(&SCATTERED)));
    assert!(straight.contains("at 6000: "), "{straight}");
    let bent = slope_text(&fitted_slope(&anscombe_points(&CURVED)));
    assert!(
        bent.contains("no projection") && !bent.contains("at 6000"),
        "{bent}"
    );
    assert!(bent.contains("bound 2.31"), "{bent}");
    assert!(bent.contains("residuals"), "{bent}");
    // A very small slope is printed with all its digits.
    let small = slope_text(&fitted_slope(&function_points(1..6, |x| 2e-8 * x)));
    assert!(small.contains("2.0000e-8"), "{small}");
}

#[test]
fn least_squares_separates_two_axes_and_their_product() {
    let grid = || {
        [10.0, 20.0, 30.0]
            .into_iter()
            .flat_map(|x| [1.0, 2.0, 5.0].map(|y| (x, y)))
    };
    let rows: Vec<Vec<f64>> = grid().map(|(x, y)| vec![1.0, x, y, x * y]).collect();
    let figures: Vec<f64> = grid()
        .map(|(x, y)| 7.0 + 2.0 * x - 3.0 * y + 0.5 * x * y)
        .collect();
    let fit = least_squares(&rows, &figures).expect("enough points");
    for (coefficient, expected) in fit.coefficients.iter().zip([7.0, 2.0, -3.0, 0.5]) {
        assert_near(*coefficient, expected, 1e-8);
    }
    assert!(fit.residuals.iter().all(|residual| residual.abs() < 1e-8));
}

/// Creates a run whose nodes receive two kinds of traffic: `bytes` per second and 1 byte per second.
fn sweep_run(nodes: usize, restarts: usize, bytes: f64) -> Run {
    let traffic = |kind: &str, bytes_in: f64| Traffic {
        kind: kind.to_owned(),
        bytes_in,
        bytes_out: 0.0,
        messages_in: 0.0,
        messages_out: 0.0,
    };
    Run {
        name: "sweep".to_owned(),
        source: Source::HollowNodes,
        size: Size {
            nodes,
            restarts,
            ..sweep::BASE
        },
        seconds: 1.0,
        per_node: PerNode {
            traffic: vec![traffic("a", bytes), traffic("b", 1.0)],
            ..PerNode::default()
        },
        in_force: None,
        requests: None,
        read_bytes: None,
        played: None,
    }
}

#[test]
fn interaction_of_nodes_and_restarts_is_fitted() {
    let bytes_in = |run: &Run| {
        let traffic = run.per_node.traffic.iter();
        Some(traffic.map(|traffic| traffic.bytes_in).sum())
    };
    let bytes = |nodes: usize, restarts: usize| {
        10.0 + nodes as f64 + 2.0 * restarts as f64 + 0.25 * (nodes * restarts) as f64
    };
    let runs_of_nodes =
        |nodes| [10, 20, 40].map(|restarts| sweep_run(nodes, restarts, bytes(nodes, restarts)));
    let runs: Vec<Run> = [1, 2, 4].into_iter().flat_map(runs_of_nodes).collect();
    let axes = AxisPair {
        first: Axis::Nodes,
        second: Axis::Restarts,
    };
    let interaction = sweep_fit::interaction(axes, "bytes", bytes_in, &runs).expect("enough runs");
    assert_eq!(interaction.axes, axes);
    assert_near(interaction.coefficients[0], 11.0, 1e-8);
    assert_near(interaction.coefficients[3], 0.25, 1e-10);
    assert_eq!(interaction.points.len(), 9);
    // With as many runs as terms, the standard errors are undetermined.
    assert!(sweep_fit::interaction(axes, "bytes", bytes_in, &runs[..4]).is_none());
}

#[test]
fn only_missing_slopes_are_added_to_a_report() {
    let mut runs: Vec<Run> = [50, 100, 150, 200]
        .map(|nodes| sweep_run(nodes, 0, 10.0 * nodes as f64))
        .to_vec();
    // Runs that differ along two axes.
    runs.extend([1, 2, 3, 4].map(|count| Run {
        name: "both".to_owned(),
        ..sweep_run(count, count, 1.0)
    }));
    // Too few runs for a slope.
    runs.extend([1, 2].map(|nodes| Run {
        name: "few".to_owned(),
        ..sweep_run(nodes, 0, 1.0)
    }));
    let slopes = lines::lines_through(&runs);
    assert_eq!(slopes.len(), 1, "{slopes:?}");
    assert_eq!(
        slopes[0].figure,
        "sweep: control traffic of a node, in and out, B/s"
    );
    assert_near(slopes[0].slope, 10.0, 1e-9);
    let report = serde_json::json!({
        "schema": 1, "commit": "0", "seed": 1, "cores": 8, "runs": runs, "slopes": [], "further": { "field": 7 },
    });
    let completed = lines::with_lines(&report.to_string()).expect("a report");
    let mut decoded: serde_json::Value = serde_json::from_str(&completed).expect("JSON");
    let added: Vec<Slope> = serde_json::from_value(decoded["slopes"].clone()).expect("slopes");
    assert_eq!((added.len(), added[0].bent), (1, false));
    decoded["slopes"] = serde_json::json!([]);
    assert_eq!(decoded, report);
    let other_schema = report.to_string().replace("\"schema\":1", "\"schema\":2");
    assert!(lines::with_lines(&other_schema).is_err());
}

#[test]
fn too_few_or_coincident_points_have_no_slope() {
    let three_points = [(1.0, 1.0), (2.0, 2.0), (3.0, 2.5)].map(|(x, y)| Point { x, y });
    assert!(slope(Axis::Nodes, "few", &three_points).is_none());
    assert!(slope(Axis::Nodes, "none", &[]).is_none());
    let one_place = [0.0, 1.0, 2.0, 3.0, 4.0].map(|y| Point { x: 3.0, y });
    assert!(slope(Axis::Nodes, "one place", &one_place).is_none());
}

#[test]
fn linearly_dependent_terms_have_no_fit() {
    let rows: Vec<Vec<f64>> = (1..6)
        .map(f64::from)
        .map(|x| vec![1.0, x, 2.0 * x])
        .collect();
    assert!(least_squares(&rows, &[1.0, 2.0, 3.0, 4.0, 5.0]).is_none());
    assert!(least_squares(&rows, &[1.0, 2.0]).is_none());
    assert!(least_squares(&[vec![1.0], vec![f64::NAN]], &[1.0, 2.0]).is_none());
    assert!(least_squares(&[], &[]).is_none());
}

#[test]
fn each_slope_is_plotted_to_its_own_file() {
    let folder = reelfall_testbed::node::Folder::new().expect("a folder");
    let mut slopes = vec![
        fitted_slope(&anscombe_points(&SCATTERED)),
        fitted_slope(&anscombe_points(&CURVED)),
    ];
    slopes[0].figure = "control traffic, B/s".to_owned();
    slopes[1].axis = Axis::Restarts;
    plot::write_plots(&slopes, folder.path()).expect("plots");
    assert_eq!(plot::file_name(&slopes[0]), "nodes-control-traffic-b-s.svg");
    for (slope, is_bent) in slopes.iter().zip([false, true]) {
        let svg =
            std::fs::read_to_string(folder.path().join(plot::file_name(slope))).expect("a file");
        assert!(svg.starts_with("<svg"), "{}", &svg[..40]);
        assert_eq!(svg.matches("<circle").count(), 11);
        assert!(svg.contains(&slope.figure));
        assert_eq!(svg.contains("(bent)"), is_bent);
    }
}
