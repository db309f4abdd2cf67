//! Bans, drains and their stored form, on random schedules.

use proptest::prelude::*;
use reelfall_admin::ban::{Bans, MAX_BANS};
use reelfall_admin::drain::{Drain, IDLE_GRACE, LATE_IDLE_GRACE};
use reelfall_admin::ledger::Ledger;
use std::collections::HashMap;

#[derive(Clone, Copy, Debug)]
enum Step {
    Ban(u8),
    LiftBan(u8),
    /// The server restarts, and its list reports it after this time.
    Restart(u8, f64),
    StoreAndLoad,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let server = 0u8..4;
    let step = prop_oneof![
        server.clone().prop_map(Step::Ban),
        server.clone().prop_map(Step::LiftBan),
        (server, 0.0..5.0).prop_map(|(s, late)| Step::Restart(s, late)),
        Just(Step::StoreAndLoad),
    ];
    prop::collection::vec(step, 1..60)
}

/// What a expected reading of the operators' page expects of one server.
#[derive(Clone, Copy, Default)]
struct Expected {
    banned_at: Option<f64>,
    /// When it really started last.
    started_at: f64,
    /// The start that its list reports, and from when on.
    reported_start: (f64, f64),
    /// The start that the list reports until then.
    previous_start: f64,
}

proptest! {
    #[test]
    fn a_ban_holds_until_it_is_lifted_once_and_the_server_is_never_taken_for_warmer_than_it_is(
        steps in steps(),
    ) {
        let mut ledger = Ledger::default();
        let mut expected: HashMap<u8, Expected> = HashMap::new();
        let mut now = 1e9;
        for step in steps {
            now += 1.0;
            match step {
                Step::Ban(s) => {
                    ledger.bans.ban(&s.to_string(), now).unwrap();
                    expected.entry(s).or_default().banned_at.get_or_insert(now);
                }
                Step::LiftBan(s) => {
                    let was_banned_at = expected.entry(s).or_default().banned_at.take();
                    prop_assert_eq!(ledger.bans.lift(&s.to_string(), now), was_banned_at.is_some());
                }
                Step::Restart(s, late) => {
                    let p = expected.entry(s).or_default();
                    // Operators restart servers that are banned.
                    if p.banned_at.is_some() {
                        p.previous_start = if p.reported_start.1 <= now { p.reported_start.0 } else { p.previous_start };
                        p.started_at = now;
                        p.reported_start = (now, now + late);
                    }
                }
                Step::StoreAndLoad => {
                    let again = Ledger::decode(ledger.encode().as_bytes()).unwrap();
                    prop_assert_eq!(&again, &ledger);
                    ledger = again;
                }
            }
            for (s, p) in &expected {
                let listed = if p.reported_start.1 <= now { p.reported_start.0 } else { p.previous_start };
                let status = ledger.bans.status(&s.to_string(), listed);
                prop_assert_eq!(status.is_banned, p.banned_at.is_some());
                prop_assert!(status.is_banned || status.ready_at >= p.started_at, "{s}: {status:?}, started {}", p.started_at);
            }
        }
    }

    #[test]
    fn a_drain_closes_idle_connections_in_time_and_ends_without_a_trace(
        began in 1e9..2e9f64, idle in 0.0..10.0f64, again in 0.0..3.0f64,
    ) {
        let mut drain = Drain::default();
        prop_assert!(drain.idle_deadline(began).is_none() && !drain.is_active());
        drain.begin(began);
        drain.begin(began + again);
        let until = drain.idle_deadline(began + idle).unwrap();
        prop_assert!(until >= began + IDLE_GRACE && until >= began + idle + LATE_IDLE_GRACE);
        // Whatever the front still sends in 0.2 s, and what follows its close, is gone before 2 s have passed.
        prop_assert!(idle > 1.0 || until < began + 2.0);
        drain.end();
        prop_assert_eq!(drain, Drain::default());
    }

    #[test]
    fn no_text_is_taken_for_a_ledger_that_it_is_not(text in ".{0,200}") {
        if let Ok(ledger) = Ledger::decode(text.as_bytes()) {
            prop_assert_eq!(Ledger::decode(ledger.encode().as_bytes()).unwrap(), ledger);
        }
    }
}

#[test]
fn bans_are_bounded_and_ledgers_of_other_versions_are_not_guessed_at() {
    let mut bans = Bans::default();
    for n in 0..MAX_BANS {
        bans.ban(&n.to_string(), 1.0).unwrap();
    }
    assert!(bans.ban("one more", 1.0).is_err());
    assert!(bans.ban("7", 1.0).is_ok());
    assert!(Ledger::decode(br#"{"version":2}"#).is_err());
    assert!(Ledger::decode(br#"{"version":1,"out":{"a":1."#).is_err());
}

#[test]
fn the_stored_form_of_a_ledger_is_that_of_its_version() {
    let mut ledger = Ledger::default();
    ledger.bans.ban("a", 1.0).unwrap();
    ledger.bans.ban("b", 2.0).unwrap();
    ledger.bans.lift("b", 3.5);
    ledger.drain.begin(4.0);
    let text = r#"{"version":1,"out":{"a":1.0},"back":[["b",2.0,3.5]],"draining_since":4.0}"#;
    assert_eq!(ledger.encode(), text);
    assert_eq!(Ledger::decode(text.as_bytes()).unwrap(), ledger);
}
