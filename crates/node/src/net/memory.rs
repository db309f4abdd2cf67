//! The account of the memory that a process holds for its clients and servers.
//!
//! Every byte is reserved from the time when it arrives until it was sent or dropped: a fixed amount for each connection
//! (its state, its read buffer and the parts of a streamed message that are on their way), and further amounts for large
//! heads, buffered bodies and buffered answers. [`MemoryPlan`] divides the memory of a process; a [`MemoryAccount`] counts
//! what is in use.

#[cfg(test)]
mod tests;

use reelfall_config::Plan;
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// The memory of a process that is not for clients and servers, in bytes: for its settings, lists and learned state.
const PROGRAM_BYTES: usize = 8 << 20;
/// The part of a small memory that the program may have in a process with one service, which may learn of many servers.
const SINGLE_SERVICE_PROGRAM_DIVISOR: usize = 4;
/// The part of a small memory that the program may have with a settings file, half of which its services may buffer.
const SERVICES_PROGRAM_DIVISOR: usize = 8;
/// The percentage of the capacity that is set apart for buffers in a process with one service.
const BUFFERS_PERCENT: usize = 20;
/// The least number of clients, and of connections to servers, that a process allows.
const MIN_CONNECTIONS: usize = 8;
/// Of the memory for connections, the percentage for those to servers, if the memory does not suffice for all.
const SERVER_CONNECTIONS_PERCENT: usize = 42;
/// Held for the connection of a client, in bytes: its task and its request, a read buffer, a head and a small body or answer.
pub const CLIENT_CONNECTION_BYTES: usize = 32 << 10;
/// Held for a connection to a server besides what is read from it at once, in bytes: its task, an attempt and their buffers.
const SERVER_CONNECTION_BYTES: usize = 16 << 10;
/// How many reads of a connection are held at most for a streamed message: one in its buffer, one that was passed on, and two
/// on their way to the receiver.
const READS_HELD: usize = 4;
/// The number of bytes that are read from a server at once: the largest of these that the memory suffices for.
const READ_BYTES: [usize; 4] = [64 << 10, 32 << 10, 16 << 10, MIN_READ_BYTES];
const MIN_READ_BYTES: usize = 8 << 10;

/// How the memory of a process is divided among its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The memory for clients and servers, in bytes.
    pub capacity_bytes: usize,
    /// Maximum number of clients that there is memory for.
    pub client_connections: usize,
    /// Maximum number of connections to servers that there is memory for.
    pub server_connections: usize,
    /// How much is read from a server at once, in bytes.
    pub read_bytes: usize,
}

impl MemoryPlan {
    /// Divides the memory of a process with one service among up to this many connections.
    pub fn for_single_service(
        memory_bytes: usize,
        max_client_connections: usize,
        max_server_connections: usize,
    ) -> MemoryPlan {
        let capacity_bytes = capacity_of(memory_bytes, SINGLE_SERVICE_PROGRAM_DIVISOR);
        let buffer_bytes = capacity_bytes / 100 * BUFFERS_PERCENT;
        MemoryPlan::new(
            capacity_bytes,
            max_client_connections,
            max_server_connections,
            buffer_bytes,
        )
    }

    /// Divides the capacity among up to this many connections, with `min_buffer_bytes` set apart for buffers.
    fn new(
        capacity_bytes: usize,
        max_client_connections: usize,
        max_server_connections: usize,
        min_buffer_bytes: usize,
    ) -> MemoryPlan {
        let for_connections = capacity_bytes.saturating_sub(min_buffer_bytes);
        let fitting = READ_BYTES.into_iter().find(|read_bytes| {
            let for_clients = max_client_connections.saturating_mul(CLIENT_CONNECTION_BYTES);
            let for_servers =
                max_server_connections.saturating_mul(server_connection_bytes(*read_bytes));
            for_clients.saturating_add(for_servers) <= for_connections
        });
        if let Some(read_bytes) = fitting {
            return MemoryPlan {
                capacity_bytes,
                client_connections: max_client_connections,
                server_connections: max_server_connections,
                read_bytes,
            };
        }
        let bytes_per_server = server_connection_bytes(MIN_READ_BYTES);
        let for_servers = for_connections / 100 * SERVER_CONNECTIONS_PERCENT;
        let server_connections = (for_servers / bytes_per_server)
            .clamp(MIN_CONNECTIONS, max_server_connections.max(MIN_CONNECTIONS));
        let for_clients = for_connections.saturating_sub(server_connections * bytes_per_server);
        let client_connections = (for_clients / CLIENT_CONNECTION_BYTES)
            .clamp(MIN_CONNECTIONS, max_client_connections.max(MIN_CONNECTIONS));
        MemoryPlan {
            capacity_bytes,
            client_connections,
            server_connections,
            read_bytes: MIN_READ_BYTES,
        }
    }

    /// Divides the memory that a settings file allows its process. What its services may buffer is set apart.
    pub fn of_settings(plan: &Plan) -> MemoryPlan {
        let memory_bytes = usize::try_from(plan.model.process.max_memory).unwrap_or(usize::MAX);
        let server_connections = plan.resources.connections as usize;
        let buffer_bytes = plan.resources.memory_kib as usize * 1024;
        MemoryPlan::new(
            capacity_of(memory_bytes, SERVICES_PROGRAM_DIVISOR),
            plan.max_clients,
            server_connections,
            buffer_bytes,
        )
    }

    /// The memory that is not set apart for connections, in bytes.
    pub fn buffer_bytes(&self) -> usize {
        let for_clients = self.client_connections * CLIENT_CONNECTION_BYTES;
        let for_servers = self.server_connections * server_connection_bytes(self.read_bytes);
        self.capacity_bytes
            .saturating_sub(for_clients + for_servers)
    }

    /// The plan of each of two processes that share the memory.
    pub fn halved(self) -> MemoryPlan {
        let capacity_bytes = self.capacity_bytes.saturating_sub(PROGRAM_BYTES) / 2;
        MemoryPlan {
            capacity_bytes,
            client_connections: self.client_connections / 2,
            server_connections: self.server_connections / 2,
            read_bytes: self.read_bytes,
        }
    }
}

/// The memory for clients and servers, in bytes.
fn capacity_of(memory_bytes: usize, program_divisor: usize) -> usize {
    memory_bytes - PROGRAM_BYTES.min(memory_bytes / program_divisor)
}

/// What is held for a connection to a server of which `read_bytes` are read at once, in bytes.
pub fn server_connection_bytes(read_bytes: usize) -> usize {
    SERVER_CONNECTION_BYTES + READS_HELD * read_bytes
}

/// With this many bytes of a streamed message on their way to its receiver, no more of it is passed on, where `read_bytes`
/// are read at once: with the last part there are less than two reads.
pub fn stream_window_bytes(read_bytes: usize) -> usize {
    read_bytes
}

/// Counts the memory that a process holds for its clients and servers.
///
/// What the plan sets apart for connections is never used for anything else, so that a connection within the limits of the
/// plan can always be opened, whatever is buffered.
pub struct MemoryAccount {
    /// The memory for what is buffered, in bytes.
    buffer_capacity_bytes: Cell<usize>,
    buffered_bytes: Cell<usize>,
    connection_bytes: Cell<usize>,
    /// Notified when memory for buffers was released.
    released: Notify,
}

impl MemoryAccount {
    /// An account of which nothing is in use.
    pub fn new(plan: &MemoryPlan) -> Rc<Self> {
        Rc::new(MemoryAccount {
            buffer_capacity_bytes: Cell::new(plan.buffer_bytes()),
            buffered_bytes: Cell::new(0),
            connection_bytes: Cell::new(0),
            released: Notify::new(),
        })
    }

    /// Changes the plan. What is in use stays reserved.
    pub fn set_plan(&self, plan: &MemoryPlan) {
        self.buffer_capacity_bytes.set(plan.buffer_bytes());
        self.released.notify_waiters();
    }

    /// Reserves memory for a buffer, if there is enough now.
    pub fn try_reserve(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        let used = self.buffered_bytes.get().checked_add(bytes)?;
        (used <= self.buffer_capacity_bytes.get()).then(|| self.charge(bytes))
    }

    /// Whether this much can be reserved with half of the memory for buffers left.
    pub fn leaves_half(&self, bytes: usize) -> bool {
        let used = self.buffered_bytes.get().saturating_add(bytes);
        used <= self.buffer_capacity_bytes.get() / 2
    }

    /// Counts something that is buffered already, whether or not there is memory for it.
    pub fn charge(self: &Rc<Self>, bytes: usize) -> Reservation {
        self.buffered_bytes.set(self.buffered_bytes.get() + bytes);
        self.reservation(Purpose::Buffer, bytes)
    }

    /// Reserves memory for a connection, the number of which the limits of the plan bound.
    pub fn reserve_connection(self: &Rc<Self>, bytes: usize) -> Reservation {
        self.connection_bytes
            .set(self.connection_bytes.get() + bytes);
        self.reservation(Purpose::Connection, bytes)
    }

    /// Resolves at the next release of memory for buffers after this call.
    pub fn released(&self) -> Notified<'_> {
        self.released.notified()
    }

    fn reservation(self: &Rc<Self>, purpose: Purpose, bytes: usize) -> Reservation {
        Reservation {
            account: self.clone(),
            purpose,
            bytes,
        }
    }

    fn release(&self, purpose: Purpose, bytes: usize) {
        let used = match purpose {
            Purpose::Buffer => &self.buffered_bytes,
            Purpose::Connection => &self.connection_bytes,
        };
        used.set(used.get().saturating_sub(bytes));
        if purpose == Purpose::Buffer {
            self.released.notify_waiters();
        }
    }
}

/// What is in use, for the log.
impl fmt::Display for MemoryAccount {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{} of {} KiB buffered, {} KiB held for connections",
            self.buffered_bytes.get() >> 10,
            self.buffer_capacity_bytes.get() >> 10,
            self.connection_bytes.get() >> 10
        )
    }
}

/// What memory is reserved for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Buffer,
    Connection,
}

/// Memory that is reserved until this is dropped.
pub struct Reservation {
    account: Rc<MemoryAccount>,
    purpose: Purpose,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.release(self.purpose, self.bytes);
    }
}
