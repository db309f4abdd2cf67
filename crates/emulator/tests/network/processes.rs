//! Endpoints whose processes are paused, end and restart.

use crate::{frames, network_without_timers, running, send, uniform_links, Recorder, DELAY};
use reelfall_emulator::control::network::MAX_FROZEN_INBOX;

#[test]
fn paused_endpoint_receives_its_bounded_inbox_and_overdue_timers_when_resumed() {
    const OVERFLOWING_FRAMES: u16 = 5;
    let mut network = network_without_timers(uniform_links(DELAY));
    network.start(1, Recorder::with_timer(1.0, 0));
    network.freeze(1);
    let inbox_size = u16::try_from(MAX_FROZEN_INBOX).expect("it is small");
    for number in 0..inbox_size + OVERFLOWING_FRAMES {
        send(&mut network, 0, 1, &number.to_be_bytes());
    }
    network.run(10.0);
    assert!(frames(&network, 1).is_empty());
    assert_eq!(running(&network, 1).polls, 0);
    network.thaw(1);
    assert_eq!(frames(&network, 1).len(), MAX_FROZEN_INBOX);
    assert_eq!(
        frames(&network, 1)[MAX_FROZEN_INBOX - 1],
        (inbox_size - 1).to_be_bytes()
    );
    assert_eq!(
        network.undelivered().overflowed,
        u64::from(OVERFLOWING_FRAMES)
    );
    network.run(0.1);
    assert_eq!(running(&network, 1).polls, 10);
}

#[test]
fn frames_to_an_ended_process_are_lost_and_its_successor_starts_empty() {
    let mut network = network_without_timers(uniform_links(DELAY));
    send(&mut network, 0, 1, b"before");
    network.run(1.0);
    assert!(network.kill(1).is_some());
    send(&mut network, 0, 1, b"while ended");
    network.run(1.0);
    assert!(network.kill(1).is_none() && network.endpoint(1).is_none());
    network.start(1, Recorder::default());
    send(&mut network, 0, 1, b"after");
    network.run(1.0);
    assert_eq!(frames(&network, 1), [b"after"]);
    assert_eq!(network.undelivered().ended, 1);
    let unknown_endpoint = 9;
    assert!(network.with(unknown_endpoint, |_, _, _| ()).is_none());
}
