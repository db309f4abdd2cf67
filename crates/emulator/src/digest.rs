//! A digest of all commands of a run, by which two runs are told apart to the last bit.

use reelfall_balancer::engine::{Command, FinalAnswer, Host};
use reelfall_balancer::interface::{Outcome, Time};

/// What stands for a value that is absent; no time is negative.
const ABSENT: f64 = -1.0;

/// The digest of the commands that all nodes have given so far, with their times.
#[derive(Clone, Debug, Default)]
pub struct CommandDigest(blake3::Hasher);

impl CommandDigest {
    /// Adds a command that a node gave at this time.
    pub fn add<H: Host>(&mut self, now: Time, node: usize, command: &Command<H>) {
        self.word(now.to_bits());
        self.word(node as u64);
        match command {
            Command::Send {
                request,
                attempt,
                server,
                send_by,
                deadline,
            } => {
                self.words(0, [(*request).into(), (*attempt).into(), (*server).into()]);
                self.word(send_by.to_bits());
                self.word(deadline.to_bits());
            }
            Command::CancelAttempt { request, attempt } => {
                self.words(1, [(*request).into(), (*attempt).into(), 0]);
            }
            Command::Answer {
                request, answer, ..
            } => {
                let (kind, detail) = match answer {
                    FinalAnswer::Served(_) => (0, 0),
                    FinalAnswer::Rejected { retry_after } => {
                        (1, retry_after.unwrap_or(ABSENT).to_bits())
                    }
                    FinalAnswer::Failed(outcome) => (2, outcome.map_or(0, number)),
                };
                self.words(2, [(*request).into(), kind, detail]);
            }
            Command::Watch => self.words(3, [0; 3]),
            Command::StartTimer { after, tag } => self.words(4, [after.to_bits(), *tag, 0]),
            Command::CloseConnections { server } => self.words(5, [(*server).into(), 0, 0]),
            Command::ReleaseServerId { server } => self.words(6, [(*server).into(), 0, 0]),
        }
    }

    /// The digest so far, in hexadecimal.
    pub fn hex(&self) -> String {
        self.0.finalize().to_hex().to_string()
    }

    fn words(&mut self, kind: u64, words: [u64; 3]) {
        self.word(kind);
        words.into_iter().for_each(|word| self.word(word));
    }

    fn word(&mut self, word: u64) {
        self.0.update(&word.to_le_bytes());
    }
}

fn number(outcome: Outcome) -> u64 {
    match outcome {
        Outcome::Served => 1,
        Outcome::Error => 2,
        Outcome::Rejected => 3,
        Outcome::TimedOut => 4,
        Outcome::ConnectFailed => 5,
        Outcome::ConnectionLost => 6,
        Outcome::Cancelled => 7,
        Outcome::NotSent => 8,
    }
}
