//! Discovery: the list over HTTP/1.1, and a watch that tells changes.

use crate::Watched;
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// How a call is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// Its connection is closed at once.
    Closed,
    /// It is never answered.
    Silent,
    /// It is turned away, for want of capacity.
    Unavailable,
    /// Its answer ends with the head, and the connection stays.
    HeadOnly,
    /// A watch tells its first line; then half a line drips in, byte by byte, and never ends.
    Drip,
    /// The list comes indented, over many lines.
    Indented,
}

/// What discovery holds and has seen.
#[derive(Debug, Default)]
pub struct DiscoveryState {
    /// Lines told so far, the whole list first.
    lines: Vec<String>,
    /// Request lines that came.
    pub requests: Vec<String>,
    /// Watches are answered with nothing at all.
    pub silent: bool,
    /// How the next calls are taken, in order; those after them as usual.
    pub next_responses: VecDeque<ResponseMode>,
    /// Watches begun so far, and watches to be broken up to this number.
    watches: usize,
    broken: usize,
}

/// A stand-in for discovery's agent; it goes on until the process ends.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it holds and has seen.
    pub state: Arc<Watched<DiscoveryState>>,
}

impl Discovery {
    /// Starts with a whole list, a JSON object on one line.
    pub fn start(list: String) -> io::Result<Discovery> {
        Discovery::start_at((Ipv4Addr::LOCALHOST, 0).into(), list)
    }

    /// Starts at a given address.
    pub fn start_at(addr: SocketAddr, list: String) -> io::Result<Discovery> {
        let listener = TcpListener::bind(addr)?;
        let told = Watched::default();
        told.change(|t: &mut DiscoveryState| t.lines.push(list));
        let discovery = Discovery { addr: listener.local_addr()?, state: Arc::new(told) };
        let told = Arc::clone(&discovery.state);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let told = Arc::clone(&told);
                std::thread::spawn(move || drop(answer(stream, &told)));
            }
        });
        Ok(discovery)
    }

    /// Tells a change, a JSON object on one line, or any other text.
    pub fn publish(&self, line: String) {
        self.state.change(|t| t.lines.push(line));
    }

    /// Ends the watches that are open; the next begins with the whole list given.
    pub fn restart_watches(&self, list: String) {
        self.state.change(|t| (t.lines, t.broken) = (vec![list], t.watches));
    }
}

fn answer(stream: TcpStream, told: &Watched<DiscoveryState>) -> io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    let first = lines.next().unwrap_or_else(|| Ok(String::new()))?;
    while !lines.next().unwrap_or_else(|| Ok(String::new()))?.is_empty() {}
    let watch = first.contains("watch=1");
    let (list, number, silent, manner) = told.change(|t| {
        t.requests.push(first);
        t.watches += usize::from(watch);
        (t.lines[0].clone(), t.watches, t.silent, t.next_responses.pop_front())
    });
    let mut stream = stream;
    if silent {
        told.wait(|t| (!t.silent).then_some(()));
        return Ok(());
    }
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    match manner {
        Some(ResponseMode::Closed) => return Ok(()),
        Some(ResponseMode::Silent) => return stays(stream),
        Some(ResponseMode::Unavailable) => {
            return write!(stream, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        }
        Some(ResponseMode::HeadOnly) => {
            write!(stream, "{head}Transfer-Encoding: chunked\r\n\r\n")?;
            return stays(stream);
        }
        Some(ResponseMode::Drip) => {
            write!(stream, "{head}\r\n{list}\n{{")?;
            loop {
                stream.write_all(b" ")?;
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Some(ResponseMode::Indented) => {
            let list = list.replace('{', "{\n  ").replace(',', ",\n  ").replace('}', "\n}");
            write!(stream, "{head}\r\n{list}\n")?;
            return stays(stream);
        }
        None => {}
    }
    if !watch {
        return write!(stream, "{head}Content-Length: {}\r\n\r\n{list}", list.len());
    }
    write!(stream, "{head}Transfer-Encoding: chunked\r\n\r\n")?;
    let mut next = 0;
    loop {
        let line = told.wait(|t| match t.broken >= number {
            true => Some(None),
            false => t.lines.get(next).cloned().map(Some),
        });
        match line {
            Some(None) => return Ok(()),
            Some(Some(line)) => {
                next += 1;
                write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
            }
            None => write!(stream, "1\r\n\n\r\n")?,
        }
        stream.flush()?;
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Keeps a connection until the other side closes it.
fn stays(mut stream: TcpStream) -> io::Result<()> {
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

/// A line of an endpoint list.
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
