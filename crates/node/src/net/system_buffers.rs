//! How much the systems of a client and of this node hold of a connection's data.
//!
//! A client's system is taken to have the same limits as this one; those of Linux are in `/proc/sys/net`
//! (`tcp(7)`, `socket(7)`).

#[cfg(test)]
mod tests;

use std::path::Path;

/// The limits of the system that this process runs on.
const SYSTEM_LIMITS: &str = "/proc/sys/net";

/// The most data that systems hold for one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SystemBuffers {
    /// In the send buffer of a client, in bytes.
    pub client_send_bytes: u64,
    /// In the receive buffer of this system, in bytes.
    pub receive_bytes: u64,
}

impl Default for SystemBuffers {
    /// The limits of Linux by default.
    fn default() -> Self {
        SystemBuffers {
            client_send_bytes: 4 << 20,
            receive_bytes: 6 << 20,
        }
    }
}

impl SystemBuffers {
    /// The limits of this system; those that can't be read are the default ones.
    pub fn of_system() -> Self {
        SystemBuffers::read(Path::new(SYSTEM_LIMITS))
    }

    fn read(folder: &Path) -> Self {
        let default = SystemBuffers::default();
        // A buffer of a size that a program has chosen is twice as large, for the system's own data.
        let largest = |automatic: &str, chosen: &str| {
            let automatic = read_last_number(&folder.join(automatic));
            let chosen = read_last_number(&folder.join(chosen)).map(|bytes| 2 * bytes);
            automatic.max(chosen)
        };
        SystemBuffers {
            client_send_bytes: largest("ipv4/tcp_wmem", "core/wmem_max")
                .unwrap_or(0)
                .max(default.client_send_bytes),
            receive_bytes: largest("ipv4/tcp_rmem", "core/rmem_max")
                .unwrap_or(0)
                .max(default.receive_bytes),
        }
    }
}

/// The last number in a file, which is the largest size.
fn read_last_number(path: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    text.split_whitespace().last()?.parse().ok()
}
