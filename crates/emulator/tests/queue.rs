//! The order of events.

use reelfall_emulator::queue::EventQueue;

#[test]
fn events_come_by_time_and_those_of_one_instant_in_the_order_they_were_put_in() {
    let mut queue = EventQueue::new(1.0);
    for (at, event) in [
        (3.0, "c"),
        (2.0, "a"),
        (3.0, "d"),
        (2.0, "b"),
        (f64::INFINITY, "z"),
    ] {
        queue.schedule(at, event);
    }
    let taken: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(taken, ["a", "b", "c", "d", "z"]);
}

#[test]
fn the_clock_never_goes_back() {
    let mut queue = EventQueue::new(5.0);
    queue.schedule(7.0, "later");
    assert_eq!(queue.pop(), Some("later"));
    queue.schedule(1.0, "of the past");
    queue.schedule(f64::NAN, "at no time");
    assert_eq!((queue.pop(), queue.now()), (Some("of the past"), 7.0));
    assert_eq!((queue.pop(), queue.now()), (Some("at no time"), 7.0));
    assert_eq!(queue.pop(), None);
}
