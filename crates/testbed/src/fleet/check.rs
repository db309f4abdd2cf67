//! What the history says of the rules. Nothing that a node says of itself counts.

use super::history::Event;
use super::{name, DEADLINE};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

type Happened = [(Duration, Event)];

/// What a node may still send after it has the news of a ban.
pub const GRACE: Duration = Duration::from_millis(500);
/// How late a busy machine may see an answer, or bring a word.
pub const SLACK: Duration = Duration::from_millis(400);

/// Every rule; what is broken, one line each.
pub fn all(happened: &Happened) -> Vec<String> {
    let mut broken = effects_twice(happened);
    broken.extend(refused_and_run(happened));
    broken.extend(unanswered(happened));
    broken
}

/// No unsafe request has two effects.
pub fn effects_twice(happened: &Happened) -> Vec<String> {
    let risky = risky(happened);
    let mut effects: HashMap<&str, u32> = HashMap::new();
    for (_, event) in happened {
        if let Event::Effect { id, .. } = event {
            *effects.entry(id).or_default() += 1;
        }
    }
    let twice = effects
        .into_iter()
        .filter(|(id, n)| *n > 1 && risky.contains_key(id));
    twice
        .map(|(id, n)| format!("rule 2: {id} had its effect {n} times"))
        .collect()
}

/// An unsafe request that was refused had no effect.
pub fn refused_and_run(happened: &Happened) -> Vec<String> {
    let risky = risky(happened);
    let mut refused: HashMap<&str, u16> = HashMap::new();
    for (_, event) in happened {
        if let Event::Answered {
            id,
            status: Some(status @ (429 | 503)),
            ..
        } = event
        {
            if risky.contains_key(id.as_str()) {
                refused.insert(id, *status);
            }
        }
    }
    let ran = happened.iter().filter_map(|(_, e)| match e {
        Event::Effect { id, .. } => Some((id, refused.get(id.as_str())?)),
        _ => None,
    });
    ran.map(|(id, status)| format!("rule 2: {id} was refused with {status}, and ran"))
        .collect()
}

/// Every request that a living node took has one answer, in time. A node that was killed or stood still meanwhile owes
/// nothing for that time.
pub fn unanswered(happened: &Happened) -> Vec<String> {
    let hurt = hurt(happened);
    let excused = |node: usize, from: Duration, to: Duration| {
        hurt.get(&node)
            .is_some_and(|all| all.iter().any(|(a, b)| *a <= to && from <= *b))
    };
    let mut asked: HashMap<&str, (Duration, usize)> = HashMap::new();
    let mut broken = Vec::new();
    for (at, event) in happened {
        match event {
            Event::Asked { node, id, .. } => drop(asked.insert(id, (*at, *node))),
            Event::Answered { id, status, .. } => {
                let Some((from, node)) = asked.remove(id.as_str()) else {
                    continue;
                };
                if excused(node, from, *at) {
                    continue;
                }
                let late = *at - from > DEADLINE + SLACK;
                if status.is_none() {
                    broken.push(format!(
                        "rule 1: {id} was taken at {from:?} and never answered"
                    ));
                } else if late {
                    broken.push(format!("rule 1: {id} was answered after {:?}", *at - from));
                }
            }
            _ => {}
        }
    }
    broken
}

/// When each node could not answer: from before a kill, or a freeze, to a while after.
fn hurt(happened: &Happened) -> BTreeMap<usize, Vec<(Duration, Duration)>> {
    let mut hurt: BTreeMap<usize, Vec<(Duration, Duration)>> = BTreeMap::new();
    let end = Duration::MAX;
    for (at, event) in happened {
        match event {
            Event::Killed { node } | Event::Froze { node } | Event::Told { node } => {
                hurt.entry(*node).or_default().push((*at, end));
            }
            Event::Thawed { node } | Event::Began { node } => {
                if let Some(last) = hurt.entry(*node).or_default().last_mut() {
                    last.1 = last.1.min(*at + DEADLINE);
                }
            }
            _ => {}
        }
    }
    hurt
}

fn risky(happened: &Happened) -> HashMap<&str, ()> {
    let risky = happened.iter().filter_map(|(_, e)| match e {
        Event::Asked {
            id, risky: true, ..
        } => Some((id.as_str(), ())),
        _ => None,
    });
    risky.collect()
}

/// The node that a request was asked of, as its id tells.
fn node_of(id: &str) -> &str {
    id.split_once('-').map_or(id, |(node, _)| node)
}

/// Attempts at a server between two moments, by these nodes.
pub fn attempts(
    happened: &Happened,
    server: usize,
    from: Duration,
    to: Duration,
    nodes: &[usize],
) -> Vec<(Duration, String)> {
    let names: Vec<String> = nodes.iter().map(|n| name(*n)).collect();
    let in_time = happened.iter().filter(|(at, _)| *at >= from && *at <= to);
    let all = in_time.filter_map(|(at, e)| match e {
        Event::Attempt { server: s, id }
            if *s == server && names.iter().any(|n| n == node_of(id)) =>
        {
            Some((*at, id.clone()))
        }
        _ => None,
    });
    all.collect()
}

/// The last attempt at a server by each of these nodes, after a moment.
pub fn last_attempt(
    happened: &Happened,
    server: usize,
    from: Duration,
    nodes: &[usize],
) -> Option<Duration> {
    attempts(happened, server, from, Duration::MAX, nodes)
        .last()
        .map(|(at, _)| *at)
}

/// Share of requests asked between two moments that were answered 200 in time, and how many there were.
pub fn served(happened: &Happened, from: Duration, to: Duration) -> (f64, usize) {
    let mut asked: HashMap<&str, Duration> = HashMap::new();
    let (mut good, mut all) = (0, 0);
    for (at, event) in happened {
        match event {
            Event::Asked { id, .. } if *at >= from && *at < to => {
                asked.insert(id, *at);
                all += 1;
            }
            Event::Answered {
                id,
                status: Some(200),
                ..
            } => {
                let in_time = asked
                    .get(id.as_str())
                    .is_some_and(|from| *at - *from <= DEADLINE);
                good += u32::from(in_time);
            }
            _ => {}
        }
    }
    (f64::from(good) / all.max(1) as f64, all)
}
