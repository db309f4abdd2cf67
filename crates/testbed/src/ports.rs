//! Reserved ports on loopback, for programs whose address has to be known before they listen.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port that is reserved. All are below the ephemeral ports of Linux (`net.ipv4.ip_local_port_range` begins at 32768),
/// so that no listener on port 0 and no outgoing connection gets one of them.
const FIRST_PORT: u16 = 20_000;
/// Number of ports that are reserved.
const PORT_COUNT: u16 = 12_000;
/// The address at which a reservation binds its port, while the program listens at 127.0.0.1 or has not started yet.
const RESERVATION_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 82, 70, 1);

/// Reservations tried so far in this process.
static ATTEMPTS: AtomicU32 = AtomicU32::new(0);

/// A port of 127.0.0.1 that no other process of the test bed reserves until this is dropped.
///
/// Two tests never use the same port: the system assigns a port that was free a moment ago again about once in 14,000 times,
/// and the program that was to listen there would fail. The port is reserved by a socket at another address of loopback, so
/// that the program can bind it; the reservation ends with its process, however that ends.
#[derive(Debug)]
pub struct Port {
    number: u16,
    _reservation: TcpListener,
}

impl Port {
    /// Reserves a port.
    ///
    /// # Errors
    /// Fails if none of the ports is free.
    pub fn reserve() -> io::Result<Port> {
        // Processes start at different ports, so that they seldom try the same.
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

    /// Where the program is to listen.
    pub fn address(&self) -> SocketAddr {
        (Ipv4Addr::LOCALHOST, self.number).into()
    }
}

#[cfg(test)]
mod tests;
