//! The schedule of changes in a window, and the ages of bans.

use reelfall_capacity::scale::discovery_stub::ALWAYS_FAILING_SERVERS;
use reelfall_capacity::scale::drive::ban_ages;
use reelfall_capacity::scale::schedule::{
    event_times, schedule, Event, Rates, ScheduledEvent, SECONDS_PER_DAY,
};
use reelfall_testbed::SeededRng;

#[test]
fn events_are_evenly_spaced_and_occur_at_least_once() {
    assert!(event_times(0, 10.0).is_empty());
    // At one event per day, a window of ten seconds still contains one, so that there is something to measure.
    assert_eq!(event_times(1, 10.0), [5.0]);
    assert_eq!(
        event_times(SECONDS_PER_DAY as usize, 4.0),
        [0.5, 1.5, 2.5, 3.5]
    );
}

#[test]
fn each_server_fails_before_its_restart_is_listed() {
    let rates = Rates {
        changes: SECONDS_PER_DAY as usize,
        restarts: 2 * SECONDS_PER_DAY as usize,
    };
    let events = schedule(rates, 3.0, 10, &mut SeededRng(1));
    assert!(
        events.is_sorted_by(|left, right| left.at <= right.at)
            && events
                .iter()
                .all(|scheduled| (0.0..3.0).contains(&scheduled.at))
    );
    let bans = events
        .iter()
        .filter(|scheduled| scheduled.event == Event::Ban)
        .count();
    assert_eq!((bans, events.len()), (3, 3 + 2 * 6));
    for (index, ScheduledEvent { at, event }) in events.iter().enumerate() {
        let Event::ServerRestarted(server) = event else {
            continue;
        };
        assert!((ALWAYS_FAILING_SERVERS..10).contains(server));
        let fails = |earlier: &ScheduledEvent| {
            earlier.event == Event::ServerFails(*server) && earlier.at <= *at
        };
        assert!(events[..index].iter().any(fails), "{events:?}");
    }
    assert_eq!(events, schedule(rates, 3.0, 10, &mut SeededRng(1)));
    assert!(schedule(Rates::NONE, 3.0, 10, &mut SeededRng(1)).is_empty());
}

#[test]
fn bans_from_before_a_window_are_ignored() {
    let servers = [
        "change-1500000",
        "change-999999",
        "change-1000000",
        "server-1",
        "change-",
        "change-x",
    ];
    let servers = servers.map(str::to_owned);
    assert_eq!(
        ban_ages(&servers, 1_000_000, 2.0).collect::<Vec<_>>(),
        [0.5, 1.0]
    );
    assert_eq!(ban_ages(&servers, 0, 2.0).count(), 3);
}
