//! Router processes: started with a configuration, stopped or killed, restarted at the same address, and
//! observed through their log and `/proc`.

use crate::{StandinError, Watched};
use std::io::{self, BufRead, BufReader, Read};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Text before the address of a router in the line that it logs when it starts to listen.
const LISTENING_MARKER: &str = "listens on ";
/// Unit of processor time in `/proc/PID/stat`: `sysconf(_SC_CLK_TCK)` is 100 on Linux.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Number of fields in `/proc/PID/stat` between the name of the process and `utime`, which is followed by
/// `stime` (proc(5)).
const FIELDS_BEFORE_UTIME: usize = 11;

/// Options of a router process.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// Path of the program.
    pub program: PathBuf,
    /// Path of the configuration file (JSON).
    pub config: PathBuf,
    /// Path of the file with the local settings (KDL), if any.
    pub settings: Option<PathBuf>,
    /// Address of discovery.
    pub discovery: SocketAddr,
}

/// A router process. It is killed when dropped.
pub struct RouterProcess {
    options: RouterOptions,
    name: String,
    /// Address that the router listens on, which stays the same after a restart.
    pub addr: SocketAddr,
    /// Number of restarts.
    restarts: usize,
    child: Child,
    /// Lines that the router has logged, including those from before a restart.
    pub log: Arc<Watched<Vec<String>>>,
}

impl RouterProcess {
    /// Starts a router on a free port and waits until it listens.
    pub fn start(name: &str, options: RouterOptions) -> Result<RouterProcess, StandinError> {
        let log = Arc::default();
        let any_port = (Ipv4Addr::LOCALHOST, 0).into();
        let (child, addr) = spawn(name, &options, any_port, &log)?;
        Ok(RouterProcess { options, name: name.into(), addr, restarts: 0, child, log })
    }

    /// Kills the router with SIGKILL and restarts it at the same address.
    pub fn kill_and_restart(&mut self) -> Result<(), StandinError> {
        self.kill()?;
        self.restart()
    }

    /// Stops the router gracefully with SIGTERM and restarts it at the same address once it has exited.
    pub fn stop_and_restart(&mut self) -> Result<(), StandinError> {
        self.signal("TERM")?;
        self.child.wait()?;
        self.restart()
    }

    /// Kills the router with SIGKILL and waits until it has exited.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Restarts the router at the same address after it has exited.
    pub fn restart(&mut self) -> Result<(), StandinError> {
        self.restarts += 1;
        let (child, addr) = spawn(&self.name, &self.options, self.addr, &self.log)?;
        self.child = child;
        self.addr = addr;
        Ok(())
    }

    /// Returns how often the router has been restarted.
    pub fn restarts(&self) -> usize {
        self.restarts
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the path of the configuration file.
    pub fn config(&self) -> &Path {
        &self.options.config
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the router has exited.
    pub fn wait_for_exit(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// Returns the number of file descriptors that the process has open.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Sends a signal to the process. `name` is the name of the signal without `SIG`.
    pub fn signal(&self, name: &str) -> Result<(), StandinError> {
        let pid = self.child.id();
        let status = Command::new("kill").args([format!("-{name}"), pid.to_string()]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(StandinError::SignalNotDelivered { signal: name.into(), pid }),
        }
    }

    /// Returns the first line of the log that contains `part`, waiting for it if it has not been logged yet.
    /// Returns `None` after [`crate::TIMEOUT`].
    pub fn wait_for_log(&self, part: &str) -> Option<String> {
        self.log.wait(|lines| lines.iter().find(|line| line.contains(part)).cloned())
    }

    /// Returns the processor time that the process has used, with a resolution of 10 ms.
    pub fn cpu_time(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let fields = stat.rsplit_once(')')?.1.split_whitespace();
        let user_and_system = fields.skip(FIELDS_BEFORE_UTIME).take(2);
        let ticks: u64 = user_and_system.filter_map(|n| n.parse::<u64>().ok()).sum();
        Some(Duration::from_millis(ticks * CLOCK_TICK.as_millis() as u64))
    }

    /// Returns the resident memory of the process, in KiB.
    pub fn resident_kib(&self) -> Option<u64> {
        status_field(self.child.id(), "VmRSS:")
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the resident memory of a process without that of files, such as its program, in KiB.
pub fn anonymous_kib(pid: u32) -> Option<u64> {
    status_field(pid, "RssAnon:")
}

/// Returns the largest resident memory that a process has had, in KiB.
pub fn peak_resident_kib(pid: u32) -> Option<u64> {
    status_field(pid, "VmHWM:")
}

/// Returns a number in the status of a process, by the name of its line.
fn status_field(pid: u32, name: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    status.lines().find_map(|line| line.strip_prefix(name)?.split_whitespace().next()?.parse().ok())
}

/// Starts a router process and waits until it listens. Returns the process and its address.
fn spawn(
    name: &str,
    options: &RouterOptions,
    listen: SocketAddr,
    log: &Arc<Watched<Vec<String>>>,
) -> Result<(Child, SocketAddr), StandinError> {
    let mut command = Command::new(&options.program);
    command
        .args(["serve", "--config"])
        .arg(&options.config)
        .env_remove("BASALTHILL_SETTINGS")
        .env("BALANCER_NAME", name)
        .env("BALANCER_LISTEN", listen.to_string())
        .env("BALANCER_DISCOVERY", options.discovery.to_string())
        .stderr(Stdio::piped());
    if let Some(settings) = &options.settings {
        command.arg("--settings").arg(settings);
    }
    let mut child = command.spawn()?;
    let addr = child.stderr.take().and_then(|stderr| follow_log(stderr, log));
    match addr {
        Some(addr) => Ok((child, addr)),
        None => Err(StandinError::NotListening { name: name.into() }),
    }
}

/// Appends the lines that a process writes to `stderr` to its log, on a separate thread. Returns the
/// address that the process listens on, or `None` if it has not logged one within [`crate::TIMEOUT`].
fn follow_log(stderr: impl Read + Send + 'static, log: &Arc<Watched<Vec<String>>>) -> Option<SocketAddr> {
    let earlier_line_count = log.lock().len();
    let sink = Arc::clone(log);
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            sink.change(|lines| lines.push(line));
        }
    });
    let listen_addr = |line: &String| line.split_once(LISTENING_MARKER)?.1.trim().parse().ok();
    log.wait(|lines| lines[earlier_line_count..].iter().find_map(listen_addr))
}

/// Writes a text to a file in a folder and returns its path. The name of the file contains the process id and
/// a counter, so that concurrent tests don't share files.
pub fn write_unique_file(folder: &Path, name: &str, text: &str) -> io::Result<PathBuf> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let path = folder.join(format!("{}-{number}-{name}", std::process::id()));
    std::fs::write(&path, text)?;
    Ok(path)
}
