//! The table of the mechanism for changes of settings: its verdicts follow from the budgets.

use reelfall_capacity::budget::distribution_runs::{
    excesses, DistributionRuns, Excess, BURST_BYTES, MEMORY_RUN_PREFIX, REPORT_FILES,
};
use reelfall_capacity::budget::{capacity_tables, page, CAPACITY_PAGE};
use reelfall_capacity::scale::report::{
    Ages, Control, JudgedBy, PerNode, Played, Report, Run, Size, Source, Times, Traffic, SCHEMA,
};
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn times(last: f64) -> Times {
    Times {
        p50: last / 10.0,
        p99: last / 2.0,
        last,
    }
}

fn played(judged_by: JudgedBy) -> Played {
    Played {
        title: "a play".to_owned(),
        judged_by,
        caught_up: None,
        peak_bytes_10s: 1_000.0,
        missing: 0,
        faults: 0,
        ages: None,
        control: Control {
            bytes_in: 1.0,
            bytes_out: 2.0,
            cpu: 0.001,
            memory: 1e6,
        },
    }
}

fn play(in_force: Option<Times>, bytes: f64) -> Run {
    let traffic = Traffic {
        kind: "configuration".to_owned(),
        bytes_in: bytes / 2.0,
        bytes_out: bytes / 2.0,
        messages_in: 0.0,
        messages_out: 0.0,
    };
    let per_node = PerNode {
        traffic: vec![traffic],
        ..PerNode::default()
    };
    Run {
        name: "a run".to_owned(),
        source: Source::VirtualTime,
        size: Size::TARGET,
        seconds: 60.0,
        per_node,
        in_force,
        requests: None,
        read_bytes: None,
        played: None,
    }
}

fn report(commit: &str, runs: Vec<Run>) -> Report {
    Report {
        schema: SCHEMA,
        commit: commit.to_owned(),
        seed: 1,
        cores: 8,
        runs,
        slopes: Vec::new(),
    }
}

fn plays(runs: Vec<Run>) -> DistributionRuns {
    DistributionRuns {
        reports: vec![report("abc", runs)],
    }
}

#[test]
fn a_play_within_all_budgets_fits() {
    let at_the_budgets = Played {
        peak_bytes_10s: BURST_BYTES,
        ..played(JudgedBy::InForce)
    };
    assert_eq!(
        excesses(&play(Some(times(15.0)), 8_000.0), &at_the_budgets),
        []
    );
}

#[test]
fn each_budget_that_is_passed_is_told_with_its_factor() {
    let slow = play(Some(times(30.0)), 100.0);
    assert_eq!(
        excesses(&slow, &played(JudgedBy::InForce)),
        [Excess::InForce(2.0)]
    );
    // Where changes wait for a cut's end, the time after it counts and not theirs.
    let late = Played {
        caught_up: Some(times(45.0)),
        ..played(JudgedBy::CaughtUp)
    };
    assert_eq!(excesses(&slow, &late), [Excess::CaughtUp(3.0)]);
    assert_eq!(excesses(&slow, &played(JudgedBy::Bytes)), []);
    let waits = play(Some(times(0.0068)), 100.0);
    assert_eq!(
        excesses(&waits, &played(JudgedBy::FirstRequest)),
        [Excess::FirstRequest(2.0)]
    );
    assert_eq!(
        excesses(&play(None, 16_000.0), &played(JudgedBy::InForce)),
        [Excess::MeanTraffic(2.0)]
    );
    let burst = Played {
        peak_bytes_10s: 3.0 * BURST_BYTES,
        ..played(JudgedBy::InForce)
    };
    assert_eq!(
        excesses(&play(None, 100.0), &burst),
        [Excess::BurstTraffic(3.0)]
    );
    let broken = Played {
        faults: 2,
        missing: 3,
        ..played(JudgedBy::InForce)
    };
    assert_eq!(
        excesses(&play(None, 100.0), &broken),
        [Excess::ViolatedGuarantees(2), Excess::Missing(3)]
    );
}

#[test]
fn the_table_has_a_row_for_each_play_and_none_for_other_runs() {
    let ages = Ages {
        compared: 1_200,
        least_margin: 0.25,
        oldest: 130.0,
    };
    let shown = Played {
        ages: Some(ages),
        peak_bytes_10s: 160_000.0,
        ..played(JudgedBy::InForce)
    };
    let shown = Run {
        played: Some(shown),
        ..play(Some(times(30.0)), 100.0)
    };
    let other = play(Some(times(99.0)), 7.0);
    let table = plays(vec![other, shown]).table();
    let row = "| a play | 6,000 | 3, 15, 30 | - | 100 | 160 | 0 % | \
               **does not fit**: 2 times over 15 s, 2 times over 80 kB in 10 s |";
    let rows: Vec<&str> = table
        .lines()
        .filter(|line| line.starts_with("| a play"))
        .collect();
    assert_eq!(rows, [row]);
    assert_eq!(
        table.lines().filter(|line| line.starts_with('|')).count(),
        3
    );
    let few = Size {
        nodes: 600,
        ..Size::TARGET
    };
    let partial = Run {
        size: few,
        played: Some(played(JudgedBy::InForce)),
        ..play(None, 100.0)
    };
    let partial = plays(vec![partial]).table();
    assert!(partial.contains("| fits; partial |"), "{partial}");
    assert!(
        table.contains("Commit abc, seed 1. Promises not kept in all of these plays: 0."),
        "{table}"
    );
    assert!(
        table.contains("1,200 that nodes stated") && table.contains("0.25 s above"),
        "{table}"
    );
}

#[test]
fn rows_of_several_commits_are_told_apart() {
    let titled = |title: &str| {
        let played = Played {
            title: title.to_owned(),
            faults: 1,
            ..played(JudgedBy::InForce)
        };
        Run {
            played: Some(played),
            ..play(None, 100.0)
        }
    };
    let other = play(None, 7.0);
    let reports = vec![
        report("abc", vec![titled("one")]),
        report("def", vec![titled("two"), other, titled("three")]),
    ];
    let table = DistributionRuns { reports }.table();
    let rows: Vec<&str> = table
        .lines()
        .filter(|line| line.starts_with("| t") || line.starts_with("| o"))
        .collect();
    let titles: Vec<&str> = rows
        .iter()
        .filter_map(|row| row.split(" | ").next())
        .collect();
    assert_eq!(titles, ["| one", "| two", "| three"]);
    let commits = "Commit abc, seed 1; the next 2 rows: commit def, seed 1. Promises not kept in all of these plays: 3.";
    assert!(table.contains(commits), "{table}");
}

#[test]
fn reports_of_plays_have_a_line_for_each_field() {
    for file in REPORT_FILES {
        let text = std::fs::read_to_string(root().join(file)).unwrap();
        let longest = text.lines().map(str::len).max().unwrap();
        assert!(longest < 200, "{file}: a line of {longest} bytes");
    }
}

#[test]
fn what_nodes_hold_is_held_against_their_memory() {
    let holds = |name: &str, memory| {
        let per_node = PerNode {
            memory,
            ..PerNode::default()
        };
        Run {
            name: format!("{MEMORY_RUN_PREFIX}{name}"),
            per_node,
            ..play(None, 0.0)
        }
    };
    let runs = vec![
        holds("a node", Some(16e6)),
        holds("a node of all", Some(64e6)),
        holds("a relay", Some(900e6)),
    ];
    let table = plays(runs).table();
    for row in [
        "| a node | 16 MB | fits |",
        "| a node of all | 64 MB | **does not fit**: 2 times over 32 MB |",
        "| a relay | 900 MB | no budget |",
    ] {
        assert!(table.lines().any(|line| line == row), "{table}");
    }
}

#[test]
fn the_page_s_table_is_what_the_plays_make_of_it() {
    let plays = DistributionRuns::read(&root()).unwrap();
    let held = std::fs::read_to_string(root().join(CAPACITY_PAGE)).unwrap();
    let mut tables = capacity_tables(&root()).unwrap();
    assert_eq!(tables["mechanism"], plays.table());
    tables.retain(|name, _| *name == "mechanism");
    assert_eq!(page::stale_tables(&held, &tables).unwrap(), [""; 0]);
    // One figure of one play, and the page is told to be stale.
    let mut other = plays;
    let played = other
        .reports
        .iter_mut()
        .flat_map(|report| &mut report.runs)
        .find_map(|play| play.played.as_mut())
        .unwrap();
    played.peak_bytes_10s += 10_000.0;
    tables.insert("mechanism", other.table());
    assert_eq!(page::stale_tables(&held, &tables).unwrap(), ["mechanism"]);
}
