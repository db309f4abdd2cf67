//! A server that stands still every so often.

use reelfall_balancer::interface::{Endpoint, ServerState};
use reelfall_emulator::plan::ServerBehavior;
use reelfall_emulator::server::Server;

fn pausing(hash: u64) -> Server {
    let entry = Endpoint {
        server: 0,
        hash,
        zone: 0,
        machine_type: 0,
        cell: 0,
        state: ServerState::Up,
        weight: 1.0,
        started_at: 0.0,
        local_balancers: 1,
    };
    let mut server = Server::new(entry, 1.0, 10);
    server.behavior = ServerBehavior::Pausing {
        interval: 1.0,
        duration: 0.1,
    };
    server
}

#[test]
fn work_waits_through_pauses_and_through_no_more_than_come() {
    let server = pausing(0);
    let close = |a: f64, b: f64| assert!((a - b).abs() < 1e-9, "{a} {b}");
    // It begins in the middle of a pause, outside one, and right before one.
    close(server.completion_time(0.05, 0.2), 0.3);
    close(server.completion_time(0.5, 0.2), 0.7);
    close(server.completion_time(0.95, 0.2), 1.25);
    // Nine tenths of each second are left for long work.
    close(server.completion_time(0.5, 9.4), 0.5 + 9.4 + 1.0);
}

#[test]
fn every_moment_and_length_ends_in_the_end_and_in_order() {
    for hash in [0, 1, 250, 999] {
        let server = pausing(hash);
        let mut before = 0.0;
        for n in 0..20_000 {
            let now = f64::from(n) * 0.001;
            let done = server.completion_time(now, 0.03);
            assert!(
                done >= before - 1e-9 && done >= now + 0.03 - 1e-9 && done <= now + 0.13 + 1e-9
            );
            before = done;
        }
    }
}
