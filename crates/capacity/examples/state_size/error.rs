//! Why nothing is measured. All modules return it, and `main` prints it.

use reelfall_cluster::wire::KeyTooShort;
use reelfall_config::ConfigErrors;
use reelfall_lease::token::InvalidLeaseName;
use std::fmt;
use thiserror::Error as ThisError;

/// What measurements return.
pub type Result<T> = std::result::Result<T, Error>;

/// Why nothing is measured.
#[derive(ThisError)]
pub enum Error {
    /// The arguments are not those of a command.
    #[error("say what to measure, and at which sizes")]
    Usage,
    /// There is no such resource.
    #[error("`{0}` is not measured here")]
    UnknownResource(String),
    /// The process that measures one size failed, with this output.
    #[error("{0}")]
    Child(String),
    /// The system does not state the memory of a process.
    #[error("no resident set is told")]
    MissingResidentSet,
    /// The settings that are measured lack a part.
    #[error("no {0}")]
    MissingFixture(&'static str),
    /// A header is longer than a datagram.
    #[error("a header that does not fit")]
    HeaderTooLong,
    /// Entries are longer than a datagram.
    #[error("verdicts that do not fit")]
    EntriesTooLong,
    /// A message is longer than a datagram.
    #[error("a message that does not fit")]
    MessageTooLong,
    /// A page of promises is longer than a message.
    #[error("a page that does not fit")]
    PageTooLong,
    /// The node does not know all of its peers.
    #[error("{known} others are known of {size}")]
    UnknownPeers {
        /// Peers that it knows.
        known: usize,
        /// Nodes of the cluster.
        size: usize,
    },
    /// The keeper did not grant all leases.
    #[error("{granted} names are held of {size}")]
    LeasesNotGranted {
        /// Leases that are granted.
        granted: usize,
        /// Leases that were requested.
        size: usize,
    },
    /// The node's program has no output.
    #[error("nothing is said by the node")]
    NoOutput,
    /// There is no temporary folder.
    #[error("{0}")]
    Folder(reelfall_testbed::Error),
    /// A file or process of the system.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A size that is not a number.
    #[error(transparent)]
    Size(#[from] std::num::ParseIntError),
    /// A figure that is not a number.
    #[error(transparent)]
    Figure(#[from] std::num::ParseFloatError),
    /// Output that is not text.
    #[error(transparent)]
    Output(#[from] std::string::FromUtf8Error),
    /// Settings that are not valid.
    #[error(transparent)]
    Settings(#[from] ConfigErrors),
    /// A key that is too short.
    #[error(transparent)]
    Key(#[from] KeyTooShort),
    /// A lease name that is not valid.
    #[error(transparent)]
    LeaseName(#[from] InvalidLeaseName),
}

/// `main` prints errors this way: those of other packages as they are, and messages in quotes.
impl fmt::Debug for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::Io(source) => source.fmt(formatter),
            Error::Size(source) => source.fmt(formatter),
            Error::Figure(source) => source.fmt(formatter),
            Error::Output(source) => source.fmt(formatter),
            Error::Settings(source) => source.fmt(formatter),
            Error::Key(source) => source.fmt(formatter),
            Error::LeaseName(source) => source.fmt(formatter),
            message => message.to_string().fmt(formatter),
        }
    }
}
