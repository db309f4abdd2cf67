//! Starts a node's leases, its keeper and the calls that the leases guard.

use super::group::GroupId;
use super::random::RandomNumbers;
use super::{call, Leases, LocalKeeper, MICROS_PER_SECOND};
use crate::fleet::FleetRuntime;
use crate::net::Log;
use reelfall_config::model;
use reelfall_lease::clock::DriftMargin;
use reelfall_lease::holder::Config;
use reelfall_lease::token::{InvalidLeaseName, LeaseName};
use reelfall_lease::Micros;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::{mpsc, Notify};

/// Parts per million in 1.
const PPM: f64 = 1e6;

/// Why the leases can't be started.
#[derive(Debug, Error)]
pub enum LeaseError {
    /// The thread of the keeper's storage can't be spawned.
    #[error("leases: {0}")]
    StorageThread(#[source] io::Error),
    /// A call has no valid lease name.
    #[error("leases: call `{name}`: {source}")]
    InvalidCallName {
        /// The name of the call.
        name: String,
        /// Why the name is invalid.
        source: InvalidLeaseName,
    },
}

impl Leases {
    /// Starts the leases and their calls, and the keeper with its storage if this node is one.
    ///
    /// # Errors
    /// If the storage thread can't be spawned, or a call has an invalid name. A folder that can't be used is not an
    /// error: opening it is retried.
    pub fn start(
        fleet: &Rc<FleetRuntime>,
        fleet_settings: &model::Fleet,
        settings: &model::Leases,
    ) -> Result<Rc<Leases>, LeaseError> {
        let (sender, disk_events) = mpsc::unbounded_channel();
        let local_keeper = LocalKeeper::start(&fleet_settings.node, settings, sender)?;
        let leases = Rc::new(Leases::new(fleet, settings, local_keeper));
        leases.receive_messages();
        tokio::task::spawn_local(leases.clone().run(disk_events));
        for call in &settings.calls {
            leases.start_call(call)?;
        }
        Ok(leases)
    }

    fn new(
        fleet: &Rc<FleetRuntime>,
        settings: &model::Leases,
        local_keeper: Option<LocalKeeper>,
    ) -> Leases {
        let drift_margin = DriftMargin {
            drift_ppm: (settings.drift * PPM).ceil() as u32,
        };
        let duration = (settings.duration * MICROS_PER_SECOND) as Micros;
        Leases {
            fleet: fleet.clone(),
            keepers: settings.keepers.clone(),
            group_id: GroupId::of(&settings.keepers),
            config: Config {
                drift_margin,
                ..Config::new(settings.keepers.len(), duration)
            },
            max_duration: duration,
            local_keeper,
            local_leases: RefCell::default(),
            loopback: RefCell::default(),
            wake: Notify::new(),
            changed: Notify::new(),
            random: RandomNumbers::default(),
            log: Log::default(),
        }
    }

    /// Starts to acquire the lease of a call, and spawns the task that calls while the lease is active.
    fn start_call(self: &Rc<Self>, call: &model::Call) -> Result<(), LeaseError> {
        let name = LeaseName::try_from(call.name.clone());
        let name = name.map_err(|source| LeaseError::InvalidCallName {
            name: call.name.clone(),
            source,
        })?;
        self.acquire(&name);
        tokio::task::spawn_local(call::run(self.clone(), name, call.clone()));
        Ok(())
    }
}
