//! The audit of limits: the page lists each limit of the sources with its value, and the capacity model uses the values
//! of the program.

use crate::{assert_near, read_capacity_page, repository_root};
use reelfall_capacity::budget::model::{self, program_limits};
use reelfall_capacity::budget::CAPACITY_PAGE;
use reelfall_cluster::{fleet, freshness, observer, quorum, table, wire};
use reelfall_config::check;
use std::path::{Path, PathBuf};

/// A constant that limits a size or a number.
#[derive(Debug, PartialEq)]
struct Limit {
    file: String,
    name: String,
    /// The expression in the source.
    value: String,
}

impl Limit {
    /// Returns the beginning of the limit's row in the audit.
    fn row(&self) -> String {
        let Limit { file, name, value } = self;
        format!("| `{file}`, `{name}` | `{value}` |")
    }
}

/// Parses the limit that a source line defines: a constant whose name ends in `_MOST` or begins with `MAX_`.
fn limit_of_line(file: &str, line: &str) -> Option<Limit> {
    let (_, definition) = line
        .trim_start()
        .split_once("const ")
        .filter(|(before, _)| !before.contains("//"))?;
    let (name, type_and_value) = definition.split_once(':')?;
    let (_, value) = type_and_value.split_once('=')?;
    let is_limit = name.ends_with("_MOST") || name.starts_with("MAX_");
    is_limit.then(|| Limit {
        file: file.to_owned(),
        name: name.to_owned(),
        value: value.trim().trim_end_matches(';').to_owned(),
    })
}

/// Returns the limits that a source file defines.
fn limits_of_source(file: &str, source: &str) -> Vec<Limit> {
    source
        .lines()
        .filter_map(|line| limit_of_line(file, line))
        .collect()
}

/// Returns the beginnings of the rows that the audit lacks.
fn missing_rows(page: &str, limits: &[Limit]) -> Vec<String> {
    let is_listed = |row: &String| page.lines().any(|line| line.starts_with(row.as_str()));
    limits
        .iter()
        .map(Limit::row)
        .filter(|row| !is_listed(row))
        .collect()
}

/// Adds the Rust files of a folder and its subfolders to `files`.
fn collect_rust_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Returns the limits in the sources of all packages.
fn limits_of_workspace() -> Vec<Limit> {
    let root = repository_root();
    let mut files = Vec::new();
    for package in std::fs::read_dir(root.join("crates")).unwrap() {
        let source_folder = package.unwrap().path().join("src");
        if source_folder.is_dir() {
            collect_rust_files(&source_folder, &mut files);
        }
    }
    files.sort();
    let limits_of_file = |path: &PathBuf| {
        let name = path.strip_prefix(&root).unwrap().to_str().unwrap();
        limits_of_source(name, &std::fs::read_to_string(path).unwrap())
    };
    files.iter().flat_map(limits_of_file).collect()
}

#[test]
fn audit_lists_every_limit() {
    // Well below the actual number, to detect a scan of the sources that finds too little.
    const MIN_LIMITS: usize = 50;
    let limits = limits_of_workspace();
    assert!(
        limits.len() > MIN_LIMITS,
        "only {} limits were found",
        limits.len()
    );
    let missing = missing_rows(&read_capacity_page(), &limits);
    assert!(
        missing.is_empty(),
        "rows missing in {CAPACITY_PAGE}:\n{}",
        missing.join("\n")
    );
}

#[test]
fn audit_lists_no_removed_limit() {
    let current_rows: Vec<String> = limits_of_workspace().iter().map(Limit::row).collect();
    let page = read_capacity_page();
    let audit_rows = page.lines().filter(|line| {
        line.starts_with("| `crates/") && (line.contains("_MOST` | `") || line.contains("`, `MAX_"))
    });
    let removed: Vec<&str> = audit_rows
        .filter(|audit_row| {
            !current_rows
                .iter()
                .any(|current_row| audit_row.starts_with(current_row))
        })
        .collect();
    assert!(removed.is_empty(), "{removed:#?}");
}

#[test]
fn new_or_changed_limit_is_missing_from_the_audit() {
    let source =
        "// const OLD_MOST: usize = 1;\npub const NEW_MOST: usize = 2 << 10;\npub(super) const A: u8 = 1;\n";
    let limits = limits_of_source("crates/x/src/y.rs", source);
    assert_eq!(
        limits,
        [Limit {
            file: "crates/x/src/y.rs".to_owned(),
            name: "NEW_MOST".to_owned(),
            value: "2 << 10".to_owned(),
        }]
    );
    let row = "| `crates/x/src/y.rs`, `NEW_MOST` | `2 << 10` | names | 5 | fits | refused |";
    assert_eq!(missing_rows(row, &limits), [""; 0]);
    assert_eq!(
        missing_rows(&row.replace("2 <<", "3 <<"), &limits),
        ["| `crates/x/src/y.rs`, `NEW_MOST` | `2 << 10` |"]
    );
    assert_eq!(missing_rows("", &limits).len(), 1);
}

#[test]
fn model_uses_the_limits_of_the_program() {
    let keeper = reelfall_lease::keeper::Config::default();
    let gossip = fleet::Config::default();
    let pairs = [
        (program_limits::SERVICES, check::MAX_SERVICES as f64),
        (program_limits::ROUTES, check::MAX_ROUTES as f64),
        (
            program_limits::SERVER_CONNECTIONS,
            check::ProcessShares::of_process(1024, 128).server_connections as f64,
        ),
        (program_limits::PEERS, fleet::MAX_PEERS as f64),
        (program_limits::VERDICTS, table::MAX_ENTRIES as f64),
        (
            program_limits::DATAGRAM_BYTES,
            wire::MAX_DATAGRAM_LEN as f64,
        ),
        (
            program_limits::OBSERVED_SERVERS,
            observer::MAX_SERVERS as f64,
        ),
        (program_limits::ECHO_AGE_SECONDS, freshness::MAX_ECHO_AGE),
        (
            program_limits::QUORUM_WITNESSES,
            quorum::Quorum::default().min_reporters as f64,
        ),
        (program_limits::LEASE_NAMES, keeper.max_leases as f64),
        (program_limits::LEASE_WAITERS, keeper.max_waiters as f64),
        (
            program_limits::GOSSIP_DATAGRAM_RATE,
            gossip.gossip_fanout as f64 / gossip.gossip_interval,
        ),
    ];
    for (model_limit, program_limit) in pairs {
        assert_near(model_limit, program_limit);
    }
    for nodes in [1, 30, 300, 1500, 6000] {
        assert_near(
            model::gossip::transmissions(nodes as f64),
            f64::from(reelfall_cluster::members::max_transmissions(nodes)),
        );
    }
}
