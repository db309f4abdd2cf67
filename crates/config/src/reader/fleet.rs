//! The parts of a file that concern a fleet and its operators.

use super::values::{share, AddressText, TimeText};
use crate::model::{Call, Fleet, Leases, Management};
use reelfall_cluster::fleet::Config;
use reelfall_cluster::members::MembershipConfig;
use reelfall_cluster::quorum::Quorum;
use serde::Deserialize;
use std::path::PathBuf;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ManagementText {
    address: AddressText,
    folder: Option<PathBuf>,
}

impl ManagementText {
    pub(super) fn model(self) -> Management {
        Management {
            address: self.address.0,
            folder: self.folder,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetText {
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
    verdicts: VerdictsText,
    leases: Option<LeasesText>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LeasesText {
    keepers: Vec<String>,
    folder: Option<PathBuf>,
    length: Option<TimeText>,
    #[serde(default, deserialize_with = "some_share")]
    drift: Option<f64>,
    #[serde(default)]
    call: Vec<CallText>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CallText {
    name: String,
    address: AddressText,
    #[serde(default = "root")]
    path: String,
    every: TimeText,
}

fn root() -> String {
    "/".to_owned()
}

impl LeasesText {
    fn model(self) -> Leases {
        let call = |c: CallText| Call {
            name: c.name,
            address: c.address.0,
            path: c.path,
            every: c.every.0,
        };
        Leases {
            keepers: self.keepers,
            folder: self.folder,
            duration: self.length.map_or(5.0, |t| t.0),
            drift: self.drift.unwrap_or(0.001),
            calls: self.call.into_iter().map(call).collect(),
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct VerdictsText {
    witnesses: Option<usize>,
    #[serde(default, deserialize_with = "some_share")]
    most: Option<f64>,
    #[serde(default, deserialize_with = "some_share")]
    believed: Option<f64>,
    lasts: Option<TimeText>,
    trial_every: Option<TimeText>,
}

fn some_share<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    share(from).map(Some)
}

impl FleetText {
    pub(super) fn model(self, zone: Option<String>) -> Fleet {
        let time = |text: Option<TimeText>, default: f64| text.map_or(default, |t| t.0);
        let (rules, pace, quorum) = (
            Config::default(),
            MembershipConfig::default(),
            Quorum::default(),
        );
        let verdicts = self.verdicts;
        let rules = Config {
            membership: MembershipConfig {
                probe_every: time(self.probe_every, pace.probe_every),
                answer_within: time(self.answer_within, pace.answer_within),
                suspect_for: time(self.suspect_for, pace.suspect_for),
                size: self.size.unwrap_or(pace.size),
                ..pace
            },
            quorum: Quorum {
                witnesses: verdicts.witnesses.unwrap_or(quorum.witnesses),
                most: verdicts.most.unwrap_or(quorum.most),
                believed: verdicts.believed.unwrap_or(quorum.believed),
            },
            spread_every: time(self.spread_every, rules.spread_every),
            heal_every: time(self.heal_every, rules.heal_every),
            report_lasts: time(verdicts.lasts, rules.report_lasts),
            trial_every: time(verdicts.trial_every, rules.trial_every),
            seeds: self.seeds.into_iter().map(|seed| seed.0).collect(),
            zone: zone.unwrap_or_default(),
            ..rules
        };
        Fleet {
            name: self.name,
            node: self.node,
            listen: self.listen.0,
            advertise: self.advertise.map(|a| a.0),
            key_file: self.key_file,
            rules,
            leases: self.leases.map(LeasesText::model),
        }
    }
}
