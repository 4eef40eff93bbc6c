//! The complete router in a thread of its own, on loopback against stand-ins.

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

/// So little that only one large statement at a time may be read.
const MEMORY_MB: u64 = 1;

/// The descriptors of a router whose test has no need of few.
pub const DESCRIPTORS: usize = 256;

/// A router in a thread of its own; it is stopped and joined on drop.
pub struct RouterThread {
    /// Where it listens.
    pub addr: SocketAddr,
    /// A byte announces a configuration to reload; closed, it is the signal to stop.
    control: Option<TcpStream>,
    reloads: Sender<RouterConfig>,
    config: String,
    thread: Option<JoinHandle<()>>,
    /// Whether it has stopped.
    pub stopped: Arc<Watched<bool>>,
}

impl RouterThread {
    /// Starts a router with a list of members, or `null`, the address of discovery, a number of descriptors
    /// and the deployment's settings.
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

    /// Has the router reload its configuration with another address of discovery.
    pub fn reload_with_discovery(&self, from: SocketAddr, to: SocketAddr) {
        let text =
            self.config.replace(&format!("\"discovery\":\"{from}\""), &format!("\"discovery\":\"{to}\""));
        let config = parse(text.as_bytes(), |_| None, LoadPhase::Reload).unwrap();
        self.reloads.send(config).unwrap();
        self.control.as_ref().unwrap().write_all(&[0]).unwrap();
    }

    /// A router with one primary, which discovery also lists.
    pub fn with_primary(host: &Host) -> RouterThread {
        RouterThread::with_descriptors(host, DESCRIPTORS)
    }

    /// The same with a number of descriptors.
    pub fn with_descriptors(host: &Host, sockets: usize) -> RouterThread {
        RouterThread::with_discovery(&primary_list(1, host.addr), sockets, SETTINGS).0
    }

    /// A router with one primary and these settings of the deployment.
    pub fn with_settings(host: SocketAddr, settings: &str) -> RouterThread {
        RouterThread::with_discovery(&primary_list(1, host), DESCRIPTORS, settings).0
    }

    /// A router that knows a list of members, and a discovery that has the same list.
    pub fn with_discovery(known: &str, sockets: usize, settings: &str) -> (RouterThread, Discovery) {
        let discovery = Discovery::start(known.into()).unwrap();
        (RouterThread::start(known, discovery.addr, sockets, settings), discovery)
    }

    /// A client that is connected and ready for a query.
    pub fn client(&self) -> Client {
        Client::connect(self.addr).unwrap()
    }

    /// Sends the signal to stop.
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

/// The list of one primary at an address.
pub fn primary_list(version: u64, addr: SocketAddr) -> String {
    endpoint_list(version, true, &[Endpoint::new("s-1", addr, 2, "active", "source")])
}

/// What a primary reports of itself beside an answer.
pub fn primary_report() -> ParameterStatuses {
    vec![("rank", "source".into()), ("as_of", unix_ms().to_string())]
}

/// A primary that answers health checks by itself and statements by `answers`.
pub fn primary_host(answers: impl Fn(&str) -> Response + Send + Sync + 'static) -> Host {
    Host::start(move |text| match text {
        "SHOW vitals" => (Response::Row(format!("x0={}.0,x1=1", unix_ms() / 1000).into_bytes()), Vec::new()),
        text => (answers(text), primary_report()),
    })
    .unwrap()
}

/// A primary that serves each statement with a row of this value.
pub fn primary_with_row(value: &'static [u8]) -> Host {
    primary_host(move |_| Response::Row(value.to_vec()))
}

/// A primary, which serves the row `one`, and the one that replaces it, which serves the row `two`.
pub fn primary_and_successor() -> (Host, Host) {
    (primary_with_row(b"one"), primary_with_row(b"two"))
}

/// An address at which nobody listens: a privileged port.
pub fn unreachable_address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 1).into()
}

/// The answer with a row of one value.
pub fn row(value: &[u8]) -> Reply {
    Reply::Row(value.to_vec())
}

/// The SQLSTATE of an error.
pub fn error_code(answer: &Reply) -> &str {
    match answer {
        Reply::Error(code, _) => code,
        other => panic!("an error expected, not {other:?}"),
    }
}
