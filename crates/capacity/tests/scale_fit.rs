//! The statistics of scale runs on data whose answers are known.

use reelfall_capacity::scale::fit::{bend, projection, residuals, slope, t_bound, Point};
use reelfall_capacity::scale::least_squares::least_squares;
use reelfall_capacity::scale::record::AxisPair;
use reelfall_capacity::scale::record_text::slope_text;
use reelfall_capacity::scale::report::{Axis, Run, Size, Slope, Source};
use reelfall_capacity::scale::{lines, plot, report::PerNode, report::Traffic, sweep, sweep_fit};

/// The first two of Anscombe's data sets ("Graphs in Statistical Analysis", 1973): one line, and in the second a curve.
const X: [f64; 11] = [10.0, 8.0, 13.0, 9.0, 11.0, 14.0, 6.0, 4.0, 12.0, 7.0, 5.0];
const SCATTERED: [f64; 11] = [
    8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68,
];
const CURVED: [f64; 11] = [
    9.14, 8.14, 8.74, 8.77, 9.26, 8.10, 6.13, 3.10, 9.13, 7.26, 4.74,
];

fn points(figures: &[f64; 11]) -> Vec<(f64, f64)> {
    X.into_iter().zip(figures.iter().copied()).collect()
}

fn sweep_points(points: &[(f64, f64)]) -> Vec<Point> {
    points.iter().map(|(x, y)| Point { x: *x, y: *y }).collect()
}

fn near(value: f64, expected: f64, tolerance: f64) {
    assert!(
        (value - expected).abs() <= tolerance,
        "{value} is not {expected}"
    );
}

fn line(points: &[(f64, f64)]) -> Slope {
    slope(Axis::Nodes, "figure", &sweep_points(points)).expect("a line")
}

#[test]
fn anscombes_lines_have_their_published_slope_intercept_and_error() {
    for y in [&SCATTERED, &CURVED] {
        let line = line(&points(y));
        near(line.slope, 0.500, 0.001);
        near(line.intercept, 3.00, 0.005);
        near(line.standard_error, 0.118, 0.001);
    }
}

#[test]
fn of_anscombes_sets_the_curve_is_bent_and_the_scatter_is_not() {
    let (scattered, curved) = (points(&SCATTERED), points(&CURVED));
    assert!(!line(&scattered).bent);
    assert!(line(&curved).bent);
    let bend = bend(&sweep_points(&curved)).expect("enough points");
    // The quadratic term is negative, and far beyond its bound.
    assert!(bend.t < -100.0, "{}", bend.t);
    near(bend.bound, 2.306, 1e-9);
}

#[test]
fn a_line_without_noise_is_found_exactly_and_does_not_bend() {
    let exact: Vec<(f64, f64)> = (1..=6)
        .map(|n| f64::from(n) * 1000.0)
        .map(|x| (x, 2.0 + 3.0 * x))
        .collect();
    let line = line(&exact);
    near(line.slope, 3.0, 1e-9);
    near(line.intercept, 2.0, 1e-6);
    assert!(line.standard_error < 1e-9);
    assert!(!line.bent);
    assert!(residuals(&line).iter().all(|r| r.abs() < 1e-6));
}

#[test]
fn a_parabola_without_noise_bends_though_it_has_no_error_to_compare_with() {
    let exact: Vec<(f64, f64)> = (0..5).map(f64::from).map(|x| (x, x * x)).collect();
    let line = line(&exact);
    assert!(line.bent);
    assert_eq!(projection(&line, 100.0), None);
}

#[test]
fn a_figure_that_does_not_change_does_not_bend() {
    let still: Vec<(f64, f64)> = (0..5).map(f64::from).map(|x| (x, 7.0)).collect();
    let line = line(&still);
    near(line.slope, 0.0, 1e-12);
    assert!(!line.bent);
    let nothing: Vec<(f64, f64)> = (0..5).map(f64::from).map(|x| (x, 0.0)).collect();
    assert!(!self::line(&nothing).bent);
}

#[test]
fn noise_around_a_line_is_no_bend_at_the_bound_that_is_stated() {
    // Alternating noise has no quadratic part to speak of.
    let noisy: Vec<(f64, f64)> = (0..6)
        .map(|n| {
            (
                f64::from(n),
                2.0 * f64::from(n) + if n % 2 == 0 { 0.5 } else { -0.5 },
            )
        })
        .collect();
    let bend = bend(&sweep_points(&noisy)).expect("enough points");
    assert!(!bend.bent && bend.t.abs() < bend.bound, "{bend:?}");
}

#[test]
fn bounds_are_those_of_students_distribution() {
    near(t_bound(1), 12.706, 1e-9);
    near(t_bound(2), 4.303, 1e-9);
    near(t_bound(10), 2.228, 1e-9);
    near(t_bound(30), 2.042, 1e-9);
    near(t_bound(1000), 1.96, 1e-9);
    assert_eq!(t_bound(0), f64::INFINITY);
}

#[test]
fn a_projection_grows_in_error_with_its_distance_and_passes_through_the_mean() {
    let line = line(&points(&SCATTERED));
    let mean = projection(&line, 9.0).expect("no bend");
    near(mean.figure, 7.50, 0.01);
    near(mean.standard_error, 0.0, 1e-9);
    let far = projection(&line, 109.0).expect("no bend");
    near(far.figure, mean.figure + 100.0 * line.slope, 1e-9);
    near(far.standard_error, 100.0 * line.standard_error, 1e-9);
}

#[test]
fn a_line_holds_its_residuals_its_bend_and_what_it_says_of_the_target() {
    let straight = line(&points(&SCATTERED));
    assert_eq!(straight.residuals, residuals(&straight));
    assert_eq!(straight.bend, bend(&sweep_points(&straight.points)));
    let expected = projection(&straight, Size::TARGET.nodes as f64).expect("no bend");
    let target = straight.projection.expect("no bend");
    assert_eq!(
        (target.at, target.figure, target.standard_error),
        (6_000.0, expected.figure, expected.standard_error)
    );
    let bent = line(&points(&CURVED));
    assert!(bent.bent && bent.bend.is_some_and(|bend| bend.bent && bend.t < -100.0));
    assert_eq!(bent.projection, None);
    // An exact curve has no error, and its t is still a number that JSON can hold.
    let exact: Vec<(f64, f64)> = (0..5).map(f64::from).map(|x| (x, x * x)).collect();
    let text = serde_json::to_string(&line(&exact)).expect("a text");
    let read: Slope = serde_json::from_str(&text).expect("a line");
    assert!(read.bend.is_some_and(|bend| bend.t >= 1e12), "{text}");
}

#[test]
fn what_is_printed_of_a_bent_sweep_holds_no_projection() {
    let straight = slope_text(&line(&points(&SCATTERED)));
    assert!(straight.contains("at 6000: "), "{straight}");
    let bent = slope_text(&line(&points(&CURVED)));
    assert!(
        bent.contains("no projection") && !bent.contains("at 6000"),
        "{bent}"
    );
    assert!(bent.contains("bound 2.31"), "{bent}");
    assert!(bent.contains("residuals"), "{bent}");
    // A slope of millionths is told as well.
    let small: Vec<(f64, f64)> = (1..6)
        .map(|n| (f64::from(n), 2e-8 * f64::from(n)))
        .collect();
    assert!(
        slope_text(&line(&small)).contains("2.0000e-8"),
        "{}",
        slope_text(&line(&small))
    );
}

#[test]
fn two_axes_and_their_product_are_told_apart() {
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
    for (factor, expected) in fit.coefficients.iter().zip([7.0, 2.0, -3.0, 0.5]) {
        near(*factor, expected, 1e-8);
    }
    assert!(fit.residuals.iter().all(|r| r.abs() < 1e-8));
}

fn run(nodes: usize, restarts: usize, bytes: f64) -> Run {
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
fn a_product_term_is_fitted_to_runs_by_nodes_and_restarts() {
    let bytes = |run: &Run| Some(run.per_node.traffic.iter().map(|t| t.bytes_in).sum());
    let of = |(n, r): (usize, usize)| {
        run(
            n,
            r,
            10.0 + n as f64 + 2.0 * r as f64 + 0.25 * (n * r) as f64,
        )
    };
    let sizes = [1, 2, 4]
        .into_iter()
        .flat_map(|n| [10, 20, 40].map(|r| (n, r)));
    let runs: Vec<Run> = sizes.map(of).collect();
    let axes = AxisPair {
        first: Axis::Nodes,
        second: Axis::Restarts,
    };
    let interaction = sweep_fit::interaction(axes, "bytes", bytes, &runs).expect("enough runs");
    assert_eq!(interaction.axes, axes);
    near(interaction.coefficients[0], 11.0, 1e-8);
    near(interaction.coefficients[3], 0.25, 1e-10);
    assert_eq!(interaction.points.len(), 9);
    // As many runs as terms leave no error to state.
    assert!(sweep_fit::interaction(axes, "bytes", bytes, &runs[..4]).is_none());
}

#[test]
fn a_report_without_lines_is_given_those_of_its_runs_and_nothing_else_changes() {
    let mut runs: Vec<Run> = [50, 100, 150, 200]
        .map(|n| run(n, 0, 10.0 * n as f64))
        .to_vec();
    // These differ along two axes, and those are too few.
    runs.extend([1, 2, 3, 4].map(|n| Run {
        name: "both".to_owned(),
        ..run(n, n, 1.0)
    }));
    runs.extend([1, 2].map(|n| Run {
        name: "few".to_owned(),
        ..run(n, 0, 1.0)
    }));
    let lines = lines::lines_through(&runs);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(
        lines[0].figure,
        "sweep: control traffic of a node, in and out, B/s"
    );
    near(lines[0].slope, 10.0, 1e-9);
    let text = serde_json::json!({
        "schema": 1, "commit": "0", "seed": 1, "cores": 8, "runs": runs, "slopes": [], "further": { "field": 7 },
    });
    let added = lines::with_lines(&text.to_string()).expect("a report");
    let mut read: serde_json::Value = serde_json::from_str(&added).expect("JSON");
    let slopes: Vec<Slope> = serde_json::from_value(read["slopes"].clone()).expect("lines");
    assert_eq!((slopes.len(), slopes[0].bent), (1, false));
    read["slopes"] = serde_json::json!([]);
    assert_eq!(read, text);
    assert!(lines::with_lines(&text.to_string().replace("\"schema\":1", "\"schema\":2")).is_err());
}

#[test]
fn no_line_is_drawn_through_too_few_points_or_one_place() {
    assert!(slope(
        Axis::Nodes,
        "few",
        &sweep_points(&[(1.0, 1.0), (2.0, 2.0), (3.0, 2.5)])
    )
    .is_none());
    assert!(slope(Axis::Nodes, "none", &[]).is_none());
    let one_place: Vec<(f64, f64)> = (0..5).map(|n| (3.0, f64::from(n))).collect();
    assert!(slope(Axis::Nodes, "one place", &sweep_points(&one_place)).is_none());
}

#[test]
fn terms_that_can_not_be_told_apart_have_no_fit() {
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
fn each_sweep_is_a_plot_of_its_own_with_its_points_and_its_line() {
    let folder = reelfall_testbed::node::Folder::new().expect("a folder");
    let mut slopes = vec![line(&points(&SCATTERED)), line(&points(&CURVED))];
    slopes[0].figure = "control traffic, B/s".to_owned();
    slopes[1].axis = Axis::Restarts;
    plot::write_plots(&slopes, folder.path()).expect("plots");
    assert_eq!(plot::file_name(&slopes[0]), "nodes-control-traffic-b-s.svg");
    for (slope, marked) in slopes.iter().zip([false, true]) {
        let svg =
            std::fs::read_to_string(folder.path().join(plot::file_name(slope))).expect("a file");
        assert!(svg.starts_with("<svg"), "{}", &svg[..40]);
        assert_eq!(svg.matches("<circle").count(), 11);
        assert!(svg.contains(&slope.figure));
        assert_eq!(svg.contains("(bent)"), marked);
    }
}
