//! Opens a fleet's socket and reads its key at the start of the node.

use super::clock::Clock;
use super::FleetRuntime;
use crate::net::shared::Shared;
use crate::net::Log;
use reelfall_cluster::fleet::Fleet;
use reelfall_cluster::wire::{KeyTooShort, Secret};
use reelfall_cluster::Time;
use reelfall_config::model;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Why the node can't join its fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The key file can't be read.
    #[error("{path}: {source}", path = path.display())]
    UnreadableKey {
        /// The path of the key file.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The key file has no valid key.
    #[error("{path}: {source}", path = path.display())]
    InvalidKey {
        /// The path of the key file.
        path: PathBuf,
        /// What is wrong with the key.
        source: KeyTooShort,
    },
    /// The socket can't be opened.
    #[error("fleet: {address}: {source}")]
    Socket {
        /// The address to bind.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
}

impl FleetRuntime {
    /// Reads the key and opens the socket, without sending a datagram yet.
    ///
    /// # Errors
    /// If the key can't be read or the address can't be bound.
    pub fn open(
        shared: &Rc<Shared>,
        settings: &model::Fleet,
    ) -> Result<Rc<FleetRuntime>, FleetError> {
        let secret = read_secret(settings)?;
        let to_error = |source| FleetError::Socket {
            address: settings.listen,
            source,
        };
        let socket = bind(settings.listen).map_err(to_error)?;
        let address = settings.advertise.map_or_else(|| socket.local_addr(), Ok);
        let address = address.map_err(to_error)?;
        let clock = Clock::start();
        let fleet = new_fleet(settings, address, secret, clock.now());
        Ok(Rc::new(FleetRuntime {
            fleet: RefCell::new(fleet),
            shared: shared.clone(),
            socket,
            clock,
            ban_log: Log::default(),
            ejection_log: Log::default(),
            report_log: Log::default(),
            name_conflict_log: Log::default(),
            wake: Notify::new(),
            ejected: RefCell::default(),
            lists: RefCell::default(),
            next_ejection_update: Cell::new(0.0),
            next_overdue: Cell::new(0.0),
            message_handler: RefCell::default(),
            unsent: Cell::new(0),
            logged_dropped: Cell::default(),
        }))
    }
}

/// Creates the state machine of a new incarnation of this node, with a random tag that is not 0.
fn new_fleet(settings: &model::Fleet, address: SocketAddr, secret: Secret, now: Time) -> Fleet {
    let random = |purpose: &str| RandomState::new().hash_one((purpose, std::process::id()));
    let (tag, seed) = (random("tag") | 1, random("seed"));
    let rules = settings.config.clone();
    Fleet::new(&settings.node, address, tag, rules, secret, seed, now)
}

fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

fn read_secret(settings: &model::Fleet) -> Result<Secret, FleetError> {
    let path = || settings.key_file.clone();
    let key = std::fs::read(&settings.key_file).map_err(|source| FleetError::UnreadableKey {
        path: path(),
        source,
    })?;
    Secret::new(&key, &settings.name).map_err(|error| FleetError::InvalidKey {
        path: path(),
        source: error,
    })
}
