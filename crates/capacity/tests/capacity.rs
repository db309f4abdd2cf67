//! docs/CAPACITY.md says what its inputs make of it, names every bound of the program, and its formulas are right.

use reelfall_capacity::budget::inputs::{Input, Inputs, SCHEMA};
use reelfall_capacity::budget::measurements::{self, MeasuredRun, Measurements};
use reelfall_capacity::budget::model::costs::Costs;
use reelfall_capacity::budget::model::{self, program_limits};
use reelfall_capacity::budget::provenance::Provenance;
use reelfall_capacity::budget::requirement::{Improvement, Requirement, Verdict};
use reelfall_capacity::budget::units::{amount, plain, Unit};
use reelfall_capacity::budget::{
    capacity_tables, page, pages, ranking, scale_page, worst_cases, Error, Page, CAPACITY_PAGE,
    INPUTS,
};
use reelfall_capacity::scale::record::{Convergence, InteractionFit, Record, Utilization};
use reelfall_capacity::scale::report::{
    self, Axis, Bend, PerNode, Projection, Report, Run, Size, Slope, Source, Times, Traffic,
};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn the_page() -> String {
    std::fs::read_to_string(root().join(CAPACITY_PAGE)).unwrap()
}

fn costs() -> Costs {
    Costs::from_inputs(&Inputs::read(&root().join(INPUTS)).unwrap()).unwrap()
}

fn near(a: f64, b: f64) {
    assert!((a - b).abs() <= 1e-6 * b.abs(), "{a} is not {b}");
}

// ---- the page ----

#[test]
fn the_tables_of_the_page_are_what_the_inputs_make_of_them() {
    let tables = capacity_tables(&root()).unwrap();
    let stale = page::stale_tables(&the_page(), &tables).unwrap();
    assert!(
        stale.is_empty(),
        "{stale:?}: cargo run -p reelfall-capacity --example capacity -- --write"
    );
}

#[test]
fn the_tables_of_all_pages_are_what_their_inputs_make_of_them() {
    for Page { file: name, tables } in pages(&root()).unwrap() {
        let held = std::fs::read_to_string(root().join(name)).unwrap();
        let stale = page::stale_tables(&held, &tables).unwrap();
        assert!(
            stale.is_empty(),
            "{name}, {stale:?}: cargo run -p reelfall-capacity --example capacity -- --write"
        );
        let markers: Vec<&str> = held
            .lines()
            .filter_map(|l| l.strip_prefix("<!-- table: "))
            .collect();
        assert_eq!(markers.len(), tables.len(), "{name}: {markers:?}");
        assert!(markers
            .iter()
            .all(|marker| tables.contains_key(marker.trim_end_matches(" -->"))));
    }
}

#[test]
fn a_page_with_another_figure_is_told() {
    let mut tables = capacity_tables(&root()).unwrap();
    tables
        .get_mut("ranking")
        .unwrap()
        .push_str("| another row |\n");
    assert_eq!(
        page::stale_tables(&the_page(), &tables).unwrap(),
        ["ranking"]
    );
    let written = page::replace_tables(&the_page(), &tables).unwrap();
    assert_eq!(page::stale_tables(&written, &tables).unwrap(), [""; 0]);
}

#[test]
fn each_marker_of_the_page_has_a_table() {
    let tables = capacity_tables(&root()).unwrap();
    let page = the_page();
    let markers: Vec<&str> = page
        .lines()
        .filter_map(|l| l.strip_prefix("<!-- table: "))
        .collect();
    let named: Vec<&str> = markers
        .iter()
        .map(|m| m.strip_suffix(" -->").unwrap())
        .collect();
    assert_eq!(named.len(), tables.len());
    assert!(
        named.iter().all(|name| tables.contains_key(name)),
        "{named:?}"
    );
}

#[test]
fn a_table_without_a_whole_place_is_told() {
    let tables = BTreeMap::from([("a", "| x |\n".to_owned())]);
    for page in [
        "",
        "<!-- table: a -->\n",
        "<!-- table: a -->\n<!-- table: b -->\n<!-- end -->\n",
    ] {
        assert!(
            matches!(
                page::replace_tables(page, &tables),
                Err(Error::MissingMarker(_))
            ),
            "{page}"
        );
    }
    let whole = page::replace_tables("<!-- table: a -->\n<!-- end -->\n", &tables).unwrap();
    assert_eq!(whole, "<!-- table: a -->\n\n| x |\n\n<!-- end -->\n");
}

#[test]
fn the_first_row_is_the_changes_of_settings() {
    let first = &ranking::shortfalls(&costs())[0];
    assert!(
        first.name.starts_with("changes of settings"),
        "{}",
        first.name
    );
    let factors: Vec<f64> = ranking::shortfalls(&costs())
        .iter()
        .map(ranking::Shortfall::factor)
        .collect();
    assert!(
        factors.is_sorted_by(|a, b| a >= b) && factors.iter().all(|f| *f > 1.0),
        "{factors:?}"
    );
}

// ---- the audit ----

/// A bound in the sources: file, name and value.
type Bound = (String, String, String);

/// All constants of a source whose names end in `_MOST` or begin with `MAX_`.
fn bounds_of(file: &str, source: &str) -> Vec<Bound> {
    let of = |line: &str| {
        let line = line.trim_start();
        let (_, rest) = line
            .split_once("const ")
            .filter(|(before, _)| !before.contains("//"))?;
        let (name, rest) = rest.split_once(':')?;
        let (_, value) = rest.split_once('=')?;
        (name.ends_with("_MOST") || name.starts_with("MAX_")).then(|| {
            (
                file.to_owned(),
                name.to_owned(),
                value.trim().trim_end_matches(';').to_owned(),
            )
        })
    };
    source.lines().filter_map(of).collect()
}

/// The bounds that have no row of their own in the page, as rows that want to be filled in.
fn unlisted(page: &str, bounds: &[Bound]) -> Vec<String> {
    let row = |(file, name, value): &Bound| format!("| `{file}`, `{name}` | `{value}` |");
    let listed = |row: &String| page.lines().any(|line| line.starts_with(row.as_str()));
    bounds.iter().map(row).filter(|row| !listed(row)).collect()
}

fn sources(folder: &Path, all: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, all);
        } else if path.extension().is_some_and(|e| e == "rs") {
            all.push(path);
        }
    }
}

/// All bounds in the sources of all packages.
fn bounds() -> Vec<Bound> {
    let mut files = Vec::new();
    for package in std::fs::read_dir(root().join("crates")).unwrap() {
        let source = package.unwrap().path().join("src");
        if source.is_dir() {
            sources(&source, &mut files);
        }
    }
    files.sort();
    let root = root();
    let of = |path: &PathBuf| {
        let name = path
            .strip_prefix(&root)
            .unwrap()
            .to_str()
            .unwrap()
            .to_owned();
        bounds_of(&name, &std::fs::read_to_string(path).unwrap())
    };
    files.iter().flat_map(of).collect()
}

#[test]
fn every_bound_of_the_sources_stands_in_the_audit() {
    let bounds = bounds();
    assert!(bounds.len() > 50, "{} bounds were found", bounds.len());
    let unlisted = unlisted(&the_page(), &bounds);
    assert!(
        unlisted.is_empty(),
        "rows wanted in {CAPACITY_PAGE}:\n{}",
        unlisted.join("\n")
    );
}

#[test]
fn every_row_of_the_audit_is_a_bound_of_the_sources() {
    let bounds = bounds();
    let page = the_page();
    let rows = page.lines().filter(|l| {
        l.starts_with("| `crates/") && (l.contains("_MOST` | `") || l.contains("`, `MAX_"))
    });
    let gone: Vec<&str> = rows
        .filter(|row| {
            !bounds
                .iter()
                .any(|(f, n, v)| row.starts_with(&format!("| `{f}`, `{n}` | `{v}` |")))
        })
        .collect();
    assert!(gone.is_empty(), "{gone:#?}");
}

#[test]
fn a_bound_that_is_new_or_has_another_value_is_told() {
    let source =
        "// const OLD_MOST: usize = 1;\npub const NEW_MOST: usize = 2 << 10;\npub(super) const A: u8 = 1;\n";
    let bounds = bounds_of("crates/x/src/y.rs", source);
    assert_eq!(
        bounds,
        [(
            "crates/x/src/y.rs".into(),
            "NEW_MOST".into(),
            "2 << 10".into()
        )]
    );
    let row = "| `crates/x/src/y.rs`, `NEW_MOST` | `2 << 10` | names | 5 | fits | refused |";
    assert_eq!(unlisted(row, &bounds), [""; 0]);
    assert_eq!(
        unlisted(&row.replace("2 <<", "3 <<"), &bounds),
        ["| `crates/x/src/y.rs`, `NEW_MOST` | `2 << 10` |"]
    );
    assert_eq!(unlisted("", &bounds).len(), 1);
}

#[test]
fn the_bounds_of_the_model_are_the_program_s() {
    use reelfall_cluster::{fleet, freshness, observer, quorum, table, wire};
    use reelfall_config::check;
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
            quorum::Quorum::default().witnesses as f64,
        ),
        (program_limits::LEASE_NAMES, keeper.max_leases as f64),
        (program_limits::LEASE_WAITERS, keeper.max_waiters as f64),
        (
            program_limits::GOSSIP_DATAGRAM_RATE,
            gossip.fanout as f64 / gossip.spread_every,
        ),
    ];
    pairs
        .iter()
        .for_each(|(model, program)| near(*model, *program));
    for nodes in [1, 30, 300, 1500, 6000] {
        near(
            model::gossip::transmissions(nodes as f64),
            f64::from(reelfall_cluster::members::max_transmissions(nodes)),
        );
    }
}

// ---- the formulas, by hand ----

/// Costs in round figures.
fn round() -> Costs {
    Costs {
        settings_bytes: 39e6,
        read_seconds: 80.0,
        read_length: 4e6,
        read_memory: 150e6,
        route_bytes: 1000.0,
        tenant_bytes: 100.0,
        pool_bytes: 20_000.0,
        endpoint_bytes: 2000.0,
        peer_bytes: 500.0,
        list_line_bytes: 200.0,
        list_changes_per_restart: 3.0,
        packet_overhead: 50.0,
        heartbeat_bytes: 6.0,
        heartbeat_interval: 2.0,
        idle_timeout: 12.0,
        gossip_datagram_rate: 3.5,
        verdict_bytes: 100.0,
        member_update_bytes: 40.0,
        header_bytes: 100.0,
        lease_length: 5.0,
        keepers: 5.0,
        lease_request_bytes: 100.0,
        lease_response_bytes: 150.0,
        machine_bandwidth: 1e9,
        idle_node_cores: 0.004,
        idle_service_cores: 1e-4,
        idle_node_bytes: 6e6,
        expiry_seconds: 1e-8,
        verdict_seconds: 1e-7,
        member_update_seconds: 1e-9,
        sampling_seconds: 1e-7,
        lease_scan_seconds: 1e-7,
        registry_poll_interval: 30.0,
        registry_entry_bytes: 210.0,
        registry_entry_seconds: 60e-6,
        ..costs()
    }
}

#[test]
fn sizes_are_in_the_target_s_proportion() {
    let few = model::scaled_size(300);
    assert_eq!(
        (few.servers, few.services, few.routes, few.tenants),
        (2500, 130, 3700, 28_000)
    );
    assert_eq!((few.changes, few.restarts), (650, 900));
    assert_eq!(model::scaled_size(6000), Size::TARGET);
    near(model::request_rate(&few), 85_000.0);
}

#[test]
fn settings_by_hand() {
    let (costs, target) = (round(), Size::TARGET);
    assert_eq!(model::settings::entries(&target), 686_600.0);
    near(model::settings::file_bytes(&costs, &target), 39e6);
    near(
        model::settings::file_bytes(&costs, &model::scaled_size(1500)),
        9.75e6,
    );
    near(model::settings::change_rate(&target), 13_000.0 / 86_400.0);
    near(model::settings::read_seconds(&costs, 40e6), 800.0);
    near(model::settings::read_memory(&costs, 40e6), 1.5e9);
    near(
        39e6 * model::settings::change_rate(&target),
        5_868_055.555_555,
    );
}

#[test]
fn lists_by_hand() {
    let (costs, target) = (round(), Size::TARGET);
    near(
        model::endpoint_lists::heartbeat_traffic(&costs, &target),
        1300.0 * 106.0,
    );
    near(model::endpoint_lists::list_bytes(&costs, 50_000.0), 1e7);
    assert_eq!(model::endpoint_lists::max_list_servers(&costs), 20_971.0);
    near(model::endpoint_lists::change_traffic(&costs, 2.5), 2250.0);
    let polling = model::endpoint_lists::registry_polling(&costs, &target);
    near(polling.traffic, 350_000.0);
    near(polling.cores, 0.1);
}

#[test]
fn what_a_node_holds_by_hand() {
    let memory = model::node::memory(&round(), &Size::TARGET);
    near(memory.routes, 74e6);
    near(memory.tenants, 56e6);
    near(memory.pools, 2600.0 * 4000.0);
    near(memory.servers, 100e6);
    near(memory.peers, 2_999_500.0);
}

#[test]
fn work_by_hand() {
    let (costs, target) = (round(), Size::TARGET);
    near(model::node::idle_cores(&costs, &target), 0.264);
    near(model::node::expiry_cores(&costs, &target), 0.002);
    near(
        model::node::verdict_cores(&costs, &target),
        10.0 * 2730.0 * 2600.0 * 1e-7,
    );
    near(model::gossip::member_update_seconds(&costs, 6000.0), 6e-6);
    near(model::gossip::sampling_cores(&costs, 6000.0), 0.006);
    near(
        model::leases::keeper_scan_cores(&costs, &target),
        20_280.0 * 33_800.0 * 1e-7,
    );
}

#[test]
fn connections_by_hand() {
    let (costs, target) = (round(), Size::TARGET);
    near(
        model::connections::request_rate_to_server(&target),
        1.7e6 / 3e8,
    );
    // 1 - e^-0.068
    near(
        model::connections::idle_ratio(&costs, &target),
        0.065_739_526_42,
    );
    near(
        model::connections::servers_at_warm_rate(&target),
        850.0 / 6.0,
    );
}

#[test]
fn a_fleet_by_hand() {
    let (costs, target) = (round(), Size::TARGET);
    assert_eq!(model::gossip::transmissions(6000.0), 16.0);
    near(model::gossip::max_traffic(), 72_000.0);
    // Eleven verdicts in a datagram.
    near(
        model::gossip::spread_seconds(&costs, 3300.0, 6000.0),
        3300.0 * 16.0 / 11.0 / 30.0,
    );
    // 1 - e^(-420 / 5999)
    near(
        model::gossip::recent_echo_ratio(&costs, &target),
        0.067_617_059_77,
    );
    near(model::gossip::node_restart_rate(&target, 2.8), 0.3);
    near(
        model::gossip::membership_traffic(&costs, &target, 2.8),
        2.0 * 14.4 * 140.0,
    );
    assert_eq!(model::node::max_condemned_servers(&target), 2730.0);
    assert_eq!(
        model::node::max_condemned_servers(&model::scaled_size(300)),
        500.0
    );
}

#[test]
fn leases_by_hand() {
    let (costs, target) = (round(), Size::TARGET);
    assert_eq!(model::leases::names(&target), 33_800.0);
    near(model::leases::renewal_rate(&costs, &target), 20_280.0);
    near(model::leases::keeper_traffic(&costs, &target), 5_070_000.0);
    near(model::leases::requester_traffic(&costs, &target), 650_000.0);
}

#[test]
fn tenants_and_machines_by_hand() {
    let (costs, target) = (round(), Size::TARGET);
    // e^(-17,000 / 560,000)
    near(
        model::tenants::uncached_request_ratio(&target, 60.0),
        0.970_099_007_74,
    );
    assert_eq!(model::tenants::over_quota_burst(&target), 18_000.0);
    near(
        model::distribution::nodes_per_machine(&target, 13.0),
        461.538_461_538,
    );
    near(
        model::distribution::transfer_seconds(&costs, 39e6, 1500.0, 4.5),
        13.0,
    );
}

// ---- inputs, rows and words ----

fn input(name: &str) -> Input {
    let (name, unit, about) = (name.to_owned(), "B".to_owned(), "a thing".to_owned());
    Input {
        name,
        value: 2.0,
        unit,
        provenance: Provenance::Assumed,
        description: about,
        command: None,
        commit: None,
    }
}

#[test]
fn an_input_that_is_missing_is_named() {
    let inputs = Inputs {
        schema: SCHEMA,
        inputs: vec![input("settings_bytes")],
    };
    assert_eq!(inputs.value("settings_bytes").unwrap(), 2.0);
    assert!(matches!(
        Costs::from_inputs(&inputs),
        Err(Error::MissingInput("read_seconds"))
    ));
}

#[test]
fn inputs_of_another_format_are_refused() {
    let folder = reelfall_testbed::node::Folder::new().unwrap();
    let file = folder.path().join("inputs.json");
    std::fs::write(&file, r#"{"schema":9,"inputs":[]}"#).unwrap();
    assert!(matches!(
        Inputs::read(&file),
        Err(Error::Schema { found: 9, .. })
    ));
    std::fs::write(&file, "{").unwrap();
    assert!(matches!(Inputs::read(&file), Err(Error::Json { .. })));
    assert!(matches!(
        Inputs::read(&folder.path().join("none")),
        Err(Error::File { .. })
    ));
}

#[test]
fn measured_inputs_say_at_which_commit_and_all_say_what_they_are() {
    let inputs = Inputs::read(&root().join(INPUTS)).unwrap();
    for input in &inputs.inputs {
        assert!(!input.description.is_empty(), "{}", input.name);
        assert!(
            input.provenance != Provenance::Measured || input.commit.is_some(),
            "{}",
            input.name
        );
        assert!(
            inputs
                .inputs
                .iter()
                .filter(|i| i.name == input.name)
                .count()
                == 1,
            "{} twice",
            input.name
        );
    }
}

/// A report with one run, of the region's start at the target, and a line that bends or not.
fn report(bent: bool) -> Report {
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
        bent,
        residuals: vec![0.0, 0.0],
        bend: Some(Bend {
            t: 3.0,
            bound: 12.706,
            bent,
        }),
        projection: (!bent).then_some(Projection {
            at: 6_000.0,
            figure: 12_100.0,
            standard_error: 51.0,
        }),
    };
    let commit = "0123456789abcdef".to_owned();
    Report {
        schema: report::SCHEMA,
        commit,
        seed: 1,
        cores: 4,
        runs: vec![run],
        slopes: vec![slope],
    }
}

#[test]
fn what_scale_runs_have_measured_is_shown() {
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
    let lines = measurements::slopes_table(&measured.slopes);
    assert!(lines.contains("| 12,100, standard error 51 |"), "{lines}");
    let moments = worst_cases::table(&costs(), &measured.runs);
    assert!(
        moments.contains("6,000 nodes at 0123456: 5 KB; 2.5 s, 4 s; 9 MB"),
        "{moments}"
    );
    write(&report(true));
    let lines = measurements::slopes_table(&Measurements::read(folder.path()).unwrap().slopes);
    assert!(lines.contains("| not extended: it bends |"), "{lines}");
    write(&Report {
        schema: 9,
        ..report(false)
    });
    assert!(matches!(
        Measurements::read(folder.path()),
        Err(Error::Schema { found: 9, .. })
    ));
}

#[test]
fn the_page_of_scale_runs_has_each_run_and_each_line_of_their_reports() {
    let folder = reelfall_testbed::node::Folder::new().unwrap();
    let write = |name: &str, record: &Record| {
        std::fs::write(folder.path().join(name), record.to_json().unwrap()).unwrap();
    };
    let mut single = Record::new(1);
    single.report = report(false);
    single.report.slopes.clear();
    single.report.runs[0].name = "quiet".to_owned();
    single.convergences.push(Convergence {
        after: "start".to_owned(),
        seconds: Some(4.7),
    });
    single.utilizations.push(Utilization {
        run: "quiet".to_owned(),
        share: 0.625,
    });
    write("single.json", &single);
    let mut sweep = Record::new(1);
    sweep.report = report(false);
    sweep.report.runs[0].name = "sweep".to_owned();
    let mut settings = sweep.report.runs[0].clone();
    settings.name = "settings".to_owned();
    settings.source = Source::Computation;
    settings.read_bytes = Some(45_500_000);
    sweep.report.runs.push(settings);
    sweep.interactions.push(InteractionFit {
        axes: (Axis::Services, Axis::Routes).into(),
        figure: "length, B".to_owned(),
        points: Vec::new(),
        coefficients: vec![1.0, 2.0, 3.0, 4.0],
        standard_errors: vec![0.1, 0.2, 0.3, 0.4],
    });
    sweep.note_omission("a window");
    write("sweep.json", &sweep);
    let tables = scale_page::tables(folder.path()).unwrap();
    let has = |table: &str, text: &str| {
        assert!(tables[table].contains(text), "{table}: {}", tables[table])
    };
    has("one-node", "|  | 6,000 nodes | a node may use |");
    has("one-node", "| at rest, received | 1 KB/s | 8 KB/s |");
    has(
        "one-node",
        "| memory of a hollow node, at rest | 9 MB | 32 MB |",
    );
    has(
        "in-force",
        "| all know all after the start of all | 4.7 s |  |",
    );
    has("in-force", "at rest | 63 % |");
    has("moments", "| a zone's nodes back at once | not played |");
    has("requests", "not measured");
    has(
        "lines",
        "| nodes, 300 to 1,500 | bytes a second | 2.000e0 (1.0e-2) | 0.0e0 | 3.00, bound 12.71 |",
    );
    has("lines", "| 12,100 (51) at 6,000 |");
    has(
        "products",
        "| services, routes | length, B | 1.000e0 (1.0e-1) |",
    );
    has(
        "settings",
        "| settings | 50,000 | 2,600 | 74,000 | 560,000 | 45.5 MB | 1 ms | 9 MB | `sweep.json` |",
    );
    has(
        "reports",
        "| `sweep.json` | 0123456789abcdef | 4 | 1 | a window |",
    );
    has(
        "reports",
        "| `single.json` | 0123456789abcdef | 4 | 1 | nothing |",
    );
    let none = scale_page::tables(&folder.path().join("none")).unwrap();
    assert!(none["one-node"].contains("Not measured yet"));
}

#[test]
fn points_of_sweeps_are_not_told_one_by_one() {
    let mut runs: Vec<MeasuredRun> = report(false)
        .runs
        .into_iter()
        .map(|run| MeasuredRun {
            commit: "0".to_owned(),
            run,
        })
        .collect();
    let mut point = runs[0].clone();
    point.run.name = "sweep".to_owned();
    runs.push(point);
    let kept = measurements::without_sweep_points(&runs);
    assert_eq!(
        kept.iter()
            .map(|measured| measured.run.name.as_str())
            .collect::<Vec<_>>(),
        ["region-start"]
    );
}

fn row(target: Option<f64>, budget: Option<f64>, with: Option<(&'static str, f64)>) -> Requirement {
    Requirement {
        name: "a thing",
        derivation: "counted",
        provenance: Provenance::Measured,
        amounts: [Some(1.0), None, target],
        budget,
        unit: Unit::Count,
        mechanism: "nobody",
        improvement: with.map(|(name, amount)| Improvement { name, amount }),
    }
}

#[test]
fn verdicts_by_hand() {
    assert_eq!(row(Some(10.0), Some(10.0), None).verdict(), Verdict::Fits);
    assert_eq!(
        row(Some(15.0), Some(10.0), None).verdict(),
        Verdict::DoesNotFit(1.5)
    );
    assert_eq!(
        row(Some(15.0), Some(10.0), Some(("x", 9.0))).verdict(),
        Verdict::FitsWith(Improvement {
            name: "x",
            amount: 9.0
        })
    );
    assert_eq!(
        row(Some(15.0), Some(10.0), Some(("x", 11.0))).verdict(),
        Verdict::DoesNotFit(1.5)
    );
    assert_eq!(row(Some(15.0), None, None).verdict(), Verdict::NoBudget);
    assert_eq!(row(None, Some(10.0), None).verdict(), Verdict::NotKnown);
}

#[test]
fn amounts_are_written_to_three_digits() {
    let plains = [
        (0.0, "0"),
        (1234.6, "1,235"),
        (1_300_000.0, "1,300,000"),
        (0.012, "0.012"),
        (39.04, "39"),
        (0.5, "0.5"),
    ];
    plains
        .iter()
        .for_each(|(value, text)| assert_eq!(plain(*value), *text));
    let amounts = [
        (39e6, Unit::Bytes, "39 MB"),
        (8000.0, Unit::BytesPerSecond, "8 KB/s"),
        (999.9, Unit::Bytes, "1 KB"),
        (0.0017, Unit::Seconds, "1.7 ms"),
        (37e-6, Unit::Seconds, "37 us"),
        (8532.0, Unit::Seconds, "8,532 s"),
        (0.012, Unit::Cores, "1.2 % of a core"),
        (2600.0, Unit::Count, "2,600"),
        (0.0, Unit::Bytes, "0 B"),
    ];
    amounts
        .iter()
        .for_each(|(value, unit, text)| assert_eq!(amount(*value, *unit), *text));
}
