//! Validates the target of a request, so that its host and path have the same meaning for every implementation.
//!
//! Specifications: RFC 9112 section 3.2 (request target and `Host`), RFC 9110 section 4.2.4 (no user information),
//! RFC 3986 sections 3.2, 3.3 and 6.2.2 (authority, path, equivalence).

use std::borrow::Cow;
use thiserror::Error;

/// Maximum length of a host name, in bytes (RFC 1035 section 2.3.4, without the root label).
pub const MAX_HOST_LEN: usize = 253;

/// Maximum length of a label of a host name, in bytes (RFC 1035 section 2.3.4).
const MAX_LABEL_LEN: usize = 63;

/// Why the target of a request is rejected. A client gets the text as the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TargetError {
    /// The `Host` header is missing (RFC 9112 section 3.2).
    #[error("no Host")]
    MissingHost,
    /// There are several `Host` headers (RFC 9112 section 3.2).
    #[error("more than one Host")]
    MultipleHosts,
    /// The host is empty.
    #[error("an empty Host")]
    EmptyHost,
    /// The host is neither a name nor an address, or it ends in a dot.
    #[error("Host is no name or address")]
    InvalidHost,
    /// The port is not a number from 0 to 65535.
    #[error("the port is none")]
    InvalidPort,
    /// The authority has user information before the host (RFC 9110 section 4.2.4).
    #[error("user information in the authority")]
    UserInfo,
    /// The scheme of the absolute target is not supported.
    #[error("the scheme is not served here")]
    UnsupportedScheme,
    /// The authority of the absolute target differs from the `Host` header.
    #[error("target and Host differ")]
    HostMismatch,
    /// The path does not begin with a slash.
    #[error("no absolute path")]
    NotAbsolutePath,
    /// A segment is `.` or `..`: literally, percent-encoded, or followed by a `;`.
    #[error("a dot segment in the path")]
    DotSegment,
    /// A segment other than the last is empty.
    #[error("an empty segment in the path")]
    EmptySegment,
    /// The path contains `%2f`, `%5c` or a backslash, which some implementations treat as a separator.
    #[error("a hidden separator in the path")]
    AmbiguousSeparator,
    /// An unreserved character is percent-encoded; some implementations decode it (RFC 3986 section 6.2.2.2).
    #[error("a needless escape in the path")]
    UnnecessaryEscape,
    /// A `%` is not followed by two hexadecimal digits.
    #[error("half an escape in the path")]
    InvalidEscape,
    /// The path contains a space, a character outside US-ASCII, or a control character, literal or percent-encoded.
    #[error("a character that no path has")]
    InvalidCharacter,
}

/// The host and path of a valid target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target<'a> {
    /// The host in lower case, without its port.
    pub host: Cow<'a, str>,
    /// The path as it was received.
    pub path: &'a str,
}

/// The target of a request as it was received, not validated.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReceivedTarget<'a> {
    /// The scheme, if the target is absolute.
    pub scheme: Option<&'a str>,
    /// The authority, if the target is absolute.
    pub authority: Option<&'a str>,
    /// The path, without its query.
    pub path: &'a str,
    /// The value of the first `Host` header.
    pub host: Option<&'a [u8]>,
    /// Whether there is more than one `Host` header.
    pub has_multiple_hosts: bool,
}

/// Validates a target.
///
/// Requests are forwarded unchanged, so a target that this node and a server could interpret differently is rejected
/// rather than normalized.
///
/// # Errors
/// The first problem that is found; the caller responds with status 400.
pub fn parse<'a>(received: ReceivedTarget<'a>) -> Result<Target<'a>, TargetError> {
    if received.has_multiple_hosts {
        return Err(TargetError::MultipleHosts);
    }
    let host_header = std::str::from_utf8(received.host.ok_or(TargetError::MissingHost)?)
        .map_err(|_| TargetError::InvalidHost)?;
    let host_header = host_header.trim_matches([' ', '\t']);
    if received
        .scheme
        .is_some_and(|s| !s.eq_ignore_ascii_case("http"))
    {
        return Err(TargetError::UnsupportedScheme);
    }
    let host = parse_host(host_header)?;
    if let Some(authority) = received.authority {
        // By RFC 9112 section 3.2.2 the target takes precedence, but not every implementation follows that rule.
        if !authority.eq_ignore_ascii_case(host_header) {
            // If the authority is invalid, its error is more specific.
            self::parse_host(authority)?;
            return Err(TargetError::HostMismatch);
        }
    }
    check_path(received.path)?;
    Ok(Target {
        host,
        path: received.path,
    })
}

/// Extracts the host from an authority, in lower case and without the port.
///
/// # Errors
/// If the host or the port is invalid.
pub fn parse_host(authority: &str) -> Result<Cow<'_, str>, TargetError> {
    if authority.contains('@') {
        return Err(TargetError::UserInfo);
    }
    if authority.is_empty() {
        return Err(TargetError::EmptyHost);
    }
    let Authority { host, port } = split_port(authority)?;
    if let Some(port) = port {
        let is_number = !port.is_empty() && port.bytes().all(|b| b.is_ascii_digit());
        if !is_number || port.parse::<u16>().is_err() {
            return Err(TargetError::InvalidPort);
        }
    }
    if host.is_empty() {
        return Err(TargetError::EmptyHost);
    }
    if !host.starts_with('[') && !is_host_name(host) {
        return Err(TargetError::InvalidHost);
    }
    Ok(if host.bytes().any(|b| b.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    })
}

/// The parts of an authority. Only an IPv6 address, which keeps its brackets, is validated already.
struct Authority<'a> {
    host: &'a str,
    port: Option<&'a str>,
}

fn split_port(authority: &str) -> Result<Authority<'_>, TargetError> {
    let Some(rest) = authority.strip_prefix('[') else {
        return Ok(match authority.split_once(':') {
            Some((host, port)) => Authority {
                host,
                port: Some(port),
            },
            None => Authority {
                host: authority,
                port: None,
            },
        });
    };
    let (address, suffix) = rest.split_once(']').ok_or(TargetError::InvalidHost)?;
    address
        .parse::<std::net::Ipv6Addr>()
        .map_err(|_| TargetError::InvalidHost)?;
    let host = &authority[..address.len() + 2];
    match suffix.strip_prefix(':') {
        Some(port) => Ok(Authority {
            host,
            port: Some(port),
        }),
        None if suffix.is_empty() => Ok(Authority { host, port: None }),
        None => Err(TargetError::InvalidHost),
    }
}

/// Whether a text consists of labels of letters, digits, `-` and `_`, as host names and IPv4 addresses do.
pub fn is_host_name(text: &str) -> bool {
    let is_label = |label: &str| {
        !label.is_empty()
            && label.len() <= MAX_LABEL_LEN
            && label
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
    };
    text.len() <= MAX_HOST_LEN && text.split('.').all(is_label)
}

/// Validates a path.
///
/// # Errors
/// The first reason why implementations could interpret it differently.
pub fn check_path(path: &str) -> Result<(), TargetError> {
    let rest = path.strip_prefix('/').ok_or(TargetError::NotAbsolutePath)?;
    let last = rest.split('/').count() - 1;
    for (index, segment) in rest.split('/').enumerate() {
        if segment.is_empty() && index < last {
            return Err(TargetError::EmptySegment);
        }
        check_segment(segment)?;
    }
    Ok(())
}

/// Validates a segment of a path.
fn check_segment(segment: &str) -> Result<(), TargetError> {
    let mut bytes = segment.bytes();
    let (mut dots, mut others) = (0, 0);
    let (mut has_parameters, mut has_unnecessary_escape) = (false, false);
    while let Some(byte) = bytes.next() {
        let decoded = match byte {
            b'%' => {
                let decoded = decode_escape(&mut bytes)?;
                has_unnecessary_escape |= is_unreserved(decoded);
                decoded
            }
            b'\\' => return Err(TargetError::AmbiguousSeparator),
            _ if byte.is_ascii_control() || !byte.is_ascii() || byte == b' ' => {
                return Err(TargetError::InvalidCharacter)
            }
            _ => byte,
        };
        // Some servers truncate a segment at `;` after they have validated it, so that `..;` becomes `..`.
        has_parameters |= decoded == b';';
        match decoded {
            _ if has_parameters => {}
            b'.' => dots += 1,
            _ => others += 1,
        }
    }
    if others == 0 && (dots == 1 || dots == 2) {
        return Err(TargetError::DotSegment);
    }
    if has_unnecessary_escape {
        return Err(TargetError::UnnecessaryEscape);
    }
    Ok(())
}

/// Decodes the two hexadecimal digits after a `%`.
fn decode_escape(bytes: &mut std::str::Bytes) -> Result<u8, TargetError> {
    let high = bytes
        .next()
        .and_then(hex_digit)
        .ok_or(TargetError::InvalidEscape)?;
    let low = bytes
        .next()
        .and_then(hex_digit)
        .ok_or(TargetError::InvalidEscape)?;
    let decoded = high * 16 + low;
    if matches!(decoded, b'/' | b'\\') {
        return Err(TargetError::AmbiguousSeparator);
    }
    if decoded.is_ascii_control() {
        return Err(TargetError::InvalidCharacter);
    }
    Ok(decoded)
}

/// Whether a character is unreserved, so that it is never percent-encoded (RFC 3986 section 2.3).
fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).map(|digit| digit as u8)
}
