//! Adapter between the decision module and a simulator, which sends and receives JSON lines over standard input and output.
//! It only translates lines; [`reelfall_balancer`] makes all decisions.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `input` | parses input lines |
//! | `output` | formats output lines |
//! | `instance` | one balancer with its name tables; converts lines to events |
//! | `host` | all balancers, and the batches of lines |

mod host;
mod input;
mod instance;
mod output;

use host::{Host, Progress};
use input::InputError;
use std::io::{self, BufRead, Write};
use thiserror::Error;

/// An error that stops the adapter, with the line at which it occurred.
#[derive(Debug, Error)]
#[error("line {line}: {cause}")]
pub struct AdapterError {
    /// Line number, starting at 1.
    pub line: u64,
    /// The cause.
    #[source]
    pub cause: LineError,
}

/// Why a line could not be processed.
#[derive(Debug, Error)]
pub enum LineError {
    /// Reading the input or writing the output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line does not conform to the protocol.
    #[error(transparent)]
    Input(#[from] InputError),
}

/// Processes lines until the end of the input, and writes the output of each batch.
///
/// # Errors
/// If a line is invalid, or if reading or writing fails.
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

/// Reads and handles one line; returns `false` at the end of the input. Output is written at the end of each batch.
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
