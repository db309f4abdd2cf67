//! The HTTP form of a management request. Used by [`super::ManagementRequest`] and [`super::FleetRequest`].

/// The method and path of an HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpTarget {
    /// The method.
    pub method: &'static str,
    /// The path and the query.
    pub path: String,
}

impl HttpTarget {
    pub(super) fn get(path: impl Into<String>) -> Self {
        HttpTarget {
            method: "GET",
            path: path.into(),
        }
    }

    pub(super) fn post(path: impl Into<String>) -> Self {
        HttpTarget {
            method: "POST",
            path: path.into(),
        }
    }
}
