//! What histories tell of verdicts.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn said(node: usize, line: &str) -> Event {
    Event::Said {
        node,
        line: format!("reelfall: fleet: {line}"),
    }
}

#[test]
fn what_is_held_for_too_long_and_what_was_never_wrong_is_seen() {
    let fault = |step: Step| Event::Fault(step.line());
    let happened = [
        (
            SECOND,
            Event::Banned {
                node: 0,
                server: 1,
                seconds: Some(4),
            },
        ),
        (SECOND, said(0, "s1 is banned, for 4 s at most")),
        (SECOND, said(1, "s1 is banned, for 4 s at most")),
        (SECOND, said(2, "s1 is banned, for 4 s at most")),
        (2 * SECOND, Event::Froze { node: 2 }),
        (5 * SECOND, said(0, "s1 is not banned")),
        (9 * SECOND, said(1, "s1 is not banned")),
        (30 * SECOND, Event::Thawed { node: 2 }),
        (31 * SECOND, said(2, "s1 is not banned")),
        (40 * SECOND, fault(Step::Fails(0, 1.0))),
        (
            41 * SECOND,
            said(
                0,
                "s0 is ejected, a quorum of nodes reports it as faulty, for 9.9 s",
            ),
        ),
        (42 * SECOND, fault(Step::Fails(0, 0.0))),
        (49 * SECOND, said(0, "s0 is no longer ejected")),
        (
            50 * SECOND,
            said(
                1,
                "s0 is ejected, a quorum of nodes reports it as faulty, for 9.9 s",
            ),
        ),
        (
            60 * SECOND,
            said(
                1,
                "s0 is ejected, a quorum of nodes reports it as faulty, for 9.9 s",
            ),
        ),
        (60 * SECOND, said(0, "n1 at 127.0.0.1:7 is down")),
    ];
    let seen = verdicts(&happened);
    assert_eq!(seen.bans_over, [Duration::ZERO, SECOND, 4 * SECOND]);
    assert_eq!(
        (seen.condemned, seen.mistaken.len()),
        (3, 1),
        "{:?}",
        seen.mistaken
    );
    assert_eq!(seen.condemned_over, [7 * SECOND]);
    // Held to the end of the history.
    let seen = verdicts(&happened[..6]);
    assert_eq!(seen.bans_over, [Duration::ZERO, Duration::ZERO]);
    let mut held = happened[..6].to_vec();
    held.push((8 * SECOND, Event::Began { node: 9 }));
    assert_eq!(verdicts(&held).bans_over, [Duration::ZERO, 3 * SECOND]);
}
