//! Addresses on loopback for programs that have to be told where to listen before they do.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Below the ports that Linux gives to whoever asks for any (`net.ipv4.ip_local_port_range` begins at 32768), so that no
/// listener on port 0 and no outgoing connection ever gets one of these by chance.
const FIRST: u16 = 20_000;
const COUNT: u16 = 12_000;
/// Where a port is held while the program that listens at 127.0.0.1 has it, or is not there yet.
const HOLDER: Ipv4Addr = Ipv4Addr::new(127, 82, 70, 1);

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A port of 127.0.0.1 that nobody else of the rig gets for as long as this is kept, in this process or another.
///
/// Guards against two tests that are given one port: what was free a moment ago is handed out again by the system once in
/// some 14,000 times, and by then the program that was to have it can't listen. The socket that holds it is bound at another
/// address of loopback, so that the program itself finds it free; it goes with its process, however that ends.
#[derive(Debug)]
pub struct Port {
    number: u16,
    _held: TcpListener,
}

impl Port {
    /// # Errors
    /// Fails if none of the ports is free.
    pub fn take() -> io::Result<Port> {
        // Processes begin apart, so that they seldom try each other's.
        let mine = std::process::id().wrapping_mul(31);
        for _ in 0..COUNT {
            let step = mine.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
            let number = FIRST + u16::try_from(step % u32::from(COUNT)).unwrap_or(0);
            if let Ok(held) = TcpListener::bind((HOLDER, number)) {
                if TcpListener::bind((Ipv4Addr::LOCALHOST, number)).is_ok() {
                    return Ok(Port {
                        number,
                        _held: held,
                    });
                }
            }
        }
        Err(io::Error::from(io::ErrorKind::AddrInUse))
    }

    /// Where its program listens.
    pub fn address(&self) -> SocketAddr {
        (Ipv4Addr::LOCALHOST, self.number).into()
    }
}

#[cfg(test)]
mod tests;
