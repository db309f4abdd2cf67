//! Port reservations keep other listeners away, but not the program that the port is reserved for.

use super::*;

#[test]
fn reserved_port_is_free_for_its_program_and_not_assigned_again() {
    let first = Port::reserve().unwrap();
    let _program = TcpListener::bind(first.address()).unwrap();
    ATTEMPTS.fetch_sub(1, Ordering::Relaxed);
    let others: Vec<Port> = (0..50).map(|_| Port::reserve().unwrap()).collect();
    assert!(others.iter().all(|port| port.address() != first.address()));
    // The port stays reserved while its program is not running: the reservation address can't be bound again.
    assert!(TcpListener::bind((RESERVATION_ADDRESS, others[0].number)).is_err());
    // A listener on port 0 never gets a port of the reserved range.
    for _ in 0..50 {
        let any = TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        assert!(!(FIRST_PORT..FIRST_PORT + PORT_COUNT).contains(&any.port()));
    }
}
