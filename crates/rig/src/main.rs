//! The program: `reelfall-rig`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args: Vec<_> = std::env::args_os().collect();
    if args.get(1).is_some_and(|a| a == "node") {
        args.remove(0);
        return reelfall::cli::main(args);
    }
    ExitCode::FAILURE
}
