//! Runs the adapter on standard input and standard output.

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    match reelfall_simulator_adapter::serve(input, BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("reelfall-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
