//! Checks the settings of the fleet: membership and leases.

use super::Checker;
use crate::model::{Call, Fleet, Leases, Located, Model, Origin};
use reelfall_balancer::interface::Time;
use reelfall_cluster::entry::MAX_REPORT_TTL;
use reelfall_cluster::node::MAX_NAME_LEN;
use reelfall_lease::message::MAX_KEEPERS;
use reelfall_lease::token::{InvalidLeaseName, LeaseName};
use std::collections::BTreeSet;

/// A time setting of the table `fleet`, and its bounds, in seconds.
struct BoundedTime {
    key: &'static str,
    value: Time,
    min: Time,
    max: Time,
}

/// Checks the settings of the fleet, if there are any.
pub(super) fn check_fleet(checker: &mut Checker, model: &Model) {
    let Some(fleet) = &model.fleet else { return };
    if let Some(leases) = &fleet.leases {
        self::check_leases(checker, fleet, leases);
    }
    check_names(checker, fleet);
    check_advertised_address(checker, fleet);
    check_zone(checker, &fleet.origin, model.process.zone.as_deref());
    check_times(checker, fleet);
    let (membership, quorum) = (&fleet.config.membership, &fleet.config.quorum);
    // With a quorum of one, a single node could eject a server for the whole fleet.
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

/// Checks the names of the fleet and the node, which have to fit into a datagram.
fn check_names(checker: &mut Checker, fleet: &Located<Fleet>) {
    let fits = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_LEN;
    checker.require(
        fits(&fleet.name) && fits(&fleet.node),
        &fleet.origin,
        || format!("fleet: name and node must have 1 to {MAX_NAME_LEN} bytes"),
    );
}

/// Checks the address that peers send datagrams to.
fn check_advertised_address(checker: &mut Checker, fleet: &Located<Fleet>) {
    let advertised = fleet.advertise.unwrap_or(fleet.listen);
    checker.require(!advertised.ip().is_unspecified(), &fleet.origin, || {
        format!("fleet: peers can't send to {}: set advertise", fleet.listen)
    });
}

/// Checks the length of the zone's name, if there is one.
fn check_zone(checker: &mut Checker, origin: &Origin, zone: Option<&str>) {
    checker.require(
        zone.is_none_or(|zone| zone.len() <= MAX_NAME_LEN),
        origin,
        || format!("fleet: the name of the zone must have at most {MAX_NAME_LEN} bytes"),
    );
}

/// Checks the intervals and timeouts of probes, gossip and reports.
fn check_times(checker: &mut Checker, fleet: &Located<Fleet>) {
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
        "fleet: answer_within must be more than 0 and less than probe_every".to_owned()
    });
}

/// Checks the leases of a fleet.
fn check_leases(checker: &mut Checker, fleet: &Located<Fleet>, leases: &Leases) {
    let keepers: BTreeSet<&String> = leases.keepers.iter().collect();
    let count = leases.keepers.len();
    let is_unique = keepers.len() == count;
    checker.require(
        count % 2 == 1 && count <= MAX_KEEPERS && is_unique,
        &fleet.origin,
        || {
            format!(
                "fleet.leases: keepers must be an odd number of different nodes, at most {MAX_KEEPERS}"
            )
        },
    );
    checker.require(
        !keepers.contains(&fleet.node) || leases.state_dir.is_some(),
        &fleet.origin,
        || {
            format!(
                "fleet.leases: this node, {}, is a keeper: set folder",
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
        "fleet.leases: drift is not between 0 and 0.1".to_owned()
    });
    let mut names = BTreeSet::new();
    for call in &leases.calls {
        let is_valid = LeaseName::try_from(call.name.clone()).is_ok();
        let is_new = is_valid && names.insert(&call.name);
        checker.require(is_new, &fleet.origin, || {
            format!(
                "fleet.leases: call `{}`: {InvalidLeaseName}, and each name must be unique",
                call.name
            )
        });
        self::check_call(checker, &fleet.origin, call);
    }
}

/// Checks the interval and the path of a periodic call.
fn check_call(checker: &mut Checker, origin: &Origin, call: &Call) {
    let name = &call.name;
    checker.require((0.05..=86_400.0).contains(&call.interval), origin, || {
        format!(
            "fleet.leases: call `{name}`: every is {}s, not between 0.05s and a day",
            call.interval
        )
    });
    let is_path = call.path.starts_with('/') && call.path.bytes().all(|b| b.is_ascii_graphic());
    checker.require(is_path, origin, || {
        format!("fleet.leases: call `{name}`: path must begin with `/` and consist of printable ASCII without spaces")
    });
}
