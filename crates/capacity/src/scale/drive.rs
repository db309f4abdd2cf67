//! One thread of hollow nodes: a task for each node, on sockets, as the node's program drives its own.

use super::counters::Meter;
use super::hollow::{Hollow, DATAGRAM_MOST};
use super::lists::{Line, Read};
use super::machine;
use super::shared::{Doing, Place, Shared};
use std::net::UdpSocket;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::sync::broadcast::error::{RecvError, TryRecvError};
use tokio::sync::broadcast::Receiver;

/// Datagrams that one node takes in before others of its thread have their turn.
const AT_ONCE: usize = 64;
/// How often a node that does not run looks whether it shall.
const REST: Duration = Duration::from_millis(25);
/// How often a thread tells its processor time.
const TELL_CPU: Duration = Duration::from_millis(50);
/// A node is not woken sooner than this, in seconds, unless something comes.
const LEAST_REST: f64 = 0.001;
/// What the names of servers that are sent out by hand begin with; the microsecond of the ban follows.
const BANNED: &str = "change-";

/// How long ago the bans were made that have these servers' names, in seconds; of those that are not older than a window.
pub fn ages(servers: &[String], window_us: u64, now: f64) -> impl Iterator<Item = f64> + '_ {
    let made = |server: &String| {
        server
            .strip_prefix(BANNED)
            .and_then(|us| us.parse::<u64>().ok())
    };
    let new = servers
        .iter()
        .filter_map(made)
        .filter(move |us| *us >= window_us);
    new.map(move |us| now - us as f64 / 1e6)
}

/// Runs some nodes until the run ends.
pub fn thread(shared: Arc<Shared>, thread: usize, nodes: Vec<(usize, UdpSocket)>) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return;
    };
    let local = tokio::task::LocalSet::new();
    for (n, socket) in nodes {
        let shared = shared.clone();
        local.spawn_local(async move {
            if let Ok(socket) = tokio::net::UdpSocket::from_std(socket) {
                Driver::new(shared, thread, n, socket).run().await;
            }
        });
    }
    let telling = shared.clone();
    runtime.block_on(local.run_until(async move {
        while !telling.stop.load(Ordering::Relaxed) {
            if let Ok(cpu) = machine::thread_cpu() {
                let cpu = u64::try_from(cpu.as_micros()).unwrap_or(u64::MAX);
                telling.cpu[thread].store(cpu, Ordering::Relaxed);
            }
            tokio::time::sleep(TELL_CPU).await;
        }
    }));
}

/// One node with its socket and its lists.
struct Driver {
    shared: Arc<Shared>,
    thread: usize,
    n: usize,
    socket: tokio::net::UdpSocket,
    lines: Receiver<Line>,
    meter: Meter,
    /// Processes that this place has had.
    lives: u64,
    /// Since when each server of the lists is there, by its number.
    since: Vec<u64>,
}

impl Driver {
    fn new(shared: Arc<Shared>, thread: usize, n: usize, socket: tokio::net::UdpSocket) -> Driver {
        let lines = shared.lists.follow();
        Driver {
            shared,
            thread,
            n,
            socket,
            lines,
            meter: Meter::default(),
            lives: 0,
            since: Vec::new(),
        }
    }

    async fn run(mut self) {
        let mut hollow: Option<Hollow> = None;
        while !self.shared.stop.load(Ordering::Relaxed) {
            match self.place().doing() {
                Doing::Runs => {}
                Doing::Frozen => {
                    tokio::time::sleep(REST).await;
                    continue;
                }
                Doing::Gone => {
                    hollow = None;
                    self.ignore();
                    tokio::time::sleep(REST).await;
                    continue;
                }
            }
            if hollow.is_none() {
                hollow = self.begin();
            }
            let Some(node) = hollow.as_mut() else { return };
            if self.turn(node) {
                tokio::task::yield_now().await;
                continue;
            }
            self.rest(node).await;
        }
    }

    fn place(&self) -> &Place {
        &self.shared.places[self.n]
    }

    /// A process begins: it has an empty head and reads all lists.
    fn begin(&mut self) -> Option<Hollow> {
        self.lives += 1;
        let seed = self.shared.seed ^ (self.n as u64) << 20 ^ self.lives << 52;
        let mut node = Hollow::new(&self.shared.setup(self.n), seed, self.shared.now()).ok()?;
        self.since.clear();
        self.read_all(&mut node);
        self.lines = self.lines.resubscribe();
        Some(node)
    }

    /// Does what is due; whether there may be more to take in at once.
    fn turn(&mut self, node: &mut Hollow) -> bool {
        for seconds in self.place().take_bans() {
            let (now, server) = (
                self.shared.now(),
                format!("{BANNED}{}", self.shared.now_us()),
            );
            node.ban(now, &server, seconds);
        }
        let more = self.take_in(node);
        self.take_lines(node);
        let failing = self.shared.lists.failing();
        let now = self.shared.now();
        let out = node.turn(now, self.since.len(), &failing);
        self.in_force(&out);
        self.flush(node);
        self.place()
            .counters
            .members
            .store(node.members(), Ordering::Relaxed);
        more
    }

    fn take_in(&mut self, node: &mut Hollow) -> bool {
        let mut buffer = [0; DATAGRAM_MOST + 1];
        for _ in 0..AT_ONCE {
            match self.socket.try_recv_from(&mut buffer) {
                Ok((length, from)) => {
                    let shared = &self.shared;
                    let place = &shared.places[self.n];
                    if !shared.passes(place.zone, from) {
                        continue;
                    }
                    let (now, counters) = (shared.now(), &place.counters);
                    counters.messages_in.fetch_add(1, Ordering::Relaxed);
                    counters
                        .bytes_in
                        .fetch_add(length as u64, Ordering::Relaxed);
                    self.meter.add(counters, &shared.window, now, length);
                    node.receive(now, buffer.get(..length).unwrap_or_default());
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return false,
                // Word of a datagram that could not be delivered; the next one may be another's.
                Err(_) => {}
            }
        }
        true
    }

    fn take_lines(&mut self, node: &mut Hollow) {
        loop {
            match self.lines.try_recv() {
                Ok(line) => self.read(node, &line, true),
                Err(TryRecvError::Lagged(_)) => self.read_all(node),
                Err(TryRecvError::Empty | TryRecvError::Closed) => return,
            }
        }
    }

    /// Reads all lists whole.
    fn read_all(&mut self, node: &mut Hollow) {
        for line in self.shared.wholes().iter() {
            self.read(node, line, false);
        }
    }

    fn read(&mut self, node: &mut Hollow, line: &Line, change: bool) {
        let Ok(read) = serde_json::from_str::<Read>(&line.text) else {
            return;
        };
        for server in &read.endpoints {
            let number = server
                .name
                .rsplit('-')
                .next()
                .and_then(|number| number.parse::<usize>().ok());
            let Some(number) = number.filter(|n| *n < self.shared.lists.servers()) else {
                continue;
            };
            if self.since.len() <= number {
                self.since.resize(number + 1, 0);
            }
            self.since[number] = server.since_ms;
        }
        let now = self.shared.now();
        node.saw_list(now, &line.list, read.index);
        let (shared, bytes) = (&self.shared, line.text.len());
        let counters = &shared.places[self.n].counters;
        counters.lines.fetch_add(1, Ordering::Relaxed);
        counters
            .line_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
        self.meter.add(counters, &shared.window, now, bytes);
        if change {
            let took = now - line.told_us as f64 / 1e6;
            shared.forces[self.thread]
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .lines
                .push(took);
        }
    }

    /// Notes how long ago the bans of this window were made that are in force here now.
    fn in_force(&self, out: &[String]) {
        if out.is_empty() {
            return;
        }
        let (now, window_us) = (
            self.shared.now(),
            self.shared.window_us.load(Ordering::Relaxed),
        );
        let mut forces = self.shared.forces[self.thread]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        forces.bans.extend(ages(out, window_us, now));
    }

    fn flush(&mut self, node: &mut Hollow) {
        let shared = &self.shared;
        let place = &shared.places[self.n];
        while let Some((to, datagram)) = node.outgoing() {
            let counters = &place.counters;
            let count = counters.messages_out.fetch_add(1, Ordering::Relaxed);
            counters
                .bytes_out
                .fetch_add(datagram.len() as u64, Ordering::Relaxed);
            self.meter
                .add(counters, &shared.window, shared.now(), datagram.len());
            shared.sampler.offer(count, &datagram);
            if shared.passes(place.zone, to) {
                // What the system does not take is lost, as a datagram may be.
                let _ = self.socket.try_send_to(&datagram, to);
            }
        }
    }

    /// Waits until something is due or comes.
    async fn rest(&mut self, node: &mut Hollow) {
        let due = self
            .shared
            .moment(node.deadline().max(self.shared.now() + LEAST_REST));
        let line = tokio::select! {
            _ = self.socket.readable() => return,
            () = tokio::time::sleep_until(due.into()) => return,
            line = self.lines.recv() => line,
        };
        match line {
            Ok(line) => self.read(node, &line, true),
            Err(RecvError::Lagged(_)) => self.read_all(node),
            // The lists end with the run.
            Err(RecvError::Closed) => {}
        }
    }

    /// What comes to a place without a process is lost.
    fn ignore(&mut self) {
        self.place().counters.members.store(0, Ordering::Relaxed);
        let mut buffer = [0; DATAGRAM_MOST + 1];
        while self.socket.try_recv_from(&mut buffer).is_ok() {}
        while !matches!(
            self.lines.try_recv(),
            Err(TryRecvError::Empty | TryRecvError::Closed)
        ) {}
    }
}
