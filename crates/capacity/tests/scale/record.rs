//! Serialization of records to JSON.

use reelfall_capacity::scale::record::{
    AddedLatency, AxisPair, Convergence, InteractionFit, InteractionPoint, ListPropagation, Record,
    Utilization,
};
use reelfall_capacity::scale::report::{
    Axis, Bend, PerNode, Projection, Report, RequestTimes, Run, Size, Slope, Source, Times, Traffic,
};

const TIMES: Times = Times {
    p50: 0.1,
    p99: 0.25,
    last: 1.5,
};

fn run() -> Run {
    let traffic = Traffic {
        kind: "membership".to_owned(),
        bytes_in: 1.5,
        bytes_out: 2.0,
        messages_in: 0.1,
        messages_out: 0.2,
    };
    Run {
        name: "quiet".to_owned(),
        source: Source::HollowNodes,
        size: Size::TARGET,
        seconds: 10.5,
        per_node: PerNode {
            traffic: vec![traffic],
            peak_bytes: 900.0,
            cpu: 0.0012,
            memory: Some(3e6),
        },
        in_force: Some(TIMES),
        requests: Some(RequestTimes {
            at_rest: TIMES,
            under_changes: TIMES,
        }),
        read_bytes: Some(4096),
        played: None,
    }
}

fn slope() -> Slope {
    Slope {
        axis: Axis::Restarts,
        figure: "bytes".to_owned(),
        points: vec![(1.0, 2.5), (2.0, 3.0)],
        intercept: 0.5,
        slope: 1.25,
        standard_error: 0.125,
        bent: true,
        residuals: vec![0.5, -0.25],
        bend: Some(Bend {
            t: -5.5,
            bound: 4.25,
            bent: true,
        }),
        projection: Some(Projection {
            at: 6_000.0,
            figure: 7_500.5,
            standard_error: 12.5,
        }),
    }
}

fn interaction() -> InteractionFit {
    InteractionFit {
        axes: AxisPair {
            first: Axis::Nodes,
            second: Axis::Restarts,
        },
        figure: "bytes".to_owned(),
        points: vec![InteractionPoint {
            first: 1.0,
            second: 2.0,
            figure: 3.0,
        }],
        coefficients: vec![1.0, 2.0, 3.0, 4.0],
        standard_errors: vec![0.1, 0.2, 0.3, 0.4],
    }
}

/// Creates a record with a value in every field.
fn record() -> Record {
    let mut record = Record::new(u64::MAX);
    record.report.runs.push(run());
    record.report.slopes.push(slope());
    record.interactions.push(interaction());
    record.list_propagation.push(ListPropagation {
        run: "changes".to_owned(),
        times: TIMES,
    });
    record.convergences.push(Convergence {
        after: "start".to_owned(),
        seconds: Some(4.5),
    });
    record.convergences.push(Convergence {
        after: "region-cut".to_owned(),
        seconds: None,
    });
    record.added_latencies.push(AddedLatency {
        p50: 0.25,
        p99: -0.5,
    });
    record.utilizations.push(Utilization {
        run: "quiet".to_owned(),
        share: 0.5,
    });
    record.note_omission("the last part");
    record
}

#[test]
fn record_round_trips_through_json() {
    let record = record();
    let text = record.to_json().expect("a text");
    assert_eq!(Record::from_json(&text).expect("a record"), record);
    assert!(
        record.is_partial
            && record
                .notes
                .iter()
                .any(|note| note.contains("the last part"))
    );
}

#[test]
fn record_is_a_valid_report() {
    let record = record();
    let report: Report =
        serde_json::from_str(&record.to_json().expect("a text")).expect("a report");
    assert_eq!(report, record.report);
    let alone = serde_json::to_string(&report).expect("a text");
    let read = Record::from_json(&alone).expect("a record");
    assert_eq!(
        (read.report, read.is_partial, read.notes.len()),
        (record.report, false, 0)
    );
}

#[test]
fn record_of_another_schema_is_rejected() {
    let text = record().to_json().expect("a text");
    let other = text.replacen("\"schema\": 1", "\"schema\": 2", 1);
    assert_ne!(text, other);
    let error = Record::from_json(&other)
        .expect_err("another schema")
        .to_string();
    assert!(error.contains("schema 2"), "{error}");
    for text in ["", "{}", "[]", "{\"schema\":1}", "{\"schema\":\"1\"}"] {
        assert!(Record::from_json(text).is_err(), "{text}");
    }
}
