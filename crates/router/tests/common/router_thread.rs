//! The complete router in a separate thread, over loopback against stand-ins.

use super::SETTINGS;
use async_io::Async;
use basalthill_config::router::{parse, LoadPhase, RouterConfig};
use basalthill_router::transport::{self, ControlCommand};
use basalthill_standin::client::{Client, Reply};
use basalthill_standin::discovery::{endpoint_list, Discovery, Endpoint};
use basalthill_standin::host::{Host, ParameterStatuses, Response};
use basalthill_standin::{unix_ms, Watched};
use futures_lite::{stream, AsyncReadExt};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;

/// The memory limit in MiB, so low that the router reads only one large statement at a time.
const MEMORY_MB: u64 = 1;

/// The descriptor limit of a router in tests that do not depend on the limit.
pub const DEFAULT_DESCRIPTORS: usize = 256;

/// A router in a separate thread, which is stopped and joined on drop.
pub struct RouterThread {
    /// The address that the router listens on.
    pub addr: SocketAddr,
    /// Controls the router: one byte makes it reload its configuration, closing the stream makes it stop.
    control: Option<TcpStream>,
    reloads: Sender<RouterConfig>,
    config: String,
    thread: Option<JoinHandle<()>>,
    /// Whether the router has stopped.
    pub stopped: Arc<Watched<bool>>,
}

impl RouterThread {
    /// Starts a router. `known` is its last known endpoint list or `null`, `sockets` its descriptor limit and
    /// `settings` the deployment's settings.
    pub fn start(known: &str, discovery: SocketAddr, sockets: usize, settings: &str) -> RouterThread {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        let text = format!(
            r#"{{"name":"n1","listen":"{addr}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{sockets}}},
            "known":{known},"settings":{settings}}}"#
        );
        let config = parse(text.as_bytes(), |_| None, LoadPhase::Startup).unwrap();
        let control_listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let control = TcpStream::connect(control_listener.local_addr().unwrap()).unwrap();
        let controlled = control_listener.accept().unwrap().0;
        let (reloads, configs) = channel::<RouterConfig>();
        let stopped = Arc::new(Watched::default());
        let thread_stopped = Arc::clone(&stopped);
        let thread = std::thread::spawn(move || {
            let commands = stream::unfold(Async::new(controlled).unwrap(), |mut s| async {
                let n = s.read(&mut [0]).await.unwrap();
                let command = if n == 0 {
                    ControlCommand::Stop
                } else {
                    ControlCommand::Reload(configs.recv().unwrap().into())
                };
                Some((command, s))
            });
            transport::serve(listener, config, commands).unwrap();
            thread_stopped.change(|stopped| *stopped = true);
        });
        RouterThread { addr, control: Some(control), reloads, config: text, thread: Some(thread), stopped }
    }

    /// Makes the router reload its configuration with the discovery address `to` in place of `from`.
    pub fn reload_with_discovery(&self, from: SocketAddr, to: SocketAddr) {
        let text =
            self.config.replace(&format!("\"discovery\":\"{from}\""), &format!("\"discovery\":\"{to}\""));
        let config = parse(text.as_bytes(), |_| None, LoadPhase::Reload).unwrap();
        self.reloads.send(config).unwrap();
        self.control.as_ref().unwrap().write_all(&[0]).unwrap();
    }

    /// Starts a router with one primary, which discovery also lists.
    pub fn with_primary(host: &Host) -> RouterThread {
        RouterThread::with_descriptors(host, DEFAULT_DESCRIPTORS)
    }

    /// Starts a router with one primary and this descriptor limit.
    pub fn with_descriptors(host: &Host, sockets: usize) -> RouterThread {
        RouterThread::with_discovery(&primary_list(1, host.addr), sockets, SETTINGS).0
    }

    /// Starts a router with one primary and these settings of the deployment.
    pub fn with_settings(host: SocketAddr, settings: &str) -> RouterThread {
        RouterThread::with_discovery(&primary_list(1, host), DEFAULT_DESCRIPTORS, settings).0
    }

    /// Starts a router with a last known endpoint list, and a discovery that sends the same list.
    pub fn with_discovery(known: &str, sockets: usize, settings: &str) -> (RouterThread, Discovery) {
        let discovery = Discovery::start(known.into()).unwrap();
        (RouterThread::start(known, discovery.addr, sockets, settings), discovery)
    }

    /// Connects a client and completes its startup.
    pub fn client(&self) -> Client {
        Client::connect(self.addr).unwrap()
    }

    /// Makes the router shut down gracefully.
    pub fn stop(&mut self) {
        drop(self.control.take());
    }
}

impl Drop for RouterThread {
    fn drop(&mut self) {
        self.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Returns an endpoint list of one primary at this address.
pub fn primary_list(version: u64, addr: SocketAddr) -> String {
    endpoint_list(version, true, &[Endpoint::new("s-1", addr, 2, "active", "source")])
}

/// Returns the role and log position that a primary reports with each response.
pub fn primary_parameters() -> ParameterStatuses {
    vec![("rank", "source".into()), ("as_of", unix_ms().to_string())]
}

/// Starts a primary that responds to health checks as a healthy member, and to statements with the result of
/// `respond`.
pub fn primary_host(respond: impl Fn(&str) -> Response + Send + Sync + 'static) -> Host {
    Host::start(move |text| match text {
        "SHOW vitals" => (Response::Row(format!("x0={}.0,x1=1", unix_ms() / 1000).into_bytes()), Vec::new()),
        text => (respond(text), primary_parameters()),
    })
    .unwrap()
}

/// Starts a primary that serves each statement with a row of this value.
pub fn primary_with_row(value: &'static [u8]) -> Host {
    primary_host(move |_| Response::Row(value.to_vec()))
}

/// Starts a primary that serves the row `one`, and its successor, which serves the row `two`.
pub fn primary_and_successor() -> (Host, Host) {
    (primary_with_row(b"one"), primary_with_row(b"two"))
}

/// Returns an address on which no process listens: a privileged port.
pub fn unreachable_address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 1).into()
}

/// Returns a reply that is a row with this value.
pub fn row(value: &[u8]) -> Reply {
    Reply::Row(value.to_vec())
}

/// Returns the SQLSTATE of an error reply.
pub fn error_code(reply: &Reply) -> &str {
    match reply {
        Reply::Error(code, _) => code,
        other => panic!("expected an error, got {other:?}"),
    }
}
