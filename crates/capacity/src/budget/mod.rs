//! What the system needs at a given size, worked out from measured inputs, beside what it may spend.
//!
//! | module | what belongs there |
//! | --- | --- |
//! | [`kind`] | how well a figure is known |
//! | [`inputs`] | figures that were measured, worked out or assumed elsewhere, read from JSON |
//! | [`mechanism`] | how the mechanism for changes of settings fares, as the emulator plays it |
//! | [`model`] | the formulas |
//! | [`moments`] | the worst moments |
//! | [`page`] | the tables between the markers of a page |
//! | [`ranking`] | what does not fit, by how far |
//! | [`roles`] | what each role needs at three sizes |
//! | [`scale_page`] | the tables of the page of scale runs |
//! | [`table`] | rows, units and verdicts as Markdown |
//!
//! `docs/CAPACITY.md` and `docs/measurements/scale.md` are made of these; `cargo run -p reelfall-capacity --example capacity --
//! --write` writes their tables.

pub mod inputs;
pub mod kind;
pub mod mechanism;
pub mod model;
pub mod moments;
pub mod page;
pub mod ranking;
pub mod roles;
pub mod scale_page;
pub mod table;

use inputs::{Inputs, Measured};
use model::Costs;
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

/// The page, from the root of the repository.
pub const PAGE: &str = "docs/CAPACITY.md";
/// The page of scale runs, from the root of the repository.
pub const SCALE_PAGE: &str = "docs/measurements/scale.md";
/// The inputs, from the root of the repository.
pub const INPUTS: &str = "docs/measurements/capacity.json";
/// The folder of scale runs, from the root of the repository.
pub const SCALE_RUNS: &str = "docs/measurements/scale";

/// Why tables can't be made.
#[derive(Debug)]
pub enum Fault {
    /// A file can't be read or written.
    File(PathBuf, std::io::Error),
    /// A file is not what it should be.
    Form(PathBuf, serde_json::Error),
    /// A file is of another format.
    Schema {
        /// The file.
        path: PathBuf,
        /// The schema that it states.
        found: u32,
        /// The schema that this program reads.
        known: u32,
    },
    /// A formula needs an input that is not there.
    Missing(&'static str),
    /// The page has no such marker, or no end after it.
    NoPlace(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::File(path, e) => write!(f, "{}: {e}", path.display()),
            Fault::Form(path, e) => write!(f, "{}: {e}", path.display()),
            Fault::Schema { path, found, known } => {
                write!(f, "{}: schema {found}, {known} is known", path.display())
            }
            Fault::Missing(input) => write!(f, "there is no input `{input}`"),
            Fault::NoPlace(table) => write!(f, "the page has no place for the table `{table}`"),
        }
    }
}

impl std::error::Error for Fault {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Fault::File(_, e) => Some(e),
            Fault::Form(_, e) => Some(e),
            Fault::Schema { .. } | Fault::Missing(_) | Fault::NoPlace(_) => None,
        }
    }
}

/// A page and what its tables have to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The page, from the root of the repository.
    pub file: &'static str,
    /// Its tables by their names.
    pub tables: BTreeMap<&'static str, String>,
}

/// All pages.
///
/// # Errors
/// If an input can't be read or is missing.
pub fn pages(root: &Path) -> Result<[Page; 2], Fault> {
    let scale = scale_page::tables(&root.join(SCALE_RUNS))?;
    Ok([
        Page {
            file: PAGE,
            tables: tables(root)?,
        },
        Page {
            file: SCALE_PAGE,
            tables: scale,
        },
    ])
}

/// All tables of the page, by their names.
///
/// # Errors
/// If an input can't be read or is missing.
pub fn tables(root: &Path) -> Result<BTreeMap<&'static str, String>, Fault> {
    let inputs = Inputs::read(&root.join(INPUTS))?;
    let Measured { runs, slopes } = Measured::read(&root.join(SCALE_RUNS))?;
    let costs = Costs::of(&inputs)?;
    let mut tables = roles::tables(&costs, &runs);
    tables.insert("ranking", ranking::table(&costs));
    tables.insert("moments", moments::table(&costs, &runs));
    tables.insert("scale", inputs::runs_table(&inputs::without_points(&runs)));
    tables.insert("slopes", inputs::slopes_table(&slopes));
    tables.insert("mechanism", mechanism::Plays::read(root)?.table());
    tables.insert("inputs", inputs.table());
    Ok(tables)
}
