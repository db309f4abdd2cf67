//! Checks a client's bytes before the HTTP library parses them: only complete, unambiguously framed heads are
//! forwarded, each followed by the bytes of its body. `client::io` feeds a [`RequestFilter`] from each client's socket.

use super::body::MAX_STREAMED_BYTES;
use super::MAX_REQUEST_HEAD_BYTES;
use bytes::BytesMut;
use hyper::StatusCode;
use std::ops::ControlFlow;
use tokio::io::ReadBuf;

/// The methods that are served without routes, each with the space that follows it.
pub const METHODS: [&[u8]; 2] = [b"GET ", b"POST "];
/// The methods that are served with routes.
pub const ROUTED_METHODS: [&[u8]; 5] = [b"GET ", b"POST ", b"PUT ", b"PATCH ", b"DELETE "];
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Capacity that is reserved for each read from the socket, in bytes.
const READ_BYTES: usize = 4096;

/// What the next bytes of a connection belong to.
enum Stage {
    /// The head of a request, which is not complete yet.
    Head,
    /// A complete head and its body, of which this many bytes remain to be forwarded.
    Forward(u64),
    /// A chunked body, whose end only the HTTP library finds. All bytes are forwarded, and the connection is closed
    /// after the answer.
    Chunked,
}

/// Prevents request smuggling: rejects requests whose end two parsers could find at different positions, and input that
/// is not a request. Examples are `Content-Length` together with `Transfer-Encoding`, lengths that are repeated, signed
/// or too large, endless heads, and garbage after a body. Where the next request would begin is unknown then, so the
/// connection is closed.
pub struct RequestFilter {
    methods: &'static [&'static [u8]],
    stage: Stage,
    /// Bytes that were received and not forwarded yet.
    buffer: BytesMut,
    /// How many bytes at the start of `buffer` are known to contain no complete head.
    scanned: usize,
}

impl RequestFilter {
    /// A filter that forwards requests with these methods.
    pub fn new(methods: &'static [&'static [u8]]) -> Self {
        RequestFilter {
            methods,
            stage: Stage::Head,
            buffer: BytesMut::new(),
            scanned: 0,
        }
    }

    /// The buffer to read the next bytes from the socket into. Its size is bounded, since its content is forwarded or
    /// rejected before more is read.
    pub fn read_buffer(&mut self) -> &mut BytesMut {
        self.buffer.reserve(READ_BYTES);
        &mut self.buffer
    }

    /// Whether a request has begun and is not complete.
    pub fn is_mid_request(&self) -> bool {
        match self.stage {
            Stage::Head => !self.buffer.is_empty(),
            Stage::Forward(left) => left > 0,
            Stage::Chunked => true,
        }
    }

    /// Whether every request whose head was forwarded has been forwarded completely.
    pub fn is_between_requests(&self) -> bool {
        matches!(self.stage, Stage::Head)
    }

    /// How many bytes are buffered.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Discards what is buffered.
    pub fn clear(&mut self) {
        self.buffer = BytesMut::new();
    }

    /// Forwards checked bytes to `destination`; `Continue` if more has to be read first.
    ///
    /// # Errors
    /// The status of the answer, if the request is rejected.
    pub fn forward(&mut self, destination: &mut ReadBuf) -> Result<ControlFlow<()>, StatusCode> {
        if let Stage::Head = self.stage {
            self.stage = match self.inspect_head()? {
                Some(stage) => stage,
                None => return Ok(ControlFlow::Continue(())),
            };
        }
        let remaining = match self.stage {
            Stage::Forward(remaining) => usize::try_from(remaining).unwrap_or(usize::MAX),
            _ => usize::MAX,
        };
        let length = remaining
            .min(self.buffer.len())
            .min(destination.remaining());
        if length == 0 {
            return Ok(ControlFlow::Continue(()));
        }
        destination.put_slice(&self.buffer.split_to(length));
        if let Stage::Forward(remaining) = &mut self.stage {
            *remaining -= length as u64;
            if *remaining == 0 {
                self.stage = Stage::Head;
                self.scanned = 0;
            }
        }
        if self.buffer.is_empty() {
            // Idle connections hold no buffer.
            self.buffer = BytesMut::new();
        }
        Ok(ControlFlow::Break(()))
    }

    /// The stage that follows the head at the start of the buffer; `None` if that is not complete.
    fn inspect_head(&mut self) -> Result<Option<Stage>, StatusCode> {
        let unscanned = self.buffer.get(self.scanned..).unwrap_or_default();
        // Only the end of a line can complete a head; until one is received, checking the method is enough.
        let may_be_complete = unscanned.contains(&b'\n');
        self.scanned = self.buffer.len();
        self.check_method(&self.buffer)?;
        let head = if may_be_complete {
            parse_head(&self.buffer)?
        } else {
            None
        };
        let Some(head) = head else {
            return if self.buffer.len() > MAX_REQUEST_HEAD_BYTES {
                Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
            } else {
                Ok(None)
            };
        };
        let Framing::Length(body_length) = head.framing else {
            return Ok(Some(Stage::Chunked));
        };
        let next_request = head
            .length
            .checked_add(body_length)
            .and_then(|end| self.buffer.get(end..));
        if let Some(next_request) = next_request {
            self.check_method(next_request)?;
        }
        Ok(Some(Stage::Forward((head.length + body_length) as u64)))
    }

    /// Checks that these bytes are the start of a request with a served method, as far as they go.
    fn check_method(&self, start: &[u8]) -> Result<(), StatusCode> {
        // HTTP servers ignore empty lines before a request.
        let start = start.trim_ascii_start();
        let is_served = self.methods.iter().any(|method| {
            method
                .iter()
                .zip(start)
                .all(|(expected, received)| expected == received)
        });
        is_served.then_some(()).ok_or(StatusCode::BAD_REQUEST)
    }
}

/// How the end of a body is found.
enum Framing {
    Length(usize),
    Chunked,
}

/// A complete head of a request.
struct Head {
    /// Its length in bytes.
    length: usize,
    framing: Framing,
}

/// Parses the head at the start of the buffer; `None` if it is not complete.
fn parse_head(buffer: &[u8]) -> Result<Option<Head>, StatusCode> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => {
            return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
        }
        Err(_) => return Err(StatusCode::BAD_REQUEST),
    };
    let framing = framing(request.headers)?;
    Ok(Some(Head { length, framing }))
}

/// The framing that the headers of a request state, if it is unambiguous.
fn framing(headers: &[httparse::Header]) -> Result<Framing, StatusCode> {
    let values = |name: &'static str| {
        headers
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value)
    };
    let mut lengths = values("content-length");
    let mut codings = values("transfer-encoding");
    let (length, coding) = (lengths.next(), codings.next());
    if lengths.next().is_some() || codings.next().is_some() {
        return Err(StatusCode::BAD_REQUEST);
    }
    match (length, coding) {
        (None, None) => Ok(Framing::Length(0)),
        (Some(length), None) => parse_length(length).map(Framing::Length),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
        _ => Err(StatusCode::BAD_REQUEST),
    }
}

/// Parses a length that consists of digits only, and is at most [`MAX_STREAMED_BYTES`].
fn parse_length(text: &[u8]) -> Result<usize, StatusCode> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return Err(StatusCode::BAD_REQUEST);
    }
    let length = std::str::from_utf8(text)
        .ok()
        .and_then(|text| text.parse::<usize>().ok());
    length
        .filter(|length| *length as u64 <= MAX_STREAMED_BYTES)
        .ok_or(StatusCode::PAYLOAD_TOO_LARGE)
}
