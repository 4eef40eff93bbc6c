//! The `basalthill` executable.

use std::process::ExitCode;

fn main() -> ExitCode {
    basalthill_router::program::main()
}
