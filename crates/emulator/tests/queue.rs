//! The order of events in the queue, and its clock.

use reelfall_emulator::queue::EventQueue;

#[test]
fn events_are_ordered_by_time_and_then_by_scheduling_order() {
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
    let popped: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(popped, ["a", "b", "c", "d", "z"]);
}

#[test]
fn clock_never_goes_back() {
    let mut queue = EventQueue::new(5.0);
    queue.schedule(7.0, "later");
    assert_eq!(queue.pop(), Some("later"));
    queue.schedule(1.0, "in the past");
    queue.schedule(f64::NAN, "at NaN");
    assert_eq!((queue.pop(), queue.now()), (Some("in the past"), 7.0));
    assert_eq!((queue.pop(), queue.now()), (Some("at NaN"), 7.0));
    assert_eq!(queue.pop(), None);
}
