//! Fault scenarios over a network of simulated nodes, which [`single`](super::single) plays one after another.

use super::fleet_state::{NodeState, ZONES, ZONES_PER_REGION};
use super::limits::Deadline;
use super::network::Network;
use super::record::{Convergence, Record};
use super::report::Size;
use super::schedule::Rates;
use super::window::{measure, wait_until_converged, Window, WindowResult};
use reelfall_testbed::Result;
use std::time::Duration;

/// Length of the window of each scenario, in seconds.
const WINDOW_SECONDS: f64 = 10.0;
/// Timeout for a fleet to converge again.
pub const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Length of random faults.
const FAULT_DURATION: Duration = Duration::from_secs(4);
/// Number of nodes for each frozen and each killed node of the random faults.
const NODES_PER_FAULT: usize = 20;

/// A fault scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// All nodes of a zone stop at once, and start at once.
    ZoneOutage,
    /// All nodes of a region start at once, into a fleet that has declared them dead.
    RegionRestart,
    /// Simultaneous random faults while changes arrive: frozen nodes, killed nodes, a partition of two zones, and
    /// unavailable discovery.
    RandomFaults,
    /// The two regions are partitioned from each other, and the partition ends.
    RegionPartition,
}

impl Scenario {
    /// All scenarios, in the order in which they are played.
    pub const ALL: [Scenario; 4] = [
        Scenario::ZoneOutage,
        Scenario::RegionRestart,
        Scenario::RandomFaults,
        Scenario::RegionPartition,
    ];

    /// Returns the name in reports.
    pub fn label(self) -> &'static str {
        match self {
            Scenario::ZoneOutage => "zone-gone",
            Scenario::RegionRestart => "region-start",
            Scenario::RandomFaults => "drawn-faults",
            Scenario::RegionPartition => "region-cut",
        }
    }

    /// Returns the number of the random stream for the scenario's choices.
    fn stream(self) -> u64 {
        match self {
            Scenario::ZoneOutage => 1,
            Scenario::RegionRestart => 2,
            Scenario::RandomFaults => 3,
            Scenario::RegionPartition => 4,
        }
    }
}

/// The fleet that scenarios are played on.
pub struct FaultRun<'a> {
    /// The simulated nodes.
    pub network: &'a Network,
    /// Number of nodes of the fleet outside of this process.
    pub external_nodes: usize,
    /// The run's size.
    pub size: &'a Size,
    /// Time at which the run has to end.
    pub deadline: Deadline,
}

/// The choices of [`Scenario::RandomFaults`].
struct RandomFaults {
    frozen: Vec<usize>,
    killed: Vec<usize>,
    zone: usize,
    other_zone: usize,
}

impl FaultRun<'_> {
    /// Plays a scenario and adds its figures to the record.
    ///
    /// # Errors
    /// If the system does not report what is used.
    pub async fn play(&self, scenario: Scenario, record: &mut Record) -> Result<()> {
        match scenario {
            Scenario::ZoneOutage => self.zone_outage(record).await,
            Scenario::RegionRestart => self.region_restart(record).await,
            Scenario::RandomFaults => self.random_faults(record).await,
            Scenario::RegionPartition => self.region_partition(record).await,
        }
    }

    async fn zone_outage(&self, record: &mut Record) -> Result<()> {
        let zone = self.choose(Scenario::ZoneOutage, ZONES);
        let nodes = self.network.nodes_in_zones(zone..zone + 1);
        self.set_states(&nodes, NodeState::Stopped);
        self.measure(Scenario::ZoneOutage.label(), Rates::NONE)
            .await?
            .add_to(record);
        self.start_all(record, &nodes, "zone-back").await
    }

    async fn region_restart(&self, record: &mut Record) -> Result<()> {
        let region = self.choose(Scenario::RegionRestart, ZONES / ZONES_PER_REGION);
        let first_zone = region * ZONES_PER_REGION;
        let nodes = self
            .network
            .nodes_in_zones(first_zone..first_zone + ZONES_PER_REGION);
        let started = self.network.state.now();
        self.set_states(&nodes, NodeState::Stopped);
        self.await_convergence(record, "region-gone", started).await;
        self.start_all(record, &nodes, Scenario::RegionRestart.label())
            .await
    }

    async fn random_faults(&self, record: &mut Record) -> Result<()> {
        let label = Scenario::RandomFaults.label();
        let faults = self.choose_faults();
        self.set_states(&faults.frozen, NodeState::Frozen);
        self.set_states(&faults.killed, NodeState::Stopped);
        self.network
            .set_partitioned(faults.zone, faults.other_zone, true);
        self.set_discovery_unavailable(true);
        record.note(format!(
            "{label}: {} nodes frozen and {} killed, zones {} and {} partitioned, discovery unavailable, for {FAULT_DURATION:?}",
            faults.frozen.len(),
            faults.killed.len(),
            faults.zone,
            faults.other_zone
        ));
        let healing = async {
            tokio::time::sleep(FAULT_DURATION).await;
            self.heal(&faults);
            self.network.state.now()
        };
        let (measured, healed) = tokio::join!(self.measure(label, Rates::of(self.size)), healing);
        measured?.add_to(record);
        self.await_convergence(record, label, healed).await;
        Ok(())
    }

    async fn region_partition(&self, record: &mut Record) -> Result<()> {
        let label = Scenario::RegionPartition.label();
        self.set_regions_partitioned(true);
        let measured = self.measure(label, Rates::NONE).await;
        self.set_regions_partitioned(false);
        let healed = self.network.state.now();
        measured?.add_to(record);
        self.await_convergence(record, label, healed).await;
        Ok(())
    }

    /// Chooses a random number below a bound.
    fn choose(&self, scenario: Scenario, bound: usize) -> usize {
        self.network.rng(scenario.stream()).next_u64() as usize % bound
    }

    fn choose_faults(&self) -> RandomFaults {
        let mut rng = self.network.rng(Scenario::RandomFaults.stream());
        let mut below = |bound: usize| rng.next_u64() as usize % bound;
        let nodes = self.network.node_count();
        let faulty = nodes / NODES_PER_FAULT + 1;
        RandomFaults {
            frozen: (0..faulty).map(|_| below(nodes)).collect(),
            killed: (0..faulty).map(|_| below(nodes)).collect(),
            zone: below(ZONES),
            other_zone: below(ZONES),
        }
    }

    /// Ends random faults.
    fn heal(&self, faults: &RandomFaults) {
        self.network.refresh_snapshots();
        self.set_states(&faults.frozen, NodeState::Running);
        self.set_states(&faults.killed, NodeState::Running);
        self.network
            .set_partitioned(faults.zone, faults.other_zone, false);
        self.set_discovery_unavailable(false);
    }

    fn set_states(&self, nodes: &[usize], state: NodeState) {
        for node in nodes {
            self.network.set_state(*node, state);
        }
    }

    fn set_discovery_unavailable(&self, is_unavailable: bool) {
        let state = &self.network.state;
        state
            .discovery
            .set_unavailable(is_unavailable, state.now_us());
    }

    fn set_regions_partitioned(&self, is_partitioned: bool) {
        for zone in 0..ZONES_PER_REGION {
            for other_zone in ZONES_PER_REGION..ZONES {
                self.network
                    .set_partitioned(zone, other_zone, is_partitioned);
            }
        }
    }

    async fn measure(&self, name: &str, rates: Rates) -> Result<WindowResult> {
        let window = Window {
            name,
            size: self.size,
            rates,
            seconds: WINDOW_SECONDS,
            seed: self.network.state.seed,
        };
        measure(self.network, &window).await
    }

    /// Starts stopped nodes at once, and measures until they know all others.
    async fn start_all(&self, record: &mut Record, nodes: &[usize], name: &str) -> Result<()> {
        self.network.refresh_snapshots();
        let started = self.network.state.now();
        self.set_states(nodes, NodeState::Running);
        // The window covers the first seconds; the fleet may converge before it ends.
        let (measured, seconds) = tokio::join!(
            self.measure(name, Rates::NONE),
            self.convergence_time(started)
        );
        measured?.add_to(record);
        record_convergence(record, name, seconds);
        Ok(())
    }

    async fn await_convergence(&self, record: &mut Record, name: &str, since: f64) {
        let seconds = self.convergence_time(since).await;
        record_convergence(record, name, seconds);
    }

    /// Waits until the fleet has converged. Returns the seconds since `since`, or `None` after the timeout.
    async fn convergence_time(&self, since: f64) -> Option<f64> {
        let timeout = CONVERGENCE_TIMEOUT.min(self.deadline.remaining());
        wait_until_converged(self.network, self.external_nodes, timeout).await?;
        Some(self.network.state.now() - since)
    }
}

fn record_convergence(record: &mut Record, name: &str, seconds: Option<f64>) {
    record.convergences.push(Convergence {
        after: name.to_owned(),
        seconds,
    });
    match seconds {
        Some(seconds) => record.note(format!(
            "{name}: all running nodes know each other after {seconds:.1} s"
        )),
        None => record.note(format!(
            "{name}: not all running nodes know each other within the timeout"
        )),
    }
}
