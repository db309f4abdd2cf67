//! The injection of faults into a world, and their end.

use crate::fault::Fault;
use crate::network::{Event, Link};
use crate::world::World;
use reelfall_lease::durable::DurableState;

impl World {
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
        let tag = self.keepers[index].process.tag;
        // Of the pending writes only the oldest one may have reached the disk; no message of it leaves.
        let oldest_write = self.events.iter().find_map(|(key, event)| match event {
            Event::Persisted {
                keeper, tag: of, ..
            } if *keeper == index && *of == tag => Some(*key),
            _ => None,
        });
        let pending = oldest_write.and_then(|key| self.events.remove(&key));
        if let Some(Event::Persisted { effects, .. }) = pending {
            if is_persisted {
                self.apply_records(index, &effects.records);
            }
        }
        self.keepers[index].keeper = None;
        self.keepers[index].process.tag = 0;
    }

    /// Unless a majority of folders would be lost at a time.
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

    /// All links work, and all keepers run.
    pub fn end_faults(&mut self) {
        self.loss = 0.0;
        self.partitions.clear();
        for keeper in 0..self.keepers.len() {
            self.inject(Fault::StartKeeper { keeper });
        }
    }
}
