//! The snapshot file of the session table. It is written to a temporary file and renamed at a graceful
//! shutdown, and removed when it is read at startup, so that no snapshot is restored twice. An error is
//! logged and does not stop the router, which then uses its start time as the floor of all sessions.

use super::driver::Driver;
use basalthill_config::local_settings::{LocalSettings, Snapshot};
use basalthill_config::router::RouterConfig;
use basalthill_policy::api::Time;
use basalthill_session::{snapshot, PlatformFloors, Sessions};
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The limit on the length of a snapshot in bytes. The largest possible session table with its headers is
/// shorter.
const MAX_SNAPSHOT_LEN: u64 = 1 << 30;
/// The suffix of the temporary file that a snapshot is written to before it is renamed.
const TEMPORARY_SUFFIX: &str = ".new";

/// Why a snapshot file was not read.
#[derive(Debug, Error)]
enum ReadError {
    /// A system call failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file is longer than any snapshot can be.
    #[error("file has {len} bytes, which exceeds the limit of {MAX_SNAPSHOT_LEN}")]
    TooLong {
        /// The file's length in bytes.
        len: u64,
    },
}

/// Creates the sessions of a starting router and restores the snapshot that its settings name, if any.
pub fn load_sessions(now: Time, config: &RouterConfig) -> Sessions {
    let settings = config.local_settings.sessions.as_ref();
    let needs_table = settings.is_some() || config.deployment.platform_floors == PlatformFloors::Remembered;
    let table_bytes = if needs_table { config.limits.session_table_bytes() } else { 0 };
    let session_config = settings.map(|s| s.config.clone());
    let mut sessions =
        Sessions::new(now, config.deployment.platform_floors, session_config, table_bytes, config.seed);
    if let Some(snapshot) = settings.and_then(|s| s.snapshot.as_ref()) {
        restore(&mut sessions, now, snapshot, &config.name);
    }
    sessions
}

fn restore(sessions: &mut Sessions, now: Time, settings: &Snapshot, router: &str) {
    let path = settings.path.display();
    let bytes = match read_and_remove(&settings.path) {
        Ok(bytes) => bytes,
        Err(ReadError::Io(e)) if e.kind() == ErrorKind::NotFound => {
            tracing::info!(%path, "snapshot: no file; using the start time as the floor of all sessions");
            return;
        }
        Err(e) => {
            tracing::warn!(
                %path,
                error = %e,
                "snapshot: not read; using the start time as the floor of all sessions"
            );
            return;
        }
    };
    match snapshot::restore(sessions, now, router, settings.max_age, &bytes) {
        Ok(()) => tracing::info!(%path, bytes = bytes.len(), "snapshot: restored"),
        Err(e) => {
            tracing::warn!(
                %path,
                error = %e,
                "snapshot: not restored; using the start time as the floor of all sessions"
            );
        }
    }
}

/// Reads a file and removes it. If the file can't be removed, its content is not used: after a crash, the
/// router would restore the same snapshot again, without the writes since then.
fn read_and_remove(path: &Path) -> Result<Vec<u8>, ReadError> {
    let len = path.metadata()?.len();
    if len > MAX_SNAPSHOT_LEN {
        return Err(ReadError::TooLong { len });
    }
    let bytes = std::fs::read(path)?;
    std::fs::remove_file(path)?;
    sync_directory(path)?;
    Ok(bytes)
}

/// Syncs the directory of a file, so that a rename or removal in it is durable.
fn sync_directory(path: &Path) -> io::Result<()> {
    let directory = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(directory)?.sync_all()
}

/// Writes the snapshot of the session table, if the settings name a file for it. Called at a graceful
/// shutdown after the last reply.
pub fn store(driver: &Driver, settings: &LocalSettings, router_name: &str) {
    let Some(settings) = settings.sessions.as_ref().and_then(|s| s.snapshot.as_ref()) else { return };
    let mut router = driver.router.borrow_mut();
    let now = router.unix_time(driver.clock.now());
    let bytes = snapshot::write(router.sessions(), now, router_name);
    let path = settings.path.display();
    match write_atomically(&settings.path, &bytes) {
        Ok(()) => tracing::info!(%path, bytes = bytes.len(), "snapshot: stored"),
        Err(e) => tracing::warn!(%path, error = %e, "snapshot: not stored"),
    }
}

/// Replaces a file atomically: writes a temporary file, syncs it and renames it, so that the path always has
/// either the old or the new content.
fn write_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(TEMPORARY_SUFFIX);
    let temporary = PathBuf::from(temporary);
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    sync_directory(path)
}
