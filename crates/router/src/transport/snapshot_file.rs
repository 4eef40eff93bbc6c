//! The file with the snapshot of the session table: written aside and renamed at a graceful shutdown, and
//! removed as it is read, so that it never counts twice. Whatever goes wrong costs freshness only, and is
//! logged in one line.

use super::driver::Driver;
use basalthill_config::local_settings::{LocalSettings, Snapshot};
use basalthill_config::router::RouterConfig;
use basalthill_policy::api::Time;
use basalthill_session::{snapshot, PlatformFloors, Sessions};
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A snapshot is never longer than this: the largest session table and its heads.
const MAX_SNAPSHOT_LEN: u64 = 1 << 30;
/// The suffix of the file into which a snapshot is written before it is renamed.
const TEMPORARY_SUFFIX: &str = ".new";

/// Why a snapshot's file was not read.
#[derive(Debug, Error)]
enum ReadError {
    /// A call to the system has failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// No snapshot is as long as this.
    #[error("is too long: {len} bytes, {MAX_SNAPSHOT_LEN} at most")]
    TooLong {
        /// The file's length in bytes.
        len: u64,
    },
}

/// The sessions of a router that starts, with those of the snapshot that its settings name.
pub fn load_sessions(now: Time, config: &RouterConfig) -> Sessions {
    let settings = config.local_settings.sessions.as_ref();
    let needs_table = settings.is_some() || config.deployment.platform_floors == PlatformFloors::Remembered;
    let table_bytes = if needs_table { config.limits.session_table_bytes() } else { 0 };
    let plan = settings.map(|s| s.config.clone());
    let mut sessions = Sessions::new(now, config.deployment.platform_floors, plan, table_bytes, config.seed);
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
            tracing::info!(%path, "snapshot: none; the start is the floor of all sessions");
            return;
        }
        Err(e) => {
            tracing::warn!(%path, error = %e, "snapshot: unreadable; the start is the floor of all sessions");
            return;
        }
    };
    match snapshot::restore(sessions, now, router, settings.max_age, &bytes) {
        Ok(()) => tracing::info!(%path, bytes = bytes.len(), "snapshot: taken over"),
        Err(e) => {
            tracing::warn!(%path, error = %e, "snapshot: unusable; the start is the floor of all sessions");
        }
    }
}

/// Reads a file and removes it. One that can't be removed is not read: after a crash it would be read again,
/// and what was written since would be missing.
fn read_and_remove(path: &Path) -> Result<Vec<u8>, ReadError> {
    let len = path.metadata()?.len();
    if len > MAX_SNAPSHOT_LEN {
        return Err(ReadError::TooLong { len });
    }
    let bytes = std::fs::read(path)?;
    std::fs::remove_file(path)?;
    sync_folder(path)?;
    Ok(bytes)
}

/// Syncs a file's folder: what happened in it outlives a crash of the machine.
fn sync_folder(path: &Path) -> io::Result<()> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// Writes the session table's snapshot at a graceful shutdown, all answers given.
pub fn store(driver: &Driver, settings: &LocalSettings, router_name: &str) {
    let Some(settings) = settings.sessions.as_ref().and_then(|s| s.snapshot.as_ref()) else { return };
    let mut router = driver.router.borrow_mut();
    let now = router.unix_time(driver.clock.now());
    let bytes = snapshot::write(router.sessions(), now, router_name);
    let path = settings.path.display();
    match replace(&settings.path, &bytes) {
        Ok(()) => tracing::info!(%path, bytes = bytes.len(), "snapshot: stored"),
        Err(e) => tracing::warn!(%path, error = %e, "snapshot: not stored"),
    }
}

/// Writes a file aside, syncs it and renames it: there is the old content or the new one, never a part.
fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(TEMPORARY_SUFFIX);
    let temporary = PathBuf::from(temporary);
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    sync_folder(path)
}
