//! The tables `[fleet]` and `[management]`. Their fields have the names of the keys of the file; `into_model` converts
//! them to the model and fills in defaults.
//!
//! [`super::tables`] and [`super::mapping`] do the same for all other tables.

use super::values::{optional_fraction, AddressText, TimeText};
use crate::model::{Call, Fleet, Leases, Management};
use reelfall_balancer::interface::Time;
use reelfall_cluster::fleet::Config;
use reelfall_cluster::members::MembershipConfig;
use reelfall_cluster::quorum::Quorum;
use serde::Deserialize;
use std::path::PathBuf;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ManagementTable {
    address: AddressText,
    folder: Option<PathBuf>,
}

impl ManagementTable {
    pub(super) fn into_model(self) -> Management {
        Management {
            address: self.address.0,
            state_dir: self.folder,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetTable {
    name: String,
    node: String,
    listen: AddressText,
    advertise: Option<AddressText>,
    key_file: PathBuf,
    #[serde(default)]
    seeds: Vec<AddressText>,
    probe_every: Option<TimeText>,
    answer_within: Option<TimeText>,
    suspect_for: Option<TimeText>,
    size: Option<u32>,
    spread_every: Option<TimeText>,
    heal_every: Option<TimeText>,
    #[serde(default)]
    verdicts: VerdictsTable,
    leases: Option<LeasesTable>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LeasesTable {
    keepers: Vec<String>,
    folder: Option<PathBuf>,
    length: Option<TimeText>,
    #[serde(default, deserialize_with = "optional_fraction")]
    drift: Option<f64>,
    #[serde(default)]
    call: Vec<CallTable>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CallTable {
    name: String,
    address: AddressText,
    #[serde(default = "root_path")]
    path: String,
    every: TimeText,
}

fn root_path() -> String {
    "/".to_owned()
}

impl CallTable {
    fn into_model(self) -> Call {
        Call {
            name: self.name,
            address: self.address.0,
            path: self.path,
            interval: self.every.0,
        }
    }
}

impl LeasesTable {
    fn into_model(self) -> Leases {
        Leases {
            keepers: self.keepers,
            state_dir: self.folder,
            duration: time_or(&self.length, 5.0),
            drift: self.drift.unwrap_or(0.001),
            calls: self.call.into_iter().map(CallTable::into_model).collect(),
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct VerdictsTable {
    witnesses: Option<usize>,
    #[serde(default, deserialize_with = "optional_fraction")]
    most: Option<f64>,
    #[serde(default, deserialize_with = "optional_fraction")]
    believed: Option<f64>,
    lasts: Option<TimeText>,
    trial_every: Option<TimeText>,
}

fn time_or(time: &Option<TimeText>, default: Time) -> Time {
    time.as_ref().map_or(default, |time| time.0)
}

impl FleetTable {
    pub(super) fn into_model(self, zone: Option<String>) -> Fleet {
        Fleet {
            config: self.config(zone),
            leases: self.leases.map(LeasesTable::into_model),
            name: self.name,
            node: self.node,
            listen: self.listen.0,
            advertise: self.advertise.map(|address| address.0),
            key_file: self.key_file,
        }
    }
    fn config(&self, zone: Option<String>) -> Config {
        let default = Config::default();
        let verdicts = &self.verdicts;
        Config {
            membership: self.membership(),
            quorum: verdicts.quorum(),
            gossip_interval: time_or(&self.spread_every, default.gossip_interval),
            anti_entropy_interval: time_or(&self.heal_every, default.anti_entropy_interval),
            report_ttl: time_or(&verdicts.lasts, default.report_ttl),
            ejected_probe_interval: time_or(&verdicts.trial_every, default.ejected_probe_interval),
            seeds: self.seeds.iter().map(|seed| seed.0).collect(),
            zone: zone.unwrap_or_default(),
            ..default
        }
    }

    fn membership(&self) -> MembershipConfig {
        let default = MembershipConfig::default();
        MembershipConfig {
            probe_interval: time_or(&self.probe_every, default.probe_interval),
            probe_timeout: time_or(&self.answer_within, default.probe_timeout),
            suspicion_timeout: time_or(&self.suspect_for, default.suspicion_timeout),
            expected_nodes: self.size.unwrap_or(default.expected_nodes),
            ..default
        }
    }
}

impl VerdictsTable {
    fn quorum(&self) -> Quorum {
        let default = Quorum::default();
        Quorum {
            min_reporters: self.witnesses.unwrap_or(default.min_reporters),
            max_ejected_fraction: self.most.unwrap_or(default.max_ejected_fraction),
            max_faulty_fraction: self.believed.unwrap_or(default.max_faulty_fraction),
        }
    }
}
