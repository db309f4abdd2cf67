//! The tables generated from reports of scale runs.

use crate::recorded_costs;
use reelfall_capacity::budget::measurements::{self, MeasuredRun, Measurements};
use reelfall_capacity::budget::{scale_page, worst_cases, Error};
use reelfall_capacity::scale::record::{Convergence, InteractionFit, Record, Utilization};
use reelfall_capacity::scale::report::{
    self, Axis, Bend, PerNode, Projection, Report, Run, Size, Slope, Source, Times, Traffic,
};

/// The commit of the reports.
const COMMIT: &str = "0123456789abcdef";

/// A schema version that reports never had.
const UNKNOWN_SCHEMA: u32 = 9;

/// Creates a report with one run, the start of a region at the target size, and one fitted slope. A slope whose points
/// deviate from a straight line (`is_bent`) has no projection.
fn report(is_bent: bool) -> Report {
    let traffic = Traffic {
        kind: "gossip".to_owned(),
        bytes_in: 1000.0,
        bytes_out: 2000.0,
        messages_in: 1.0,
        messages_out: 2.0,
    };
    let run = Run {
        name: "region-start".to_owned(),
        source: Source::HollowNodes,
        size: Size::TARGET,
        seconds: 60.0,
        per_node: PerNode {
            traffic: vec![traffic],
            peak_bytes: 5000.0,
            cpu: 0.001,
            memory: Some(9e6),
        },
        in_force: Some(Times {
            p50: 1.0,
            p99: 2.5,
            last: 4.0,
        }),
        requests: None,
        read_bytes: None,
        played: None,
    };
    let slope = Slope {
        axis: Axis::Nodes,
        figure: "bytes a second".to_owned(),
        points: vec![(300.0, 700.0), (1500.0, 3100.0)],
        intercept: 100.0,
        slope: 2.0,
        standard_error: 0.01,
        bent: is_bent,
        residuals: vec![0.0, 0.0],
        bend: Some(Bend {
            t: 3.0,
            bound: 12.706,
            bent: is_bent,
        }),
        projection: (!is_bent).then_some(Projection {
            at: 6_000.0,
            figure: 12_100.0,
            standard_error: 51.0,
        }),
    };
    Report {
        schema: report::SCHEMA,
        commit: COMMIT.to_owned(),
        seed: 1,
        cores: 4,
        runs: vec![run],
        slopes: vec![slope],
    }
}

#[test]
fn tables_show_measured_runs_and_slopes() {
    let folder = reelfall_testbed::node::Folder::new().unwrap();
    assert_eq!(
        Measurements::read(&folder.path().join("none")).unwrap(),
        Measurements::default()
    );
    let write = |report: &Report| {
        let text = serde_json::to_vec(report).unwrap();
        std::fs::write(folder.path().join("a.json"), text).unwrap();
    };
    write(&report(false));
    let measured = Measurements::read(folder.path()).unwrap();
    let runs = measurements::runs_table(&measured.runs);
    assert!(
        runs.contains("| region-start | hollow nodes | 6,000 | 50,000 | 3 KB/s | 3/s | 5 KB |"),
        "{runs}"
    );
    let slopes = measurements::slopes_table(&measured.slopes);
    assert!(slopes.contains("| 12,100, standard error 51 |"), "{slopes}");
    let worst_cases = worst_cases::table(&recorded_costs(), &measured.runs);
    assert!(
        worst_cases.contains("6,000 nodes at 0123456: 5 KB; 2.5 s, 4 s; 9 MB"),
        "{worst_cases}"
    );
    write(&report(true));
    let slopes = measurements::slopes_table(&Measurements::read(folder.path()).unwrap().slopes);
    assert!(slopes.contains("| not extended: it bends |"), "{slopes}");
    write(&Report {
        schema: UNKNOWN_SCHEMA,
        ..report(false)
    });
    assert!(matches!(
        Measurements::read(folder.path()),
        Err(Error::Schema {
            found: UNKNOWN_SCHEMA,
            ..
        })
    ));
}

/// Creates the record of a single run, with a convergence time and a thread utilization.
fn record_of_single_run() -> Record {
    let mut record = Record::new(1);
    record.report = report(false);
    record.report.slopes.clear();
    record.report.runs[0].name = "quiet".to_owned();
    record.convergences.push(Convergence {
        after: "start".to_owned(),
        seconds: Some(4.7),
    });
    record.utilizations.push(Utilization {
        run: "quiet".to_owned(),
        share: 0.625,
    });
    record
}

/// Creates the record of a sweep, with runs of two sources, an interaction fit and an omission.
fn record_of_sweep() -> Record {
    let mut record = Record::new(1);
    record.report = report(false);
    record.report.runs[0].name = "sweep".to_owned();
    let mut settings = record.report.runs[0].clone();
    settings.name = "settings".to_owned();
    settings.source = Source::Computation;
    settings.read_bytes = Some(45_500_000);
    record.report.runs.push(settings);
    record.interactions.push(InteractionFit {
        axes: (Axis::Services, Axis::Routes).into(),
        figure: "length, B".to_owned(),
        points: Vec::new(),
        coefficients: vec![1.0, 2.0, 3.0, 4.0],
        standard_errors: vec![0.1, 0.2, 0.3, 0.4],
    });
    record.note_omission("a window");
    record
}

#[test]
fn scale_page_shows_every_run_and_slope_of_the_records() {
    let folder = reelfall_testbed::node::Folder::new().unwrap();
    let write = |name: &str, record: &Record| {
        std::fs::write(folder.path().join(name), record.to_json().unwrap()).unwrap();
    };
    write("single.json", &record_of_single_run());
    write("sweep.json", &record_of_sweep());
    let tables = scale_page::tables(folder.path()).unwrap();
    let assert_contains = |table: &str, text: &str| {
        assert!(tables[table].contains(text), "{table}: {}", tables[table])
    };
    assert_contains("one-node", "|  | 6,000 nodes | a node may use |");
    assert_contains("one-node", "| at rest, received | 1 KB/s | 8 KB/s |");
    assert_contains(
        "one-node",
        "| memory of a hollow node, at rest | 9 MB | 32 MB |",
    );
    assert_contains(
        "in-force",
        "| all know all after the start of all | 4.7 s |  |",
    );
    assert_contains("in-force", "at rest | 63 % |");
    assert_contains("moments", "| a zone's nodes back at once | not played |");
    assert_contains("requests", "not measured");
    assert_contains(
        "lines",
        "| nodes, 300 to 1,500 | bytes a second | 2.000e0 (1.0e-2) | 0.0e0 | 3.00, bound 12.71 |",
    );
    assert_contains("lines", "| 12,100 (51) at 6,000 |");
    assert_contains(
        "products",
        "| services, routes | length, B | 1.000e0 (1.0e-1) |",
    );
    assert_contains(
        "settings",
        "| settings | 50,000 | 2,600 | 74,000 | 560,000 | 45.5 MB | 1 ms | 9 MB | `sweep.json` |",
    );
    assert_contains(
        "reports",
        "| `sweep.json` | 0123456789abcdef | 4 | 1 | a window |",
    );
    assert_contains(
        "reports",
        "| `single.json` | 0123456789abcdef | 4 | 1 | nothing |",
    );
    let empty = scale_page::tables(&folder.path().join("none")).unwrap();
    assert!(empty["one-node"].contains("Not measured yet"));
}

#[test]
fn sweep_points_are_left_out_of_the_runs() {
    let mut runs: Vec<MeasuredRun> = report(false)
        .runs
        .into_iter()
        .map(|run| MeasuredRun {
            commit: "0".to_owned(),
            run,
        })
        .collect();
    let mut sweep_point = runs[0].clone();
    sweep_point.run.name = "sweep".to_owned();
    runs.push(sweep_point);
    let shown = measurements::without_sweep_points(&runs);
    assert_eq!(
        shown
            .iter()
            .map(|measured| measured.run.name.as_str())
            .collect::<Vec<_>>(),
        ["region-start"]
    );
}
