//! One thread of simulated nodes: a task for each node, with its socket and its lists. [`network`](super::network)
//! starts the threads.

use super::counters::PeakMeter;
use super::datagram::MAX_DATAGRAM_LEN;
use super::discovery_stub::{ListMessage, ParsedList};
use super::fleet_state::{FleetState, NodeSlot, NodeState};
use super::machine;
use super::simulated_node::SimulatedNode;
use reelfall_cluster::fleet::OutgoingDatagram;
use std::io::ErrorKind;
use std::net::UdpSocket;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::sync::broadcast::error::{RecvError, TryRecvError};
use tokio::sync::broadcast::Receiver;

/// Datagrams that one node receives before the others of its thread run.
const RECEIVE_BATCH: usize = 64;
/// Interval at which a frozen or stopped node checks its state.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which a thread publishes its processor time.
const CPU_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest wait of a node for its own deadline, in seconds.
const MIN_WAIT: f64 = 0.001;
/// Prefix of the names of banned servers, followed by the time of the ban in microseconds of the run's clock.
const BAN_PREFIX: &str = "change-";
/// Microseconds per second.
const MICROSECONDS: f64 = 1e6;
/// Bit position of the node's index in its seed.
const INDEX_SHIFT: u32 = 20;
/// Bit position of the node's process count in its seed.
const PROCESS_SHIFT: u32 = 52;

/// Returns the ages, in seconds, of the bans of these servers that began within the window. The time of a ban is part of the
/// server's name.
pub fn ban_ages(
    servers: &[String],
    window_started_us: u64,
    now: f64,
) -> impl Iterator<Item = f64> + '_ {
    let banned_us = |server: &String| {
        server
            .strip_prefix(BAN_PREFIX)
            .and_then(|us| us.parse::<u64>().ok())
    };
    servers
        .iter()
        .filter_map(banned_us)
        .filter(move |us| *us >= window_started_us)
        .map(move |us| now - us as f64 / MICROSECONDS)
}

/// A node whose socket is open.
pub struct OpenNode {
    /// Index of the node in the fleet.
    pub index: usize,
    /// The non-blocking socket of the node.
    pub socket: UdpSocket,
}

/// Runs some nodes until the fleet stops.
pub fn run_thread(state: Arc<FleetState>, thread: usize, nodes: Vec<OpenNode>) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return;
    };
    let tasks = tokio::task::LocalSet::new();
    for OpenNode { index, socket } in nodes {
        let state = state.clone();
        tasks.spawn_local(async move {
            if let Ok(socket) = tokio::net::UdpSocket::from_std(socket) {
                Driver::new(state, thread, index, socket).run().await;
            }
        });
    }
    runtime.block_on(tasks.run_until(report_cpu(state, thread)));
}

/// Publishes the thread's processor time until the fleet stops.
async fn report_cpu(state: Arc<FleetState>, thread: usize) {
    while !state.is_stopping.load(Ordering::Relaxed) {
        if let Ok(cpu) = machine::thread_cpu_time() {
            let cpu_us = u64::try_from(cpu.as_micros()).unwrap_or(u64::MAX);
            state.cpu_us[thread].store(cpu_us, Ordering::Relaxed);
        }
        tokio::time::sleep(CPU_REPORT_INTERVAL).await;
    }
}

/// One node with its socket and its lists.
struct Driver {
    state: Arc<FleetState>,
    thread: usize,
    index: usize,
    socket: tokio::net::UdpSocket,
    list_updates: Receiver<ListMessage>,
    peak_meter: PeakMeter,
    /// Number of processes that this node has started so far.
    processes: u64,
    /// When each listed server last started, in milliseconds, by its number.
    server_starts: Vec<u64>,
}

impl Driver {
    fn new(
        state: Arc<FleetState>,
        thread: usize,
        index: usize,
        socket: tokio::net::UdpSocket,
    ) -> Driver {
        let list_updates = state.discovery.subscribe();
        Driver {
            state,
            thread,
            index,
            socket,
            list_updates,
            peak_meter: PeakMeter::default(),
            processes: 0,
            server_starts: Vec::new(),
        }
    }

    async fn run(mut self) {
        let mut process: Option<SimulatedNode> = None;
        while !self.state.is_stopping.load(Ordering::Relaxed) {
            match self.slot().state() {
                NodeState::Running => {}
                NodeState::Frozen => {
                    tokio::time::sleep(STATE_POLL_INTERVAL).await;
                    continue;
                }
                NodeState::Stopped => {
                    process = None;
                    self.discard_input();
                    tokio::time::sleep(STATE_POLL_INTERVAL).await;
                    continue;
                }
            }
            if process.is_none() {
                process = self.start_process();
            }
            let Some(node) = process.as_mut() else { return };
            let has_more_input = self.step(node);
            if has_more_input {
                tokio::task::yield_now().await;
                continue;
            }
            self.wait(node).await;
        }
    }

    fn slot(&self) -> &NodeSlot {
        &self.state.nodes[self.index]
    }

    /// Starts a process: it has no state and reads snapshots of all lists.
    fn start_process(&mut self) -> Option<SimulatedNode> {
        self.processes += 1;
        let seed =
            self.state.seed ^ (self.index as u64) << INDEX_SHIFT ^ self.processes << PROCESS_SHIFT;
        let config = self.state.node_config(self.index);
        let mut node = SimulatedNode::new(&config, seed, self.state.now()).ok()?;
        self.server_starts.clear();
        self.read_snapshots(&mut node);
        self.list_updates = self.list_updates.resubscribe();
        Some(node)
    }

    /// Handles input, due timers and output. Returns whether more datagrams may be waiting.
    fn step(&mut self, node: &mut SimulatedNode) -> bool {
        self.carry_out_bans(node);
        let has_more_input = self.receive_datagrams(node);
        self.receive_list_updates(node);
        let failing = self.state.discovery.failing_servers();
        let now = self.state.now();
        let banned = node.tick(now, self.server_starts.len(), &failing);
        self.record_bans(&banned);
        self.send_datagrams(node);
        let members = &self.slot().counters.members;
        members.store(node.member_count(), Ordering::Relaxed);
        has_more_input
    }

    fn carry_out_bans(&self, node: &mut SimulatedNode) {
        for seconds in self.slot().take_bans() {
            let now = self.state.now();
            let server = format!("{BAN_PREFIX}{}", self.state.now_us());
            node.ban(now, &server, seconds);
        }
    }

    /// Receives a batch of datagrams. Returns whether more may be waiting.
    fn receive_datagrams(&mut self, node: &mut SimulatedNode) -> bool {
        let mut buffer = [0; MAX_DATAGRAM_LEN + 1];
        for _ in 0..RECEIVE_BATCH {
            match self.socket.try_recv_from(&mut buffer) {
                Ok((length, from)) => {
                    let state = &self.state;
                    let slot = &state.nodes[self.index];
                    if !state.is_reachable(slot.zone, from) {
                        continue;
                    }
                    let (now, counters) = (state.now(), &slot.counters);
                    counters.messages_in.fetch_add(1, Ordering::Relaxed);
                    counters
                        .bytes_in
                        .fetch_add(length as u64, Ordering::Relaxed);
                    self.peak_meter.add(counters, &state.window, now, length);
                    node.receive(now, buffer.get(..length).unwrap_or_default());
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                // An ICMP error for a datagram that was sent earlier; further datagrams can still be received.
                Err(_) => {}
            }
        }
        true
    }

    fn receive_list_updates(&mut self, node: &mut SimulatedNode) {
        loop {
            match self.list_updates.try_recv() {
                Ok(update) => self.read_update(node, &update),
                Err(TryRecvError::Lagged(_)) => self.read_snapshots(node),
                Err(TryRecvError::Empty | TryRecvError::Closed) => return,
            }
        }
    }

    fn read_snapshots(&mut self, node: &mut SimulatedNode) {
        for snapshot in self.state.snapshots().iter() {
            self.read_list(node, snapshot);
        }
    }

    /// Reads an update and records its propagation time.
    fn read_update(&mut self, node: &mut SimulatedNode, update: &ListMessage) {
        let Some(now) = self.read_list(node, update) else {
            return;
        };
        self.state.propagation[self.thread]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .list_updates
            .push(now - update.sent_us as f64 / MICROSECONDS);
    }

    /// Reads a snapshot or an update. Returns when it was applied; `None` if it is not valid.
    fn read_list(&mut self, node: &mut SimulatedNode, message: &ListMessage) -> Option<f64> {
        let parsed: ParsedList = serde_json::from_str(&message.text).ok()?;
        for server in &parsed.endpoints {
            self.set_server_start(&server.name, server.started_ms);
        }
        let now = self.state.now();
        node.publish_list_index(now, &message.list, parsed.index);
        let bytes = message.text.len();
        let counters = &self.state.nodes[self.index].counters;
        counters.list_messages.fetch_add(1, Ordering::Relaxed);
        counters
            .list_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
        self.peak_meter
            .add(counters, &self.state.window, now, bytes);
        Some(now)
    }

    /// Sets the start of a server, by the number at the end of its name; other names are ignored.
    fn set_server_start(&mut self, name: &str, started_ms: u64) {
        let number = name
            .rsplit('-')
            .next()
            .and_then(|number| number.parse::<usize>().ok())
            .filter(|number| *number < self.state.discovery.server_count());
        let Some(number) = number else { return };
        if self.server_starts.len() <= number {
            self.server_starts.resize(number + 1, 0);
        }
        self.server_starts[number] = started_ms;
    }

    /// Records the propagation times of bans of this window that this node has applied.
    fn record_bans(&self, banned: &[String]) {
        if banned.is_empty() {
            return;
        }
        let now = self.state.now();
        let window_started_us = self.state.window_started_us.load(Ordering::Relaxed);
        self.state.propagation[self.thread]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .bans
            .extend(ban_ages(banned, window_started_us, now));
    }

    fn send_datagrams(&mut self, node: &mut SimulatedNode) {
        let state = &self.state;
        let slot = &state.nodes[self.index];
        let counters = &slot.counters;
        while let Some(OutgoingDatagram { to, bytes }) = node.next_datagram() {
            let sent_before = counters.messages_out.fetch_add(1, Ordering::Relaxed);
            counters
                .bytes_out
                .fetch_add(bytes.len() as u64, Ordering::Relaxed);
            self.peak_meter
                .add(counters, &state.window, state.now(), bytes.len());
            state.sampler.offer(sent_before, &bytes);
            if state.is_reachable(slot.zone, to) {
                // A datagram that the system rejects is lost, as any datagram may be.
                let _ = self.socket.try_send_to(&bytes, to);
            }
        }
    }

    /// Waits until something is due or arrives.
    async fn wait(&mut self, node: &mut SimulatedNode) {
        let deadline = self
            .state
            .instant(node.deadline().max(self.state.now() + MIN_WAIT));
        let update = tokio::select! {
            _ = self.socket.readable() => return,
            () = tokio::time::sleep_until(deadline.into()) => return,
            update = self.list_updates.recv() => update,
        };
        match update {
            Ok(update) => self.read_update(node, &update),
            Err(RecvError::Lagged(_)) => self.read_snapshots(node),
            // The channel closes only at the end of the run.
            Err(RecvError::Closed) => {}
        }
    }

    /// Discards what arrives at a node without a process.
    fn discard_input(&mut self) {
        self.slot().counters.members.store(0, Ordering::Relaxed);
        let mut buffer = [0; MAX_DATAGRAM_LEN + 1];
        while self.socket.try_recv_from(&mut buffer).is_ok() {}
        while !matches!(
            self.list_updates.try_recv(),
            Err(TryRecvError::Empty | TryRecvError::Closed)
        ) {}
    }
}
