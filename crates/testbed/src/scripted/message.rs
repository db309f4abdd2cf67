//! Minimal HTTP/1.1 message parser for the scripted servers and clients.

use std::io::BufRead;

/// A header of a [`Message`].
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Value, without surrounding white space.
    pub value: String,
}

/// An HTTP message as received.
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    /// Headers, in the order in which they were received.
    pub headers: Vec<Header>,
    /// Body, with the length that `Content-Length` states; empty without that header.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; `None` if the connection ends before it is complete.
    ///
    /// # Panics
    /// Panics if the content length is not a number.
    pub fn read(reader: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(reader)?;
        let length = message.content_length().unwrap_or(0);
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// Reads the head of a message; `None` if the connection ends before it is complete.
    pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
        let start_line = read_line(reader)?;
        let mut headers = Vec::new();
        while let Some((name, value)) = read_line(reader)?.split_once(':') {
            headers.push(Header {
                name: name.to_lowercase(),
                value: value.trim().to_owned(),
            });
        }
        Some(Message {
            start_line,
            headers,
            body: Vec::new(),
        })
    }

    /// The length of the body that the head states, in bytes.
    ///
    /// # Panics
    /// Panics if it is not a number.
    pub fn content_length(&self) -> Option<usize> {
        let length = self.header("content-length")?;
        Some(length.parse().expect("the content length is a number"))
    }

    /// Returns the value of the first header with this name, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|header| header.name == name);
        header.map(|header| header.value.as_str())
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_owned())
}
