//! Measures the cost of the control side as fleets grow, and compares it with the budgets.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`scale`] | scale runs: measurements over growing sizes, on sockets and in virtual time |
//! | [`budget`] | the capacity model: resources that each part needs at a size, compared with its budget, and the pages that show them |

pub mod budget;
pub mod scale;
