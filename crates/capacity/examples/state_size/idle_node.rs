//! Processor time and memory of a node process without requests, for the commands `rest` and `together`.

use crate::error::{Error, Result};
use crate::fixtures::KEY;
use crate::measure::{resident_bytes, Figures};
use reelfall_testbed::node::Folder;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Time that a node runs before it is measured.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time over which a node is measured.
const MEASURED_TIME: Duration = Duration::from_secs(10);
const NANOSECONDS_PER_SECOND: f64 = 1e9;
/// Servers of each service.
const SERVERS_PER_SERVICE: usize = 8;
/// Services whose servers share the second byte of their addresses.
const SERVICES_PER_SUBNET: usize = 200;

/// The role of the measured node in a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The node is in no cluster.
    Standalone,
    /// The node is the only member of a cluster.
    Clustered,
}

/// Measures the processor time and memory of a node with `service_count` services.
pub fn figures(program: &str, service_count: usize, mode: Mode) -> Result<Figures> {
    let folder = Folder::new().map_err(Error::Folder)?;
    let settings_file = folder.path().join("reelfall.toml");
    let key_file = folder.path().join("fleet.key");
    std::fs::write(&key_file, KEY)?;
    let cluster = match mode {
        Mode::Standalone => String::new(),
        Mode::Clustered => cluster_settings(&key_file),
    };
    std::fs::write(&settings_file, cluster + &service_settings(service_count))?;
    let mut node = Command::new(program)
        .args(["run", "--config"])
        .arg(&settings_file)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()?;
    let figures = process_figures(&mut node);
    node.kill()?;
    node.wait()?;
    figures
}

fn process_figures(node: &mut Child) -> Result<Figures> {
    wait_for_output(node)?;
    let process = node.id().to_string();
    std::thread::sleep(WARM_UP);
    let start = Instant::now();
    let before = main_thread_seconds(&process)?;
    std::thread::sleep(MEASURED_TIME);
    let cores = (main_thread_seconds(&process)? - before) / start.elapsed().as_secs_f64();
    Ok(Figures::from([
        ("cores".to_owned(), cores),
        ("bytes".to_owned(), resident_bytes(&process)?),
    ]))
}

/// Waits for the first line of output, which a node prints once it serves.
fn wait_for_output(node: &mut Child) -> Result<()> {
    let stdout = node.stdout.as_mut().ok_or(Error::NoOutput)?;
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line)?;
    Ok(())
}

/// Returns the processor seconds that the main thread of a process has used.
fn main_thread_seconds(process: &str) -> Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat"))?;
    let nanoseconds: f64 = text.split(' ').next().unwrap_or_default().parse()?;
    Ok(nanoseconds / NANOSECONDS_PER_SECOND)
}

fn cluster_settings(key_file: &Path) -> String {
    format!(
        "[fleet]\nname = \"f\"\nnode = \"n\"\nlisten = \"127.0.0.1:0\"\nkey_file = {key_file:?}\n"
    )
}

/// Renders the settings of a listener and `service_count` services.
fn service_settings(service_count: usize) -> String {
    let mut text = "[[listener]]\nname = \"public\"\naddress = \"127.0.0.1:0\"\n".to_owned();
    for service in 0..service_count {
        text += &format!(
            "[[service]]\nname = \"service-{service}\"\n\
             [[service.class]]\nname = \"c\"\nrepeat = \"safe\"\naim = \"150ms\"\ndeadline = \"600ms\"\n\
             [[service.route]]\nhost = \"service-{service}.example.org\"\nassign = \"c\"\n"
        );
        for server in 0..SERVERS_PER_SERVICE {
            text += &server_settings(service, server);
        }
    }
    text
}

fn server_settings(service: usize, server: usize) -> String {
    let subnet = service / SERVICES_PER_SUBNET + 1;
    let network = service % SERVICES_PER_SUBNET + 1;
    let host = server + 1;
    format!(
        "[[service.server]]\nname = \"s-{service}-{server}\"\naddress = \"127.{subnet}.{network}.{host}:9000\"\n"
    )
}
