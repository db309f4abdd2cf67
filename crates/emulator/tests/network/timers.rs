//! The timers of endpoints.

use crate::{network_without_timers, running, uniform_links, Recorder, DELAY};

#[test]
fn timers_fire_when_due_and_one_that_is_always_due_does_not_stop_the_clock() {
    let mut network = network_without_timers(uniform_links(DELAY));
    network.start(0, Recorder::with_timer(0.5, 1));
    let always_due = Recorder {
        period: f64::MIN_POSITIVE,
        ..Recorder::default()
    };
    network.start(2, always_due);
    network.run(10.2);
    assert_eq!(running(&network, 0).polls, 20);
    let polls = running(&network, 2).polls;
    assert!((20_000..=20_401).contains(&polls), "{polls}");
}

#[test]
fn earlier_timer_replaces_a_later_one() {
    let mut network = network_without_timers(uniform_links(DELAY));
    network.start(0, Recorder::with_timer(100.0, 1));
    network.run(1.0);
    network.with(0, |recorder, now, _| recorder.next_poll = now + 1.0);
    network.run(2.0);
    assert_eq!(running(&network, 0).polls, 1);
    // The timer is now due at 102 s instead of 100 s.
    network.run(98.5);
    assert_eq!(running(&network, 0).polls, 1);
    network.run(1.0);
    assert_eq!(running(&network, 0).polls, 2);
}
