//! The media type of an answer, and the status that goes with it.
//!
//! Sources: GraphQL over HTTP, "Media Types", "Request" and "Response"; RFC 9110 section 12.5.1 (Accept) and 8.3
//! (Content-Type).

use crate::{Fault, FaultKind};

/// Media types of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Media {
    /// `application/graphql-response+json`: the status tells how the request went.
    Response,
    /// `application/json`: a well-formed answer is 200, whatever it says.
    Json,
}

impl Media {
    /// The value of `Content-Type`.
    pub fn content_type(self) -> &'static str {
        match self {
            Media::Response => "application/graphql-response+json; charset=utf-8",
            Media::Json => "application/json; charset=utf-8",
        }
    }
}

/// The media type that a client wants most, of the two; by default `application/json`, as clients that state none know
/// no other.
///
/// # Errors
/// If it takes neither.
pub fn negotiate(accept: Option<&str>) -> Result<Media, Fault> {
    let Some(accept) = accept.filter(|a| !a.trim().is_empty()) else {
        return Ok(Media::Json);
    };
    let quality = |name: &str| {
        // The most special range that fits tells the quality.
        let fits = accept.split(',').filter_map(|range| {
            let mut parts = range.split(';').map(str::trim);
            let kind = parts.next()?.to_ascii_lowercase();
            let special = match kind.as_str() {
                k if k == name => 2,
                "application/*" => 1,
                "*/*" => 0,
                _ => return None,
            };
            let mut q = 1.0;
            for parameter in parts {
                let (key, value) = parameter.split_once('=').unwrap_or((parameter, ""));
                let value = value.trim().trim_matches('"');
                match key.trim().to_ascii_lowercase().as_str() {
                    "q" => {
                        q = value
                            .parse::<f64>()
                            .ok()
                            .filter(|q| (0.0..=1.0).contains(q))?
                    }
                    "charset" if !value.eq_ignore_ascii_case("utf-8") => return None,
                    _ => {}
                }
            }
            Some((special, q))
        });
        fits.max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
    };
    let json = quality("application/json");
    let response = quality("application/graphql-response+json");
    let worth = |q: Option<(u8, f64)>| q.map_or(0.0, |(_, q)| q);
    // Named beats a wildcard at the same quality; with wildcards alone the older type is meant.
    let named = |q: Option<(u8, f64)>| q.is_some_and(|(special, _)| special == 2);
    match (worth(response), worth(json)) {
        (r, j) if r <= 0.0 && j <= 0.0 => Err(Fault::new(
            FaultKind::NotAcceptable,
            "answers are application/graphql-response+json or application/json, in UTF-8",
        )),
        (r, j) if r > j || (r == j && named(response)) => Ok(Media::Response),
        _ => Ok(Media::Json),
    }
}

/// Checks the media type of a body.
///
/// # Errors
/// If it is not `application/json` in UTF-8.
pub fn check_body(content_type: Option<&str>) -> Result<(), Fault> {
    let fault = |mistake: &str| Err(Fault::new(FaultKind::MediaType, mistake));
    let Some(content_type) = content_type else {
        return fault("no Content-Type: send application/json");
    };
    let mut parts = content_type.split(';').map(str::trim);
    if !parts
        .next()
        .is_some_and(|kind| kind.eq_ignore_ascii_case("application/json"))
    {
        return fault("the body has to be application/json");
    }
    for parameter in parts {
        if let Some((key, value)) = parameter.split_once('=') {
            let utf8 = value.trim().trim_matches('"').eq_ignore_ascii_case("utf-8");
            if key.trim().eq_ignore_ascii_case("charset") && !utf8 {
                return fault("the body has to be in UTF-8");
            }
        }
    }
    Ok(())
}

/// The status of an answer to a request with a fault.
pub fn status(media: Media, kind: FaultKind) -> u16 {
    match (kind, media) {
        (FaultKind::Method, _) => 405,
        (FaultKind::MediaType, _) => 415,
        (FaultKind::NotAcceptable, _) => 406,
        (FaultKind::Request, _) => 400,
        // The protocol of persisted queries: whoever hears it sends the document, whatever the status; caches keep
        // nothing of either.
        (FaultKind::PersistedQueryNotFound, _) => 200,
        // "SHOULD use 200 even if errors" of a well-formed request, where the client knows `application/json` alone.
        (_, Media::Json) => 200,
        (_, Media::Response) => 400,
    }
}
