//! What a client's connection lets through to the HTTP library: whole, plainly framed heads, and after each just
//! the bytes that belong to it.

use super::body::FLOW_MOST;
use super::MAX_REQUEST_HEAD_BYTES;
use bytes::BytesMut;
use hyper::StatusCode;
use std::ops::ControlFlow;
use tokio::io::ReadBuf;

/// The methods that a class can have on the platform.
pub const METHODS: [&[u8]; 2] = [b"GET ", b"POST "];
/// The methods that a route can have.
pub const METHODS_ROUTED: [&[u8]; 5] = [b"GET ", b"POST ", b"PUT ", b"PATCH ", b"DELETE "];
/// Most headers of a request.
const HEADERS_MOST: usize = 64;

/// Where in the stream of requests a connection stands.
enum Stage {
    /// A head is awaited or coming.
    Head,
    /// So many bytes of a request go through.
    Forward(u64),
    /// All goes through: a chunked body, whose end only the library knows. Such a connection ends after it.
    Chunked,
}

/// Guards against requests whose end two readers could see in different places, and against what is no request
/// at all: a second one hidden behind `Content-Length` beside `Transfer-Encoding`, lengths that are repeated,
/// signed, no number or too large, heads without end, noise, and noise behind a body that is stated too short.
/// Such a connection is of no use from there on: what follows can't be told apart, so it is closed.
///
/// It ought to catch other ways of smuggling too, since nothing passes that is not understood here first. It does
/// harm where a client uses methods or heads larger than this node knows, or says one length twice.
pub struct Gate {
    methods: &'static [&'static [u8]],
    stage: Stage,
    held: BytesMut,
    /// Bytes in `held` that hold no whole head.
    scanned: usize,
}

impl Gate {
    pub fn new(methods: &'static [&'static [u8]]) -> Self {
        Gate {
            methods,
            stage: Stage::Head,
            held: BytesMut::new(),
            scanned: 0,
        }
    }

    /// Room for what comes from the socket next; bounded, for what is held is let through or refused first.
    pub fn read_buffer(&mut self) -> &mut BytesMut {
        self.held.reserve(4096);
        &mut self.held
    }

    /// A request has begun and is not yet all here.
    pub fn is_mid_request(&self) -> bool {
        match self.stage {
            Stage::Head => !self.held.is_empty(),
            Stage::Forward(left) => left > 0,
            Stage::Chunked => true,
        }
    }

    /// All of the requests before is handed over.
    pub fn is_between_requests(&self) -> bool {
        matches!(self.stage, Stage::Head)
    }

    /// Bytes that wait here.
    pub fn buffered(&self) -> usize {
        self.held.len()
    }

    /// Drops what waits here: nothing more can go through.
    pub fn clear(&mut self) {
        self.held = BytesMut::new();
    }

    /// Hands over what may go through; `Continue` if more has to come first.
    pub fn forward(&mut self, to: &mut ReadBuf) -> Result<ControlFlow<()>, StatusCode> {
        if let Stage::Head = self.stage {
            self.stage = match self.head()? {
                Some(stage) => stage,
                None => return Ok(ControlFlow::Continue(())),
            };
        }
        let left = match self.stage {
            Stage::Forward(left) => usize::try_from(left).unwrap_or(usize::MAX),
            _ => usize::MAX,
        };
        let n = left.min(self.held.len()).min(to.remaining());
        if n == 0 {
            return Ok(ControlFlow::Continue(()));
        }
        to.put_slice(&self.held.split_to(n));
        if let Stage::Forward(left) = &mut self.stage {
            *left -= n as u64;
            if *left == 0 {
                self.stage = Stage::Head;
                self.scanned = 0;
            }
        }
        if self.held.is_empty() {
            // An idle connection holds no buffer.
            self.held = BytesMut::new();
        }
        Ok(ControlFlow::Break(()))
    }

    /// How far the head at the front reaches, if it is whole.
    fn head(&mut self) -> Result<Option<Stage>, StatusCode> {
        let new = self.held.get(self.scanned..).unwrap_or_default();
        // Only a line's end can complete a head; until one comes, looking at the first word is enough.
        let complete = new.contains(&b'\n');
        self.scanned = self.held.len();
        self.begins(&self.held)?;
        let parsed = if complete { parse(&self.held)? } else { None };
        let Some((head, framing)) = parsed else {
            return if self.held.len() > MAX_REQUEST_HEAD_BYTES {
                Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
            } else {
                Ok(None)
            };
        };
        let Framing::Length(body) = framing else {
            return Ok(Some(Stage::Chunked));
        };
        if let Some(behind) = head.checked_add(body).and_then(|end| self.held.get(end..)) {
            self.begins(behind)?;
        }
        Ok(Some(Stage::Forward((head + body) as u64)))
    }

    /// Whether a request can begin like this.
    fn begins(&self, with: &[u8]) -> Result<(), StatusCode> {
        // An empty line before a request is passed over by every server.
        let with = with.trim_ascii_start();
        let fits = self
            .methods
            .iter()
            .any(|m| m.iter().zip(with).all(|(a, b)| a == b));
        fits.then_some(()).ok_or(StatusCode::BAD_REQUEST)
    }
}

enum Framing {
    Length(usize),
    Chunked,
}

/// The length of a whole head and what its body is said to be.
fn parse(held: &[u8]) -> Result<Option<(usize, Framing)>, StatusCode> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(held) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => {
            return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
        }
        Err(_) => return Err(StatusCode::BAD_REQUEST),
    };
    let named = |name: &str| {
        let mut values = request
            .headers
            .iter()
            .filter(|h| h.name.eq_ignore_ascii_case(name));
        let first = values.next().map(|h| h.value);
        (first, values.next().is_some())
    };
    let framing = match (named("content-length"), named("transfer-encoding")) {
        ((None, _), (None, _)) => Framing::Length(0),
        ((Some(length), false), (None, _)) => Framing::Length(number(length)?),
        ((None, _), (Some(coding), false)) if coding.eq_ignore_ascii_case(b"chunked") => {
            Framing::Chunked
        }
        _ => return Err(StatusCode::BAD_REQUEST),
    };
    Ok(Some((head, framing)))
}

/// A length is digits and nothing else.
fn number(text: &[u8]) -> Result<usize, StatusCode> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return Err(StatusCode::BAD_REQUEST);
    }
    let length = std::str::from_utf8(text)
        .ok()
        .and_then(|t| t.parse::<usize>().ok());
    length
        .filter(|n| *n as u64 <= FLOW_MOST)
        .ok_or(StatusCode::PAYLOAD_TOO_LARGE)
}
