//! Reads the settings file again on a thread of its own, so that a large file delays no request.

use crate::net::service::prepared::PreparedPlan;
use crate::net::shared::Clock;
use reelfall_config::{reader, ConfigErrors, Model, Plan};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{mpsc, Arc};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;

/// Time for which a file has to stay unchanged before it counts as completely written.
const SETTLE_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum number of reads of a file that keeps changing.
const MAX_SETTLE_ATTEMPTS: u32 = 100;

/// Why there is no new plan.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The thread has ended.
    #[error("the thread that reads the settings has ended")]
    ThreadEnded,
    /// The file can't be read.
    #[error("{file}: {source}")]
    File {
        /// The path of the file.
        file: String,
        /// The error of the file system.
        source: io::Error,
    },
    /// The settings are invalid.
    #[error(transparent)]
    Invalid(#[from] ConfigErrors),
}

/// A job of the thread.
enum Job {
    /// Reads the file and prepares a plan that replaces the one in force.
    Read {
        in_force: Arc<PreparedPlan>,
        done: oneshot::Sender<Result<Arc<PreparedPlan>, ReadError>>,
    },
    /// Drops a plan that is no longer used; dropping a large one takes too long for the thread that serves requests.
    Free(Arc<PreparedPlan>),
}

/// A handle to the thread, which runs its jobs one after the other. The thread ends when the last handle is dropped; the
/// process does not wait for it.
#[derive(Clone)]
pub struct SettingsReader {
    jobs: mpsc::Sender<Job>,
}

impl SettingsReader {
    /// Starts the thread. Nothing is read yet.
    ///
    /// # Errors
    /// If no thread can be started.
    pub fn start(path: PathBuf, clock: Clock) -> io::Result<SettingsReader> {
        let (jobs, receiver) = mpsc::channel();
        std::thread::Builder::new()
            .name("settings".to_owned())
            .spawn(move || run(&path, clock, &receiver))?;
        Ok(SettingsReader { jobs })
    }

    /// Reads and validates the file.
    ///
    /// # Errors
    /// If the file can't be read or is invalid; the error lists all faults.
    pub async fn read(&self, in_force: Arc<PreparedPlan>) -> Result<Arc<PreparedPlan>, ReadError> {
        let (done, prepared) = oneshot::channel();
        let sent = self.jobs.send(Job::Read { in_force, done });
        sent.map_err(|_| ReadError::ThreadEnded)?;
        prepared.await.unwrap_or(Err(ReadError::ThreadEnded))
    }

    /// Drops a reference to a plan on the thread, which frees the plan if the reference is the last.
    pub fn free(&self, prepared: Arc<PreparedPlan>) {
        // If the thread has ended, the reference is dropped here.
        drop(self.jobs.send(Job::Free(prepared)));
    }
}

fn run(path: &Path, clock: Clock, jobs: &mpsc::Receiver<Job>) {
    while let Ok(job) = jobs.recv() {
        match job {
            Job::Read { in_force, done } => {
                // A node that shuts down has dropped the receiver.
                drop(done.send(read(path, clock, &in_force)));
            }
            Job::Free(prepared) => drop(prepared),
        }
    }
}

fn read(
    path: &Path,
    clock: Clock,
    in_force: &PreparedPlan,
) -> Result<Arc<PreparedPlan>, ReadError> {
    let file = path.display().to_string();
    let text = match read_settled(path) {
        Ok(text) => text,
        Err(source) => return Err(ReadError::File { file, source }),
    };
    let plan = parse_and_check(&file, text, reelfall_config::check)?;
    Ok(PreparedPlan::replacing(plan, in_force, clock.now()))
}

/// Parses and validates the text of a settings file.
///
/// The text is freed before the check, which takes memory of its own: the model borrows nothing from the text.
fn parse_and_check<Text: AsRef<str>>(
    file: &str,
    text: Text,
    check: impl FnOnce(Model) -> Result<Plan, ConfigErrors>,
) -> Result<Plan, ConfigErrors> {
    let model = reader::parse_toml(file, text.as_ref())?;
    drop(text);
    check(model)
}

/// Reads a file until two successive reads agree.
///
/// The first half of a file that is overwritten in place may be a valid file with another meaning. A writer that pauses
/// for longer than [`SETTLE_INTERVAL`] is not noticed; a file that is replaced by renaming is never incomplete.
fn read_settled(path: &Path) -> io::Result<String> {
    let mut previous = None;
    for _ in 0..MAX_SETTLE_ATTEMPTS {
        let current = std::fs::read(path).map_err(|error| (error.kind(), error.to_string()));
        match (current, previous) {
            (Ok(text), Some(Ok(previous))) if text == previous => {
                return String::from_utf8(text)
                    .map_err(|_| io::Error::other("the file is not valid UTF-8"));
            }
            (Err(error), Some(Err(previous))) if error == previous => {
                let (kind, text) = error;
                return Err(io::Error::new(kind, text));
            }
            (current, _) => previous = Some(current),
        }
        std::thread::sleep(SETTLE_INTERVAL);
    }
    Err(io::Error::other("the file keeps changing"))
}

#[cfg(test)]
mod tests;
