//! What tests of fleets of processes share.

// Each file of tests uses a part of it.
#![allow(dead_code)]

use reelfall_rig::fleet::{check, Made, Rig, WARM};
use reelfall_rig::scripted::Program;
use std::time::Duration;

pub const SECOND: Duration = Duration::from_secs(1);

pub fn program() -> Program {
    Program::in_rig(env!("CARGO_BIN_EXE_reelfall-rig"))
}

pub async fn start(made: Made) -> Rig {
    let rig = Rig::start(&program(), &made).await.unwrap();
    if made.fleet.is_some() {
        rig.until("all know each other", async |rig| rig.gathered().await).await.unwrap();
    }
    rig
}

pub fn warm() -> Made {
    Made { service: WARM.to_owned(), ..Made::default() }
}

/// Two fleets at once, however many tests run: more would have each other's nodes starve, and find fault with servers.
pub async fn turn() -> tokio::sync::SemaphorePermit<'static> {
    static TURNS: tokio::sync::Semaphore = tokio::sync::Semaphore::const_new(2);
    TURNS.acquire().await.unwrap()
}

pub async fn rest(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

pub fn none_broken(rig: &Rig) {
    let broken = check::all(&rig.history.events());
    assert!(broken.is_empty(), "{broken:#?}\n{}", rig.history.tail(60));
}

/// What an operator sees who calls a node by the command line.
pub async fn command(rig: &Rig, node: usize, args: &[&str]) -> String {
    let mut command = program().command();
    command.args(args).arg("--management").arg(rig.management(node).unwrap().to_string());
    let done = tokio::task::spawn_blocking(move || command.output()).await.unwrap().unwrap();
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    String::from_utf8_lossy(&done.stdout).into_owned()
}

/// Waits until all nodes that are awake explain a server with these words.
pub async fn until_explained(rig: &Rig, server: &str, words: &str) {
    let path = format!("/-/fleet/servers/{server}");
    rig.until(words, async |rig| {
        for n in rig.awake() {
            let Ok((_, said)) = rig.call(n, "GET", &path).await else { return false };
            if !said.contains(words) {
                return false;
            }
        }
        true
    })
    .await
    .unwrap();
}

/// Every one of these nodes has sent something to the server lately.
pub async fn until_sent(rig: &Rig, server: usize, nodes: &[usize]) {
    let from = rig.history.now();
    rig.until("requests to the server by all", async |rig| {
        let happened = rig.history.events();
        nodes.iter().all(|n| !check::attempts(&happened, server, from, Duration::MAX, &[*n]).is_empty())
    })
    .await
    .unwrap();
}

/// Attempts by these nodes that came later than a second and a half after a moment: a second for the news to be
/// everywhere, and the half that the rule on drains gives each node.
pub fn late(rig: &Rig, server: usize, since: Duration, nodes: &[usize]) -> Vec<(Duration, String)> {
    let happened = rig.history.events();
    check::attempts(&happened, server, since + SECOND + check::GRACE, Duration::MAX, nodes)
}
