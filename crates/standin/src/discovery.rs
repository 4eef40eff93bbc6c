//! A discovery agent that serves the endpoint list over HTTP/1.1 (RFC 9112): to a poll as a single JSON
//! object, and to a watch as a chunked stream of JSON objects, one per line.

use crate::Watched;
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The head of a successful response, up to the header field that specifies the length of the body.
const OK_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
/// The response of [`ResponseMode::Unavailable`].
const UNAVAILABLE: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
/// The header field for a chunked body, and the end of the head.
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";
/// The query parameter that a request line has for a watch but not for a poll.
const WATCH_PARAMETER: &str = "watch=1";
/// The time between two bytes of [`ResponseMode::EndlessLine`].
const ENDLESS_LINE_INTERVAL: Duration = Duration::from_millis(50);
/// The time between two events of a watch, so that each of them is sent as a separate TCP segment.
const EVENT_INTERVAL: Duration = Duration::from_millis(1);

/// An unusual response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// No response; the connection is closed immediately.
    Close,
    /// No response; the connection stays open until the router closes it.
    NoResponse,
    /// Status 503 without a body.
    Unavailable,
    /// The head without a body; the connection stays open until the router closes it.
    HeadOnly,
    /// The list on one line, then a second line that never ends, sent byte by byte.
    EndlessLine,
    /// The list as indented JSON, over many lines.
    Indented,
}

/// The lines that discovery publishes, the requests that it has received, and how it responds to the next
/// requests.
#[derive(Debug, Default)]
pub struct DiscoveryState {
    /// Lines that a watch sends: the complete list, then all lines published since.
    lines: Vec<String>,
    /// Request lines received, in order.
    pub requests: Vec<String>,
    /// While this is set, requests get no response. When it is cleared, or after [`crate::TIMEOUT`], the
    /// connections of these requests are closed.
    pub withhold_responses: bool,
    /// Modes of the responses to the next requests, in order; later requests get the usual response.
    pub next_responses: VecDeque<ResponseMode>,
    /// Number of watches opened so far.
    watches: usize,
    /// Number of the last watch that must be closed; all watches before it must be closed, too.
    closed_watches: usize,
}

impl DiscoveryState {
    /// Records a request and returns how to respond to it.
    fn receive(&mut self, request_line: String) -> Request {
        let is_watch = request_line.contains(WATCH_PARAMETER);
        self.requests.push(request_line);
        self.watches += usize::from(is_watch);
        Request {
            is_watch,
            watch_number: self.watches,
            list: self.lines[0].clone(),
            withhold_responses: self.withhold_responses,
            mode: self.next_responses.pop_front(),
        }
    }
}

/// A request and how to respond to it.
struct Request {
    is_watch: bool,
    /// Number of watches opened so far. If the request is a watch, this is its own number.
    watch_number: usize,
    /// The complete list.
    list: String,
    withhold_responses: bool,
    mode: Option<ResponseMode>,
}

/// A discovery agent on loopback. It runs until the process exits.
#[derive(Clone)]
pub struct Discovery {
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// The lines that the agent publishes, the requests that it has received from routers, and how it
    /// responds to the next ones.
    pub state: Arc<Watched<DiscoveryState>>,
}

impl Discovery {
    /// Starts discovery on a free loopback port. `list` is the complete endpoint list, a JSON object on one
    /// line.
    pub fn start(list: String) -> io::Result<Discovery> {
        Discovery::start_at((Ipv4Addr::LOCALHOST, 0).into(), list)
    }

    /// Starts discovery at a given address.
    pub fn start_at(addr: SocketAddr, list: String) -> io::Result<Discovery> {
        let listener = TcpListener::bind(addr)?;
        let state = DiscoveryState { lines: vec![list], ..DiscoveryState::default() };
        let discovery = Discovery { addr: listener.local_addr()?, state: Arc::new(Watched::new(state)) };
        let state = Arc::clone(&discovery.state);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&state);
                // An error is expected here: the router may close or reset its connection at any time.
                std::thread::spawn(move || drop(respond(stream, &state)));
            }
        });
        Ok(discovery)
    }

    /// Sends a line to all watches: a change of the list as a JSON object, or any other text.
    pub fn publish(&self, line: String) {
        self.state.change(|s| s.lines.push(line));
    }

    /// Closes all open watches. Later watches start with `list`, which must be a complete endpoint list.
    pub fn restart_watches(&self, list: String) {
        self.state.change(|s| {
            s.lines = vec![list];
            s.closed_watches = s.watches;
        });
    }
}

/// Reads a request and responds to it.
fn respond(mut stream: TcpStream, state: &Watched<DiscoveryState>) -> io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    let request_line = lines.next().unwrap_or_else(|| Ok(String::new()))?;
    while !lines.next().unwrap_or_else(|| Ok(String::new()))?.is_empty() {}
    let request = state.change(|s| s.receive(request_line));
    if request.withhold_responses {
        state.wait(|s| (!s.withhold_responses).then_some(()));
        return Ok(());
    }
    let list = &request.list;
    match request.mode {
        Some(mode) => respond_in_mode(stream, mode, list),
        None if request.is_watch => stream_events(stream, state, request.watch_number),
        None => write!(stream, "{OK_HEAD}Content-Length: {}\r\n\r\n{list}", list.len()),
    }
}

/// Sends the response of a mode.
fn respond_in_mode(mut stream: TcpStream, mode: ResponseMode, list: &str) -> io::Result<()> {
    match mode {
        ResponseMode::Close => Ok(()),
        ResponseMode::NoResponse => wait_until_closed(stream),
        ResponseMode::Unavailable => stream.write_all(UNAVAILABLE.as_bytes()),
        ResponseMode::HeadOnly => {
            write!(stream, "{OK_HEAD}{CHUNKED}")?;
            wait_until_closed(stream)
        }
        ResponseMode::EndlessLine => {
            write!(stream, "{OK_HEAD}\r\n{list}\n{{")?;
            loop {
                stream.write_all(b" ")?;
                std::thread::sleep(ENDLESS_LINE_INTERVAL);
            }
        }
        ResponseMode::Indented => {
            let list = list.replace('{', "{\n  ").replace(',', ",\n  ").replace('}', "\n}");
            write!(stream, "{OK_HEAD}\r\n{list}\n")?;
            wait_until_closed(stream)
        }
    }
}

/// The next step of a watch.
enum WatchStep {
    /// Send a line.
    Send(String),
    /// Close the connection.
    Close,
}

/// Sends the complete list and all lines published after it, until the watch is closed. Sends an empty line
/// whenever nothing has been published for [`crate::TIMEOUT`].
fn stream_events(
    mut stream: TcpStream,
    state: &Watched<DiscoveryState>,
    watch_number: usize,
) -> io::Result<()> {
    write!(stream, "{OK_HEAD}{CHUNKED}")?;
    let mut next_line = 0;
    loop {
        let step = state.wait(|s| match s.closed_watches >= watch_number {
            true => Some(WatchStep::Close),
            false => s.lines.get(next_line).cloned().map(WatchStep::Send),
        });
        match step {
            Some(WatchStep::Close) => return Ok(()),
            Some(WatchStep::Send(line)) => {
                next_line += 1;
                write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
            }
            None => write!(stream, "1\r\n\n\r\n")?,
        }
        stream.flush()?;
        std::thread::sleep(EVENT_INTERVAL);
    }
}

/// Keeps a connection open until the router closes it or sends more data.
fn wait_until_closed(mut stream: TcpStream) -> io::Result<()> {
    stream.read(&mut [0]).map(drop)
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: String,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Number of its group; `cell` in JSON.
    pub group: u32,
    /// `active`, `leaving` or `left`.
    pub state: &'static str,
    /// `source` for the primary, `copy` for a replica.
    pub rank: &'static str,
}

impl Endpoint {
    /// Creates an entry.
    pub fn new(
        id: impl Into<String>,
        addr: SocketAddr,
        group: u32,
        state: &'static str,
        rank: &'static str,
    ) -> Endpoint {
        Endpoint { id: id.into(), addr, group, state, rank }
    }
}

/// Returns an endpoint list as JSON on one line. If `full`, it is the complete list; otherwise it has only
/// the entries that have changed.
pub fn endpoint_list(version: u64, full: bool, endpoints: &[Endpoint]) -> String {
    let entry = |endpoint: &Endpoint| {
        let Endpoint { id, addr, group, state, rank } = endpoint;
        let name = format!(r#""id":"{id}","addr":"{addr}","zone":"a","kind":"m","cell":{group}"#);
        let state = format!(r#""state":"{state}","weight":1.0,"started_ms":0,"rank":"{rank}""#);
        format!("{{{name},{state}}}")
    };
    let entries: Vec<String> = endpoints.iter().map(entry).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}
