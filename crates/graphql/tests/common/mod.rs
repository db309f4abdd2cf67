//! Code shared by several tests of this package.

pub mod naive;
