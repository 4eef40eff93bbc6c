//! Runs the program with failing system calls, through a library that is preloaded before the C library.

use basalthill_standin::router_process::write_unique_file;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The directory that the tests write their files to.
pub const TEST_DIR: &str = env!("CARGO_TARGET_TMPDIR");

/// Writes a shell script that runs `commands` and then executes the program. Returns the script's path. A
/// child process copies the script from a file that is never executed. If this process wrote it, a child that
/// another thread forks could inherit the descriptor open for writing, and executing the script would fail
/// (ETXTBSY).
pub fn wrapper_script(commands: &str) -> PathBuf {
    let text = format!("#!/bin/sh\n{commands}\nexec {} \"$@\"\n", env!("CARGO_BIN_EXE_basalthill"));
    let source = write_unique_file(Path::new(TEST_DIR), "program.txt", &text).unwrap();
    std::fs::set_permissions(&source, std::fs::Permissions::from_mode(0o755)).unwrap();
    let script = source.with_extension("sh");
    let status = Command::new("cp").arg(&source).arg(&script).status().unwrap();
    assert!(status.success(), "cp failed to copy the script");
    script
}

/// Builds the preloaded library that wraps the system calls, and returns its path.
pub fn build_library() -> PathBuf {
    let library = write_unique_file(Path::new(TEST_DIR), "system_calls.so", "").unwrap();
    let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shim/system_calls.c");
    let mut build = Command::new("cc");
    build.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(source).arg("-ldl");
    assert!(build.status().unwrap().success(), "cc failed to build the library");
    library
}

/// Writes a script that runs the program with failing system calls, and returns its path. A call is given as
/// name, errno and interval n: every n-th call fails.
pub fn program_with_failing_calls(calls: &[(&str, i32, u32)]) -> PathBuf {
    let calls: String =
        calls.iter().map(|(name, error, interval)| format!(" {name}={error}/{interval}")).collect();
    wrapper_script(&format!("export FAILING_CALLS='{calls}' LD_PRELOAD={}", build_library().display()))
}
