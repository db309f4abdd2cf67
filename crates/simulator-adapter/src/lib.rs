//! The decision module on the simulator's wire: JSON lines on standard input and output. No decision is made here.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `input` | the lines that come in, with the field names of the protocol, and the events that they stand for |
//! | `output` | the lines that go out |
//! | `instance` | one hosted balancer, with the names that it was given |
//! | `host` | all hosted balancers, and the batches of lines |

mod host;
mod input;
mod instance;
mod output;

use host::{Host, Progress};
use input::InputError;
use std::io::{self, BufRead, Write};
use thiserror::Error;

/// Why the adapter stops.
#[derive(Debug, Error)]
#[error("line {line}: {cause}")]
pub struct AdapterError {
    /// The number of the line, from 1.
    pub line: u64,
    /// What is wrong with it.
    #[source]
    pub cause: LineError,
}

/// What is wrong with a line.
#[derive(Debug, Error)]
pub enum LineError {
    /// It could not be read, or the answer to it could not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is no line of the protocol.
    #[error(transparent)]
    Input(#[from] InputError),
}

/// Speaks the wire until the input ends.
///
/// # Errors
/// If a line can't be used, or the input or the output fails.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut line = String::new();
    let mut answer = Vec::new();
    for number in 1u64.. {
        line.clear();
        let result = serve_line(&mut input, &mut output, &mut host, &mut line, &mut answer);
        match result {
            Ok(true) => {}
            Ok(false) => break,
            Err(cause) => {
                return Err(AdapterError {
                    line: number,
                    cause,
                })
            }
        }
    }
    Ok(())
}

/// Reads and handles one line; returns whether there was one. The answer to a batch is written at its end.
fn serve_line(
    input: &mut impl BufRead,
    output: &mut impl Write,
    host: &mut Host,
    line: &mut String,
    answer: &mut Vec<u8>,
) -> Result<bool, LineError> {
    if input.read_line(line)? == 0 {
        return Ok(false);
    }
    let text = line.trim_end();
    if !text.is_empty() && host.handle_line(text, answer)? == Progress::BatchComplete {
        output.write_all(answer)?;
        output.flush()?;
        answer.clear();
    }
    Ok(true)
}
