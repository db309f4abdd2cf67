//! Completion times of work at a server that pauses periodically.

use reelfall_balancer::interface::{Endpoint, ServerState};
use reelfall_emulator::plan::ServerBehavior;
use reelfall_emulator::server::Server;

fn pausing_server(hash: u64) -> Server {
    let endpoint = Endpoint {
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
    let mut server = Server::new(endpoint, 1.0, 10);
    server.behavior = ServerBehavior::Pausing {
        interval: 1.0,
        duration: 0.1,
    };
    server
}

#[test]
fn work_is_delayed_by_exactly_the_pauses_that_it_overlaps() {
    let server = pausing_server(0);
    let assert_close = |a: f64, b: f64| assert!((a - b).abs() < 1e-9, "{a} {b}");
    // The work begins in the middle of a pause, between pauses, and right before a pause.
    assert_close(server.completion_time(0.05, 0.2), 0.3);
    assert_close(server.completion_time(0.5, 0.2), 0.7);
    assert_close(server.completion_time(0.95, 0.2), 1.25);
    // Long work progresses in nine tenths of each second.
    assert_close(server.completion_time(0.5, 9.4), 0.5 + 9.4 + 1.0);
}

#[test]
fn completion_times_are_bounded_and_do_not_decrease_with_the_start() {
    for hash in [0, 1, 250, 999] {
        let server = pausing_server(hash);
        let mut previous = 0.0;
        for n in 0..20_000 {
            let now = f64::from(n) * 0.001;
            let done = server.completion_time(now, 0.03);
            assert!(
                done >= previous - 1e-9 && done >= now + 0.03 - 1e-9 && done <= now + 0.13 + 1e-9
            );
            previous = done;
        }
    }
}
