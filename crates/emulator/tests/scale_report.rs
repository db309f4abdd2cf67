//! Reports of scale runs: their JSON format, and how runs are appended.

use reelfall_emulator::control::account::Usage;
use reelfall_emulator::control::report::{
    Ages, Control, JudgedBy, PerNode, Played, Report, Run, Size, Source, Times, Traffic, SCHEMA,
};
use serde_json::Value;

const TIMES: Times = Times {
    p50: 0.5,
    p99: 2.0,
    last: 4.0,
};

fn run(name: &str, nodes: usize) -> Run {
    let usage = Usage {
        bytes_in: 30.0,
        bytes_out: 12.0,
        messages_in: 3.0,
        messages_out: 2.0,
        cpu: 0.25,
        short_window_max: 900,
        long_window_max: 4_000,
    };
    Run {
        name: name.to_owned(),
        source: Source::VirtualTime,
        size: Size {
            nodes,
            ..Size::default()
        },
        seconds: 60.0,
        per_node: PerNode::of("configuration", &usage, Some(1e6)),
        in_force: Some(TIMES),
        requests: None,
        read_bytes: None,
        played: Some(Played {
            title: "a scenario".to_owned(),
            judged_by: JudgedBy::CaughtUp,
            caught_up: Some(TIMES),
            peak_bytes_10s: 4_000.0,
            missing: 1,
            faults: 2,
            ages: Some(Ages {
                compared: 3,
                least_margin: 0.25,
                oldest: 9.0,
            }),
            control: Control {
                bytes_in: 1.0,
                bytes_out: 2.0,
                cpu: 0.5,
                memory: 3.0,
            },
        }),
    }
}

fn report(runs: Vec<Run>) -> Report {
    Report {
        schema: SCHEMA,
        commit: "abc".to_owned(),
        seed: 1,
        cores: 8,
        runs,
        slopes: Vec::new(),
    }
}

#[test]
fn report_survives_a_json_round_trip() {
    let written = report(vec![run("a run", 6)]);
    let text = serde_json::to_string_pretty(&written).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), written);
}

/// Renames a field of a JSON object.
fn rename(object: &mut Value, field: &str) {
    let fields = object.as_object_mut().unwrap();
    let value = fields.remove(field).unwrap();
    fields.insert(format!("{field}_renamed"), value);
}

#[test]
fn report_with_a_renamed_field_is_rejected() {
    let written = serde_json::to_value(report(vec![run("a run", 6)])).unwrap();
    // Optional fields are included: without the check for unknown fields, they would be dropped silently.
    for path in [
        "",
        "/played",
        "/played/caught_up",
        "/played/ages",
        "/played/control",
        "/per_node",
        "/size",
    ] {
        let path = format!("/runs/0{path}");
        let fields: Vec<String> = written
            .pointer(&path)
            .and_then(Value::as_object)
            .unwrap()
            .keys()
            .cloned()
            .collect();
        for field in fields {
            let mut renamed = written.clone();
            rename(renamed.pointer_mut(&path).unwrap(), &field);
            assert!(
                serde_json::from_value::<Report>(renamed).is_err(),
                "{path}/{field}"
            );
        }
    }
}

#[test]
fn run_replaces_an_earlier_one_with_the_same_name_and_size() {
    let mut report = report(vec![run("one", 6), run("two", 6)]);
    let later = Run {
        seconds: 5.0,
        ..run("one", 6)
    };
    report.append(vec![later.clone(), run("one", 7)]);
    assert_eq!(report.runs, [later, run("two", 6), run("one", 7)]);
}

#[test]
fn per_node_figures_are_those_of_the_usage() {
    let per_node = run("a run", 6).per_node;
    let traffic = Traffic {
        kind: "configuration".to_owned(),
        bytes_in: 30.0,
        bytes_out: 12.0,
        messages_in: 3.0,
        messages_out: 2.0,
    };
    let expected = PerNode {
        traffic: vec![traffic],
        peak_bytes: 900.0,
        cpu: 0.25,
        memory: Some(1e6),
    };
    assert_eq!(per_node, expected);
    assert_eq!(per_node.bytes(), 42.0);
}
