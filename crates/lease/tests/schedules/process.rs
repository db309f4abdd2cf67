//! The processes of a simulation, and their clocks.

use reelfall_lease::durable::DurableState;
use reelfall_lease::holder::Lease;
use reelfall_lease::keeper::Keeper;
use reelfall_lease::Micros;

pub struct Process {
    /// Rate of its clock, relative to the time of the simulation.
    pub clock_rate: f64,
    pub paused_until: Micros,
    /// Identity of this run of the process, unique in the simulation; 0 after a crash of a keeper.
    pub run_id: u64,
}

impl Process {
    /// The reading of its clock at a time of the simulation.
    pub fn clock(&self, simulation_time: Micros) -> Micros {
        (simulation_time as f64 * self.clock_rate) as u64 + 1_000
    }
}

pub struct KeeperProcess {
    pub process: Process,
    /// `None` while it does not run.
    pub keeper: Option<Keeper>,
    pub disk: DurableState,
    pub backup: DurableState,
    /// When all pending records are on disk.
    pub writing_until: Micros,
    /// Whether its folder was emptied or restored, and it has not voted since.
    pub is_folder_lost: bool,
}

pub struct ClientProcess {
    pub process: Process,
    pub lease: Lease,
    pub next_write_at: Micros,
}
