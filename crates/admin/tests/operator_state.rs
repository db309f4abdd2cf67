//! Bans, drains and the ledger, on random sequences of operations.

use proptest::prelude::*;
use reelfall_admin::ban::{Bans, MAX_BANS};
use reelfall_admin::drain::{Drain, IDLE_GRACE, LATE_IDLE_GRACE};
use reelfall_admin::ledger::Ledger;
use std::collections::HashMap;

#[derive(Clone, Copy, Debug)]
enum Step {
    Ban(u8),
    LiftBan(u8),
    Restart {
        server: u8,
        /// The time until the endpoint list reports the new start, in seconds.
        report_delay: f64,
    },
    StoreAndLoad,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let server = 0u8..4;
    let step = prop_oneof![
        server.clone().prop_map(Step::Ban),
        server.clone().prop_map(Step::LiftBan),
        (server, 0.0..5.0).prop_map(|(server, report_delay)| Step::Restart {
            server,
            report_delay
        }),
        Just(Step::StoreAndLoad),
    ];
    prop::collection::vec(step, 1..60)
}

/// The state of one server that the operators' page specifies, as a reference for the ledger.
#[derive(Clone, Copy, Default)]
struct ExpectedServer {
    banned_at: Option<f64>,
    /// The time of its last start.
    started_at: f64,
    /// When the endpoint list begins to report that start.
    reported_from: f64,
    /// The start that the list reports until then.
    previous_start: f64,
}

impl ExpectedServer {
    /// The start time in the endpoint list.
    fn listed_start(&self, now: f64) -> f64 {
        if self.reported_from <= now {
            self.started_at
        } else {
            self.previous_start
        }
    }

    fn restart(&mut self, now: f64, report_delay: f64) {
        self.previous_start = self.listed_start(now);
        self.started_at = now;
        self.reported_from = now + report_delay;
    }
}

proptest! {
    #[test]
    fn bans_hold_until_lifted_and_ready_time_is_never_too_early(
        steps in steps(),
    ) {
        let mut ledger = Ledger::default();
        let mut expected: HashMap<u8, ExpectedServer> = HashMap::new();
        let mut now = 1e9;
        for step in steps {
            now += 1.0;
            match step {
                Step::Ban(server) => {
                    ledger.bans.ban(&server.to_string(), now).unwrap();
                    expected.entry(server).or_default().banned_at.get_or_insert(now);
                }
                Step::LiftBan(server) => {
                    let banned_at = expected.entry(server).or_default().banned_at.take();
                    prop_assert_eq!(ledger.bans.lift(&server.to_string(), now), banned_at.is_some());
                }
                Step::Restart { server, report_delay } => {
                    let expected = expected.entry(server).or_default();
                    // Operators restart servers that are banned.
                    if expected.banned_at.is_some() {
                        expected.restart(now, report_delay);
                    }
                }
                Step::StoreAndLoad => {
                    let decoded = Ledger::decode(ledger.encode().as_bytes()).unwrap();
                    prop_assert_eq!(&decoded, &ledger);
                    ledger = decoded;
                }
            }
            for (server, expected) in &expected {
                let status = ledger.bans.status(&server.to_string(), expected.listed_start(now));
                prop_assert_eq!(status.is_banned, expected.banned_at.is_some());
                prop_assert!(
                    status.is_banned || status.started_at >= expected.started_at,
                    "{server}: {status:?}, started {}",
                    expected.started_at
                );
            }
        }
    }

    #[test]
    fn drain_closes_idle_connections_in_time_and_resets(
        begun_at in 1e9..2e9f64, idle_after in 0.0..10.0f64, begun_again_after in 0.0..3.0f64,
    ) {
        let mut drain = Drain::default();
        prop_assert!(drain.idle_deadline(begun_at).is_none() && !drain.is_active());
        drain.begin(begun_at);
        drain.begin(begun_at + begun_again_after);
        let idle_at = begun_at + idle_after;
        let deadline = drain.idle_deadline(idle_at).unwrap();
        prop_assert!(deadline >= begun_at + IDLE_GRACE && deadline >= idle_at + LATE_IDLE_GRACE);
        // A connection that becomes idle in the first second is closed within two seconds of the beginning: the front end
        // sends for 0.2 s at most.
        prop_assert!(idle_after > 1.0 || deadline < begun_at + 2.0);
        drain.end();
        prop_assert_eq!(drain, Drain::default());
    }

    #[test]
    fn decoded_ledgers_round_trip(text in ".{0,200}") {
        if let Ok(ledger) = Ledger::decode(text.as_bytes()) {
            prop_assert_eq!(Ledger::decode(ledger.encode().as_bytes()).unwrap(), ledger);
        }
    }
}

#[test]
fn bans_are_bounded_and_invalid_ledgers_rejected() {
    let mut bans = Bans::default();
    for server in 0..MAX_BANS {
        bans.ban(&server.to_string(), 1.0).unwrap();
    }
    assert!(bans.ban("one more", 1.0).is_err());
    assert!(bans.ban("7", 1.0).is_ok());
    assert!(Ledger::decode(br#"{"version":2}"#).is_err());
    assert!(Ledger::decode(br#"{"version":1,"out":{"a":1."#).is_err());
}

#[test]
fn ledger_encoding_is_stable() {
    let mut ledger = Ledger::default();
    ledger.bans.ban("a", 1.0).unwrap();
    ledger.bans.ban("b", 2.0).unwrap();
    ledger.bans.lift("b", 3.5);
    ledger.drain.begin(4.0);
    let text = r#"{"version":1,"out":{"a":1.0},"back":[["b",2.0,3.5]],"draining_since":4.0}"#;
    assert_eq!(ledger.encode(), text);
    assert_eq!(Ledger::decode(text.as_bytes()).unwrap(), ledger);
}
