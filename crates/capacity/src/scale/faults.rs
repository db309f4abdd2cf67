//! The worst moments of a fleet, over a network of hollow nodes.

use super::limits::Deadline;
use super::network::Network;
use super::record::{Busy, Gathered, ListsInForce, Record};
use super::report::Size;
use super::shared::{Doing, REGION_ZONES, ZONES};
use super::window::{measure, until_gathered, Measured, Rates};
use reelfall_testbed::Result;
use std::time::Duration;

/// How long each moment is looked at, in seconds.
const MOMENT: f64 = 10.0;
/// Within what time a fleet has to know all of its nodes again.
pub const GATHERS_IN: Duration = Duration::from_secs(60);
/// Threads that are busier than this, as a share, let nodes wait for one another.
const BUSY_MOST: f64 = 0.8;
/// How long drawn faults last.
const FAULT_LASTS: Duration = Duration::from_secs(4);
/// One of so many nodes is frozen, and one of so many is killed, among drawn faults.
const ONE_OF: usize = 20;

/// Adds the figures of a window to a record.
pub fn keep(record: &mut Record, measured: Measured) {
    let name = measured.run.name.clone();
    if measured.missing > 0 {
        let (missing, bans) = (measured.missing, measured.played.changes);
        record.note(format!(
            "{name}: of {bans} bans, {missing} have not come into force at one of the nodes"
        ));
    }
    if measured.busy > BUSY_MOST {
        let percent = measured.busy * 100.0;
        record.note(format!(
            "{name}: the threads that drive the nodes were {percent:.0} % busy, so that times are longer than alone"
        ));
    }
    record.busy.push(Busy {
        run: name.clone(),
        share: measured.busy,
    });
    if let Some(times) = measured.lists_in_force {
        record
            .lists_in_force
            .push(ListsInForce { run: name, times });
    }
    record.add(measured.run);
}

/// What the worst moments are played on.
pub struct Moments<'a> {
    /// The nodes.
    pub network: &'a Network,
    /// Nodes of the fleet outside of this process.
    pub beside: usize,
    /// The run's size.
    pub size: &'a Size,
    /// When the run has to be over.
    pub deadline: Deadline,
}

impl Moments<'_> {
    /// A zone's nodes are gone at once, and back at once.
    ///
    /// # Errors
    /// If the system does not tell what is used.
    pub async fn zone_gone(&self, record: &mut Record) -> Result<()> {
        let zone = self.network.draw(1).next_u64() as usize % ZONES;
        let nodes = self.network.of_zones(zone..zone + 1);
        self.set(&nodes, Doing::Gone);
        keep(record, self.window("zone-gone", Rates::NONE).await?);
        self.back(record, &nodes, "zone-back").await
    }

    /// All nodes of a region start at once, into a fleet that has taken them for gone.
    ///
    /// # Errors
    /// If the system does not tell what is used.
    pub async fn region_start(&self, record: &mut Record) -> Result<()> {
        let region = self.network.draw(2).next_u64() as usize % (ZONES / REGION_ZONES);
        let nodes = self
            .network
            .of_zones(region * REGION_ZONES..(region + 1) * REGION_ZONES);
        let begun = self.network.shared.now();
        self.set(&nodes, Doing::Gone);
        self.note_gathered(record, "region-gone", begun).await;
        self.back(record, &nodes, "region-start").await
    }

    /// Faults drawn from the seed, all at once while changes arrive: some nodes stand still, some are killed, two zones
    /// are cut apart, and the stand-in for lists is gone.
    ///
    /// # Errors
    /// If the system does not tell what is used.
    pub async fn drawn(&self, record: &mut Record) -> Result<()> {
        let network = self.network;
        let mut draw = network.draw(3);
        let some = network.nodes() / ONE_OF + 1;
        let mut pick = || {
            (0..some)
                .map(|_| draw.next_u64() as usize % network.nodes())
                .collect::<Vec<_>>()
        };
        let (frozen, killed) = (pick(), pick());
        let zones = (
            draw.next_u64() as usize % ZONES,
            draw.next_u64() as usize % ZONES,
        );
        self.set(&frozen, Doing::Frozen);
        self.set(&killed, Doing::Gone);
        network.cut(zones.0, zones.1, true);
        network.shared.lists.set_gone(true, network.shared.now_us());
        record.note(format!(
            "drawn-faults: {some} nodes frozen and {some} killed, zones {} and {} cut apart, no lists, for {FAULT_LASTS:?}",
            zones.0, zones.1
        ));
        let heal = async {
            tokio::time::sleep(FAULT_LASTS).await;
            network.refresh_lists();
            self.set(&frozen, Doing::Runs);
            self.set(&killed, Doing::Runs);
            network.cut(zones.0, zones.1, false);
            network
                .shared
                .lists
                .set_gone(false, network.shared.now_us());
            network.shared.now()
        };
        let (measured, healed) =
            tokio::join!(self.window("drawn-faults", Rates::of(self.size)), heal);
        keep(record, measured?);
        self.note_gathered(record, "drawn-faults", healed).await;
        Ok(())
    }

    /// The two regions are cut apart and find each other again.
    ///
    /// # Errors
    /// If the system does not tell what is used.
    pub async fn region_cut(&self, record: &mut Record) -> Result<()> {
        let cut = |cut: bool| {
            for (one, other) in
                (0..REGION_ZONES).flat_map(|one| (REGION_ZONES..ZONES).map(move |o| (one, o)))
            {
                self.network.cut(one, other, cut);
            }
        };
        cut(true);
        let measured = self.window("region-cut", Rates::NONE).await;
        cut(false);
        let healed = self.network.shared.now();
        keep(record, measured?);
        self.note_gathered(record, "region-cut", healed).await;
        Ok(())
    }

    async fn window(&self, name: &str, rates: Rates) -> Result<Measured> {
        measure(
            self.network,
            name,
            self.size,
            rates,
            MOMENT,
            self.network.shared.seed,
        )
        .await
    }

    fn set(&self, nodes: &[usize], doing: Doing) {
        nodes.iter().for_each(|n| self.network.set(*n, doing));
    }

    /// Nodes that are gone begin at once; how long until all know all.
    async fn back(&self, record: &mut Record, nodes: &[usize], name: &str) -> Result<()> {
        self.network.refresh_lists();
        let begun = self.network.shared.now();
        self.set(nodes, Doing::Runs);
        // What is measured is the first seconds; all may know all before they are over.
        let (measured, gathered) =
            tokio::join!(self.window(name, Rates::NONE), self.gathered(begun));
        keep(record, measured?);
        self.note(record, name, gathered);
        Ok(())
    }

    /// Waits until all know all; how long after a moment that was.
    async fn gathered(&self, since: f64) -> Option<f64> {
        let most = GATHERS_IN.min(self.deadline.left());
        until_gathered(self.network, self.beside, most).await?;
        Some(self.network.shared.now() - since)
    }

    async fn note_gathered(&self, record: &mut Record, name: &str, since: f64) {
        let gathered = self.gathered(since).await;
        self.note(record, name, gathered);
    }

    fn note(&self, record: &mut Record, name: &str, gathered: Option<f64>) {
        record.gathered.push(Gathered {
            after: name.to_owned(),
            seconds: gathered,
        });
        match gathered {
            Some(took) => record.note(format!(
                "{name}: all that run know all of them after {took:.1} s"
            )),
            None => record.note(format!("{name}: not all that run know all of them in time")),
        }
    }
}
