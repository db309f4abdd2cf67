//! What askers and keepers say to each other. Each message may be lost, come twice, late or out of order.

use crate::token::Name;
use crate::Micros;
use serde::{Deserialize, Serialize};

/// Longest message, in bytes: with what surrounds it, a datagram that no path has to cut.
pub const MESSAGE_MOST: usize = 1024;
/// Longest name of an asker, in bytes.
pub const ASKER_MOST: usize = 64;
/// Most keepers.
pub const KEEPERS_MOST: usize = 9;

/// Who asks: one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Asker {
    /// The node's name.
    pub name: String,
    /// Drawn by each process, so that a node that begins anew is not taken for what it was.
    pub tag: u64,
}

/// Which folder of a keeper this is. One that takes another's place has the greater one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seal {
    /// The how-manieth folder under this keeper's name.
    pub generation: u32,
    /// Drawn, so that two that begin at once are told apart.
    pub tag: u64,
}

/// How far a keeper's folder has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seen {
    /// Which folder.
    pub seal: Seal,
    /// Records that were written to it.
    pub written: u64,
}

/// What a keeper says of itself and its fellows with each vote.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// Its own folder.
    pub own: Seen,
    /// The folders of all keepers, in the order of the settings, as far as it knows them.
    pub fellows: Vec<Option<Seen>>,
}

/// An asker to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ask {
    /// Promise me that nobody with a lower number gets the lease.
    Promise {
        /// Which lease.
        lease: Name,
        /// Told back in the answer.
        round: u64,
        /// The number; it will be the token.
        counter: u64,
        /// For how long the lease is wanted, in microseconds.
        length: Micros,
        /// How long the asker has waited for it, in microseconds.
        waited: Micros,
    },
    /// Grant me the lease, or some more of it, from now on.
    Grant {
        /// Which lease.
        lease: Name,
        /// Told back in the answer.
        round: u64,
        /// The number that was promised.
        token: u64,
        /// For how long, in microseconds.
        length: Micros,
        /// What those that promised have said of their folders.
        fellows: Vec<Option<Seen>>,
    },
    /// I hold it no longer, or have given up getting it by this number.
    Release {
        /// Which lease.
        lease: Name,
        /// The number.
        token: u64,
    },
}

impl Ask {
    /// Which lease it is about.
    pub fn lease(&self) -> &Name {
        match self {
            Ask::Promise { lease, .. } | Ask::Grant { lease, .. } | Ask::Release { lease, .. } => lease,
        }
    }
}

/// Why a keeper says no.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum No {
    /// A number as high as this one was promised already.
    Behind,
    /// Somebody else has it, for so many microseconds more.
    Held {
        /// See above.
        left: Micros,
    },
    /// Others have waited for longer.
    Turn,
    /// This keeper does not vote.
    Untrusted,
    /// No lease is that long.
    Long,
    /// There is no room for one more lease, or one more who waits.
    Full,
}

/// A keeper to an asker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Said {
    /// See [`Ask::Promise`].
    Promised {
        /// Which lease.
        lease: Name,
        /// Of which question.
        round: u64,
        /// What the keeper says of itself.
        vote: Vote,
    },
    /// See [`Ask::Grant`].
    Granted {
        /// Which lease.
        lease: Name,
        /// Of which question.
        round: u64,
        /// What the keeper says of itself.
        vote: Vote,
    },
    /// No.
    Refused {
        /// Which lease.
        lease: Name,
        /// Of which question.
        round: u64,
        /// Why.
        why: No,
        /// The highest number that was promised, so that the next one is higher.
        promised: u64,
    },
    /// The lease is free, and it is this asker's turn.
    Free {
        /// Which lease.
        lease: Name,
    },
}

impl Said {
    /// Which lease it is about.
    pub fn lease(&self) -> &Name {
        match self {
            Said::Promised { lease, .. }
            | Said::Granted { lease, .. }
            | Said::Refused { lease, .. }
            | Said::Free { lease } => lease,
        }
    }
}

/// What a keeper has promised of one lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kept {
    /// The highest number.
    pub promised: u64,
    /// To whom; to nobody that counts where a fellow promised it, or another folder.
    pub to: Option<Asker>,
    /// For how long the lease was wanted, in microseconds.
    pub length: Micros,
}

/// A keeper to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Between {
    /// This is my folder; none if it is empty. What do you know of me?
    Who {
        /// See above.
        own: Option<Seen>,
    },
    /// This is what I know of you, and it is on my disk.
    Know {
        /// The latest folder of yours.
        of_you: Option<Seen>,
        /// I vote.
        trusted: bool,
    },
    /// What have you promised of leases after this one, by name?
    Read {
        /// See above; none for the first.
        after: Option<Name>,
    },
    /// This.
    Page {
        /// What was asked for.
        after: Option<Name>,
        /// Some leases, in the order of their names.
        kept: Vec<(Name, Kept)>,
        /// No number up to this one counts, whatever the name.
        floor: u64,
        /// There are no more.
        last: bool,
        /// I vote.
        trusted: bool,
    },
}

/// Any message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// See [`Ask`].
    Ask(Ask),
    /// See [`Said`].
    Said(Said),
    /// See [`Between`].
    Between(Between),
}

impl Message {
    /// As bytes; `None` if they would be too many.
    pub fn write(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok().filter(|bytes| bytes.len() <= MESSAGE_MOST)
    }

    /// From bytes; `None` if they are no message that this program makes.
    ///
    /// Guards against lists and names that are longer than any. Harm: none.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MESSAGE_MOST {
            return None;
        }
        let (message, rest): (Message, &[u8]) = postcard::take_from_bytes(bytes).ok()?;
        let few = |fellows: &[Option<Seen>]| fellows.len() <= KEEPERS_MOST;
        let sound = match &message {
            Message::Ask(Ask::Grant { fellows, .. }) => few(fellows),
            Message::Said(Said::Promised { vote, .. } | Said::Granted { vote, .. }) => few(&vote.fellows),
            Message::Between(Between::Page { kept, .. }) => {
                kept.iter().all(|(_, kept)| kept.to.as_ref().is_none_or(|to| to.name.len() <= ASKER_MOST))
            }
            _ => true,
        };
        (sound && rest.is_empty()).then_some(message)
    }
}
