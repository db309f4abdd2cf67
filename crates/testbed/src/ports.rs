//! Port reservations on loopback, for programs whose address must be known before they listen.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port of the reserved range. The range is below the ephemeral ports of Linux (`net.ipv4.ip_local_port_range` starts
/// at 32768), so that no listener on port 0 and no outgoing connection is assigned one of these ports.
const FIRST_PORT: u16 = 20_000;
/// Number of ports in the reserved range.
const PORT_COUNT: u16 = 12_000;
/// Address on which a reservation binds its port, so that the program itself can bind it on 127.0.0.1.
const RESERVATION_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 82, 70, 1);

/// Number of ports that this process has tried to reserve.
static ATTEMPTS: AtomicU32 = AtomicU32::new(0);

/// A port of 127.0.0.1 that no other process of the test bed can reserve until this is dropped.
///
/// Without a reservation, the system assigns a port that has just been free to another socket about once in 14,000 times,
/// and the program that was to listen on it fails. The port is reserved by a socket on another loopback address, so that
/// the program can bind it. The system ends the reservation when the process exits, even after a crash.
#[derive(Debug)]
pub struct Port {
    number: u16,
    _reservation: TcpListener,
}

impl Port {
    /// Reserves a port.
    ///
    /// # Errors
    /// Fails if no port of the range is free.
    pub fn reserve() -> io::Result<Port> {
        // Processes start at different offsets, so that they rarely try the same port.
        let offset = std::process::id().wrapping_mul(31);
        for _ in 0..PORT_COUNT {
            let step = offset.wrapping_add(ATTEMPTS.fetch_add(1, Ordering::Relaxed));
            let number = FIRST_PORT + u16::try_from(step % u32::from(PORT_COUNT)).unwrap_or(0);
            if let Ok(reservation) = TcpListener::bind((RESERVATION_ADDRESS, number)) {
                if TcpListener::bind((Ipv4Addr::LOCALHOST, number)).is_ok() {
                    return Ok(Port {
                        number,
                        _reservation: reservation,
                    });
                }
            }
        }
        Err(io::Error::from(io::ErrorKind::AddrInUse))
    }

    /// Address on which the program has to listen.
    pub fn address(&self) -> SocketAddr {
        (Ipv4Addr::LOCALHOST, self.number).into()
    }
}

#[cfg(test)]
mod tests;
