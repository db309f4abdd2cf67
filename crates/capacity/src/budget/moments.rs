//! The worst moments at the target.

use super::model::{self, bound, budget, Costs};
use super::table::{amount, markdown, Unit};
use crate::scale::report::{Run, Size};

/// Servers of a zone.
const ZONE_SERVERS: f64 = 3850.0;
/// Nodes of a zone.
const ZONE_NODES: f64 = 460.0;
/// Nodes of a region.
const REGION_NODES: f64 = 1500.0;
/// Machines of a rack.
const RACK: f64 = 40.0;

/// A moment, and what carries it through today.
#[derive(Clone, Debug)]
pub struct Moment {
    /// What a scale run of it is called.
    pub run: &'static str,
    /// What happens.
    pub what: &'static str,
    /// Bytes for one node, in and out, in sum.
    pub bytes: f64,
    /// The time that these take within the bytes of a node.
    pub seconds: f64,
    /// Memory that it takes beyond what is held at rest, in bytes; `None` where it is not known.
    pub memory: Option<f64>,
    /// Until when it has to be through, in seconds.
    pub within: Option<f64>,
    /// What gives first.
    pub first: String,
}

fn moment(
    run: &'static str,
    what: &'static str,
    bytes: f64,
    memory: Option<f64>,
    within: Option<f64>,
    first: String,
) -> Moment {
    Moment {
        run,
        what,
        bytes,
        seconds: bytes / budget::TRAFFIC,
        memory,
        within,
        first,
    }
}

/// All moments.
pub fn moments(costs: &Costs) -> Vec<Moment> {
    let mut all = by_lists(costs);
    all.extend(by_settings(costs));
    all
}

/// Those that change lists of servers and members.
fn by_lists(costs: &Costs) -> Vec<Moment> {
    let target = Size::TARGET;
    let line = costs.list_line_bytes;
    let member = costs.member_bytes + costs.head_bytes;
    let tellings = model::tellings(target.nodes as f64);
    let gone = |servers: f64, nodes: f64| servers * line + 2.0 * nodes * tellings * member;
    let in_two_hours = 18_000.0 / 7200.0;
    let rate = model::list_changes(costs, in_two_hours)
        + model::membership_news(costs, &target, in_two_hours);
    let zone = gone(ZONE_SERVERS, ZONE_NODES);
    let reports = ZONE_SERVERS * bound::WITNESSES;
    vec![
        moment(
            "restarts",
            "18,000 restarts within two hours",
            rate * 7200.0,
            None,
            Some(7200.0),
            format!(
                "bytes of a node: {} of 8 KB/s, beside what the fleet takes when quiet",
                amount(rate, Unit::BytesPerSecond)
            ),
        ),
        moment(
            "zone",
            "a zone of 3,850 servers and 460 nodes gone at once, and back",
            2.0 * zone,
            Some(2.0 * ZONE_SERVERS * line),
            Some(2.0 * budget::IN_FORCE),
            format!(
                "bytes of a node; then verdicts: three reports on each server are {} of \
                8,192, and each node makes 256 at most",
                amount(reports, Unit::Count)
            ),
        ),
        moment(
            "region-start",
            "a region's 1,500 nodes all started at once",
            costs.settings_bytes
                + model::lists(costs, target.servers as f64)
                + 2.0 * target.nodes as f64 * costs.member_bytes,
            Some(model::read_memory(costs, costs.settings_bytes)),
            None,
            format!(
                "time to read the file ({} for the reader alone); then memory; {} \
                from the machines' links alone",
                amount(model::read_time(costs, costs.settings_bytes), Unit::Seconds),
                amount(
                    model::given_in(
                        costs,
                        costs.settings_bytes,
                        REGION_NODES,
                        model::MACHINES / model::REGIONS
                    ),
                    Unit::Seconds
                )
            ),
        ),
        moment(
            "regions-apart",
            "regions apart for an hour under normal churn, and together again",
            3600.0 * model::list_changes(costs, target.restarts as f64 / model::DAY)
                + 3600.0 * costs.change_bytes * model::changes(&target)
                + 2.0 * 4500.0 * costs.member_bytes,
            None,
            Some(budget::IN_FORCE),
            "members: each side takes 4,500 others for gone, and each side's \
                comparisons bring four datagrams of them a second; settings: no \
                mechanism puts two sides together"
                .to_owned(),
        ),
        moment(
            "rack",
            "a rack of 40",
            gone(RACK, 0.0),
            Some(RACK * line),
            Some(budget::IN_FORCE),
            "nothing: 40 servers' ends".to_owned(),
        ),
    ]
}

/// Those of settings and of the machines that tell them.
fn by_settings(costs: &Costs) -> Vec<Moment> {
    let file = costs.settings_bytes;
    let whole = 500.0 * file;
    vec![
        moment(
            "changes",
            "500 changes of settings within a minute",
            whole,
            Some(model::read_memory(costs, file)),
            Some(60.0 + budget::IN_FORCE),
            format!(
                "bytes of a node: whole files are {}, changes by themselves {}",
                amount(whole, Unit::Bytes),
                amount(500.0 * costs.change_bytes, Unit::Bytes)
            ),
        ),
        moment(
            "machine",
            "one of the 18 machines lost",
            0.0,
            None,
            Some(budget::IN_FORCE),
            "no mechanism: nothing runs on them yet".to_owned(),
        ),
        moment(
            "half",
            "half of the 18 machines lost",
            0.0,
            None,
            Some(budget::IN_FORCE),
            format!(
                "no mechanism; with 9 left, {} nodes each: {} at 500 changes in a minute",
                amount(model::nodes_of_a_machine(&Size::TARGET, 9.0), Unit::Count),
                amount(
                    model::nodes_of_a_machine(&Size::TARGET, 9.0) * 500.0 / 60.0
                        * costs.change_bytes,
                    Unit::BytesPerSecond
                )
            ),
        ),
        moment(
            "take-back",
            "a change that has to be taken back within 15 s",
            2.0 * file,
            Some(model::read_memory(costs, file)),
            Some(budget::IN_FORCE),
            "no mechanism: the former file has to be brought to each node; nothing \
                says which have the bad one"
                .to_owned(),
        ),
    ]
}

/// The moments as a table, with what runs of them have measured.
pub fn table(costs: &Costs, runs: &[(String, Run)]) -> String {
    let head = [
        "moment",
        "bytes for a node, worked out",
        "at 8 KB/s",
        "within",
        "measured: bytes in the worst second; in force p99, last; memory",
        "memory beyond rest, worked out",
        "gives first",
    ];
    let rows: Vec<_> = moments(costs).iter().map(|m| cells(m, runs)).collect();
    markdown(&head, &rows)
}

fn cells(moment: &Moment, runs: &[(String, Run)]) -> Vec<String> {
    let none = moment.bytes <= 0.0;
    let or_none = |text: String| if none { "-".to_owned() } else { text };
    vec![
        moment.what.to_owned(),
        or_none(amount(moment.bytes, Unit::Bytes)),
        or_none(amount(moment.seconds, Unit::Seconds)),
        moment.within.map_or("no budget".to_owned(), |within| {
            amount(within, Unit::Seconds)
        }),
        measured(moment.run, runs),
        moment
            .memory
            .map_or("not known".to_owned(), |memory| amount(memory, Unit::Bytes)),
        moment.first.clone(),
    ]
}

/// What runs have measured of a moment, each at its size.
fn measured(name: &str, runs: &[(String, Run)]) -> String {
    let of = |(commit, run): &(String, Run)| {
        let in_force = run.in_force.map_or("not measured".to_owned(), |t| {
            format!(
                "{}, {}",
                amount(t.p99, Unit::Seconds),
                amount(t.last, Unit::Seconds)
            )
        });
        format!(
            "{} nodes at {}: {}; {in_force}; {}",
            amount(run.size.nodes as f64, Unit::Count),
            commit.chars().take(7).collect::<String>(),
            amount(run.per_node.peak_bytes, Unit::Bytes),
            run.per_node
                .memory
                .map_or("not measured".to_owned(), |memory| amount(
                    memory,
                    Unit::Bytes
                ))
        )
    };
    let all: Vec<String> = runs
        .iter()
        .filter(|(_, run)| run.name == name)
        .map(of)
        .collect();
    if all.is_empty() {
        return "not measured yet".to_owned();
    }
    all.join("<br>")
}
