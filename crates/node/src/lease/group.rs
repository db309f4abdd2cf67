//! The identifier of a group of nodes with the same keepers.

/// Length of a group identifier, in bytes.
const GROUP_ID_LEN: usize = 8;

/// Identifies all nodes with the same keepers in the same order. It is the prefix of each message between them.
///
/// Majorities of two different lists of keepers need not intersect, so each list could have a holder of its own. With
/// this prefix, a node ignores the messages of nodes with another list.
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

    /// Adds the identifier to the beginning of a message.
    pub fn prepend_to(&self, message: &[u8]) -> Vec<u8> {
        [self.0.as_slice(), message].concat()
    }

    /// Removes the identifier from the beginning of a message; `None` if the message is another group's.
    pub fn strip_from<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        bytes.strip_prefix(&self.0)
    }
}
