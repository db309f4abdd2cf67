//! Injects faults into a simulation, and ends them.

use crate::fault::Fault;
use crate::network::{Event, Link};
use crate::simulation::Simulation;
use reelfall_lease::durable::DurableState;

impl Simulation {
    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::CrashKeeper {
                keeper,
                is_persisted,
            } => self.crash_keeper(keeper, is_persisted),
            Fault::StartKeeper { keeper } => {
                if self.keepers[keeper].keeper.is_none() {
                    self.restart_keeper(keeper);
                }
            }
            Fault::EmptyFolder { keeper } => self.replace_folder(keeper, DurableState::default()),
            Fault::RestoreFolder { keeper } => {
                let backup = self.keepers[keeper].backup.clone();
                self.replace_folder(keeper, backup);
            }
            Fault::Backup => {
                for keeper in &mut self.keepers {
                    keeper.backup = keeper.disk.clone();
                }
            }
            Fault::PauseKeeper { keeper, duration } => {
                self.keepers[keeper].process.paused_until = self.now + duration;
            }
            Fault::PauseClient { client, duration } => {
                self.clients[client].process.paused_until = self.now + duration;
            }
            Fault::RestartClient { client } => self.restart_client(client),
            Fault::PartitionClient {
                client,
                keeper,
                duration,
            } => {
                let link = Link::ClientToKeeper { client, keeper };
                self.partitions.insert(link, self.now + duration);
            }
            Fault::PartitionKeepers {
                one,
                other,
                duration,
            } => {
                let link = Link::between_keepers(one, other);
                self.partitions.insert(link, self.now + duration);
            }
        }
    }

    fn crash_keeper(&mut self, index: usize, is_persisted: bool) {
        let run_id = self.keepers[index].process.run_id;
        // Of the pending writes, only the oldest one may have reached the disk. Its messages are not sent.
        let oldest_write = self.events.iter().find_map(|(key, event)| match event {
            Event::Persisted {
                keeper, run_id: of, ..
            } if *keeper == index && *of == run_id => Some(*key),
            _ => None,
        });
        let pending = oldest_write.and_then(|key| self.events.remove(&key));
        if let Some(Event::Persisted { effects, .. }) = pending {
            if is_persisted {
                self.apply_records(index, &effects.records);
            }
        }
        self.keepers[index].keeper = None;
        self.keepers[index].process.run_id = 0;
    }

    /// Restarts a keeper with this folder, unless a majority of folders would then be lost at the same time.
    fn replace_folder(&mut self, index: usize, folder: DurableState) {
        let other_lost_folders = self
            .keepers
            .iter()
            .enumerate()
            .filter(|(other, keeper)| *other != index && keeper.is_folder_lost)
            .count();
        let max_lost_folders = (self.keepers.len() - 1) / 2;
        if other_lost_folders + 1 > max_lost_folders {
            return;
        }
        self.keepers[index].is_folder_lost = true;
        self.keepers[index].disk = folder;
        self.restart_keeper(index);
    }

    /// Restores all links, and starts all keepers that do not run.
    pub fn end_faults(&mut self) {
        self.loss = 0.0;
        self.partitions.clear();
        for keeper in 0..self.keepers.len() {
            self.inject(Fault::StartKeeper { keeper });
        }
    }
}
