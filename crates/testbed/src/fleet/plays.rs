//! One schedule over one fleet under load, and what came of it: the tool `reelfall-testbed fleet`.

use super::history::{Event, History};
use super::schedule::{self, Step};
use super::shorten::shorten;
use super::verdicts::verdicts;
use super::{check, Made, Rig};
use crate::scripted::Program;
use crate::Result;
use serde_json::{json, Value};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// What is played.
#[derive(Clone, Debug)]
pub struct Play {
    /// The fleet.
    pub made: Made,
    /// Requests a second at each node.
    pub rate: f64,
    /// Share of them that may not be repeated.
    pub risky: f64,
    /// For clients and links.
    pub seed: u64,
}

/// What came of it.
pub struct Came {
    /// Rules broken, one line each.
    pub broken: Vec<String>,
    /// All that happened.
    pub history: Arc<History>,
    /// How long it took until all that were there knew each other again.
    pub agree: Option<Duration>,
    from: Duration,
    to: Duration,
    datagrams: u64,
}

impl Play {
    /// Plays a schedule.
    ///
    /// # Errors
    /// If a process does not start.
    pub async fn run(&self, program: &Program, steps: &[Step]) -> Result<Came> {
        let mut rig = Rig::start(program, &self.made).await?;
        let knows = self.made.fleet.is_some();
        if knows {
            rig.until("all know each other", async |rig| rig.gathered().await)
                .await?;
        }
        rig.links().seed(self.seed);
        let load = rig.load(self.rate, self.risky, self.seed);
        let from = rig.history.now();
        schedule::play(&mut rig, steps).await?;
        let to = rig.history.now();
        load.end().await;
        let whole = rig.awake().len() == rig.nodes();
        let again = async |rig: &Rig| rig.gathered().await;
        let agree = if knows && whole {
            rig.until("all know each other again", again).await.ok()
        } else {
            None
        };
        let mut broken = check::all(&rig.history.events());
        if knows && whole && agree.is_none() {
            broken.push("the nodes do not find each other again".to_owned());
        }
        let datagrams = rig.links().passed();
        Ok(Came {
            broken,
            history: rig.history.clone(),
            agree,
            from,
            to,
            datagrams,
        })
    }

    /// The shortest part of a schedule that still breaks a rule, by no more than so many plays, and how many were made.
    /// Faults that come by chance may not come again: a part in which nothing broke may yet be to blame.
    pub async fn shorten(
        &self,
        program: &Program,
        steps: &[Step],
        plays: usize,
    ) -> (Vec<Step>, usize) {
        let breaks = async |steps: Vec<Step>| match self.run(program, &steps).await {
            Ok(came) => !came.broken.is_empty(),
            Err(_) => false,
        };
        shorten(steps, plays, breaks).await
    }
}

impl Came {
    /// The figures.
    pub fn figures(&self) -> Value {
        let happened = self.history.events();
        let (share, asked) = check::served(&happened, self.from, self.to);
        json!({
            "asked": asked,
            "served_percent": (share * 1e4).round() / 1e2,
            "broken": self.broken,
            "agree_again_s": self.agree.map(|t| t.as_secs_f64()),
            "verdicts": verdicts(&happened).figures(),
            "datagrams": self.datagrams,
        })
    }

    /// All that happened, a line each.
    pub fn lines(&self) -> String {
        let mut text = String::new();
        for (at, event) in self.history.events() {
            // A text takes all that is written to it.
            let _ = match event {
                Event::Fault(line) => writeln!(text, "{:9.4} fault {line}", at.as_secs_f64()),
                event => writeln!(text, "{:9.4} {event:?}", at.as_secs_f64()),
            };
        }
        text
    }
}
