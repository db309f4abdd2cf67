//! Checks the membership of a node in a fleet, and the leases of the fleet.

use super::Checker;
use crate::model::{Call, Fleet, Leases, Located, Model, Origin};
use reelfall_balancer::interface::Time;
use reelfall_cluster::entry::MAX_REPORT_TTL;
use reelfall_cluster::node::MAX_NAME_LEN;
use reelfall_lease::message::MAX_KEEPERS;
use reelfall_lease::token::{InvalidLeaseName, LeaseName};
use std::collections::BTreeSet;

/// A time of the table `fleet` with the bounds that it has to keep, in seconds.
struct BoundedTime {
    key: &'static str,
    value: Time,
    min: Time,
    max: Time,
}

/// Checks the membership in a fleet, if there is one.
pub(super) fn fleet(checker: &mut Checker, model: &Model) {
    let Some(fleet) = &model.fleet else { return };
    if let Some(leases) = &fleet.leases {
        self::leases(checker, fleet, leases);
    }
    names(checker, fleet);
    advertised_address(checker, fleet);
    zone(checker, &fleet.origin, model.process.zone.as_deref());
    times(checker, fleet);
    let (membership, quorum) = (&fleet.config.membership, &fleet.config.quorum);
    // With a quorum of one, a single node could eject a server for all.
    checker.require(
        (2..=1000).contains(&quorum.min_reporters),
        &fleet.origin,
        || {
            format!(
                "fleet: verdicts.witnesses is {}, not between 2 and 1000",
                quorum.min_reporters
            )
        },
    );
    checker.require(
        (1..=100_000).contains(&membership.expected_nodes),
        &fleet.origin,
        || {
            format!(
                "fleet: size is {}, not between 1 and 100000",
                membership.expected_nodes
            )
        },
    );
}

/// Checks the names of fleet and node, which have to fit into a datagram.
fn names(checker: &mut Checker, fleet: &Located<Fleet>) {
    let fits = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_LEN;
    checker.require(
        fits(&fleet.name) && fits(&fleet.node),
        &fleet.origin,
        || format!("fleet: name and node have 1 to {MAX_NAME_LEN} bytes"),
    );
}

/// Checks the address that peers send to.
fn advertised_address(checker: &mut Checker, fleet: &Located<Fleet>) {
    let advertised = fleet.advertise.unwrap_or(fleet.listen);
    checker.require(!advertised.ip().is_unspecified(), &fleet.origin, || {
        format!("fleet: nobody can send to {}: add advertise", fleet.listen)
    });
}

/// Checks the name of the zone, which may be absent.
fn zone(checker: &mut Checker, origin: &Origin, zone: Option<&str>) {
    checker.require(
        zone.is_none_or(|zone| zone.len() <= MAX_NAME_LEN),
        origin,
        || format!("fleet: the zone's name has {MAX_NAME_LEN} bytes at most"),
    );
}

/// Checks the intervals and time-outs of probes, gossip and load reports.
fn times(checker: &mut Checker, fleet: &Located<Fleet>) {
    let (config, membership) = (&fleet.config, &fleet.config.membership);
    let time = |key, value, min, max| BoundedTime {
        key,
        value,
        min,
        max,
    };
    for time in [
        time("probe_every", membership.probe_interval, 0.05, 60.0),
        time("suspect_for", membership.suspicion_timeout, 0.1, 600.0),
        time("spread_every", config.gossip_interval, 0.01, 10.0),
        time("heal_every", config.anti_entropy_interval, 0.05, 60.0),
        time("verdicts.lasts", config.report_ttl, 1.0, MAX_REPORT_TTL),
        time(
            "verdicts.trial_every",
            config.ejected_probe_interval,
            0.1,
            60.0,
        ),
    ] {
        checker.require(
            (time.min..=time.max).contains(&time.value),
            &fleet.origin,
            || {
                format!(
                    "fleet: {} is {}s, not between {}s and {}s",
                    time.key, time.value, time.min, time.max
                )
            },
        );
    }
    let is_below_interval =
        membership.probe_timeout > 0.0 && membership.probe_timeout < membership.probe_interval;
    checker.require(is_below_interval, &fleet.origin, || {
        "fleet: answer_within is more than 0 and less than probe_every".to_owned()
    });
}

/// Checks the leases of a fleet.
fn leases(checker: &mut Checker, fleet: &Located<Fleet>, leases: &Leases) {
    let keepers: BTreeSet<&String> = leases.keepers.iter().collect();
    let count = leases.keepers.len();
    let is_unique = keepers.len() == count;
    checker.require(
        count % 2 == 1 && count <= MAX_KEEPERS && is_unique,
        &fleet.origin,
        || {
            format!(
                "fleet.leases: keepers are 1, 3 or another odd number of different nodes, {MAX_KEEPERS} at most"
            )
        },
    );
    checker.require(
        !keepers.contains(&fleet.node) || leases.state_dir.is_some(),
        &fleet.origin,
        || {
            format!(
                "fleet.leases: {} is a keeper and needs a folder",
                fleet.node
            )
        },
    );
    checker.require(
        (0.5..=60.0).contains(&leases.duration),
        &fleet.origin,
        || {
            format!(
                "fleet.leases: length is {}s, not between 0.5s and 60s",
                leases.duration
            )
        },
    );
    checker.require((0.0..=0.1).contains(&leases.drift), &fleet.origin, || {
        "fleet.leases: drift is not between 0 and 10 %".to_owned()
    });
    let mut names = BTreeSet::new();
    for call in &leases.calls {
        let is_valid = LeaseName::try_from(call.name.clone()).is_ok();
        let is_new = is_valid && names.insert(&call.name);
        checker.require(is_new, &fleet.origin, || {
            format!(
                "fleet.leases: call `{}`: {InvalidLeaseName}, and each but once",
                call.name
            )
        });
        self::call(checker, &fleet.origin, call);
    }
}

/// Checks the interval and the path of a periodic call.
fn call(checker: &mut Checker, origin: &Origin, call: &Call) {
    let name = &call.name;
    checker.require((0.05..=86_400.0).contains(&call.interval), origin, || {
        format!(
            "fleet.leases: call `{name}`: every is {}s, not between 0.05s and a day",
            call.interval
        )
    });
    let is_path = call.path.starts_with('/') && call.path.bytes().all(|b| b.is_ascii_graphic());
    checker.require(is_path, origin, || {
        format!("fleet.leases: call `{name}`: the path begins with / and has no spaces")
    });
}
