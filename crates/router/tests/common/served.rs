//! The whole router in a thread of its own, on loopback against stand-ins.

use super::SETTINGS;
use async_io::Async;
use basalthill_config::router::{parse, LoadPhase, RouterConfig};
use basalthill_router::transport::{self, ControlCommand};
use basalthill_standin::client::{Answer, Client};
use basalthill_standin::discovery::{endpoint_list, Discovery, Endpoint};
use basalthill_standin::host::{Host, ParameterStatuses, Reply};
use basalthill_standin::{unix_ms, Watched};
use futures_lite::{stream, AsyncReadExt};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;

/// So little that one large statement at a time is read on.
const MEMORY_MB: u64 = 1;

/// A router in a thread of its own; it is stopped and awaited at the end.
pub struct RouterThread {
    pub addr: SocketAddr,
    stop: Option<TcpStream>,
    again: Sender<RouterConfig>,
    config: String,
    thread: Option<JoinHandle<()>>,
    pub stopped: Arc<Watched<bool>>,
}

impl RouterThread {
    pub fn start(known: &str, discovery: SocketAddr, sockets: usize, settings: &str) -> RouterThread {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        let text = format!(
            r#"{{"name":"n1","listen":"{addr}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{sockets}}},
            "known":{known},"settings":{settings}}}"#
        );
        let config = parse(text.as_bytes(), |_| None, LoadPhase::Startup).unwrap();
        let door = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let stop = TcpStream::connect(door.local_addr().unwrap()).unwrap();
        let stopped = door.accept().unwrap().0;
        let (again, configs) = channel::<RouterConfig>();
        let stopped_signal = Arc::new(Watched::default());
        let tell = Arc::clone(&stopped_signal);
        let thread = std::thread::spawn(move || {
            // Each byte announces a configuration read again; the end of the stream is the signal to stop.
            let commands = stream::unfold(Async::new(stopped).unwrap(), |mut s| async {
                let n = s.read(&mut [0]).await.unwrap();
                let command = if n == 0 {
                    ControlCommand::Stop
                } else {
                    ControlCommand::Reload(configs.recv().unwrap().into())
                };
                Some((command, s))
            });
            transport::serve(listener, config, commands).unwrap();
            tell.change(|o| *o = true);
        });
        RouterThread {
            addr,
            stop: Some(stop),
            again,
            config: text,
            thread: Some(thread),
            stopped: stopped_signal,
        }
    }

    /// Has the router read a configuration again that names another discovery.
    pub fn reload_with_discovery(&self, from: SocketAddr, to: SocketAddr) {
        let text =
            self.config.replace(&format!("\"discovery\":\"{from}\""), &format!("\"discovery\":\"{to}\""));
        self.again.send(parse(text.as_bytes(), |_| None, LoadPhase::Reload).unwrap()).unwrap();
        self.stop.as_ref().unwrap().write_all(&[0]).unwrap();
    }

    /// One primary, with discovery telling the same.
    pub fn with_primary(host: &Host) -> RouterThread {
        RouterThread::with_descriptors(host, 256)
    }

    /// The same with so many descriptors.
    pub fn with_descriptors(host: &Host, sockets: usize) -> RouterThread {
        let known = endpoint_list(1, true, &[Endpoint::new("s-1", host.addr, 2, "active", "source")]);
        let discovery = Discovery::start(known.clone()).unwrap();
        RouterThread::start(&known, discovery.addr, sockets, SETTINGS)
    }

    pub fn client(&self) -> Client {
        Client::connect(self.addr).unwrap()
    }

    pub fn stop(&mut self) {
        drop(self.stop.take());
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

pub fn primary_report() -> ParameterStatuses {
    vec![("rank", "source".into()), ("as_of", unix_ms().to_string())]
}

/// A primary that answers probes and gives statements to `answers`.
pub fn primary_host(answers: impl Fn(&str) -> Reply + Send + Sync + 'static) -> Host {
    Host::start(move |text| match text {
        "SHOW vitals" => (Reply::Row(format!("x0={}.0,x1=1", unix_ms() / 1000).into_bytes()), Vec::new()),
        text => (answers(text), primary_report()),
    })
    .unwrap()
}

/// An address at which nobody listens: a port that only the machine's owner could open.
pub fn unreachable_address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 1).into()
}

pub fn row(value: &[u8]) -> Answer {
    Answer::Row(value.to_vec())
}

pub fn error_code(answer: &Answer) -> &str {
    match answer {
        Answer::Error(code, _) => code,
        other => panic!("an error expected, not {other:?}"),
    }
}
