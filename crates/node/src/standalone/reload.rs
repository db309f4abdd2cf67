//! Reads the settings file anew on a thread of its own: however large the file is, no request waits for it.

use crate::net::service::prepared::PreparedPlan;
use crate::net::shared::Clock;
use reelfall_config::{reader, Faults, Model, Plan};
use std::path::{Path, PathBuf};
use std::sync::{mpsc, Arc};
use std::time::Duration;
use tokio::sync::oneshot;

/// A file has to stay as it is for this long before it is taken for whole, and is waited for so many times.
const SETTLES_IN: Duration = Duration::from_millis(30);
const SETTLE_TRIES: u32 = 100;

/// What the thread does.
enum Job {
    /// Reads the file and compares it with the plan that is in force.
    Read {
        in_force: Arc<PreparedPlan>,
        done: oneshot::Sender<Result<Arc<PreparedPlan>, String>>,
    },
    /// Frees a plan that nobody uses any more.
    Free(Arc<PreparedPlan>),
}

/// The thread's jobs, done one after the other. It ends with the last of these; a process that ends waits for none.
#[derive(Clone)]
pub struct Reader {
    jobs: mpsc::Sender<Job>,
}

impl Reader {
    /// Starts the thread. Nothing is read yet.
    ///
    /// # Errors
    /// If no thread is to be had.
    pub fn start(path: PathBuf, clock: Clock) -> std::io::Result<Reader> {
        let (jobs, work) = mpsc::channel();
        std::thread::Builder::new()
            .name("settings".to_owned())
            .spawn(move || serve(&path, clock, &work))?;
        Ok(Reader { jobs })
    }

    /// Reads and checks the file.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub async fn read(&self, in_force: Arc<PreparedPlan>) -> Result<Arc<PreparedPlan>, String> {
        let (done, read) = oneshot::channel();
        let asked = self.jobs.send(Job::Read { in_force, done });
        let ended = || "the thread that reads the settings has ended".to_owned();
        asked.map_err(|_| ended())?;
        read.await.unwrap_or_else(|_| Err(ended()))
    }

    /// Frees a plan, once nobody else uses it.
    pub fn free(&self, prepared: Arc<PreparedPlan>) {
        // Without the thread it is freed here.
        drop(self.jobs.send(Job::Free(prepared)));
    }
}

fn serve(path: &Path, clock: Clock, work: &mpsc::Receiver<Job>) {
    while let Ok(job) = work.recv() {
        match job {
            Job::Read { in_force, done } => {
                // A node that is ending does not wait for it.
                drop(done.send(read(path, clock, &in_force)));
            }
            Job::Free(prepared) => drop(prepared),
        }
    }
}

fn read(path: &Path, clock: Clock, in_force: &PreparedPlan) -> Result<Arc<PreparedPlan>, String> {
    let name = path.display().to_string();
    let text = settled(path).map_err(|e| format!("{name}: {e}"))?;
    let plan = checked(&name, text, reelfall_config::check).map_err(|e| e.to_string())?;
    Ok(PreparedPlan::replacing(plan, in_force, clock.now()))
}

/// Reads a file's text and checks what it says.
///
/// The text is freed before the check, which takes memory of its own: the model holds nothing of the text.
fn checked<Text: AsRef<str>>(
    name: &str,
    text: Text,
    check: impl FnOnce(Model) -> Result<Plan, Faults>,
) -> Result<Plan, Faults> {
    let model = reader::toml(name, text.as_ref())?;
    drop(text);
    check(model)
}

/// The text of a file that nobody is writing to.
///
/// Guards against a file that is read while it is replaced in place, of which the first half may well be a whole
/// file of other meaning: it counts only when two readings in a row are alike. Harm: a reload takes this much longer.
/// What is stopped halfway for longer than that is not caught; a new file that is renamed into place has no halves.
fn settled(path: &Path) -> std::io::Result<String> {
    let mut last = None;
    for _ in 0..SETTLE_TRIES {
        let text = std::fs::read(path).map_err(|e| (e.kind(), e.to_string()));
        match (text, last) {
            (Ok(text), Some(Ok(before))) if text == before => {
                return String::from_utf8(text)
                    .map_err(|_| std::io::Error::other("the file is not text in UTF-8"));
            }
            (Err(e), Some(Err(before))) if e == before => {
                return Err(std::io::Error::new(e.0, e.1))
            }
            (text, _) => last = Some(text),
        }
        std::thread::sleep(SETTLES_IN);
    }
    Err(std::io::Error::other("the file does not stop changing"))
}

#[cfg(test)]
mod tests;
