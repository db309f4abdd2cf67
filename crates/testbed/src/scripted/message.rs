//! One HTTP message.

use std::io::BufRead;

/// One message as it was received.
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// As many bytes as `Content-Length` states.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; `None` if the connection ends before it is complete.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let start_line = read_line(from)?;
        let mut headers = Vec::new();
        while let Some((name, value)) = read_line(from)?.split_once(':') {
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut message = Message {
            start_line,
            headers,
            body: Vec::new(),
        };
        let length = message.header("content-length");
        let length = length.map_or(0, |length| length.parse().unwrap());
        message.body.resize(length, 0);
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }
}

fn read_line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = from.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_owned())
}
