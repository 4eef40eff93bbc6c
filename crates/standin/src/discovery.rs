//! A discovery agent: the endpoint list over HTTP/1.1 (RFC 9112), and a watch that streams changes as chunks,
//! one JSON object a line.

use crate::Watched;
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The head of a successful response, up to the field that says how long its body is.
const OK_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
/// The response for want of capacity.
const UNAVAILABLE: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
/// The field and the end of a head whose body comes in chunks.
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";
/// What tells a watch from a poll in a request line.
const WATCH_PARAMETER: &str = "watch=1";
/// Between two bytes of [`ResponseMode::EndlessLine`].
const DRIP_INTERVAL: Duration = Duration::from_millis(50);
/// Between two events of a watch, so that each of them is a segment of its own.
const EVENT_INTERVAL: Duration = Duration::from_millis(1);

/// How a request is answered, if not as usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// Its connection is closed at once.
    Close,
    /// It is never answered.
    NoResponse,
    /// It is rejected with status 503.
    Unavailable,
    /// Its response ends with the head, and the connection stays open.
    HeadOnly,
    /// The response is the list on one line; then half a line follows byte by byte and never ends.
    EndlessLine,
    /// The list is indented, over many lines.
    Indented,
}

/// What discovery publishes and which requests it has received.
#[derive(Debug, Default)]
pub struct DiscoveryState {
    /// Lines published so far, the complete list first.
    lines: Vec<String>,
    /// Request lines received, in order.
    pub requests: Vec<String>,
    /// While this is set, requests get no answer at all, and never will.
    pub withhold_responses: bool,
    /// How the next requests are answered, in order; those after them as usual.
    pub next_responses: VecDeque<ResponseMode>,
    /// Watches begun so far.
    watches: usize,
    /// Watches up to this number are ended.
    ended_watches: usize,
}

impl DiscoveryState {
    /// Records a request, and decides how it is answered.
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

/// A request and how it is answered.
struct Request {
    is_watch: bool,
    /// Watches begun so far; its own number if it is a watch.
    watch_number: usize,
    /// The complete list.
    list: String,
    withhold_responses: bool,
    mode: Option<ResponseMode>,
}

/// A discovery agent on loopback. It runs until the process ends.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it publishes and has received.
    pub state: Arc<Watched<DiscoveryState>>,
}

impl Discovery {
    /// Starts on a port of its own with a complete list, a JSON object on one line.
    pub fn start(list: String) -> io::Result<Discovery> {
        Discovery::start_at((Ipv4Addr::LOCALHOST, 0).into(), list)
    }

    /// Starts at a given address.
    pub fn start_at(addr: SocketAddr, list: String) -> io::Result<Discovery> {
        let listener = TcpListener::bind(addr)?;
        let state = DiscoveryState { lines: vec![list], ..DiscoveryState::default() };
        let discovery = Discovery { addr: listener.local_addr()?, state: Arc::new(Watched::new(state)) };
        let state = Arc::clone(&discovery.state);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&state);
                // The other side may close or reset its connection at any time.
                std::thread::spawn(move || drop(respond(stream, &state)));
            }
        });
        Ok(discovery)
    }

    /// Publishes a line to all watches: a change as a JSON object on one line, or any other text.
    pub fn publish(&self, line: String) {
        self.state.change(|s| s.lines.push(line));
    }

    /// Ends the open watches; the next ones begin with the complete list given.
    pub fn restart_watches(&self, list: String) {
        self.state.change(|s| {
            s.lines = vec![list];
            s.ended_watches = s.watches;
        });
    }
}

/// Reads a request and answers it.
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

/// Answers a request in an unusual way.
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
                std::thread::sleep(DRIP_INTERVAL);
            }
        }
        ResponseMode::Indented => {
            let list = list.replace('{', "{\n  ").replace(',', ",\n  ").replace('}', "\n}");
            write!(stream, "{OK_HEAD}\r\n{list}\n")?;
            wait_until_closed(stream)
        }
    }
}

/// What a watch does next.
enum WatchStep {
    /// It sends a line.
    Send(String),
    /// It ends.
    End,
}

/// Streams the complete list and all lines after it until the watch is ended. An empty line goes out where
/// nothing is published for [`crate::TIMEOUT`].
fn stream_events(
    mut stream: TcpStream,
    state: &Watched<DiscoveryState>,
    watch_number: usize,
) -> io::Result<()> {
    write!(stream, "{OK_HEAD}{CHUNKED}")?;
    let mut next = 0;
    loop {
        let step = state.wait(|s| match s.ended_watches >= watch_number {
            true => Some(WatchStep::End),
            false => s.lines.get(next).cloned().map(WatchStep::Send),
        });
        match step {
            Some(WatchStep::End) => return Ok(()),
            Some(WatchStep::Send(line)) => {
                next += 1;
                write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
            }
            None => write!(stream, "1\r\n\n\r\n")?,
        }
        stream.flush()?;
        std::thread::sleep(EVENT_INTERVAL);
    }
}

/// Keeps a connection open until the other side closes it.
fn wait_until_closed(mut stream: TcpStream) -> io::Result<()> {
    stream.read(&mut [0]).map(drop)
}

/// A member as discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its group; `cell` on the wire.
    pub group: u32,
    /// `active`, `leaving` or `left`.
    pub state: &'static str,
    /// `source` for the primary, `copy` for a replica.
    pub rank: &'static str,
}

impl Endpoint {
    /// A member with these properties.
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

/// An endpoint list in discovery's JSON, on one line: a complete one, or the members that have changed.
pub fn endpoint_list(version: u64, full: bool, members: &[Endpoint]) -> String {
    let entry = |member: &Endpoint| {
        let Endpoint { id, addr, group, state, rank } = member;
        let name = format!(r#""id":"{id}","addr":"{addr}","zone":"a","kind":"m","cell":{group}"#);
        let state = format!(r#""state":"{state}","weight":1.0,"started_ms":0,"rank":"{rank}""#);
        format!("{{{name},{state}}}")
    };
    let members: Vec<String> = members.iter().map(entry).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, members.join(","))
}
