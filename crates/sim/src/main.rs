//! The program `basalthill-sim`: runs the adapter on standard input and standard output.

use basalthill_sim::adapter;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match adapter::serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("basalthill-sim: {error}");
            ExitCode::FAILURE
        }
    }
}
