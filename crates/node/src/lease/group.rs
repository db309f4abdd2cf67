//! The identifier of a group of nodes that share leases.

/// Length of a group identifier, in bytes.
const GROUP_ID_LEN: usize = 8;

/// The identifier of all nodes with the same keepers in the same order, which precedes each message between them.
///
/// Majorities of two different lists of keepers need not intersect, so each could have a holder of its own. With this
/// identifier in each message, a node counts in the group of its own list alone.
pub struct GroupId([u8; GROUP_ID_LEN]);

impl GroupId {
    /// The identifier of the group with these keepers.
    pub fn of(keepers: &[String]) -> GroupId {
        let mut hasher = blake3::Hasher::new();
        for name in keepers {
            hasher
                .update(&(name.len() as u64).to_le_bytes())
                .update(name.as_bytes());
        }
        let hash = hasher.finalize();
        GroupId(hash.as_bytes().first_chunk().copied().unwrap_or_default())
    }

    /// Precedes a message with the identifier.
    pub fn prepend_to(&self, message: &[u8]) -> Vec<u8> {
        [self.0.as_slice(), message].concat()
    }

    /// The message that the identifier precedes; `None` if that of another group does.
    pub fn strip_from<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        bytes.strip_prefix(&self.0)
    }
}
