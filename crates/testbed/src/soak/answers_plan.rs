//! The plan of a run of kind `answers`, generated from a seed. [`super::answers`] executes it.

use super::plan::{random_ms, random_signals, ConfigSource, TimedSignal};
use crate::slow_answers::{Class, Ending, Framing, Reading, Script, Upload, UploadFraming};
use crate::SeededRng;
use std::time::Duration;

/// Number of clients, each with one connection at a time.
const CLIENTS: usize = 8;
/// Number of requests of each client.
const REQUESTS: usize = 8;
/// Of every ten consecutive seeds, the number of runs in which idle clients exhaust the node's connections.
const CROWDED_RUNS_OF_TEN: u64 = 3;
/// Shortest and longest deadline of the classes, in milliseconds. Some are longer than what counts for the time until SIGKILL.
const DEADLINE_MS: (u64, u64) = (600, 5000);
/// Shortest and longest time that a client waits for its answer, in milliseconds.
const TIME_LEFT_MS: (u64, u64) = (300, 1500);
/// Longest pause of a client between two requests, in milliseconds.
const MAX_CLIENT_PAUSE_MS: u64 = 400;
/// Longest pause of a server within an answer that it completes, in milliseconds.
const MAX_SERVER_PAUSE_MS: u64 = 1600;
/// Shortest and longest part of an answer, in bytes.
const PART_BYTES: (u64, u64) = (1, 60_000);
/// Largest number of parts.
const MAX_PARTS: u64 = 7;
/// Longest part of an answer that stops or breaks, in bytes. Such an answer has at most two, and its head announces twice as much,
/// so that it is not long.
const MAX_UNFINISHED_PART_BYTES: u64 = 16_000;
/// Shortest and longest body of a request, in bytes.
const UPLOAD_BYTES: (u64, u64) = (50_000, 3_000_000);
/// Slowest and fastest rate at which a server reads a body that it reads slowly, in bytes per second.
const READ_RATE: (u64, u64) = (64_000, 8_000_000);
/// Shortest and longest time until the event, in milliseconds. A node must not get SIGHUP in its first second.
const EVENT_MS: (u64, u64) = (1050, 3000);

/// What happens to the node while servers write answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// Nothing.
    None,
    /// It gets a series of signals, and is killed as early as possible.
    Signals(Vec<TimedSignal>),
    /// A successor takes over, and the old process is killed as early as possible.
    Upgrade,
    /// An operator drains it for this long.
    Drain(Duration),
    /// Discovery announces that half of its servers drain.
    ServersDrain,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// The pause before it.
    pub pause: Duration,
    /// Its class.
    pub class: Class,
    /// How long its client waits for the first bytes of the answer.
    pub time_left: Duration,
    /// Its body, if it has a large one.
    pub upload: Option<Upload>,
    /// How a server answers it.
    pub script: Script,
}

/// The plan of one run.
#[derive(Clone, Debug)]
pub struct AnswersPlan {
    /// Seed that the plan was generated from.
    pub seed: u64,
    /// Where the node's configuration comes from.
    pub config_source: ConfigSource,
    /// Deadline of all classes.
    pub deadline: Duration,
    /// The requests of each client.
    pub clients: Vec<Vec<PlannedRequest>>,
    /// Whether idle clients occupy all connections that the node has for clients.
    pub exhausts_connections: bool,
    /// What happens to the node.
    pub event: NodeEvent,
    /// When that happens, after the node was ready.
    pub event_after: Duration,
}

impl AnswersPlan {
    /// Generates the plan of a seed. The same seed always gives the same plan.
    pub fn from_seed(seed: u64) -> AnswersPlan {
        let mut random = SeededRng(seed.wrapping_mul(0x9e37_79b9).wrapping_add(3));
        random.next_u64();
        let config_source = if seed.is_multiple_of(3) {
            ConfigSource::SettingsFile
        } else {
            ConfigSource::Platform
        };
        let event = random_event(&mut random, config_source);
        let deadline = random_ms(&mut random, DEADLINE_MS);
        let mut clients: Vec<Vec<PlannedRequest>> = (0..CLIENTS)
            .map(|_| random_requests(&mut random, config_source))
            .collect();
        for request in clients.iter_mut().flatten() {
            request.time_left = request.time_left.min(deadline);
        }
        AnswersPlan {
            seed,
            config_source,
            deadline,
            clients,
            exhausts_connections: seed % 10 < CROWDED_RUNS_OF_TEN,
            event,
            event_after: random_ms(&mut random, EVENT_MS),
        }
    }

    /// Generates the plan of a seed in which most requests that may have a body have a large one, which some servers read slowly.
    pub fn with_uploads(seed: u64) -> AnswersPlan {
        let mut plan = AnswersPlan::from_seed(seed);
        let mut random = SeededRng(seed.wrapping_mul(0x9e37_79b9).wrapping_add(17));
        random.next_u64();
        for request in plan.clients.iter_mut().flatten() {
            let has_upload = !random.next_u64().is_multiple_of(4);
            let upload = random_upload(&mut random);
            request.upload = (has_upload && request.class != Class::Safe).then_some(upload);
        }
        plan
    }
}

fn random_upload(random: &mut SeededRng) -> Upload {
    let mut between =
        |(least, most): (u64, u64)| (least + random.next_u64() % (most - least)) as usize;
    let bytes = between(UPLOAD_BYTES);
    let reading = match between((0, 4)) {
        0 | 1 => Reading::AtOnce,
        2 => Reading::Slowly(between(READ_RATE)),
        _ => Reading::StopsAfter(between((0, bytes as u64))),
    };
    let framing = match between((0, 2)) {
        0 => UploadFraming::Announced,
        _ => UploadFraming::Chunked,
    };
    Upload {
        bytes,
        framing,
        reading,
    }
}

fn random_event(random: &mut SeededRng, config_source: ConfigSource) -> NodeEvent {
    let choices = match config_source {
        ConfigSource::Platform => 7,
        ConfigSource::SettingsFile => 4,
    };
    match random.next_u64() % choices {
        0 => NodeEvent::None,
        1..=3 => NodeEvent::Signals(random_signals(random, true)),
        4 => NodeEvent::Upgrade,
        5 => NodeEvent::Drain(random_ms(random, (500, 2500))),
        _ => NodeEvent::ServersDrain,
    }
}

fn random_requests(random: &mut SeededRng, config_source: ConfigSource) -> Vec<PlannedRequest> {
    (0..REQUESTS)
        .map(|_| random_request(random, config_source))
        .collect()
}

fn random_request(random: &mut SeededRng, config_source: ConfigSource) -> PlannedRequest {
    let class = match (random.next_u64() % 4, config_source) {
        (0, _) => Class::Safe,
        (1, ConfigSource::Platform) => Class::Keyed,
        _ => Class::Unsafe,
    };
    PlannedRequest {
        pause: random_ms(random, (0, MAX_CLIENT_PAUSE_MS)),
        class,
        time_left: random_ms(random, TIME_LEFT_MS),
        upload: None,
        script: random_script(random),
    }
}

fn random_script(random: &mut SeededRng) -> Script {
    let framing = match random.next_u64() % 5 {
        0 | 1 => Framing::Chunked,
        2 => Framing::UntilClose,
        3 => Framing::Http10,
        _ => Framing::Announced,
    };
    let ending = match random.next_u64() % 10 {
        0 => Ending::Stops,
        1 => Ending::Breaks,
        _ => Ending::Whole,
    };
    let (max_parts, max_part_bytes) = match ending {
        Ending::Whole => (MAX_PARTS, PART_BYTES.1),
        Ending::Stops | Ending::Breaks => (2, MAX_UNFINISHED_PART_BYTES),
    };
    let parts = 1 + random.next_u64() % max_parts;
    let part = |random: &mut SeededRng| PART_BYTES.0 + random.next_u64() % max_part_bytes;
    // Some answers come without a pause, and some begin at once.
    let max_pause = [0, 300, 700, MAX_SERVER_PAUSE_MS][(random.next_u64() % 4) as usize];
    let first_pause = [0, max_pause][(random.next_u64() % 2) as usize];
    Script {
        framing,
        first_pause: random_ms(random, (0, first_pause)),
        pause: random_ms(random, (0, max_pause)),
        parts: (0..parts).map(|_| part(random) as usize).collect(),
        ending,
    }
}
