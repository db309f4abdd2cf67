//! One node: reads its configuration, serves until it is told to stop, and says how that went.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![warn(clippy::unwrap_used, clippy::expect_used, clippy::indexing_slicing, clippy::panic)]

mod net;

use net::driver::Driver;
use net::front::{self, Front};
use net::{discovery, Bounds};
use serde::Deserialize;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use weldpass::settings;

/// How often idle connections are looked through.
const RETIRE_EVERY: Duration = Duration::from_millis(250);
/// A node that knows servers from before waits this long for newer news before it serves.
const NEWS_WITHIN: Duration = Duration::from_secs(1);

/// What a node is told at its start.
#[derive(Deserialize)]
struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: serde_json::Value,
    settings: Box<serde_json::value::RawValue>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 128, sockets: 1024 }
    }
}

fn config() -> Result<Config, String> {
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG names no file".to_owned())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))
}

async fn node(config: Config) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let bounds = Bounds::of(config.limits.sockets, config.limits.memory_mb);
    let read = settings::read(config.settings.get()).map_err(|e| format!("settings can't be used: {e}"));
    let (settings, names, figures) = read?;
    // Any text seeds the choices, but two starts must not share one.
    let seed = u64::from_str_radix(&config.seed, 16).unwrap_or_else(|_| settings::stable_hash(&config.seed));
    let driver = Driver::new(settings, names, figures, seed, bounds);
    let driver = Rc::new(driver.map_err(|e| format!("settings can't be used: {e}"))?);
    let known = if config.known.is_null() {
        0
    } else {
        discovery::take_in(&driver, &config.known, true).map_err(|e| format!("known: {e}"))?
    };
    tokio::task::spawn_local(discovery::follow(driver.clone(), config.discovery, known));
    let listener = front::bind(config.listen, bounds.clients)?;
    tokio::task::spawn_local(ready(driver.clone()));
    let retiring = driver.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(RETIRE_EVERY).await;
            retiring.upstream.retire();
        }
    });
    let front = Rc::new(Front::new(driver, bounds));
    let stop = async {
        terminate.recv().await;
    };
    front.serve(listener, stop).await;
    Ok(())
}

/// Waits for the first list; an old one serves too, if no newer comes.
async fn ready(driver: Rc<Driver>) {
    let news = driver.listed.notified();
    if driver.has_servers() {
        let _ = tokio::time::timeout(NEWS_WITHIN, news).await;
    } else {
        news.await;
    }
    driver.ready.set(true);
}

fn main() -> ExitCode {
    let run = config().and_then(|config| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        tokio::task::LocalSet::new().block_on(&runtime, node(config))
    });
    match run {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("weldpass: {fault}");
            ExitCode::FAILURE
        }
    }
}
