//! The processes of a world, and their clocks.

use reelfall_lease::durable::DurableState;
use reelfall_lease::holder::Lease;
use reelfall_lease::keeper::Keeper;
use reelfall_lease::Micros;

pub struct Process {
    /// Seconds of its clock in a second of the world.
    pub clock_rate: f64,
    pub paused_until: Micros,
    /// Of this run of the process.
    pub tag: u64,
}

impl Process {
    /// What its clock shows at a time of the world.
    pub fn clock(&self, world_time: Micros) -> Micros {
        (world_time as f64 * self.clock_rate) as u64 + 1_000
    }
}

pub struct KeeperProcess {
    pub process: Process,
    /// None while it does not run.
    pub keeper: Option<Keeper>,
    pub disk: DurableState,
    pub backup: DurableState,
    /// When the records that it is writing are on disk.
    pub writing_until: Micros,
    /// Its folder was emptied or restored, and it has not voted since.
    pub is_folder_lost: bool,
}

pub struct ClientProcess {
    pub process: Process,
    pub lease: Lease,
    pub next_write_at: Micros,
}
