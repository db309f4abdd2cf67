//! Negotiates the media type of a response, validates that of a request, and chooses the status of an error response.
//!
//! Sources: GraphQL over HTTP, "Media Types", "Request" and "Response"; RFC 9110 section 12.5.1 (Accept) and 8.3
//! (Content-Type).

use crate::{GraphQlError, GraphQlErrorKind};

/// The media type of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Media {
    /// `application/graphql-response+json`: the status depends on the result.
    Response,
    /// `application/json`: the status of a well-formed response is 200, whatever the result.
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

/// Negotiates the media type of a response. Without `Accept` it is `application/json`, since such clients predate the
/// newer type.
///
/// # Errors
/// If the client accepts neither type.
pub fn negotiate(accept: Option<&str>) -> Result<Media, GraphQlError> {
    let Some(accept) = accept.filter(|accept| !accept.trim().is_empty()) else {
        return Ok(Media::Json);
    };
    let json = Preference::of("application/json", accept);
    let response = Preference::of("application/graphql-response+json", accept);
    if json.quality <= 0.0 && response.quality <= 0.0 {
        return Err(GraphQlError::new(
            GraphQlErrorKind::NotAcceptable,
            "answers are application/graphql-response+json or application/json, in UTF-8",
        ));
    }
    // At equal quality, the newer type is used only if the client names it: a client that sends wildcards may not know
    // it.
    let is_preferred = response.quality > json.quality
        || (response.quality == json.quality && response.precision == Precision::Type);
    Ok(if is_preferred {
        Media::Response
    } else {
        Media::Json
    })
}

/// How precisely a range of `Accept` matches a media type, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Precision {
    /// `*/*`.
    Any,
    /// `application/*`.
    Subtypes,
    /// The type itself.
    Type,
}

/// A client's preference for a media type, from its `Accept` header.
#[derive(Clone, Copy, Debug)]
struct Preference {
    precision: Precision,
    quality: f64,
}

impl Preference {
    const NOT_ACCEPTED: Preference = Preference {
        precision: Precision::Any,
        quality: 0.0,
    };

    /// The preference by the most precise range that matches a media type (RFC 9110 section 12.5.1).
    fn of(media_type: &str, accept: &str) -> Preference {
        accept
            .split(',')
            .filter_map(|range| Preference::by_range(media_type, range))
            .max_by(|a, b| {
                let by_precision = a.precision.cmp(&b.precision);
                by_precision.then(a.quality.total_cmp(&b.quality))
            })
            .unwrap_or(Preference::NOT_ACCEPTED)
    }

    /// The preference by one range; `None` if it is invalid or does not match.
    fn by_range(media_type: &str, range: &str) -> Option<Preference> {
        let mut parts = range.split(';').map(str::trim);
        let pattern = parts.next()?.to_ascii_lowercase();
        let precision = match pattern.as_str() {
            pattern if pattern == media_type => Precision::Type,
            "application/*" => Precision::Subtypes,
            "*/*" => Precision::Any,
            _ => return None,
        };
        let mut quality = 1.0;
        for parameter in parts {
            let (key, value) = parameter.split_once('=').unwrap_or((parameter, ""));
            let value = value.trim().trim_matches('"');
            match key.trim().to_ascii_lowercase().as_str() {
                "q" => quality = parse_quality(value)?,
                "charset" if !value.eq_ignore_ascii_case("utf-8") => return None,
                _ => {}
            }
        }
        Some(Preference { precision, quality })
    }
}

fn parse_quality(value: &str) -> Option<f64> {
    let quality = value.parse::<f64>().ok()?;
    (0.0..=1.0).contains(&quality).then_some(quality)
}

/// Validates the media type of the body of a request.
///
/// # Errors
/// If it is not `application/json` in UTF-8.
pub fn check_body(content_type: Option<&str>) -> Result<(), GraphQlError> {
    let error = |message: &str| Err(GraphQlError::new(GraphQlErrorKind::MediaType, message));
    let Some(content_type) = content_type else {
        return error("no Content-Type: send application/json");
    };
    let mut parts = content_type.split(';').map(str::trim);
    let is_json = parts
        .next()
        .is_some_and(|media_type| media_type.eq_ignore_ascii_case("application/json"));
    if !is_json {
        return error("the body has to be application/json");
    }
    for parameter in parts {
        if let Some((key, value)) = parameter.split_once('=') {
            let is_utf8 = value.trim().trim_matches('"').eq_ignore_ascii_case("utf-8");
            if key.trim().eq_ignore_ascii_case("charset") && !is_utf8 {
                return error("the body has to be in UTF-8");
            }
        }
    }
    Ok(())
}

/// The status of the response to an invalid request.
pub fn status(media: Media, kind: GraphQlErrorKind) -> u16 {
    match (kind, media) {
        (GraphQlErrorKind::Method, _) => 405,
        (GraphQlErrorKind::MediaType, _) => 415,
        (GraphQlErrorKind::NotAcceptable, _) => 406,
        (GraphQlErrorKind::Request, _) => 400,
        // By the protocol of persisted queries, clients then send the document, whatever the status. Caches store
        // the response with neither status.
        (GraphQlErrorKind::PersistedQueryNotFound, _) => 200,
        // GraphQL over HTTP: a server SHOULD use 200 for a well-formed request, even if there are errors.
        (_, Media::Json) => 200,
        (_, Media::Response) => 400,
    }
}
