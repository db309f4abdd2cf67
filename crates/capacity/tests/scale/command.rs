//! The command line of scale runs, tested in processes of the program.

use crate::PROGRAM;
use reelfall_capacity::scale::record::Record;
use reelfall_capacity::scale::report::Source;
use std::path::Path;
use std::process::{Command, Output};

fn run_scale(args: &[&str]) -> Output {
    Command::new(PROGRAM)
        .arg("scale")
        .args(args)
        .output()
        .expect("the program runs")
}

/// Runs the command and returns the record that it writes to `file`.
fn run_to_record(args: &[&str], file: &Path) -> Record {
    let output = run_scale(&[args, &["--json", &file.display().to_string()]].concat());
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    Record::from_json(&std::fs::read_to_string(file).expect("a file")).expect("a record")
}

#[test]
fn oversized_run_is_rejected_with_the_number_of_nodes_that_fit() {
    let output = run_scale(&["--nodes", "10000000"]);
    assert!(!output.status.success());
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        message.contains("10000000 hollow nodes need") && message.contains("nodes fit"),
        "{message}"
    );
}

#[test]
fn expired_deadline_produces_a_partial_record() {
    let folder = reelfall_testbed::node::Folder::new().expect("a folder");
    let single = run_to_record(
        &["--nodes", "12", "--real", "0", "--deadline", "0"],
        &folder.path().join("single.json"),
    );
    assert!(single.is_partial);
    assert!(
        single
            .notes
            .iter()
            .any(|note| note.starts_with("left out: all")),
        "{:?}",
        single.notes
    );
    assert!(single
        .report
        .runs
        .iter()
        .all(|run| run.source != Source::HollowNodes));
    let sweep = run_to_record(
        &["sweep", "--deadline", "0"],
        &folder.path().join("sweep.json"),
    );
    assert!(sweep.is_partial && sweep.report.runs.is_empty() && sweep.report.slopes.is_empty());
    let is_omission = |note: &String| note.contains("300 nodes: the time is over");
    assert!(sweep.notes.iter().any(is_omission), "{:?}", sweep.notes);
}

#[test]
fn smoke_run_passes() {
    let output = run_scale(&["--smoke"]);
    let message = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        output.status.success() && message.trim_end().ends_with("smoke: pass"),
        "{message}"
    );
}
