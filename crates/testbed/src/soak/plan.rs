//! What happens on one day of endings, drawn from its seed. [`super::endings`] carries it out.

use crate::SeededRng;
use std::time::Duration;

/// Days in each group of ten that have a crowd of idle clients.
const CROWDED_OF_TEN: u64 = 3;
/// The day of ten on which the signal comes right after the start.
const SIGNAL_AFTER_START: u64 = 8;
/// The day of ten on which the signal comes right after the node is ready.
const SIGNAL_AFTER_READY: u64 = 9;
/// Servers of each day.
const SERVERS: usize = 4;
/// Clients of each kind.
const CLIENTS_OF_KIND: usize = 3;
/// SIGTERM is sent up to this number of times.
const MAX_TERMINATIONS: u64 = 3;
/// SIGHUP is sent up to this number of times.
const MAX_HANGUPS: u64 = 5;
/// Greatest pause between two signals of a series, in milliseconds.
const MAX_SIGNAL_PAUSE_MS: u64 = 50;
/// Shortest and longest deadline of requests, in milliseconds.
pub(super) const DEADLINE_MS: (u64, u64) = (1000, 3000);
/// How long new connections come after the first SIGTERM, in milliseconds.
const CONNECTING_MS: (u64, u64) = (200, 400);
/// How long the load runs before the signals, in milliseconds. A node gets no SIGHUP in its first second.
const LOAD_MS: (u64, u64) = (1050, 1500);
/// Greatest time from a start, or from readiness, to a signal that comes right after it, in milliseconds.
const MAX_EARLY_SIGNAL_MS: u64 = 20;

/// How the node is configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeForm {
    /// By the platform's configuration and discovery.
    Platform,
    /// By a settings file with the servers.
    SettingsFile,
}

/// A signal to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeSignal {
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    Reload,
}

/// A signal of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedSignal {
    /// The pause before it.
    pub pause: Duration,
    /// The signal.
    pub signal: NodeSignal,
}

/// When the signals come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalTime {
    /// After the node has served for this time.
    UnderLoad(Duration),
    /// This time after the process was started.
    AfterStart(Duration),
    /// This time after the node was ready.
    AfterReady(Duration),
}

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// One request after the other.
    Quick,
    /// Rests between two requests, and uses its connection again.
    Resting,
    /// Writes the head of each request in pieces.
    SlowWriter,
    /// Pauses in the middle of each body.
    PausingInBody,
    /// Writes three requests at once.
    Pipelining,
    /// Closes its connection soon after each request.
    Leaving,
}

impl ClientKind {
    pub(super) const ALL: [ClientKind; 6] = [
        ClientKind::Quick,
        ClientKind::Resting,
        ClientKind::SlowWriter,
        ClientKind::PausingInBody,
        ClientKind::Pipelining,
        ClientKind::Leaving,
    ];
}

/// What a server does from the first signal on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFault {
    /// It serves.
    None,
    /// It makes no progress.
    Hangs,
    /// The path to it is slow, in both directions.
    SlowPath,
    /// It closes some connections before or after the effect of a request.
    ClosesConnections,
    /// Its connections end, and it can't be reached any more.
    Unreachable,
}

/// What discovery does at the first signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// It serves.
    None,
    /// It falls silent, with open connections.
    Silent,
    /// It closes its connections, and accepts no new ones.
    Gone,
    /// It announces that the first server drains.
    AnnouncesDrain,
}

/// One day.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndingsPlan {
    /// Its seed.
    pub seed: u64,
    /// How the node is configured.
    pub form: NodeForm,
    /// When the signals come.
    pub signal_time: SignalTime,
    /// The signals, in order.
    pub signals: Vec<TimedSignal>,
    /// Whether idle clients take all connections that the node has for clients.
    pub has_crowd: bool,
    /// Whether the configuration is replaced at the first signal.
    pub replaces_configuration: bool,
    /// The deadline of requests.
    pub deadline: Duration,
    /// How long new connections come after the first SIGTERM.
    pub connecting: Duration,
    /// The clients.
    pub clients: Vec<ClientKind>,
    /// The servers.
    pub servers: Vec<ServerFault>,
    /// Discovery; without effect on a node with a settings file.
    pub discovery: DiscoveryFault,
}

impl EndingsPlan {
    /// The day of this seed.
    pub fn draw(seed: u64) -> EndingsPlan {
        // Seeds that follow each other are close: the first numbers would be, too.
        let mut random = SeededRng(seed.wrapping_mul(0x9e37_79b9));
        random.next_u64();
        let form = if (seed / 2).is_multiple_of(2) {
            NodeForm::Platform
        } else {
            NodeForm::SettingsFile
        };
        let early = Duration::from_millis(random.next_u64() % (MAX_EARLY_SIGNAL_MS + 1));
        let load = draw_ms(&mut random, LOAD_MS);
        let signal_time = match seed % 10 {
            SIGNAL_AFTER_START => SignalTime::AfterStart(early),
            SIGNAL_AFTER_READY => SignalTime::AfterReady(early),
            _ => SignalTime::UnderLoad(load),
        };
        let may_reload = matches!(signal_time, SignalTime::UnderLoad(_));
        let clients = (0..CLIENTS_OF_KIND).flat_map(|_| ClientKind::ALL);
        EndingsPlan {
            seed,
            form,
            signal_time,
            signals: draw_signals(&mut random, may_reload),
            has_crowd: seed % 10 < CROWDED_OF_TEN,
            replaces_configuration: random.next_fraction() < 0.5,
            deadline: draw_ms(&mut random, DEADLINE_MS),
            connecting: draw_ms(&mut random, CONNECTING_MS),
            clients: clients.collect(),
            servers: (0..SERVERS).map(|_| draw_server(&mut random)).collect(),
            discovery: draw_discovery(&mut random),
        }
    }
}

/// A time between two numbers of milliseconds.
pub(super) fn draw_ms(random: &mut SeededRng, (min, max): (u64, u64)) -> Duration {
    Duration::from_millis(min + random.next_u64() % (max - min + 1))
}

/// SIGTERM once or more, and SIGHUP before, between and behind, in any order.
fn draw_signals(random: &mut SeededRng, may_reload: bool) -> Vec<TimedSignal> {
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

fn draw_server(random: &mut SeededRng) -> ServerFault {
    match random.next_u64() % 7 {
        0 => ServerFault::Hangs,
        1 => ServerFault::SlowPath,
        2 => ServerFault::ClosesConnections,
        3 => ServerFault::Unreachable,
        _ => ServerFault::None,
    }
}

fn draw_discovery(random: &mut SeededRng) -> DiscoveryFault {
    match random.next_u64() % 4 {
        0 => DiscoveryFault::Silent,
        1 => DiscoveryFault::Gone,
        2 => DiscoveryFault::AnnouncesDrain,
        _ => DiscoveryFault::None,
    }
}
