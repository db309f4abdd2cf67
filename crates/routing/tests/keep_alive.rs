//! Idle connections to servers that have few to give.

use reelfall_routing::keep_alive::KeepAlive;

#[test]
fn a_refusal_halves_the_keep_alive_once_a_look_and_quiet_gives_it_back() {
    let mut keep = KeepAlive::new(8.0);
    (0..100).for_each(|_| keep.record_rejection());
    assert_eq!(keep.idle_timeout(), 8.0);
    keep.tick(0.25);
    assert_eq!(keep.idle_timeout(), 4.0);
    for _ in 0..20 {
        keep.record_rejection();
        keep.tick(0.25);
    }
    assert_eq!(keep.idle_timeout(), 0.5);
    (0..80).for_each(|_| keep.tick(0.25));
    assert_eq!(keep.idle_timeout(), 8.0);
}

/// Nodes that each use a few servers often and all of them now and then; a server accepts so many connections.
fn fleet(accepts: usize, adapts: bool) -> (usize, usize) {
    const NODES: usize = 300;
    const SERVERS: usize = 168;
    let mut draw = 7_u64;
    let mut random = move |n: usize| {
        draw = draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        ((draw >> 33) as usize) % n
    };
    let mut keeps = vec![KeepAlive::new(8.0); NODES];
    // When each node's connection to each server was used last.
    let mut used: Vec<Vec<Option<f64>>> = vec![vec![None; SERVERS]; NODES];
    let mut open = vec![0; SERVERS];
    let (mut refused, mut opened) = (0, 0);
    for step in 0..120 {
        let now = f64::from(step) * 0.25;
        for node in 0..NODES {
            keeps[node].tick(0.25);
            let keep = if adapts {
                keeps[node].idle_timeout()
            } else {
                8.0
            };
            for (server, last) in used[node].iter_mut().enumerate() {
                if last.is_some_and(|last| now - last >= keep) {
                    (*last, open[server]) = (None, open[server] - 1);
                }
            }
            for _ in 0..3 {
                let server = if random(10) < 8 {
                    (node * 7 + random(9)) % SERVERS
                } else {
                    random(SERVERS)
                };
                if used[node][server].is_none() {
                    if open[server] >= accepts {
                        keeps[node].record_rejection();
                        refused += usize::from(step >= 60);
                        continue;
                    }
                    open[server] += 1;
                    opened += usize::from(step >= 60);
                }
                used[node][server] = Some(now);
            }
        }
    }
    (refused, opened)
}

#[test]
fn a_fleet_leaves_room_at_servers_that_accept_few() {
    let (without, _) = fleet(30, false);
    let (with, _) = fleet(30, true);
    assert!(without > 2_000, "{without} refused");
    assert!(2 * with < without, "{with} refused, {without} without");
    // Where there is room, nothing changes.
    assert_eq!(fleet(300, true), fleet(300, false));
}
