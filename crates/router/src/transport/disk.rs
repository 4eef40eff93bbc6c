//! The book of sessions on a disk: written aside and renamed at a stop in good order, and taken away as it is
//! read, so that it never counts twice. Whatever goes wrong costs freshness only, and is said in one line.

use super::Hub;
use basalthill_config::local_settings::{LocalSettings, Snapshot};
use basalthill_config::router::RouterConfig;
use basalthill_policy::api::Time;
use basalthill_session::{snapshot, PlatformFloors, Sessions};
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// A snapshot is never longer than this: the largest book and its heads.
const LONGEST: u64 = 1 << 30;

/// The sessions of a router that starts.
pub fn sessions(now: Time, config: &RouterConfig) -> Sessions {
    let own = config.local_settings.sessions.as_ref();
    let remembers = own.is_some() || config.deployment.tokens == PlatformFloors::Remembered;
    let bytes = if remembers { config.limits.session_table_bytes() } else { 0 };
    let plan = own.map(|s| s.plan.clone());
    let mut sessions = Sessions::new(now, config.deployment.tokens, plan, bytes, config.seed);
    if let Some(place) = own.and_then(|s| s.snapshot.as_ref()) {
        recall(&mut sessions, now, place, &config.name);
    }
    sessions
}

fn recall(sessions: &mut Sessions, now: Time, place: &Snapshot, router: &str) {
    let shown = place.path.display();
    let bytes = match take(&place.path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == ErrorKind::NotFound => {
            return log::info!("snapshot {shown}: none; the start is the floor of all sessions");
        }
        Err(e) => return log::warn!("snapshot {shown}: {e}; the start is the floor of all sessions"),
    };
    match snapshot::restore(sessions, now, router, place.max_age, &bytes) {
        Ok(()) => log::info!("snapshot {shown}: taken over, {} bytes", bytes.len()),
        Err(why) => log::warn!("snapshot {shown}: {why}; the start is the floor of all sessions"),
    }
}

/// Reads a file and takes it away. One that stays there is not read: after a crash it would be read again,
/// and what was written since would be missing.
fn take(path: &Path) -> io::Result<Vec<u8>> {
    if path.metadata()?.len() > LONGEST {
        return Err(io::Error::other("is too long"));
    }
    let bytes = std::fs::read(path)?;
    std::fs::remove_file(path)?;
    sync_folder(path)?;
    Ok(bytes)
}

/// What happened in a file's folder outlives a fall of the machine.
fn sync_folder(path: &Path) -> io::Result<()> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// Keeps the book at a stop in good order, all answers given.
pub fn keep(hub: &Hub, own: &LocalSettings, router: &str) {
    let Some(place) = own.sessions.as_ref().and_then(|s| s.snapshot.as_ref()) else { return };
    let mut routing = hub.router.borrow_mut();
    let now = routing.unix_time(hub.clock.now());
    let bytes = snapshot::write(routing.sessions(), now, router);
    match put(&place.path, &bytes) {
        Ok(()) => log::info!("snapshot {}: kept, {} bytes", place.path.display(), bytes.len()),
        Err(e) => log::warn!("snapshot {}: not kept: {e}", place.path.display()),
    }
}

fn put(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut aside = path.as_os_str().to_owned();
    aside.push(".new");
    let aside = PathBuf::from(aside);
    let mut file = File::create(&aside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&aside, path)?;
    sync_folder(path)
}
