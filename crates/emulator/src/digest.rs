//! A digest of all commands of a run, by which tests check that two runs are identical.

use reelfall_balancer::engine::{Command, FinalAnswer, Host};
use reelfall_balancer::interface::{Outcome, Time};

/// Encodes an absent time; times are never negative.
const ABSENT: f64 = -1.0;
/// Encodes an absent word.
const NONE: u64 = 0;

/// Codes by which commands enter the digest.
mod command_code {
    pub(super) const SEND: u64 = 0;
    pub(super) const CANCEL_ATTEMPT: u64 = 1;
    pub(super) const ANSWER: u64 = 2;
    pub(super) const WATCH: u64 = 3;
    pub(super) const START_TIMER: u64 = 4;
    pub(super) const CLOSE_CONNECTIONS: u64 = 5;
    pub(super) const RELEASE_SERVER_ID: u64 = 6;
}

/// Codes by which final answers enter the digest.
mod answer_code {
    pub(super) const SERVED: u64 = 0;
    pub(super) const REJECTED: u64 = 1;
    pub(super) const FAILED: u64 = 2;
}

/// The digest of the commands of all nodes so far, with their times.
#[derive(Clone, Debug, Default)]
pub struct CommandDigest(blake3::Hasher);

impl CommandDigest {
    /// Adds a command that a node issued at this time.
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
                ..
            } => {
                let words = [(*request).into(), (*attempt).into(), (*server).into()];
                self.words(command_code::SEND, words);
                self.word(send_by.to_bits());
                self.word(deadline.to_bits());
            }
            Command::CancelAttempt { request, attempt } => {
                let words = [(*request).into(), (*attempt).into(), NONE];
                self.words(command_code::CANCEL_ATTEMPT, words);
            }
            Command::Answer {
                request, answer, ..
            } => {
                let (code, detail) = match answer {
                    FinalAnswer::Served(_) => (answer_code::SERVED, NONE),
                    FinalAnswer::Rejected { retry_after } => {
                        let retry_after = retry_after.unwrap_or(ABSENT);
                        (answer_code::REJECTED, retry_after.to_bits())
                    }
                    FinalAnswer::Failed(outcome) => {
                        (answer_code::FAILED, outcome.map_or(NONE, outcome_code))
                    }
                };
                self.words(command_code::ANSWER, [(*request).into(), code, detail]);
            }
            Command::Watch => self.words(command_code::WATCH, [NONE; 3]),
            Command::StartTimer { after, tag } => {
                self.words(command_code::START_TIMER, [after.to_bits(), *tag, NONE]);
            }
            Command::CloseConnections { server } => {
                let words = [(*server).into(), NONE, NONE];
                self.words(command_code::CLOSE_CONNECTIONS, words);
            }
            Command::ReleaseServerId { server } => {
                let words = [(*server).into(), NONE, NONE];
                self.words(command_code::RELEASE_SERVER_ID, words);
            }
        }
    }

    /// The digest so far, in hexadecimal.
    pub fn hex(&self) -> String {
        self.0.finalize().to_hex().to_string()
    }

    fn words(&mut self, code: u64, words: [u64; 3]) {
        self.word(code);
        words.into_iter().for_each(|word| self.word(word));
    }

    fn word(&mut self, word: u64) {
        self.0.update(&word.to_le_bytes());
    }
}

fn outcome_code(outcome: Outcome) -> u64 {
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
