//! What the control side of many nodes costs as sizes grow, and whether that fits.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`scale`] | scale runs: measurements over growing sizes, on sockets and in virtual time |
//! | [`budget`] | the capacity model: what each part needs at a size, beside its budget, and the pages that show it |

pub mod budget;
pub mod scale;
