//! Scale runs: their report, their bounds, and small runs of each part.

use reelfall_capacity::scale::computation::{self, Computation};
use reelfall_capacity::scale::counters::{per_node, Counters, Meter, Sample, Totals};
use reelfall_capacity::scale::drive::ages;
use reelfall_capacity::scale::hollow::{self, Hollow, Parts, Setup, KINDS};
use reelfall_capacity::scale::limits::{
    memory_of, Deadline, Machine, TooLarge, FILES_RESERVED, RUN_MOST,
};
use reelfall_capacity::scale::lists::{server_name, Lists, Read, FAILING};
use reelfall_capacity::scale::network::Network;
use reelfall_capacity::scale::record::{Added, Busy, Gathered, ListsInForce, Product, Record};
use reelfall_capacity::scale::report::{
    Axis, Bend, PerNode, Projection, Report, RequestTimes, Run, Size, Slope, Source, Times, Traffic,
};
use reelfall_capacity::scale::shared::{Doing, ZONES};
use reelfall_capacity::scale::window::{
    measure, moments, schedule, times, until_gathered, Event, Rates, DAY,
};
use reelfall_capacity::scale::{fleet, machine, smoke, sweep};
use reelfall_testbed::scripted::Program;
use reelfall_testbed::SeededRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// No wait in these tests is longer; a passing one needs a small part of it.
const PATIENCE: Duration = Duration::from_secs(60);

const RIG: &str = env!("CARGO_BIN_EXE_reelfall-capacity");

const SIZE: Size = Size {
    nodes: 12,
    servers: 40,
    services: 4,
    routes: 20,
    tenants: 20,
    changes: 0,
    restarts: 0,
};

// ---- the report ----

fn record() -> Record {
    let some = Times {
        p50: 0.1,
        p99: 0.25,
        last: 1.5,
    };
    let traffic = Traffic {
        kind: "membership".to_owned(),
        bytes_in: 1.5,
        bytes_out: 2.0,
        messages_in: 0.1,
        messages_out: 0.2,
    };
    let run = Run {
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
        in_force: Some(some),
        requests: Some(RequestTimes {
            at_rest: some,
            under_changes: some,
        }),
        read_bytes: Some(4096),
        played: None,
    };
    let slope = Slope {
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
    };
    let product = Product {
        axes: (Axis::Nodes, Axis::Restarts),
        figure: "bytes".to_owned(),
        points: vec![(1.0, 2.0, 3.0)],
        factors: vec![1.0, 2.0, 3.0, 4.0],
        standard_errors: vec![0.1, 0.2, 0.3, 0.4],
    };
    let mut record = Record::new(u64::MAX);
    record.report.runs.push(run);
    record.report.slopes.push(slope);
    record.products.push(product);
    record.lists_in_force.push(ListsInForce {
        run: "changes".to_owned(),
        times: some,
    });
    record.gathered.push(Gathered {
        after: "start".to_owned(),
        seconds: Some(4.5),
    });
    record.gathered.push(Gathered {
        after: "region-cut".to_owned(),
        seconds: None,
    });
    record.added.push(Added {
        p50: 0.25,
        p99: -0.5,
    });
    record.busy.push(Busy {
        run: "quiet".to_owned(),
        share: 0.5,
    });
    record.left_out("the last part");
    record
}

#[test]
fn a_report_is_read_as_it_was_written() {
    let record = record();
    let text = record.to_json().expect("a text");
    assert_eq!(Record::from_json(&text).expect("a record"), record);
    assert!(
        record.partial
            && record
                .notes
                .iter()
                .any(|note| note.contains("the last part"))
    );
}

#[test]
fn whoever_reads_the_figures_alone_can_read_the_file() {
    let record = record();
    let report: Report =
        serde_json::from_str(&record.to_json().expect("a text")).expect("a report");
    assert_eq!(report, record.report);
    let alone = serde_json::to_string(&report).expect("a text");
    let read = Record::from_json(&alone).expect("a record");
    assert_eq!(
        (read.report, read.partial, read.notes.len()),
        (record.report, false, 0)
    );
}

#[test]
fn a_report_of_another_schema_is_refused() {
    let text = record().to_json().expect("a text");
    let other = text.replacen("\"schema\": 1", "\"schema\": 2", 1);
    assert_ne!(text, other);
    let fault = Record::from_json(&other)
        .expect_err("another schema")
        .to_string();
    assert!(fault.contains("schema 2"), "{fault}");
    for text in ["", "{}", "[]", "{\"schema\":1}", "{\"schema\":\"1\"}"] {
        assert!(Record::from_json(text).is_err(), "{text}");
    }
}

// ---- bounds ----

const MACHINE: Machine = Machine {
    files: 20_000,
    memory: 24 << 30,
    cores: 8,
};

#[test]
fn nodes_for_which_there_are_no_sockets_are_refused_and_it_is_said_how_many_fit() {
    let small = Machine {
        files: 1024,
        ..MACHINE
    };
    let fits = 1024 - FILES_RESERVED;
    assert_eq!(
        small.check(
            &Size {
                nodes: fits,
                ..SIZE
            },
            5
        ),
        Ok(())
    );
    let fault = small
        .check(
            &Size {
                nodes: 6_000,
                ..SIZE
            },
            5,
        )
        .expect_err("too many");
    assert_eq!(
        fault,
        TooLarge::Sockets {
            nodes: 6_000,
            needed: 6_512,
            limit: 1024,
            fits
        }
    );
    let said = fault.to_string();
    assert!(
        said.contains("6512 open files") && said.contains("512 nodes fit"),
        "{said}"
    );
    assert_eq!(
        Machine {
            files: 10,
            ..MACHINE
        }
        .fits_files(),
        0
    );
}

#[test]
fn nodes_that_take_more_than_half_of_the_memory_are_refused() {
    let fits = MACHINE.fits_memory(SIZE.servers);
    assert!(memory_of(fits, SIZE.servers) <= MACHINE.memory / 2);
    assert!(memory_of(fits + 1, SIZE.servers) > MACHINE.memory / 2);
    assert_eq!(
        MACHINE.check(
            &Size {
                nodes: fits,
                ..SIZE
            },
            5
        ),
        Ok(())
    );
    let fault = MACHINE
        .check(
            &Size {
                nodes: fits + 1,
                ..SIZE
            },
            5,
        )
        .expect_err("too many");
    assert!(
        matches!(fault, TooLarge::Memory { fits: f, half_mib: 12288, .. } if f == fits),
        "{fault}"
    );
}

#[test]
fn too_few_nodes_and_too_many_processes_are_refused() {
    let fault = MACHINE
        .check(&Size { nodes: 1, ..SIZE }, 5)
        .expect_err("too few");
    assert!(matches!(fault, TooLarge::TooFew { nodes: 1, .. }));
    let fault = MACHINE.check(&SIZE, 300).expect_err("too many");
    assert_eq!(
        fault,
        TooLarge::Processes {
            wanted: 300,
            fits: 290
        }
    );
}

#[test]
fn no_run_has_more_time_than_ten_minutes() {
    assert!(Deadline::within(Duration::from_secs(86_400)).left() <= RUN_MOST);
    assert_eq!(RUN_MOST, Duration::from_secs(600));
    let over = Deadline::within(Duration::ZERO);
    assert!(over.left().is_zero() && !over.allows(Duration::ZERO));
}

#[test]
fn limits_and_memory_are_read_from_the_systems_texts() {
    let limits = "Limit                     Soft Limit           Hard Limit           Units     \n\
                  Max open files            1024                 524288               files     \n";
    assert_eq!(machine::open_files(limits), Some(1024));
    assert_eq!(
        machine::open_files("Max open files  unlimited  unlimited  files"),
        Some(usize::MAX)
    );
    assert_eq!(machine::open_files("Max processes  3  3  processes"), None);
    assert_eq!(
        machine::field_kib("MemFree: 1 kB\nMemTotal:       24681456 kB\n", "MemTotal:"),
        Some(24_681_456)
    );
    let here = machine::machine().expect("this machine");
    assert!(here.files > 0 && here.memory > 0 && here.cores > 0);
    assert!(machine::resident().expect("memory") < here.memory);
}

fn rig(args: &[&str]) -> Output {
    Command::new(RIG)
        .arg("scale")
        .args(args)
        .output()
        .expect("the rig runs")
}

#[test]
fn the_command_says_clearly_what_does_not_fit() {
    let output = rig(&["--nodes", "10000000"]);
    assert!(!output.status.success());
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        said.contains("10000000 hollow nodes need") && said.contains("nodes fit"),
        "{said}"
    );
}

fn written(args: &[&str], file: &Path) -> Record {
    let output = rig(&[args, &["--json", &file.display().to_string()]].concat());
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    Record::from_json(&std::fs::read_to_string(file).expect("a file")).expect("a record")
}

#[test]
fn a_run_whose_time_is_over_ends_with_a_partial_report_that_says_so() {
    let folder = reelfall_testbed::node::Folder::new().expect("a folder");
    let single = written(
        &["--nodes", "12", "--real", "0", "--deadline", "0"],
        &folder.path().join("single.json"),
    );
    assert!(single.partial);
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
    let sweep = written(
        &["sweep", "--deadline", "0"],
        &folder.path().join("sweep.json"),
    );
    assert!(sweep.partial && sweep.report.runs.is_empty() && sweep.report.slopes.is_empty());
    let nodes = |note: &String| note.contains("300 nodes: the time is over");
    assert!(sweep.notes.iter().any(nodes), "{:?}", sweep.notes);
}

// ---- the short form ----

#[test]
fn the_smoke_run_passes_and_gives_the_same_figures_every_time() {
    let (one, other) = (smoke::run(7).expect("a run"), smoke::run(7).expect("a run"));
    assert_eq!(one.broken, Vec::<String>::new());
    assert_eq!(one.record, other.record);
    let runs = &one.record.report.runs;
    assert_eq!(
        runs.iter().map(|run| run.size.nodes).collect::<Vec<_>>(),
        smoke::SIZES
    );
    for run in runs {
        assert_eq!(run.source, Source::VirtualTime);
        let in_force = run.in_force.expect("a ban");
        assert!(in_force.last <= smoke::IN_FORCE_MOST);
        let all = &run.per_node.traffic[0];
        assert!(all.messages_out > 1.0 && all.bytes_out > 100.0, "{all:?}");
        assert!(all.bytes_in + all.bytes_out <= smoke::BYTES_MOST);
    }
    assert_eq!(one.record.report.slopes.len(), 2);
}

#[test]
fn the_command_plays_the_smoke_run() {
    let output = rig(&["--smoke"]);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        output.status.success() && said.trim_end().ends_with("smoke: pass"),
        "{said}"
    );
}

// ---- counters ----

#[test]
fn bytes_of_a_sample_are_dealt_to_kinds_and_add_up() {
    let mut sample = Sample::default();
    sample.add(Parts {
        kind: hollow::MEMBERSHIP,
        own: 300,
        verdicts: 100,
    });
    sample.add(Parts {
        kind: hollow::COMPARISON,
        own: 500,
        verdicts: 0,
    });
    sample.add(Parts {
        kind: hollow::VERDICTS,
        own: 60,
        verdicts: 40,
    });
    assert_eq!(sample.shares(hollow::MEMBERSHIP), (1.0 / 3.0, 0.3));
    assert_eq!(sample.shares(hollow::VERDICTS), (1.0 / 3.0, 0.2));
    assert_eq!(sample.shares(hollow::ERRAND), (0.0, 0.0));
    let sum = |of: fn((f64, f64)) -> f64| {
        (0..KINDS.len())
            .map(|kind| of(sample.shares(kind)))
            .sum::<f64>()
    };
    assert!((sum(|(messages, _)| messages) - 1.0).abs() < 1e-12);
    assert!((sum(|(_, bytes)| bytes) - 1.0).abs() < 1e-12);
    assert_eq!(Sample::default().shares(0), (0.0, 0.0));
}

#[test]
fn a_window_is_the_difference_of_two_totals_by_node_and_second() {
    let before = Totals {
        datagrams: [10, 1_000, 20, 2_000],
        lines: [1, 50],
        cpu: 1.0,
    };
    let after = Totals {
        datagrams: [50, 5_000, 100, 10_000],
        lines: [3, 250],
        cpu: 1.5,
    };
    let mut sample = Sample::default();
    sample.add(Parts {
        kind: hollow::MEMBERSHIP,
        own: 300,
        verdicts: 100,
    });
    let of = per_node(&before, &after, &sample, 4, 10.0);
    let by: BTreeMap<&str, &Traffic> = of.traffic.iter().map(|t| (t.kind.as_str(), t)).collect();
    assert_eq!(by.len(), KINDS.len() + 1);
    let membership = by["membership"];
    assert_eq!(
        (membership.messages_in, membership.messages_out),
        (1.0, 2.0)
    );
    assert_eq!((membership.bytes_in, membership.bytes_out), (75.0, 150.0));
    assert_eq!(
        (by["verdicts"].bytes_in, by["verdicts"].messages_in),
        (25.0, 0.0)
    );
    assert_eq!(
        (
            by["list"].bytes_in,
            by["list"].messages_in,
            by["list"].bytes_out
        ),
        (5.0, 0.05, 0.0)
    );
    assert_eq!(of.cpu, 0.0125);
}

#[test]
fn a_peak_is_the_most_of_one_second_of_one_window() {
    let (counters, window, mut meter) = (Counters::default(), AtomicU32::new(1), Meter::default());
    let peak = || counters.peak.load(Ordering::Relaxed);
    meter.add(&counters, &window, 5.1, 100);
    meter.add(&counters, &window, 5.9, 50);
    meter.add(&counters, &window, 6.0, 120);
    assert_eq!(peak(), 150);
    window.store(2, Ordering::Relaxed);
    meter.add(&counters, &window, 6.2, 30);
    assert_eq!(peak(), 30);
}

#[test]
fn times_are_ranks_of_what_was_seen() {
    assert_eq!(times(&[]), None);
    let hundred: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    assert_eq!(
        times(&hundred),
        Some(Times {
            p50: 50.0,
            p99: 99.0,
            last: 100.0
        })
    );
    assert_eq!(
        times(&[2.0]),
        Some(Times {
            p50: 2.0,
            p99: 2.0,
            last: 2.0
        })
    );
}

#[test]
fn changes_come_at_even_distances_and_at_least_once() {
    assert!(moments(0, 10.0).is_empty());
    // One in 86,400 s: in a window of ten it still comes, so that there is something to measure.
    assert_eq!(moments(1, 10.0), [5.0]);
    assert_eq!(moments(DAY as usize, 4.0), [0.5, 1.5, 2.5, 3.5]);
}

#[test]
fn each_restart_is_a_server_that_fails_before_the_lists_tell_of_it() {
    let rates = Rates {
        changes: DAY as usize,
        restarts: 2 * DAY as usize,
    };
    let events = schedule(rates, 3.0, 10, &mut SeededRng(1));
    assert!(
        events.is_sorted_by(|a, b| a.0 <= b.0)
            && events.iter().all(|(at, _)| (0.0..3.0).contains(at))
    );
    let changes = events
        .iter()
        .filter(|(_, event)| *event == Event::Change)
        .count();
    assert_eq!((changes, events.len()), (3, 3 + 2 * 6));
    for (n, (at, event)) in events.iter().enumerate() {
        let Event::Restarted(server) = event else {
            continue;
        };
        assert!((FAILING..10).contains(server));
        let fails =
            |(before, event): &(f64, Event)| *event == Event::Fails(*server) && *before <= *at;
        assert!(events[..n].iter().any(fails), "{events:?}");
    }
    assert_eq!(events, schedule(rates, 3.0, 10, &mut SeededRng(1)));
    assert!(schedule(Rates::NONE, 3.0, 10, &mut SeededRng(1)).is_empty());
}

#[test]
fn bans_that_were_made_before_a_window_do_not_count_in_it() {
    let servers = [
        "change-1500000",
        "change-999999",
        "change-1000000",
        "server-1",
        "change-",
        "change-x",
    ];
    let servers = servers.map(str::to_owned);
    assert_eq!(
        ages(&servers, 1_000_000, 2.0).collect::<Vec<_>>(),
        [0.5, 1.0]
    );
    assert_eq!(ages(&servers, 0, 2.0).count(), 3);
}

// ---- hollow nodes ----

/// Nodes that hand each other datagrams without sockets, by a clock of the test.
struct Table {
    nodes: Vec<Hollow>,
    now: f64,
    sent: Vec<(usize, Vec<u8>)>,
    /// Every datagram that was sent.
    seen: Vec<Vec<u8>>,
    /// Servers that came to be out by hand, by node.
    out: Vec<Vec<String>>,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + n as u16))
}

impl Table {
    fn new(nodes: usize) -> Table {
        let setup = |n: usize| Setup {
            name: format!("hollow-{n}"),
            zone: String::new(),
            address: address(n),
            seeds: vec![address(0)],
            size: nodes as u32,
        };
        let node = |n: usize| Hollow::new(&setup(n), n as u64 + 1, 0.0).expect("a node");
        let out = vec![Vec::new(); nodes];
        Table {
            nodes: (0..nodes).map(node).collect(),
            now: 0.0,
            sent: Vec::new(),
            seen: Vec::new(),
            out,
        }
    }

    /// Runs for so many seconds, in steps of 5 ms.
    fn run(&mut self, seconds: f64, failing: &[hollow::Failing]) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.005;
            for (to, datagram) in std::mem::take(&mut self.sent) {
                self.nodes[to].receive(self.now, &datagram);
            }
            for n in 0..self.nodes.len() {
                let out = self.nodes[n].turn(self.now, 20, failing);
                self.out[n].extend(out);
                while let Some((to, datagram)) = self.nodes[n].outgoing() {
                    self.seen.push(datagram.clone());
                    self.sent.push((usize::from(to.port()) - 10_000, datagram));
                }
            }
        }
    }

    /// Datagrams and bytes of each kind so far, which begin anew.
    fn sample(&mut self) -> Sample {
        let secret = hollow::secret().expect("a key");
        let mut sample = Sample::default();
        for datagram in std::mem::take(&mut self.seen) {
            let parts = hollow::parts(&secret, &datagram).expect("a datagram of the fleet");
            assert_eq!(parts.own + parts.verdicts, datagram.len());
            sample.add(parts);
        }
        sample
    }
}

#[test]
fn kinds_of_datagrams_are_counted_apart() {
    let mut table = Table::new(4);
    table.run(10.0, &[]);
    assert!(table.nodes.iter().all(|node| node.members() == 3));
    let quiet = table.sample();
    assert!(quiet.messages[hollow::MEMBERSHIP] > 0);
    assert!(quiet.messages[hollow::COMPARISON] > 0);
    assert_eq!(quiet.bytes[hollow::VERDICTS], 0);
    let now = table.now;
    assert!(table.nodes[1].ban(now, "server-7", 30.0));
    table.run(2.0, &[]);
    assert!(
        table
            .out
            .iter()
            .all(|out| out.iter().any(|server| server == "server-7")),
        "{:?}",
        table.out
    );
    let after = table.sample();
    assert!(after.bytes[hollow::VERDICTS] > 0);
    assert_eq!(after.messages[hollow::ERRAND], 0);
}

#[test]
fn failing_servers_are_told_of_until_they_are_condemned() {
    let mut table = Table::new(5);
    table.run(8.0, &[]);
    table.sample();
    let failing = [hollow::Failing {
        name: "server-1".to_owned(),
        since: 5,
    }];
    table.run(6.0, &failing);
    let told = table.sample();
    assert!(told.bytes[hollow::VERDICTS] > 0);
    // Once three have said so it is condemned, and the reports are not made anew by every attempt.
    table.run(6.0, &failing);
    let held = table.sample();
    assert!(
        held.bytes[hollow::VERDICTS] < 4 * told.bytes[hollow::VERDICTS],
        "{told:?} {held:?}"
    );
}

#[test]
fn what_is_no_datagram_of_the_fleet_has_no_kind() {
    let secret = hollow::secret().expect("a key");
    for datagram in [
        &b""[..],
        b"rF",
        b"something else that is long enough to have a front",
    ] {
        assert_eq!(hollow::parts(&secret, datagram), None);
    }
}

// ---- lists ----

fn read(text: &str) -> Read {
    serde_json::from_str(text).expect("a line")
}

#[test]
fn whole_lists_name_each_server_once() {
    let lists = Lists::new(10, 3);
    let mut named: Vec<String> = Vec::new();
    for list in 0..lists.lists() {
        let line = read(&lists.whole(list, 0).text);
        assert!(line.snapshot && line.index == 1);
        named.extend(line.endpoints.into_iter().map(|server| server.name));
    }
    named.sort();
    let mut all: Vec<String> = (0..10).map(server_name).collect();
    all.sort();
    assert_eq!(named, all);
    // No more lists than servers.
    assert_eq!(Lists::new(2, 50).lists(), 2);
}

#[test]
fn a_restart_fails_a_server_and_then_tells_its_new_start() {
    let lists = Lists::new(10, 3);
    let mut lines = lists.follow();
    let fails = |name: &str| lists.failing().iter().any(|failing| failing.name == name);
    assert_eq!(lists.failing().len(), FAILING);
    lists.fail(7);
    assert!(fails("server-7"));
    lists.restarted(7, 5_000_000);
    assert!(!fails("server-7"));
    let line = lines.try_recv().expect("a line");
    assert_eq!((&*line.list, line.told_us), ("service-1", 5_000_000));
    let change = read(&line.text);
    assert_eq!(
        (change.index, change.snapshot, change.endpoints.len()),
        (2, false, 1)
    );
    assert_eq!(
        (
            change.endpoints[0].name.as_str(),
            change.endpoints[0].since_ms
        ),
        ("server-7", 5_001)
    );
    assert_eq!(read(&lists.whole(1, 0).text).index, 2);
    assert!(lines.try_recv().is_err());
}

#[test]
fn a_stand_in_that_is_gone_tells_what_changed_when_it_is_back() {
    let lists = Lists::new(10, 2);
    let mut lines = lists.follow();
    lists.set_gone(true, 0);
    lists.restarted(4, 1_000_000);
    lists.restarted(5, 2_000_000);
    assert!(lines.try_recv().is_err());
    lists.set_gone(false, 9_000_000);
    for (server, since) in [("server-4", 1_001), ("server-5", 2_001)] {
        let line = lines.try_recv().expect("a line");
        let change = read(&line.text);
        assert_eq!(line.told_us, 9_000_000);
        assert_eq!(
            (
                change.endpoints[0].name.as_str(),
                change.endpoints[0].since_ms
            ),
            (server, since)
        );
    }
}

// ---- computations ----

#[test]
fn a_list_of_servers_is_taken_into_the_decision_module() {
    let of = |servers| {
        computation::once(Computation::ServerList, &Size { servers, ..SIZE }).expect("a cost")
    };
    let (few, many) = (of(10), of(200));
    assert!(few.cpu > 0.0 && many.bytes > 15 * few.bytes);
    let change = computation::once(Computation::ServerChange, &SIZE).expect("a cost");
    assert!(change.cpu > 0.0 && change.bytes < few.bytes);
}

#[test]
fn a_settings_file_that_is_refused_or_not_there_is_no_figure() {
    let fault = computation::read_settings("")
        .expect_err("none")
        .to_string();
    assert!(fault.contains("no generator"), "{fault}");
    let fault = computation::read_settings("[process]\nnodes = 0\n")
        .expect_err("refused")
        .to_string();
    assert!(
        fault.contains("refused") && fault.contains("mistakes"),
        "{fault}"
    );
}

#[tokio::test]
async fn a_computation_runs_in_a_process_of_its_own() {
    let run = computation::measured(Path::new(RIG), Computation::ServerList, &SIZE, PATIENCE)
        .await
        .expect("a run");
    assert_eq!(
        (run.name.as_str(), run.source),
        ("server-list", Source::Computation)
    );
    assert!(run.per_node.cpu > 0.0);
    let late = computation::measured(
        Path::new(RIG),
        Computation::ServerList,
        &SIZE,
        Duration::ZERO,
    )
    .await;
    assert!(late
        .expect_err("no time")
        .to_string()
        .contains("not done in"));
    let nobody = Path::new("/nowhere/at/all");
    assert!(
        computation::measured(nobody, Computation::ServerList, &SIZE, PATIENCE)
            .await
            .is_err()
    );
}

#[tokio::test]
async fn settings_of_a_size_are_read_in_a_process_of_their_own() {
    let measured = |size: Size| async move {
        let run =
            computation::measured(Path::new(RIG), Computation::Settings, &size, PATIENCE).await;
        run.expect("a run")
    };
    let few = measured(SIZE).await;
    let many = measured(Size {
        services: 200,
        routes: 4_000,
        tenants: 40_000,
        ..SIZE
    })
    .await;
    assert_eq!((few.name.as_str(), few.size), ("settings", SIZE));
    let length = computation::input(Computation::Settings, &SIZE).len() as u64;
    assert_eq!(few.read_bytes, Some(length));
    assert!(
        many.read_bytes > Some(100 * length),
        "{:?}",
        many.read_bytes
    );
    assert!(many.per_node.cpu > few.per_node.cpu);
    // The tables of 40,000 tenants and 4,000 routes are megabytes.
    let (few, many) = (
        few.per_node.memory.expect("memory"),
        many.per_node.memory.expect("memory"),
    );
    assert!(many > few + 4e6, "{few} {many}");
}

// ---- fleets of sweeps ----

#[tokio::test]
async fn a_fleet_of_a_sweep_has_a_process_of_its_own_and_memory_in_its_first_window_alone() {
    let rates = Rates {
        changes: DAY as usize,
        restarts: DAY as usize,
    };
    let plan = fleet::Plan {
        size: SIZE,
        windows: vec![Rates::NONE, rates],
        seconds: 1.0,
        seed: 1,
    };
    let record = fleet::in_process(Path::new(RIG), &plan, Deadline::within(PATIENCE))
        .await
        .expect("a record");
    assert!(!record.partial, "{:?}", record.notes);
    let runs = &record.report.runs;
    assert_eq!(
        runs.iter()
            .map(|run| Rates::of(&run.size))
            .collect::<Vec<_>>(),
        plan.windows
    );
    assert!(runs
        .iter()
        .all(|run| run.source == Source::HollowNodes && run.size.nodes == SIZE.nodes));
    let memory: Vec<bool> = runs
        .iter()
        .map(|run| run.per_node.memory.is_some_and(|memory| memory > 0.0))
        .collect();
    assert_eq!(memory, [true, false]);
    assert!(!record
        .to_json()
        .expect("a text")
        .contains("\"memory\": null"));
    let nobody = Path::new("/nowhere/at/all");
    assert!(fleet::in_process(nobody, &plan, Deadline::within(PATIENCE))
        .await
        .is_err());
}

#[tokio::test]
async fn a_fleet_whose_time_is_over_leaves_its_windows_out() {
    let plan = fleet::Plan {
        size: SIZE,
        windows: vec![Rates::NONE],
        seconds: 1.0,
        seed: 1,
    };
    let record = fleet::in_process(Path::new(RIG), &plan, Deadline::within(Duration::ZERO)).await;
    let record = record.expect("a record");
    assert!(
        record.partial && record.report.runs.is_empty(),
        "{:?}",
        record.notes
    );
}

#[test]
fn every_axis_is_swept_over_five_sizes_at_least_and_settings_up_to_the_target() {
    let by_rates = [
        (Axis::Nodes, &sweep::NODES[..]),
        (Axis::Restarts, &sweep::RESTARTS[..]),
    ];
    let others = [(Axis::Changes, &sweep::CHANGES[..])];
    let computed = sweep::COMPUTED
        .iter()
        .map(|sweep| (sweep.axis, &sweep.sizes[..]));
    let all: Vec<(Axis, &[usize])> = by_rates.into_iter().chain(others).chain(computed).collect();
    for axis in [
        Axis::Nodes,
        Axis::Servers,
        Axis::Services,
        Axis::Routes,
        Axis::Tenants,
        Axis::Changes,
        Axis::Restarts,
    ] {
        let sizes: Vec<_> = all.iter().filter(|(of, _)| *of == axis).collect();
        assert!(!sizes.is_empty(), "{axis:?}");
        assert!(
            sizes
                .iter()
                .all(|(_, sizes)| sizes.len() >= 5 && sizes.is_sorted()),
            "{sizes:?}"
        );
    }
    for sweep in sweep::COMPUTED
        .iter()
        .filter(|sweep| sweep.computation == Computation::Settings)
    {
        assert_eq!(
            sweep.sizes.last().copied(),
            Some(Size::TARGET.get(sweep.axis))
        );
        // A file has a route for each service at least: no axis may move another.
        assert!(sweep.sizes.iter().all(|value| {
            let size = sweep.base.with(sweep.axis, *value);
            size.routes >= size.services
        }));
    }
    assert!(sweep::SERVICES_TOGETHER
        .iter()
        .all(|services| *services <= sweep::ROUTES_TOGETHER[0]));
}

#[test]
fn a_fleet_plays_the_bases_rates_first_and_none_twice() {
    for nodes in sweep::NODES {
        let windows = sweep::windows(&Size {
            nodes,
            ..sweep::BASE
        });
        assert_eq!(windows[0], Rates::of(&sweep::BASE));
        assert!(windows
            .iter()
            .all(|rates| windows.iter().filter(|other| *other == rates).count() == 1));
    }
    let of_base = sweep::windows(&sweep::BASE).len();
    assert_eq!(of_base, sweep::RESTARTS.len() + sweep::CHANGES.len() - 1);
}

// ---- nodes on sockets ----

fn network(nodes: usize) -> Network {
    let lists = Arc::new(Lists::new(SIZE.servers, SIZE.services));
    Network::start(nodes, lists, 1, 2).expect("a network")
}

#[tokio::test(flavor = "multi_thread")]
async fn hollow_nodes_find_each_other_and_put_bans_and_lists_in_force() {
    let network = network(12);
    until_gathered(&network, 0, PATIENCE)
        .await
        .expect("all know all");
    // Two bans and four restarts in a second.
    let rates = Rates {
        changes: 2 * DAY as usize,
        restarts: 4 * DAY as usize,
    };
    let measured = measure(&network, "test", &SIZE, rates, 2.0, 1)
        .await
        .expect("figures");
    assert_eq!((measured.played.changes, measured.played.restarts), (4, 8));
    assert_eq!(measured.missing, 0);
    let run = measured.run;
    assert_eq!(
        (run.size.changes, run.size.restarts),
        (rates.changes, rates.restarts)
    );
    let in_force = run.in_force.expect("bans");
    assert!(in_force.p50 <= in_force.p99 && in_force.p99 <= in_force.last);
    assert!(measured.lists_in_force.is_some());
    let by: BTreeMap<&str, &Traffic> = run
        .per_node
        .traffic
        .iter()
        .map(|t| (t.kind.as_str(), t))
        .collect();
    // No node reads a line twice.
    let lines = by["list"].messages_in * run.seconds;
    assert!(lines > 0.0 && lines < 8.0 + 1e-6, "{lines}");
    assert!(by["membership"].messages_out > 0.0 && by["verdicts"].bytes_out > 0.0);
    assert!(run.per_node.cpu > 0.0 && run.per_node.peak_bytes > 0.0 && measured.busy > 0.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_gone_is_missed_and_one_that_is_back_is_known() {
    let network = network(ZONES);
    until_gathered(&network, 0, PATIENCE)
        .await
        .expect("all know all");
    network.set(4, Doing::Gone);
    assert_eq!(network.running(), [0, 1, 2, 3, 5]);
    until_gathered(&network, 0, PATIENCE)
        .await
        .expect("the others know that it is gone");
    network.set(4, Doing::Runs);
    until_gathered(&network, 0, PATIENCE)
        .await
        .expect("all know all again");
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_passes_between_zones_that_are_cut_apart() {
    let network = network(2 * ZONES);
    let shared = &network.shared;
    let address = |n: usize| shared.places[n].address;
    assert!(shared.passes(1, address(4)));
    network.cut(4, 1, true);
    assert!(!shared.passes(1, address(4)) && !shared.passes(4, address(1 + ZONES)));
    assert!(shared.passes(1, address(3)) && shared.passes(0, address(4)));
    let outside = SocketAddr::from(([127, 0, 0, 1], 9));
    assert!(shared.passes(1, outside));
    network.add_outside(outside, 4);
    assert!(!shared.passes(1, outside));
    network.cut(1, 4, false);
    assert!(shared.passes(1, address(4)));
    assert_eq!(network.of_zones(1..3), [1, 2, 7, 8]);
}

#[tokio::test(flavor = "multi_thread")]
async fn real_nodes_join_the_hollow_ones_and_serve() {
    use reelfall_capacity::scale::real::{request_times, RealNodes};
    let network = network(ZONES);
    let program = Program::in_testbed(RIG);
    let real = RealNodes::start(&program, 1, &network, SIZE.servers)
        .await
        .expect("a real node");
    until_gathered(&network, real.count(), PATIENCE)
        .await
        .expect("all know all");
    let before = real.usage().expect("its time");
    real.restarted(5);
    let asked = real.load(1.0, 1).await.expect("answers");
    let run = real.run("requests", &SIZE, &before, 1.0).expect("figures");
    assert!(run.per_node.cpu > 0.0 && run.per_node.memory.is_some_and(|memory| memory > 0.0));
    let times = request_times(&[asked.clone(), asked.clone()], &[asked])
        .expect("times")
        .expect("some");
    assert_eq!(times.at_rest, times.under_changes);
    assert!(times.at_rest.p50 > 0.0 && times.at_rest.p50 <= times.at_rest.last);
    assert_eq!(request_times(&[], &[]).expect("times"), None);
}
