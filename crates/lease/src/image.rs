//! What a keeper has on its disk.
//!
//! The image is the sum of its records. A keeper changes it by records alone, and what it says goes out once the records
//! before it are on the disk, so that an image that is read again is never behind what was said.

use crate::say::{Kept, Seal, Seen};
use crate::token::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One change of the image.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// The folder is this one.
    Sealed(Seal),
    /// The fellows know of it, and it has what they know: it may vote.
    Admitted,
    /// How far a fellow's folder has come.
    Fellow(u8, Seen),
    /// A promise.
    Promised(Name, Kept),
    /// A name is forgotten; its numbers are not.
    Forgotten(Name),
    /// No number up to this one counts, whatever the name.
    Floor(u64),
}

/// See the module.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Image {
    /// Which folder it is; none for an empty one.
    pub seal: Option<Seal>,
    /// Whether it may vote, once the fellows agree.
    pub admitted: bool,
    /// Records so far.
    pub written: u64,
    /// The fellows' folders, as far as that is written down.
    pub fellows: BTreeMap<u8, Seen>,
    /// What was promised.
    pub leases: BTreeMap<Name, Kept>,
    /// See [`Record::Floor`].
    pub floor: u64,
}

impl Image {
    /// A record is added.
    pub fn apply(&mut self, record: &Record) {
        self.written += 1;
        match record {
            Record::Sealed(seal) => self.seal = Some(*seal),
            Record::Admitted => self.admitted = true,
            Record::Fellow(fellow, seen) => {
                self.fellows.insert(*fellow, *seen);
            }
            Record::Promised(name, kept) => {
                self.leases.insert(name.clone(), kept.clone());
            }
            Record::Forgotten(name) => {
                if let Some(kept) = self.leases.remove(name) {
                    self.floor = self.floor.max(kept.promised);
                }
            }
            Record::Floor(floor) => self.floor = self.floor.max(*floor),
        }
    }

    /// How far it has come; none for an empty folder.
    pub fn seen(&self) -> Option<Seen> {
        self.seal.map(|seal| Seen { seal, written: self.written })
    }

    /// No number up to this one may be promised for the lease.
    ///
    /// The floor counts for names that are kept, too: a fellow may have forgotten one whose number was higher than the one
    /// that is kept here, and its floor is all that tells.
    pub fn promised(&self, lease: &Name) -> u64 {
        self.leases.get(lease).map_or(0, |kept| kept.promised).max(self.floor)
    }
}
