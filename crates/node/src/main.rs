//! The `reelfall` binary; see [`reelfall::cli`].

fn main() -> std::process::ExitCode {
    reelfall::cli::main(std::env::args_os())
}
