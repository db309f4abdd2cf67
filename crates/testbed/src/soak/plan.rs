//! The plan of a run of kind `endings`, generated from a seed. [`super::endings`] executes it.

use crate::SeededRng;
use std::time::Duration;

/// Of every ten consecutive seeds, the number of runs in which idle clients exhaust the node's connections.
const EXHAUSTION_RUNS_OF_TEN: u64 = 3;
/// The seed modulo ten of runs whose signals come right after the start of the process.
const SIGNAL_AFTER_START: u64 = 8;
/// The seed modulo ten of runs whose signals come right after the node is ready.
const SIGNAL_AFTER_READY: u64 = 9;
/// Number of servers in each run.
const SERVERS: usize = 4;
/// Number of clients of each kind.
const CLIENTS_OF_KIND: usize = 3;
/// Largest number of SIGTERM in a series.
const MAX_TERMINATIONS: u64 = 3;
/// Largest number of SIGHUP in a series.
const MAX_HANGUPS: u64 = 5;
/// Longest pause between two signals of a series, in milliseconds.
const MAX_SIGNAL_PAUSE_MS: u64 = 50;
/// Shortest and longest deadline of requests, in milliseconds.
pub(super) const DEADLINE_MS: (u64, u64) = (1000, 3000);
/// Shortest and longest time after the first SIGTERM in which clients still open connections, in milliseconds.
const CONNECTING_MS: (u64, u64) = (200, 400);
/// Shortest and longest load before the signals, in milliseconds. A node must not get SIGHUP in its first second.
const LOAD_MS: (u64, u64) = (1050, 1500);
/// Longest time from the start, or from readiness, to signals that come right after it, in milliseconds.
const MAX_EARLY_SIGNAL_MS: u64 = 20;

/// Where the node's configuration comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// The platform's configuration; discovery provides the servers.
    Platform,
    /// A settings file, which lists the servers.
    SettingsFile,
}

/// A kind of signal to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeSignal {
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    Reload,
}

/// A signal of a series, with the pause before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedSignal {
    /// Pause before the signal.
    pub pause: Duration,
    /// Kind of the signal.
    pub signal: NodeSignal,
}

/// When the series of signals starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalTime {
    /// After the node has served for this time.
    UnderLoad(Duration),
    /// This time after the process was started.
    AfterStart(Duration),
    /// This time after the node was ready.
    AfterReady(Duration),
}

/// The behavior of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// Sends one request after the other, with short pauses.
    Quick,
    /// Idles between two requests, and reuses its connection.
    Idling,
    /// Writes each request in two pieces.
    SlowWriter,
    /// Pauses in the middle of each body.
    PausingInBody,
    /// Writes three requests at once, before it reads their responses.
    Pipelining,
    /// Closes its connection soon after each request, without reading the response.
    Disconnecting,
}

impl ClientKind {
    pub(super) const ALL: [ClientKind; 6] = [
        ClientKind::Quick,
        ClientKind::Idling,
        ClientKind::SlowWriter,
        ClientKind::PausingInBody,
        ClientKind::Pipelining,
        ClientKind::Disconnecting,
    ];
}

/// The fault of a server from right before the first signal on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFault {
    /// It has no fault.
    None,
    /// It accepts connections, but makes no progress.
    Hangs,
    /// The network path to it is slow in both directions.
    SlowPath,
    /// It closes some connections before or after the effect of a request, without a response.
    ClosesConnections,
    /// Its connections end, and it accepts no new ones.
    Unreachable,
}

/// The fault of discovery from right before the first signal on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// It has no fault.
    None,
    /// It sends nothing more on its open connections.
    Silent,
    /// It closes its connections, and accepts no new ones.
    Unavailable,
    /// It announces that the first server drains.
    AnnouncesDrain,
}

/// The plan of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndingsPlan {
    /// Seed that the plan was generated from.
    pub seed: u64,
    /// Where the node's configuration comes from.
    pub config_source: ConfigSource,
    /// When the series of signals starts.
    pub signal_time: SignalTime,
    /// The signals, in order.
    pub signals: Vec<TimedSignal>,
    /// Whether idle clients occupy all connections that the node has for clients.
    pub exhausts_connections: bool,
    /// Whether the configuration is written anew right before the first signal.
    pub replaces_configuration: bool,
    /// Deadline of all requests.
    pub deadline: Duration,
    /// How long clients still open connections after the first SIGTERM.
    pub connecting: Duration,
    /// The kind of each client.
    pub clients: Vec<ClientKind>,
    /// The fault of each server.
    pub servers: Vec<ServerFault>,
    /// The fault of discovery. It has no effect on a node with a settings file.
    pub discovery: DiscoveryFault,
}

impl EndingsPlan {
    /// Generates the plan of a seed. The same seed always gives the same plan.
    pub fn from_seed(seed: u64) -> EndingsPlan {
        // The first random numbers of consecutive seeds would be close to each other.
        let mut random = SeededRng(seed.wrapping_mul(0x9e37_79b9));
        random.next_u64();
        let config_source = if (seed / 2).is_multiple_of(2) {
            ConfigSource::Platform
        } else {
            ConfigSource::SettingsFile
        };
        let early = Duration::from_millis(random.next_u64() % (MAX_EARLY_SIGNAL_MS + 1));
        let load = random_ms(&mut random, LOAD_MS);
        let signal_time = match seed % 10 {
            SIGNAL_AFTER_START => SignalTime::AfterStart(early),
            SIGNAL_AFTER_READY => SignalTime::AfterReady(early),
            _ => SignalTime::UnderLoad(load),
        };
        let may_reload = matches!(signal_time, SignalTime::UnderLoad(_));
        let clients = (0..CLIENTS_OF_KIND).flat_map(|_| ClientKind::ALL);
        EndingsPlan {
            seed,
            config_source,
            signal_time,
            signals: random_signals(&mut random, may_reload),
            exhausts_connections: seed % 10 < EXHAUSTION_RUNS_OF_TEN,
            replaces_configuration: random.next_fraction() < 0.5,
            deadline: random_ms(&mut random, DEADLINE_MS),
            connecting: random_ms(&mut random, CONNECTING_MS),
            clients: clients.collect(),
            servers: (0..SERVERS).map(|_| random_server(&mut random)).collect(),
            discovery: random_discovery(&mut random),
        }
    }
}

/// Returns a random duration between two numbers of milliseconds, both included.
pub(super) fn random_ms(random: &mut SeededRng, (min, max): (u64, u64)) -> Duration {
    Duration::from_millis(min + random.next_u64() % (max - min + 1))
}

/// Returns a random series of one or more SIGTERM and, with `may_reload`, some SIGHUP, in random order.
pub(super) fn random_signals(random: &mut SeededRng, may_reload: bool) -> Vec<TimedSignal> {
    let terminations = 1 + random.next_u64() % MAX_TERMINATIONS;
    let reloads = if may_reload {
        random.next_u64() % (MAX_HANGUPS + 1)
    } else {
        0
    };
    let mut remaining = [
        (NodeSignal::Terminate, terminations),
        (NodeSignal::Reload, reloads),
    ];
    let mut signals = Vec::new();
    loop {
        let left: u64 = remaining.iter().map(|(_, count)| count).sum();
        if left == 0 {
            return signals;
        }
        let index = usize::from(random.next_u64() % left >= remaining[0].1);
        remaining[index].1 -= 1;
        let pause = Duration::from_millis(random.next_u64() % (MAX_SIGNAL_PAUSE_MS + 1));
        signals.push(TimedSignal {
            pause,
            signal: remaining[index].0,
        });
    }
}

fn random_server(random: &mut SeededRng) -> ServerFault {
    match random.next_u64() % 7 {
        0 => ServerFault::Hangs,
        1 => ServerFault::SlowPath,
        2 => ServerFault::ClosesConnections,
        3 => ServerFault::Unreachable,
        _ => ServerFault::None,
    }
}

fn random_discovery(random: &mut SeededRng) -> DiscoveryFault {
    match random.next_u64() % 4 {
        0 => DiscoveryFault::Silent,
        1 => DiscoveryFault::Unavailable,
        2 => DiscoveryFault::AnnouncesDrain,
        _ => DiscoveryFault::None,
    }
}
