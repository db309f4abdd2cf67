//! Reserved ports.

use super::*;

#[test]
fn a_port_that_is_held_is_free_for_its_program_and_given_to_nobody_else() {
    let first = Port::reserve().unwrap();
    let _program = TcpListener::bind(first.address()).unwrap();
    ATTEMPTS.fetch_sub(1, Ordering::Relaxed);
    let others: Vec<Port> = (0..50).map(|_| Port::reserve().unwrap()).collect();
    assert!(others.iter().all(|port| port.address() != first.address()));
    // Held also while its program is not there: the system refuses the holder's address.
    assert!(TcpListener::bind((RESERVATION_ADDRESS, others[0].number)).is_err());
    // And whoever asks for any never gets one of these.
    for _ in 0..50 {
        let any = TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        assert!(!(FIRST_PORT..FIRST_PORT + PORT_COUNT).contains(&any.port()));
    }
}
