//! One client that sends requests at full speed on one connection, and what other clients of the real program see of it.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `flood` | the client that sends at full speed |
//! | `others` | the clients that have to be served meanwhile |
//! | `nodes` | nodes of both kinds |

mod flood;
mod nodes;
mod others;

use flood::{Flood, Pace, Text};
use nodes::TestNode;
use std::time::Duration;

const FLOOD_TIME: Duration = Duration::from_secs(3);
/// Requests up to 16 KiB may wait behind the one that is being answered.
const PACES: [Pace; 2] = [Pace::Unbounded, Pace::Outstanding(14 << 10)];
/// How much the memory may grow in the second half of a flood, in KiB. What grows with each request is far more by then.
const MAX_GROWTH_KIB: u64 = 4 << 10;

/// Floods a node, and checks that others are served in time and that the memory does not grow without end.
fn others_are_served_during(node: &TestNode, text: Text, pace: Pace) {
    let flood = Flood::start(node.address(), text, pace);
    let first = others::send_during(node, FLOOD_TIME / 2);
    let memory_kib = node.memory_kib();
    let second = others::send_during(node, FLOOD_TIME / 2);
    let grown_kib = node.memory_kib().saturating_sub(memory_kib);
    let requests = flood.stop();
    println!("{text:?}, {pace:?}, {requests} requests: {first:?} and {second:?}, grown by {grown_kib} KiB");
    for others in [first, second] {
        assert!(others.are_all_served_in_time(), "{text:?}: {others:?}");
    }
    assert!(grown_kib < MAX_GROWTH_KIB, "{text:?}: {grown_kib} KiB");
}

/// Guards against one connection that takes up the processor while others wait.
#[test]
fn others_are_served_while_a_client_of_the_platform_sends_at_full_speed() {
    for text in [
        Text::Health,
        Text::Request,
        Text::UnknownPath,
        Text::Garbage,
        Text::SmallChunks,
        Text::Unsafe,
    ] {
        for pace in PACES {
            others_are_served_during(&TestNode::platform(), text, pace);
        }
    }
}

/// Guards against the same where unknown routes do not end a connection, and against memory for every new name.
#[test]
fn others_are_served_while_a_client_with_ever_new_names_sends_at_full_speed() {
    for text in [
        Text::Health,
        Text::Request,
        Text::UnknownPath,
        Text::UnknownHost,
        Text::Garbage,
        Text::SmallChunks,
        Text::Unsafe,
        Text::GraphQl,
    ] {
        for pace in PACES {
            others_are_served_during(&TestNode::with_settings(), text, pace);
        }
    }
}
