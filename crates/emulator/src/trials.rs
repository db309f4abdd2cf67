//! Six kinds of trials at the size of the whole fleet, each drawn from its seed: loads, speeds, patience, queues and the
//! part that is hit differ from seed to seed, so that nothing is tuned to one of them.
//!
//! They are plans of the project's own, within the ranges that the platform's settings and its site file name.

use crate::plan::{Class, Happening, Kind, Manner, Plan};
use crate::streams::stream;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use reelfall_balancer::interface::Idempotency;

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    /// Nothing but half as much again for a while, and traffic that shifts between zones.
    Calm,
    /// Half of the servers are replaced in steps while all nodes are restarted.
    Roll,
    /// A release; seven in ten nodes die at once; one of eight servers is bad.
    Herd,
    /// A zone is lost and comes back cold, and is cut off later; one of eight servers is bad.
    Zone,
    /// A zone is cut off while lists come late and answers get lost.
    Split,
    /// Six in ten servers are replaced within seven seconds.
    Join,
}

/// All of them.
pub const ALL: [Trial; 6] = [
    Trial::Calm,
    Trial::Roll,
    Trial::Herd,
    Trial::Zone,
    Trial::Split,
    Trial::Join,
];

impl Trial {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Trial::Calm => "calm",
            Trial::Roll => "roll",
            Trial::Herd => "herd",
            Trial::Zone => "zone",
            Trial::Split => "split",
            Trial::Join => "join",
        }
    }

    /// Its plan for so many nodes.
    pub fn plan(self, nodes: usize, seed: u64) -> Plan {
        let rng = &mut stream(seed, self.name());
        let mut plan = base(nodes, seed, rng);
        plan.name = self.name().to_owned();
        let mut happenings = self.happenings(rng);
        happenings.push((rng.random_range(1.0..4.0), site_trouble(rng)));
        plan.happenings = happenings;
        plan
    }

    fn happenings(self, rng: &mut Pcg64Mcg) -> Vec<(f64, Happening)> {
        let bad = |rng: &mut Pcg64Mcg, manners: &[Manner]| {
            let manner = manners[rng.random_range(0..manners.len())];
            (
                rng.random_range(3.0..5.0),
                Happening::Trouble(0.125, manner, 60.0),
            )
        };
        match self {
            Trial::Calm => vec![
                (rng.random_range(5.0..8.0), Happening::Surge(1.5, 4.0)),
                (
                    rng.random_range(8.0..12.0),
                    Happening::Shift(rng.random_range(0.3..0.7)),
                ),
            ],
            Trial::Roll => {
                let mut all = vec![(4.0, Happening::Restarts(10, 1.2, 0.3))];
                all.extend(
                    (0..5).map(|n| (4.0 + 2.0 * f64::from(n), Happening::Replace(0.1, 2.2))),
                );
                all
            }
            Trial::Herd => vec![
                (5.0, Happening::Replace(0.15, 2.2)),
                (7.0, Happening::NodesDie(0.7, rng.random_range(0.8..2.0))),
                (9.0, Happening::Replace(0.15, 2.2)),
                bad(rng, &[Manner::Silent, Manner::Slow(4.0), Manner::Failing]),
            ],
            Trial::Zone => vec![
                (5.0, Happening::ZoneLost(rng.random_range(0..2), 5.0)),
                (13.0, Happening::Cut(1, 3.0)),
                bad(rng, &[Manner::Slow(4.0), Manner::Failing]),
            ],
            Trial::Split => vec![
                (6.0, Happening::Cut(rng.random_range(0..2), 6.0)),
                (6.0, Happening::ListDown(6.0)),
                (6.0, Happening::Losing(rng.random_range(0.01..0.06), 6.0)),
            ],
            Trial::Join => vec![
                (5.5, Happening::Replace(0.3, 2.2)),
                (8.0, Happening::Replace(0.3, 2.2)),
                (6.0, Happening::Losing(0.01, 10.0)),
            ],
        }
    }
}

/// One more trouble, as the site has them.
fn site_trouble(rng: &mut Pcg64Mcg) -> Happening {
    match rng.random_range(0..3) {
        0 => Happening::Trouble(
            rng.random_range(0.06..0.19),
            Manner::Failing,
            rng.random_range(5.0..12.0),
        ),
        1 => {
            let manner = Manner::Pausing(rng.random_range(1.0..2.4), rng.random_range(0.04..0.1));
            Happening::Trouble(
                rng.random_range(0.1..0.45),
                manner,
                rng.random_range(10.0..20.0),
            )
        }
        _ => Happening::AllSlow(rng.random_range(1.2..2.2), rng.random_range(5.0..9.0)),
    }
}

/// Flag servers of three kinds in two zones, with hundreds of nodes before them.
fn base(nodes: usize, seed: u64, rng: &mut Pcg64Mcg) -> Plan {
    let class = |share, work, aim, deadline, worth, effect| Class {
        share,
        work,
        aim,
        deadline,
        worth,
        effect,
    };
    let speed = |mean: f64| (0.85 * mean, 1.15 * mean);
    Plan {
        name: String::new(),
        seed,
        nodes,
        servers: ((nodes as f64 * rng.random_range(0.45..0.65)) as usize).max(6),
        zones: (rng.random_range(0.4..0.6), rng.random_range(0.4..0.6)),
        length: 22.0,
        load: rng.random_range(0.55..0.75),
        classes: vec![
            class(
                0.45,
                rng.random_range(0.02..0.035),
                0.15,
                0.6,
                3.0,
                Idempotency::Idempotent,
            ),
            class(
                0.45,
                rng.random_range(0.029..0.052),
                0.2,
                0.6,
                5.0,
                Idempotency::AtMostOnce,
            ),
            class(
                0.1,
                rng.random_range(0.032..0.057),
                0.2,
                0.5,
                10.0,
                Idempotency::AtMostOnce,
            ),
        ],
        kinds: vec![
            Kind {
                share: 0.4,
                weight: 1.0,
                speed: speed(2.0),
            },
            Kind {
                share: 0.25,
                weight: 1.0,
                speed: speed(1.2),
            },
            Kind {
                share: 0.35,
                weight: 1.0,
                speed: speed(0.8),
            },
        ],
        heavy: 1.0 + 2.0 * rng.random::<f64>(),
        whole: false,
        latency: (0.000_25, 0.000_6),
        waiting: (8, 30),
        thrash: (9, 0.04),
        connections: 500,
        handshake: rng.random_range(0.000_35..0.002_7),
        connect_within: 0.075,
        idle: 5.0,
        cold: (rng.random_range(0.35..0.57), rng.random_range(3.4..8.5)),
        warms: 0.6,
        tips: (3.0, 1.0),
        notice: rng.random_range(0.3..1.0),
        front: rng.random_range(0.95..2.0),
        patience: rng.random_range(0.4..1.0),
        hurried: rng.random_range(0.0..0.01),
        retries: (
            rng.random_range(0..3),
            rng.random_range(0.007..0.06),
            rng.random_range(0.3..0.9),
        ),
        happenings: Vec::new(),
    }
}
