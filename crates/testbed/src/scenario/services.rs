//! Three services from one process, one of them overloaded on purpose, and reloads under load.
//!
//! Promises: the two others serve within a point of what they serve alone; no effect twice; every request is
//! answered once; no reload loses a request.

use super::Report;
use crate::load::{self, LoadStats, Workload};
use crate::node::Node;
use crate::pool::{Pool, ServerBehavior};
use crate::scripted::Program;
use crate::Result;
use std::time::Duration;

/// How long and how hard a run is.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// How long each load lasts.
    pub time: Duration,
    /// Reloads under load.
    pub reloads: u32,
    /// How many points the served share of the others may lose.
    pub points: f64,
}

impl Scale {
    /// The whole of it: about a minute.
    pub const WHOLE: Scale = Scale {
        time: Duration::from_secs(15),
        reloads: 200,
        points: 1.0,
    };
    /// What fits into a test on a busy machine; counts are held to as strictly, shares are not.
    pub const SMALL: Scale = Scale {
        time: Duration::from_secs(3),
        reloads: 20,
        points: 25.0,
    };
}

/// The requests a second that evaluation is limited to.
const LIMIT: f64 = 150.0;

/// The stand-ins of the three services.
pub struct Fleet {
    /// Evaluation: 4 servers, 200 requests a second.
    pub evaluate: Pool,
    /// Toggles: 3 servers, 100 requests a second.
    pub toggle: Pool,
    /// Rollouts: 3 servers, 85 requests a second.
    pub rollout: Pool,
}

impl Fleet {
    /// Starts all servers.
    ///
    /// # Errors
    /// If no ports are to be had.
    pub async fn start(seed: u64) -> Result<Fleet> {
        let good = |ms| ServerBehavior::healthy(Duration::from_millis(ms));
        Ok(Fleet {
            evaluate: Pool::start("eval", 4, good(20), seed).await?,
            toggle: Pool::start("admin", 3, good(30), seed + 10).await?,
            rollout: Pool::start("approver", 3, good(35), seed + 20).await?,
        })
    }

    /// Ids that had an effect more than once, of requests that must not run twice.
    pub fn duplicate_effects(&self) -> usize {
        self.toggle.duplicate_effects() + self.rollout.duplicate_effects()
    }

    /// The settings file of a node in front of them.
    pub fn settings(&self, listen: &str) -> String {
        let Fleet {
            evaluate,
            toggle,
            rollout,
        } = self;
        format!(
            "[process]\ndescriptors = 512\nmemory = \"128MiB\"\n\n\
             [[listener]]\nname = \"client\"\naddress = \"{listen}\"\n\n{}{}{}",
            service("evaluate", "safe", "flags.example.org", "GET", &format!(
                "limits = {{ open = 80, open_reserved = 40, rate = \"{LIMIT}/s\", burst = 20, connections_reserved = 40 }}\n"
            ), evaluate),
            service("toggle", "unsafe", "admin.example.org", "POST", "limits = { open_reserved = 40, connections_reserved = 40 }\n", toggle),
            service("rollout", "unsafe", "rollout.example.org", "POST", "limits = { open_reserved = 40, connections_reserved = 40 }\n", rollout),
        )
    }
}

fn service(
    name: &str,
    repeat: &str,
    host: &str,
    method: &str,
    limits: &str,
    pool: &Pool,
) -> String {
    format!(
        "[[service]]\nname = \"{name}\"\n{limits}\n\
         [[service.class]]\nname = \"{name}\"\nrepeat = \"{repeat}\"\naim = \"200ms\"\ndeadline = \"600ms\"\n\n\
         [[service.route]]\nhost = \"{host}\"\npath = \"/api\"\nmethods = [\"{method}\"]\nassign = \"{name}\"\n\n{}\n",
        pool.server_settings()
    )
}

/// Requests of one service; `run` tells the ids of one load from those of others.
pub fn kind(run: &str, service: &str, rate: f64) -> Workload {
    let (host, method) = match service {
        "evaluate" => ("flags.example.org", "GET"),
        "toggle" => ("admin.example.org", "POST"),
        _ => ("rollout.example.org", "POST"),
    };
    Workload {
        name: format!("{run}-{service}"),
        host: host.to_owned(),
        method,
        path: "/api/flags".to_owned(),
        headers: Vec::new(),
        body: None,
        deadline: Duration::from_millis(600),
        rate,
    }
}

/// Plays the scenario.
///
/// # Errors
/// If a stand-in or the node can't be started; a broken promise is no error.
pub async fn run(program: &Program, scale: Scale) -> Result<Report> {
    let mut report = Report::default();
    let fleet = Fleet::start(11).await?;
    let settings = fleet.settings("127.0.0.1:0");
    let mut node = Node::start(program, &settings).await?;
    node.until_health("/_health", true).await?;
    // Warm up: the first requests open connections and teach the modules.
    let both = |run: &str| vec![kind(run, "toggle", 35.0), kind(run, "rollout", 25.0)];
    load::run(node.address(), &both("warm"), Duration::from_secs(1), 1).await;

    let alone = load::run(node.address(), &both("alone"), scale.time, 2).await;
    let mut kinds = both("flood");
    kinds.push(kind("flood", "evaluate", 4.0 * LIMIT));
    let flood = load::run(node.address(), &kinds, scale.time, 2).await;
    for (n, name) in ["toggle", "rollout"].iter().enumerate() {
        let (before, after) = (&alone[n], &flood[n]);
        report.figure(&format!("{name}_alone"), before.figures());
        report.figure(&format!("{name}_beside_flood"), after.figures());
        let lost = before.in_time_percent() - after.in_time_percent();
        report.promise(lost <= scale.points, || {
            format!("{name} serves {lost:.2} points less beside the flood")
        });
        answered(&mut report, &format!("{name} alone"), before);
        answered(&mut report, &format!("{name} beside the flood"), after);
    }
    let evaluate = &flood[2];
    report.figure("evaluate_flood", evaluate.figures());
    report.figure(
        "evaluate_refusal_p50_ms",
        evaluate.rejection_latency.value_at_quantile(0.5) as f64 / 1e3,
    );
    answered(&mut report, "evaluate in the flood", evaluate);
    let refused = evaluate.with_status(&[429, 503]);
    report.promise(refused > evaluate.sent / 2, || {
        format!("only {refused} of the flood were refused")
    });

    reloads(&mut report, &mut node, &fleet, &settings, scale.reloads).await?;
    report.figure("effects_twice", fleet.duplicate_effects());
    report.promise(fleet.duplicate_effects() == 0, || {
        format!("{} effects twice", fleet.duplicate_effects())
    });
    node.signal("TERM")?;
    let ended = node.ended().await?;
    report.promise(ended, || "the node does not end well".to_owned());
    Ok(report)
}

fn answered(report: &mut Report, what: &str, came: &LoadStats) {
    let answers: u64 = came.statuses.values().sum();
    report.promise(came.lost == 0 && answers == came.sent, || {
        format!(
            "{what}: {} of {} without an answer",
            came.sent - answers,
            came.sent
        )
    });
    report.promise(came.mismatched == 0, || {
        format!("{what}: {} with another's answer", came.mismatched)
    });
}

/// Reloads under load, each with something else changed: limits, a service more or less, servers, a drain.
async fn reloads(
    report: &mut Report,
    node: &mut Node,
    fleet: &Fleet,
    settings: &str,
    times: u32,
) -> Result<()> {
    let spare = Pool::start(
        "spare",
        1,
        ServerBehavior::healthy(Duration::from_millis(5)),
        91,
    )
    .await?;
    let extra = service("extra", "safe", "extra.example.org", "GET", "", &spare);
    let changes: [String; 5] = [
        settings.replace("burst = 20", "burst = 30"),
        format!("{settings}{extra}"),
        // One server of the toggles drains: it is told, and the others carry on.
        settings.replacen(
            &format!("address = \"{}\"\n", fleet.toggle.servers[0].address),
            &format!(
                "address = \"{}\"\nstate = \"draining\"\n",
                fleet.toggle.servers[0].address
            ),
            1,
        ),
        // Another deadline makes another pool; what is in flight stays with the old one.
        settings.replace("deadline = \"600ms\"", "deadline = \"650ms\""),
        settings.to_owned(),
    ];
    let address = node.address();
    let (stop, mut stopped) = tokio::sync::watch::channel(false);
    let running = tokio::spawn(async move {
        let mut all = vec![LoadStats::default(); 3];
        for round in 0u64.. {
            let kinds: Vec<Workload> = [("evaluate", 60.0), ("toggle", 35.0), ("rollout", 25.0)]
                .iter()
                .map(|(service, rate)| kind(&format!("reload{round}"), service, *rate))
                .collect();
            let came = load::run(address, &kinds, Duration::from_millis(500), 100 + round).await;
            for (sum, came) in all.iter_mut().zip(came) {
                sum.sent += came.sent;
                sum.lost += came.lost;
                sum.mismatched += came.mismatched;
                sum.in_time += came.in_time;
                came.statuses
                    .iter()
                    .for_each(|(s, n)| *sum.statuses.entry(*s).or_default() += n);
            }
            if *stopped.borrow_and_update() {
                break;
            }
        }
        all
    });
    for n in 0..times {
        let change = &changes[n as usize % changes.len()];
        node.reload(change).await?;
    }
    stop.send(true)?;
    let came = running.await?;
    for (came, name) in came.iter().zip(["evaluate", "toggle", "rollout"]) {
        report.figure(&format!("{name}_in_{times}_reloads"), came.figures());
        answered(report, &format!("{name} in reloads"), came);
        let failed = came.sent - came.with_status(&[200, 429, 503]);
        report.promise(failed == 0, || {
            format!("{name}: {failed} failed in reloads: {:?}", came.statuses)
        });
    }
    Ok(())
}
