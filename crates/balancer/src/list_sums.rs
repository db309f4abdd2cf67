//! What joins and leaves need to know of the whole server list, kept while news of it is taken in.
//!
//! Each of these sums would cost a walk over the list for each line of the news. They are computed anew with each
//! piece of news, so that rounding errors do not pile up over the life of a node.

use crate::floored::{Floored, Groups};
use crate::interface::MachineTypeId;
use crate::sums::Mean;

/// What the sums hold of one listed server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    /// It is of this node's part of the list.
    pub(crate) own: bool,
    /// Its machine kind.
    pub(crate) kind: MachineTypeId,
    /// Listed weight.
    pub(crate) weight: f64,
    /// Average response.
    pub(crate) average: f64,
    /// It is not ejected.
    pub(crate) awake: bool,
}

impl Line {
    /// The servers of the same part, and those of the same part and kind.
    fn groups(&self) -> Groups {
        [usize::from(self.own), kin(self.own, self.kind)]
    }
}

/// The group of the servers of a kind in one part.
fn kin(own: bool, kind: MachineTypeId) -> usize {
    2 + 2 * usize::from(kind) + usize::from(own)
}

/// The sums. Positions are those of the list.
#[derive(Debug)]
pub(crate) struct ListSums {
    /// The sampling vector.
    pub(crate) p: Floored,
    lines: Vec<Line>,
    averages: Vec<Mean>,
    awake: Mean,
    weight: Mean,
}

impl ListSums {
    /// The sums over a list with its sampling vector, whose floors come to `floors`.
    pub(crate) fn new(floors: f64, p: &[f64], lines: Vec<Line>) -> Self {
        let p = Floored::new(
            floors,
            p.iter().copied().zip(lines.iter().map(Line::groups)),
        );
        let (awake, weight) = (Mean::default(), Mean::default());
        let mut sums = ListSums {
            p,
            lines: Vec::with_capacity(lines.len()),
            averages: Vec::new(),
            awake,
            weight,
        };
        for line in lines {
            sums.add(&line);
            sums.lines.push(line);
        }
        sums
    }

    /// Adds a server at the end with its entry of the vector.
    pub(crate) fn join(&mut self, p: f64, line: Line) {
        self.p.push(p, line.groups());
        self.add(&line);
        self.lines.push(line);
    }

    /// Removes a server with its entry of the vector; the last one takes its place.
    pub(crate) fn leave(&mut self, position: usize) {
        self.p.swap_remove(position);
        let line = self.lines.swap_remove(position);
        self.remove(&line);
    }

    /// Takes over kind and weight as a server is listed now.
    pub(crate) fn relist(&mut self, position: usize, kind: MachineTypeId, weight: f64) {
        let old = self.lines[position];
        if (old.kind, old.weight) == (kind, weight) {
            return;
        }
        let new = Line {
            kind,
            weight,
            ..old
        };
        self.remove(&old);
        self.add(&new);
        self.lines[position] = new;
        self.p.regroup(position, new.groups());
    }

    /// The mean entry of the vector over one part of the list.
    pub(crate) fn mean_of_part(&self, own: bool) -> Option<f64> {
        self.p.mean(usize::from(own))
    }

    /// The mean entry of the vector and the mean average of response over a kind in one part of the list.
    pub(crate) fn means_of_kin(&self, own: bool, kind: MachineTypeId) -> Option<(f64, f64)> {
        let kin = kin(own, kind);
        self.p
            .mean(kin)
            .zip(self.averages.get(kin).and_then(Mean::value))
    }

    /// The mean average of response over the servers that are not ejected.
    pub(crate) fn mean_average(&self) -> Option<f64> {
        self.awake.value()
    }

    /// The mean listed weight.
    pub(crate) fn mean_weight(&self) -> Option<f64> {
        self.weight.value()
    }

    fn add(&mut self, line: &Line) {
        let kin = kin(line.own, line.kind);
        if self.averages.len() <= kin {
            self.averages.resize(kin + 1, Mean::default());
        }
        self.averages[kin].add(line.average);
        self.weight.add(line.weight);
        if line.awake {
            self.awake.add(line.average);
        }
    }

    fn remove(&mut self, line: &Line) {
        self.averages[kin(line.own, line.kind)].remove(line.average);
        self.weight.remove(line.weight);
        if line.awake {
            self.awake.remove(line.average);
        }
    }
}
