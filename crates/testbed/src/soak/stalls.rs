//! Scheduling stalls of the machine, measured by a separate process that sleeps repeatedly and reports late wake-ups.

use crate::{AbortOnDrop, Result};
use nix::time::{clock_gettime, ClockId};
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Child;

/// Duration of one sleep of the measuring process.
const SLEEP: Duration = Duration::from_millis(5);
/// The shortest delay that counts as a stall.
const MIN_STALL: Duration = Duration::from_millis(40);

/// A time in which the machine did not run a process that was ready to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Start, relative to the origin that the caller chose.
    pub from: Duration,
    /// End, by the same clock.
    pub to: Duration,
}

impl Stall {
    /// The part of the stall that lies between two times.
    pub fn overlap(&self, from: Duration, to: Duration) -> Duration {
        self.to.min(to).saturating_sub(self.from.max(from))
    }
}

/// Measures stalls until it is dropped.
pub struct StallMeter {
    stalls: Arc<Mutex<Vec<Stall>>>,
    /// Origin of the times in `stalls`.
    started: Instant,
    _reader: AbortOnDrop,
    _child: Child,
}

impl StallMeter {
    /// Starts the measuring process from the executable of the test bed.
    ///
    /// # Errors
    /// Fails if it does not start.
    pub fn start(testbed: &Path) -> Result<StallMeter> {
        let started = Instant::now();
        let origin = monotonic()?;
        let mut child = tokio::process::Command::new(testbed)
            .arg("stall-meter")
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let stalls: Arc<Mutex<Vec<Stall>>> = Arc::default();
        let shared = stalls.clone();
        let output = child.stdout.take();
        let reader = crate::spawn(async move {
            let Some(output) = output else { return };
            let mut lines = BufReader::new(output).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let stall = parse(&line, origin);
                let mut stalls = shared.lock().unwrap_or_else(PoisonError::into_inner);
                stalls.extend(stall);
            }
        });
        Ok(StallMeter {
            stalls,
            started,
            _reader: reader,
            _child: child,
        })
    }

    /// The stalls that ended at or after `moment`, with times relative to it.
    pub fn stalls_since(&self, moment: Instant) -> Vec<Stall> {
        let offset = moment.saturating_duration_since(self.started);
        let stalls = self.stalls.lock().unwrap_or_else(PoisonError::into_inner);
        let later = stalls.iter().filter(|stall| stall.to >= offset);
        later
            .map(|stall| Stall {
                from: stall.from.saturating_sub(offset),
                to: stall.to - offset,
            })
            .collect()
    }
}

/// The monotonic clock, on which [`Instant`] is based and which all processes share.
fn monotonic() -> Result<Duration> {
    Ok(clock_gettime(ClockId::CLOCK_MONOTONIC)?.into())
}

fn parse(line: &str, origin: Duration) -> Option<Stall> {
    let (from, to) = line.split_once(' ')?;
    let time = |text: &str| -> Option<Duration> {
        Some(Duration::from_micros(text.parse().ok()?).saturating_sub(origin))
    };
    Some(Stall {
        from: time(from)?,
        to: time(to)?,
    })
}

/// Runs the measuring process: prints the start and the end of each stall, in microseconds of the monotonic clock. Returns
/// when the output is closed.
///
/// # Errors
/// Fails if the clock can't be read.
pub fn measure(output: &mut impl std::io::Write) -> Result<()> {
    loop {
        let slept_at = monotonic()?;
        std::thread::sleep(SLEEP);
        let (due, woke_at) = (slept_at + SLEEP, monotonic()?);
        if woke_at - due < MIN_STALL {
            continue;
        }
        let written = writeln!(output, "{} {}", due.as_micros(), woke_at.as_micros());
        if written.and_then(|()| output.flush()).is_err() {
            return Ok(());
        }
    }
}
