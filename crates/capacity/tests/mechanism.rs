//! The table of settings distribution on the capacity page, whose verdicts follow from the budgets.

use reelfall_capacity::budget::distribution_runs::{
    excesses, DistributionRuns, Excess, BURST_BYTES, MEMORY_RUN_PREFIX, REPORT_FILES,
};
use reelfall_capacity::budget::{capacity_tables, page, CAPACITY_PAGE};
use reelfall_capacity::scale::report::{
    Ages, Control, JudgedBy, PerNode, Played, Report, Run, Size, Source, Times, Traffic, SCHEMA,
};
use std::path::{Path, PathBuf};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Creates a distribution of times whose largest is `last` seconds.
fn times(last: f64) -> Times {
    Times {
        p50: last / 10.0,
        p99: last / 2.0,
        last,
    }
}

/// Creates the result of a distribution run that is well within all budgets.
fn small_result(judged_by: JudgedBy) -> Played {
    Played {
        title: "a distribution".to_owned(),
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

/// Creates a run with a total traffic, in and out, of `bytes` per second.
fn run(in_force: Option<Times>, bytes: f64) -> Run {
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

fn distribution_runs(runs: Vec<Run>) -> DistributionRuns {
    DistributionRuns {
        reports: vec![report("abc", runs)],
    }
}

#[test]
fn run_at_all_budgets_exceeds_none() {
    let at_the_budgets = Played {
        peak_bytes_10s: BURST_BYTES,
        ..small_result(JudgedBy::InForce)
    };
    assert_eq!(
        excesses(&run(Some(times(15.0)), 8_000.0), &at_the_budgets),
        []
    );
}

#[test]
fn each_exceeded_budget_is_reported_with_its_factor() {
    let slow = run(Some(times(30.0)), 100.0);
    assert_eq!(
        excesses(&slow, &small_result(JudgedBy::InForce)),
        [Excess::InForce(2.0)]
    );
    // If changes wait for the end of a partition, only the time after its end is compared with the budget.
    let late = Played {
        caught_up: Some(times(45.0)),
        ..small_result(JudgedBy::CaughtUp)
    };
    assert_eq!(excesses(&slow, &late), [Excess::CaughtUp(3.0)]);
    assert_eq!(excesses(&slow, &small_result(JudgedBy::Bytes)), []);
    let late_first_request = run(Some(times(0.0068)), 100.0);
    assert_eq!(
        excesses(&late_first_request, &small_result(JudgedBy::FirstRequest)),
        [Excess::FirstRequest(2.0)]
    );
    assert_eq!(
        excesses(&run(None, 16_000.0), &small_result(JudgedBy::InForce)),
        [Excess::MeanTraffic(2.0)]
    );
    let burst = Played {
        peak_bytes_10s: 3.0 * BURST_BYTES,
        ..small_result(JudgedBy::InForce)
    };
    assert_eq!(
        excesses(&run(None, 100.0), &burst),
        [Excess::BurstTraffic(3.0)]
    );
    let violated = Played {
        faults: 2,
        missing: 3,
        ..small_result(JudgedBy::InForce)
    };
    assert_eq!(
        excesses(&run(None, 100.0), &violated),
        [Excess::ViolatedGuarantees(2), Excess::Missing(3)]
    );
}

#[test]
fn table_has_one_row_per_distribution_run() {
    let ages = Ages {
        compared: 1_200,
        least_margin: 0.25,
        oldest: 130.0,
    };
    let result = Played {
        ages: Some(ages),
        peak_bytes_10s: 160_000.0,
        ..small_result(JudgedBy::InForce)
    };
    let shown = Run {
        played: Some(result),
        ..run(Some(times(30.0)), 100.0)
    };
    let other = run(Some(times(99.0)), 7.0);
    let table = distribution_runs(vec![other, shown]).table();
    let row = "| a distribution | 6,000 | 3, 15, 30 | - | 100 | 160 | 0 % | \
               **does not fit**: 2 times over 15 s, 2 times over 80 kB in 10 s |";
    let rows: Vec<&str> = table
        .lines()
        .filter(|line| line.starts_with("| a distribution"))
        .collect();
    assert_eq!(rows, [row]);
    assert_eq!(
        table.lines().filter(|line| line.starts_with('|')).count(),
        3
    );
    let few_nodes = Size {
        nodes: 600,
        ..Size::TARGET
    };
    let partial = Run {
        size: few_nodes,
        played: Some(small_result(JudgedBy::InForce)),
        ..run(None, 100.0)
    };
    let partial_table = distribution_runs(vec![partial]).table();
    assert!(
        partial_table.contains("| fits; partial |"),
        "{partial_table}"
    );
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
fn table_names_the_commit_of_each_row() {
    let titled = |title: &str| {
        let result = Played {
            title: title.to_owned(),
            faults: 1,
            ..small_result(JudgedBy::InForce)
        };
        Run {
            played: Some(result),
            ..run(None, 100.0)
        }
    };
    let other = run(None, 7.0);
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
fn report_files_have_one_field_per_line() {
    for file in REPORT_FILES {
        let text = std::fs::read_to_string(repository_root().join(file)).unwrap();
        let longest = text.lines().map(str::len).max().unwrap();
        assert!(longest < 200, "{file}: a line of {longest} bytes");
    }
}

#[test]
fn memory_runs_are_compared_with_memory_budgets() {
    let memory_run = |name: &str, memory| {
        let per_node = PerNode {
            memory,
            ..PerNode::default()
        };
        Run {
            name: format!("{MEMORY_RUN_PREFIX}{name}"),
            per_node,
            ..run(None, 0.0)
        }
    };
    let runs = vec![
        memory_run("a node", Some(16e6)),
        memory_run("a node of all", Some(64e6)),
        memory_run("a relay", Some(900e6)),
    ];
    let table = distribution_runs(runs).table();
    for row in [
        "| a node | 16 MB | fits |",
        "| a node of all | 64 MB | **does not fit**: 2 times over 32 MB |",
        "| a relay | 900 MB | no budget |",
    ] {
        assert!(table.lines().any(|line| line == row), "{table}");
    }
}

#[test]
fn capacity_page_matches_the_reports() {
    let runs = DistributionRuns::read(&repository_root()).unwrap();
    let page_text = std::fs::read_to_string(repository_root().join(CAPACITY_PAGE)).unwrap();
    let mut tables = capacity_tables(&repository_root()).unwrap();
    assert_eq!(tables["mechanism"], runs.table());
    tables.retain(|name, _| *name == "mechanism");
    assert_eq!(page::stale_tables(&page_text, &tables).unwrap(), [""; 0]);
    // A change of a single figure makes the page stale.
    let mut changed = runs;
    let result = changed
        .reports
        .iter_mut()
        .flat_map(|report| &mut report.runs)
        .find_map(|run| run.played.as_mut())
        .unwrap();
    result.peak_bytes_10s += 10_000.0;
    tables.insert("mechanism", changed.table());
    assert_eq!(
        page::stale_tables(&page_text, &tables).unwrap(),
        ["mechanism"]
    );
}
