//! The order of events.

use reelfall_emulator::queue::Queue;

#[test]
fn events_come_by_time_and_those_of_one_instant_in_the_order_they_were_put_in() {
    let mut queue = Queue::new(1.0);
    for (at, event) in [
        (3.0, "c"),
        (2.0, "a"),
        (3.0, "d"),
        (2.0, "b"),
        (f64::INFINITY, "z"),
    ] {
        queue.put(at, event);
    }
    let taken: Vec<_> = std::iter::from_fn(|| queue.take()).collect();
    assert_eq!(taken, ["a", "b", "c", "d", "z"]);
}

#[test]
fn the_clock_never_goes_back() {
    let mut queue = Queue::new(5.0);
    queue.put(7.0, "later");
    assert_eq!(queue.take(), Some("later"));
    queue.put(1.0, "of the past");
    queue.put(f64::NAN, "at no time");
    assert_eq!((queue.take(), queue.now()), (Some("of the past"), 7.0));
    assert_eq!((queue.take(), queue.now()), (Some("at no time"), 7.0));
    assert_eq!(queue.take(), None);
}
