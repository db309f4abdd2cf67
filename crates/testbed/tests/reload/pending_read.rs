//! A read of the settings file that lasts until a test completes it.
//!
//! A FIFO replaces the file: opening it for writing blocks until the node has begun to read, and the read lasts until the
//! writer closes it.

use crate::fixtures::within_timeout;
use reelfall_testbed::node::Node;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// A read of the settings file by a node, which blocks until the test supplies the content.
pub struct PendingRead {
    settings_file: PathBuf,
    fifo_writer: File,
}

impl PendingRead {
    /// Signals the node to reload its file, and waits until it has begun to read.
    pub async fn start(node: &Node) -> PendingRead {
        let settings_file = node.settings_file();
        std::fs::rename(make_fifo(&settings_file, "first"), &settings_file).unwrap();
        node.signal("HUP").unwrap();
        PendingRead::open(settings_file).await
    }

    /// Opens the FIFO that has replaced the settings file; waits until the node reads it.
    async fn open(settings_file: PathBuf) -> PendingRead {
        let path = settings_file.clone();
        let fifo_writer = run_blocking("the node reads its file", move || {
            OpenOptions::new().write(true).open(path)
        })
        .await;
        PendingRead {
            settings_file,
            fifo_writer: fifo_writer.unwrap(),
        }
    }

    /// Completes this read with `settings`. The node then reads the file again to verify that it was complete; returns that
    /// second read, which is pending too.
    pub async fn complete_and_hold_verification(self, settings: &str) -> PendingRead {
        let settings_file = self.settings_file.clone();
        std::fs::rename(make_fifo(&settings_file, "second"), &settings_file).unwrap();
        self.write(settings).await;
        PendingRead::open(settings_file).await
    }

    /// Completes this read with `settings`. Every later read finds `next` in a regular file.
    pub async fn complete(self, settings: &str, next: &str) {
        let next_file = self.settings_file.with_file_name("next");
        std::fs::write(&next_file, next).unwrap();
        std::fs::rename(&next_file, &self.settings_file).unwrap();
        self.write(settings).await;
    }

    async fn write(mut self, settings: &str) {
        let settings = settings.to_owned();
        run_blocking("the node reads the rest of its file", move || {
            self.fifo_writer.write_all(settings.as_bytes())
        })
        .await
        .unwrap();
    }
}

/// Makes a FIFO in the folder of the settings file.
fn make_fifo(settings_file: &Path, name: &str) -> PathBuf {
    let path = settings_file.with_file_name(name);
    assert!(std::process::Command::new("mkfifo")
        .arg(&path)
        .status()
        .unwrap()
        .success());
    path
}

/// Runs blocking code on a separate thread, which a failed test doesn't wait for.
async fn run_blocking<T: Send + 'static>(
    description: &str,
    run: impl FnOnce() -> T + Send + 'static,
) -> T {
    let (sender, result) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || sender.send(run()));
    within_timeout(description, result)
        .await
        .expect(description)
}
