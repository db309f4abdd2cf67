//! The keeper on this node: its state machine, whose messages are sent once the records before them are on disk.

use super::admin;
use super::disk::{Disk, DiskEvent};
use super::{LeaseError, Leases};
use reelfall_config::model;
use reelfall_lease::durable::DurableState;
use reelfall_lease::keeper::{self, Effects, Keeper};
use reelfall_lease::Micros;
use std::cell::{Cell, RefCell};
use tokio::sync::mpsc;

/// The keeper on this node, and its storage.
pub struct LocalKeeper {
    /// Its index in the list of keepers.
    pub(super) index: usize,
    pub(super) disk: Disk,
    /// `None` while the storage folder can't be used.
    pub(super) keeper: RefCell<Option<Keeper>>,
    /// The opening of the folder that the keeper's state was read at; 0 if it is stopped.
    opening: Cell<u64>,
    /// The failure or status that was logged last.
    pub(super) last_status: RefCell<String>,
    /// Number of requests that were dropped because too many writes were pending.
    pub(super) dropped_requests: Cell<u64>,
}

impl LocalKeeper {
    /// Starts the storage thread; `None` if the settings don't name this node as a keeper.
    pub(super) fn start(
        node: &str,
        settings: &model::Leases,
        events: mpsc::UnboundedSender<DiskEvent>,
    ) -> Result<Option<LocalKeeper>, LeaseError> {
        let index = settings.keepers.iter().position(|name| name == node);
        let Some((index, folder)) = index.zip(settings.state_dir.clone()) else {
            return Ok(None);
        };
        let disk = Disk::start(folder, events).map_err(LeaseError::StorageThread)?;
        Ok(Some(LocalKeeper {
            index,
            disk,
            keeper: RefCell::default(),
            opening: Cell::default(),
            last_status: RefCell::default(),
            dropped_requests: Cell::default(),
        }))
    }
}

impl Leases {
    /// Passes the keeper on this node to `call`, if there is one and its disk has capacity.
    pub(super) fn with_keeper(&self, call: impl FnOnce(&mut Keeper, Micros)) {
        let Some(local) = &self.local_keeper else {
            return;
        };
        if !local.disk.has_capacity() {
            // The clients retry their requests.
            local.dropped_requests.set(local.dropped_requests.get() + 1);
            return;
        }
        if let Some(keeper) = local.keeper.borrow_mut().as_mut() {
            call(keeper, self.now());
        }
    }

    /// Writes and sends the effects of the keeper on this node.
    pub(super) fn process_keeper(&self) {
        let Some(local) = &self.local_keeper else {
            return;
        };
        let Effects { records, messages } = match local.keeper.borrow_mut().as_mut() {
            Some(keeper) => keeper.take_effects(),
            None => return,
        };
        if records.is_empty() && messages.is_empty() {
            return;
        }
        if records.is_empty() && local.disk.is_idle() {
            return self.send_all(messages);
        }
        // Messages without records wait too while a write is pending: they may depend on it.
        if !local.disk.write(local.opening.get(), records, messages) {
            self.stop_keeper(local, "too many writes are pending");
        }
    }

    /// Handles an event of the disk thread.
    pub(super) fn handle_disk_event(&self, event: DiskEvent) {
        let Some(local) = &self.local_keeper else {
            return;
        };
        match event {
            DiskEvent::Opened { opening, state } => {
                local.opening.set(opening);
                local.disk.reset();
                let keeper = self.open_keeper(local.index, *state);
                local.keeper.replace(Some(keeper));
            }
            DiskEvent::Written {
                opening,
                writes,
                messages,
            } => {
                if opening == local.opening.get() && local.keeper.borrow().is_some() {
                    local.disk.complete(writes);
                    self.send_all(messages);
                }
            }
            DiskEvent::Failed(error) => self.stop_keeper(local, &error.to_string()),
        }
        self.process_effects();
        self.log_status(local);
    }

    fn open_keeper(&self, index: usize, state: DurableState) -> Keeper {
        let config = keeper::Config {
            drift_margin: self.config.drift_margin,
            max_duration: self.max_duration,
            ..keeper::Config::default()
        };
        let (tag, now) = (self.random.storage_tag(), self.now());
        Keeper::open(index, self.keepers.len(), config, state, tag, now)
    }

    /// Stops the keeper until its folder is opened again, since its state in memory may be ahead of the disk.
    fn stop_keeper(&self, local: &LocalKeeper, reason: &str) {
        local.keeper.replace(None);
        local.opening.set(0);
        if local.last_status.replace(reason.to_owned()) != reason {
            self.log
                .write_line(format_args!("leases: the keeper's folder: {reason}"));
        }
    }

    /// Logs the keeper's status if it has changed.
    fn log_status(&self, local: &LocalKeeper) {
        let status = local.keeper.borrow().as_ref().map(Keeper::status);
        let Some(status) = status.map(admin::describe) else {
            return;
        };
        if *local.last_status.borrow() != status {
            self.log
                .write_line(format_args!("leases: this keeper {status}"));
            local.last_status.replace(status);
        }
    }
}
