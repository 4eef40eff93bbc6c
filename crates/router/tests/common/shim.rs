//! The program with some of its system calls failing, by a small library that is loaded before the system's.

use basalthill_standin::router_process::write_unique_file;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Where the tests write their files.
pub const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

/// A script that runs `lines` and then starts the program.
pub fn program(lines: &str) -> PathBuf {
    let text = format!("#!/bin/sh\n{lines}\nexec {} \"$@\"\n", env!("CARGO_BIN_EXE_basalthill"));
    let path = write_unique_file(Path::new(FOLDER), "program.sh", &text).unwrap();
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
    path
}

/// Builds the library that wraps the system's calls.
pub fn library() -> PathBuf {
    let library = write_unique_file(Path::new(FOLDER), "local_calls.so", "").unwrap();
    let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shim/local_calls.c");
    let mut build = Command::new("cc");
    build.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(source).arg("-ldl");
    assert!(build.status().unwrap().success(), "the library is built");
    library
}

/// The program with system calls that fail: each one's name, its errno, and one in how many calls fails.
pub fn failing(calls: &[(&str, i32, u32)]) -> PathBuf {
    let calls: String = calls.iter().map(|(name, error, every)| format!(" {name}={error}/{every}")).collect();
    program(&format!("export LOCAL_CALLS='{calls}' LD_PRELOAD={}", library().display()))
}
