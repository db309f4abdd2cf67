//! Routes and limits.
