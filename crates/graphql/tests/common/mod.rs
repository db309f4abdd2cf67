//! What several tests of this package share.

pub mod naive;
