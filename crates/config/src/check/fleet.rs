//! The part of a node in a fleet, and the leases of that.

use super::Checker;
use crate::model::{Fleet, Located, Model};
use std::collections::BTreeSet;
use std::ops::Not;

pub(super) fn fleet(c: &mut Checker, model: &Model) {
    let Some(fleet) = &model.fleet else { return };
    leases(c, fleet);
    let (rules, pace) = (&fleet.rules, &fleet.rules.membership);
    let named = |name: &str| !name.is_empty() && name.len() <= reelfall_cluster::node::MAX_NAME_LEN;
    c.want(
        named(&fleet.name) && named(&fleet.node),
        &fleet.origin,
        || {
            format!(
                "fleet: name and node have 1 to {} bytes",
                reelfall_cluster::node::MAX_NAME_LEN
            )
        },
    );
    c.want(
        fleet
            .advertise
            .unwrap_or(fleet.listen)
            .ip()
            .is_unspecified()
            .not(),
        &fleet.origin,
        || format!("fleet: nobody can send to {}: add advertise", fleet.listen),
    );
    let zone = model.process.zone.as_ref();
    c.want(
        zone.is_none_or(|zone| zone.len() <= reelfall_cluster::node::MAX_NAME_LEN),
        &fleet.origin,
        || {
            format!(
                "fleet: the zone's name has {} bytes at most",
                reelfall_cluster::node::MAX_NAME_LEN
            )
        },
    );
    let times = [
        ("probe_every", pace.probe_every, 0.05, 60.0),
        ("suspect_for", pace.suspect_for, 0.1, 600.0),
        ("spread_every", rules.spread_every, 0.01, 10.0),
        ("heal_every", rules.heal_every, 0.05, 60.0),
        (
            "verdicts.lasts",
            rules.report_lasts,
            1.0,
            reelfall_cluster::entry::MAX_REPORT_TTL,
        ),
        ("verdicts.trial_every", rules.trial_every, 0.1, 60.0),
    ];
    for (what, time, least, most) in times {
        c.want((least..=most).contains(&time), &fleet.origin, || {
            format!("fleet: {what} is {time}s, not between {least}s and {most}s")
        });
    }
    c.want(
        pace.answer_within > 0.0 && pace.answer_within < pace.probe_every,
        &fleet.origin,
        || "fleet: answer_within is more than 0 and less than probe_every".to_owned(),
    );
    // One alone could send a server out for all.
    c.want(
        (2..=1000).contains(&rules.quorum.witnesses),
        &fleet.origin,
        || {
            format!(
                "fleet: verdicts.witnesses is {}, not between 2 and 1000",
                rules.quorum.witnesses
            )
        },
    );
    c.want((1..=100_000).contains(&pace.size), &fleet.origin, || {
        format!("fleet: size is {}, not between 1 and 100000", pace.size)
    });
}

fn leases(c: &mut Checker, fleet: &Located<Fleet>) {
    let Some(leases) = &fleet.leases else { return };
    let most = reelfall_lease::message::MAX_KEEPERS;
    let keepers: BTreeSet<&String> = leases.keepers.iter().collect();
    let count = leases.keepers.len();
    c.want(count % 2 == 1 && count <= most && keepers.len() == count, &fleet.origin, || {
        format!("fleet.leases: keepers are 1, 3 or another odd number of different nodes, {most} at most")
    });
    c.want(
        !keepers.contains(&fleet.node) || leases.folder.is_some(),
        &fleet.origin,
        || {
            format!(
                "fleet.leases: {} is a keeper and needs a folder",
                fleet.node
            )
        },
    );
    c.want(
        (0.5..=60.0).contains(&leases.duration),
        &fleet.origin,
        || {
            format!(
                "fleet.leases: length is {}s, not between 0.5s and 60s",
                leases.duration
            )
        },
    );
    c.want((0.0..=0.1).contains(&leases.drift), &fleet.origin, || {
        "fleet.leases: drift is not between 0 and 10 %".to_owned()
    });
    let mut names = BTreeSet::new();
    for call in &leases.calls {
        let sound = reelfall_lease::token::LeaseName::try_from(call.name.clone()).is_ok()
            && names.insert(&call.name);
        c.want(sound, &fleet.origin, || {
            format!(
                "fleet.leases: call `{}`: {}, and each but once",
                call.name,
                reelfall_lease::token::InvalidLeaseName
            )
        });
        c.want(
            (0.05..=86_400.0).contains(&call.every),
            &fleet.origin,
            || {
                format!(
                    "fleet.leases: call `{}`: every is {}s, not between 0.05s and a day",
                    call.name, call.every
                )
            },
        );
        c.want(
            call.path.starts_with('/') && call.path.bytes().all(|b| b.is_ascii_graphic()),
            &fleet.origin,
            || {
                format!(
                    "fleet.leases: call `{}`: the path begins with / and has no spaces",
                    call.name
                )
            },
        );
    }
}
