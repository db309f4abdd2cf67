//! The server list: who joins with what, and what is kept of those that left.

use super::{automaton, state::*};
use crate::interface::*;
use crate::list_sums::{Line, ListSums};

/// A server that was off the list for no longer than this has flapped, and comes back with its average.
const FLAP: Time = 0.5;

/// Longest of the jittered backoffs before discovery is asked again: what it has counts as told 6 s after it
/// could be reached, and a call may hang for half of that. Harm: one short of room is asked more often.
const BACKOFF_MOST: Time = 2.0;

/// Servers of which something is kept after they left, and for how long.
pub(super) const LEFT_MOST: usize = 64;
pub(super) const LEFT_FOR: Time = 60.0;

impl Balancer {
    pub(super) fn members(
        &mut self,
        now: Time,
        list: UpdateKind,
        entries: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if list == UpdateKind::Failed {
            self.subscribed = false;
            let after = self.backoff * (0.5 + 0.5 * self.random());
            self.backoff = (self.backoff * 2.0).min(BACKOFF_MOST);
            actions.push(Action::StartTimer { after, tag: WATCH });
            return;
        }
        if list != UpdateKind::Cached {
            (self.subscribed, self.backoff) = (true, 1.0);
        }
        let mut sums = self.list_sums(now);
        if list != UpdateKind::Delta {
            let mut listed: Vec<ServerId> = entries.iter().map(|e| e.server).collect();
            listed.sort_unstable();
            for i in (0..self.servers.len()).rev() {
                if listed.binary_search(&self.servers[i].entry.server).is_err() {
                    self.leave(now, i, &mut sums);
                }
            }
        }
        let fresh = self.servers.is_empty() && self.left.is_empty();
        for e in entries {
            match self.slot.get(e.server) {
                // A drain is kept at once, not at the end of its grace.
                Some(i) if e.state != ServerState::Up => self.leave(now, i, &mut sums),
                Some(i) if self.servers[i].entry.started_at < e.started_at => {
                    self.leave(now, i, &mut sums);
                    self.join(now, e, &mut sums);
                }
                Some(i) => {
                    sums.relist(i, e.machine_type, e.weight);
                    self.servers[i].entry = e;
                }
                None if e.state == ServerState::Up => self.join(now, e, &mut sums),
                None => {}
            }
        }
        self.automaton.p = sums.p.values();
        self.part(fresh);
        self.foresee(now);
    }

    fn list_sums(&self, now: Time) -> ListSums {
        let line = |(s, average): (&Server, &f64)| {
            let Endpoint {
                machine_type: kind,
                weight,
                ..
            } = s.entry;
            Line {
                own: s.own,
                kind,
                weight,
                average: *average,
                awake: s.ejected_until <= now,
            }
        };
        let lines = self
            .servers
            .iter()
            .zip(&self.automaton.average)
            .map(line)
            .collect();
        ListSums::new(automaton::FLOOR, &self.automaton.p, lines)
    }

    fn leave(&mut self, now: Time, i: usize, sums: &mut ListSums) {
        let share = sums.p.value(i) * self.servers.len() as f64;
        sums.leave(i);
        let average = self.automaton.average.swap_remove(i);
        let gone = self.servers.swap_remove(i);
        let Endpoint {
            hash,
            started_at: ready_at,
            ..
        } = gone.entry;
        self.left
            .retain(|l| l.hash != hash && now - l.at < LEFT_FOR);
        if self.left.len() >= LEFT_MOST {
            self.left.pop_front();
        }
        self.left.push_back(Left {
            hash,
            ready_at,
            at: now,
            share,
            average,
            budget: gone.budget,
        });
        self.slot.set(gone.entry.server, None);
        if let Some(moved) = self.servers.get(i) {
            self.slot.set(moved.entry.server, Some(i));
        }
    }

    /// A new entry starts from what its kind showed, and from its listed weight before anything was shown.
    fn join(&mut self, now: Time, entry: Endpoint, sums: &mut ListSums) {
        let r = self.servers.len() as f64;
        let own = self.owns(entry.hash, self.block(r + 1.0));
        let (mut share, mut average) = (1.0, self.typical);
        if let Some((p, seen)) = sums.means_of_kin(own, entry.machine_type) {
            (share, average) = (r * p, seen);
        } else if let Some((p, size)) = sums.mean_of_part(own).zip(sums.mean_weight()) {
            share = r * p * listed(self.settings.has_server_weights, entry.weight / size);
        }
        // Guards what was learned against a server that is off the list for a moment, and the budget of a
        // cold one against being drawn anew at each return. Harm: one that went for a reason is taken for
        // what it was.
        let known = self
            .left
            .iter()
            .position(|l| l.hash == entry.hash && l.ready_at == entry.started_at);
        let known = known
            .and_then(|n| self.left.remove(n))
            .filter(|l| now - l.at < LEFT_FOR);
        if let Some(l) = &known {
            // What made it slow may be why it went: after more than a flap it is not shunned for that.
            let mean = sums.mean_average().unwrap_or(self.typical);
            let most = if r > 0.0 && now - l.at > FLAP {
                mean
            } else {
                l.average
            };
            (share, average) = (l.share, l.average.min(most));
        }
        let Endpoint {
            machine_type: kind,
            weight,
            ..
        } = entry;
        let line = Line {
            own,
            kind,
            weight,
            average,
            awake: true,
        };
        sums.join(automaton::joining(share, self.servers.len()), line);
        self.automaton.average.push(average);
        self.slot.set(entry.server, Some(self.servers.len()));
        let drawn = f64::from(own) * self.random() * self.typical;
        let budget = known.map_or(drawn, |l| l.budget.min(drawn));
        self.stays = self.stays.wrapping_add(1);
        self.servers.push(Server {
            entry,
            stay: self.stays,
            strikes: 0,
            failing: false,
            dead: false,
            sound: false,
            own,
            ejected_until: now,
            told_until: now,
            tries: false,
            open: 0,
            overdue: 0,
            heard: now,
            budget,
            most: 0.0,
            asked: 0.0,
        });
    }
}
