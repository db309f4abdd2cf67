use super::{
    server_connection_bytes, MemoryAccount, MemoryPlan, CLIENT_CONNECTION_BYTES, MIN_READ_BYTES,
    PROGRAM_BYTES,
};

const MIB: usize = 1 << 20;
/// The connections of a process with 1,024 descriptors.
const CLIENTS: usize = 570;
const SERVER_CONNECTIONS: usize = 430;

fn bytes_of_connections(plan: &MemoryPlan) -> usize {
    plan.client_connections * CLIENT_CONNECTION_BYTES
        + plan.server_connections * server_connection_bytes(plan.read_bytes)
}

/// Guards against connections that alone take a process over its memory limit.
#[test]
fn all_connections_fit_in_the_memory_with_room_for_buffers() {
    for memory_mib in [16, 32, 48, 64, 128, 192] {
        for (clients, servers) in [(CLIENTS, SERVER_CONNECTIONS), (40_000, 30_000)] {
            let plan = MemoryPlan::for_single_service(memory_mib * MIB, clients, servers);
            let used = bytes_of_connections(&plan);
            assert!(
                used + plan.capacity_bytes / 5 <= plan.capacity_bytes
                    && plan.capacity_bytes <= memory_mib * MIB,
                "{memory_mib} MiB: {plan:?} takes up {used} bytes"
            );
        }
    }
}

/// Guards against refusing clients that the pages let connect: a third of the descriptors.
#[test]
fn a_third_of_the_descriptors_is_left_for_clients_in_32_mib() {
    let plan = MemoryPlan::for_single_service(32 * MIB, CLIENTS, SERVER_CONNECTIONS);
    assert!(plan.client_connections >= 1024 / 3, "{plan:?}");
}

#[test]
fn more_memory_is_used_for_longer_reads() {
    let small = MemoryPlan::for_single_service(48 * MIB, CLIENTS, SERVER_CONNECTIONS);
    let large = MemoryPlan::for_single_service(192 * MIB, CLIENTS, SERVER_CONNECTIONS);
    assert_eq!(small.read_bytes, MIN_READ_BYTES);
    assert!(large.read_bytes > small.read_bytes, "{large:?}");
}

#[test]
fn two_processes_share_the_memory_of_one() {
    let whole = MemoryPlan::for_single_service(48 * MIB, CLIENTS, SERVER_CONNECTIONS);
    let half = whole.halved();
    assert!(2 * (half.capacity_bytes + PROGRAM_BYTES) <= 48 * MIB);
}

#[test]
fn buffers_never_use_the_memory_of_connections() {
    let plan = MemoryPlan::for_single_service(48 * MIB, CLIENTS, SERVER_CONNECTIONS);
    let account = MemoryAccount::new(&plan);
    let all = account.try_reserve(plan.buffer_bytes()).expect("memory");
    assert!(account.try_reserve(1).is_none());
    let connection = account.reserve_connection(CLIENT_CONNECTION_BYTES);
    drop(all);
    assert!(account.try_reserve(plan.buffer_bytes()).is_some());
    drop(connection);
    assert!(account.try_reserve(plan.buffer_bytes() + 1).is_none());
}

#[test]
fn smaller_plan_keeps_what_is_in_use_and_grants_nothing_more() {
    let plan = MemoryPlan::for_single_service(48 * MIB, CLIENTS, SERVER_CONNECTIONS);
    let account = MemoryAccount::new(&plan);
    let used = account.try_reserve(plan.buffer_bytes()).expect("memory");
    account.set_plan(&plan.halved());
    assert!(account.try_reserve(1).is_none());
    drop(used);
    assert!(account.try_reserve(plan.halved().buffer_bytes()).is_some());
}
