//! An index of positions in a list by dense identifiers.

/// The position in a list of the element with each identifier.
#[derive(Clone, Debug, Default)]
pub(crate) struct PositionIndex {
    positions: Vec<Option<usize>>,
}

impl PositionIndex {
    /// The position of the element with this identifier, if it is listed.
    pub(crate) fn get(&self, id: u32) -> Option<usize> {
        self.positions.get(id as usize).copied().flatten()
    }

    /// Sets the position of the element with this identifier; `None` if it is not listed any more.
    pub(crate) fn set(&mut self, id: u32, position: Option<usize>) {
        let id = id as usize;
        if self.positions.len() <= id {
            self.positions.resize(id + 1, None);
        }
        self.positions[id] = position;
    }
}
