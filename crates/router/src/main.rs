//! The `basalthill` executable.

use std::process::ExitCode;
use tikv_jemallocator::Jemalloc;

/// Returns freed memory to the system at once, by the options in `.cargo/config.toml`. The C library's
/// allocator keeps it, in pieces that the next large message does not fit into.
#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;

fn main() -> ExitCode {
    basalthill_router::program::main()
}
