//! Figures about verdicts, on hand-written histories.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn logged(node: usize, line: &str) -> Event {
    Event::Logged {
        node,
        line: format!("reelfall: fleet: {line}"),
    }
}

fn at_times<const N: usize>(events: [(Duration, Event); N]) -> Vec<TimedEvent> {
    let timed = events.map(|(at, event)| TimedEvent { at, event });
    timed.to_vec()
}

#[test]
fn late_bans_and_ejections_of_healthy_servers_are_counted() {
    let fault = |step: Step| Event::ScheduleStep(step.to_line());
    let events = at_times([
        (
            SECOND,
            Event::Banned {
                node: 0,
                server: 1,
                seconds: Some(4),
            },
        ),
        (SECOND, logged(0, "s1 is banned, for 4 s at most")),
        (SECOND, logged(1, "s1 is banned, for 4 s at most")),
        (SECOND, logged(2, "s1 is banned, for 4 s at most")),
        (2 * SECOND, Event::Paused { node: 2 }),
        (5 * SECOND, logged(0, "s1 is not banned")),
        (9 * SECOND, logged(1, "s1 is not banned")),
        (30 * SECOND, Event::Resumed { node: 2 }),
        (31 * SECOND, logged(2, "s1 is not banned")),
        (
            40 * SECOND,
            fault(Step::SetServerFailures {
                server: 0,
                ratio: 1.0,
            }),
        ),
        (
            41 * SECOND,
            logged(
                0,
                "s0 is ejected, a quorum of nodes reports it as faulty, for 9.9 s",
            ),
        ),
        (
            42 * SECOND,
            fault(Step::SetServerFailures {
                server: 0,
                ratio: 0.0,
            }),
        ),
        (49 * SECOND, logged(0, "s0 is no longer ejected")),
        (
            50 * SECOND,
            logged(
                1,
                "s0 is ejected, a quorum of nodes reports it as faulty, for 9.9 s",
            ),
        ),
        (
            60 * SECOND,
            logged(
                1,
                "s0 is ejected, a quorum of nodes reports it as faulty, for 9.9 s",
            ),
        ),
        (60 * SECOND, logged(0, "n1 at 127.0.0.1:7 is down")),
    ]);
    let stats = VerdictStats::from_events(&events);
    assert_eq!(stats.ban_overruns, [Duration::ZERO, SECOND, 4 * SECOND]);
    assert_eq!(
        (stats.ejections, stats.unfounded_ejections.len()),
        (3, 1),
        "{:?}",
        stats.unfounded_ejections
    );
    assert_eq!(stats.ejection_overruns, [7 * SECOND]);
    // A ban that is still applied at the end of the history.
    let stats = VerdictStats::from_events(&events[..6]);
    assert_eq!(stats.ban_overruns, [Duration::ZERO, Duration::ZERO]);
    let mut extended = events[..6].to_vec();
    extended.extend(at_times([(8 * SECOND, Event::ProcessStarted { node: 9 })]));
    assert_eq!(
        VerdictStats::from_events(&extended).ban_overruns,
        [Duration::ZERO, 3 * SECOND]
    );
}
