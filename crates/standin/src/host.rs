//! A database host: version 3 of PostgreSQL's protocol, simple queries.

use crate::Watched;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// What a host does with a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Serves it: one row of one binary value.
    Row(Vec<u8>),
    /// Serves it, and closes the connection after that.
    RowThenClose(Vec<u8>),
    /// Answers with an error of this SQLSTATE and stays.
    Error(&'static str),
    /// Answers with an error and closes without ReadyForQuery.
    Fatal(&'static str),
    /// Never answers, and keeps the connection.
    NoAnswer,
    /// Closes the connection without an answer.
    Close,
    /// Sends these bytes as they are.
    Raw(Vec<u8>),
    /// Answers with a row once [`Host::release`] is called.
    RowOnRelease(Vec<u8>),
}

/// What a host tells of itself with each answer, as ParameterStatus messages.
pub type ParameterStatuses = Vec<(&'static str, String)>;

/// A statement that a host has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedStatement {
    /// The number of the connection that it arrived on, the first of them 1.
    pub connection: usize,
    /// Its text.
    pub text: String,
    /// When its last byte had arrived.
    pub received_at: std::time::Instant,
}

/// What a host has seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Statements in the order in which their last bytes arrived.
    pub statements: Vec<ReceivedStatement>,
    /// When connections were accepted.
    pub accepted_at: Vec<std::time::Instant>,
    /// Connections accepted so far.
    pub accepted: usize,
    /// Connections that are open.
    pub open: usize,
    /// Connections that come are accepted, and not welcomed while this holds.
    pub withhold_welcome: bool,
    released: bool,
}

type Answers = dyn Fn(&str) -> (Reply, ParameterStatuses) + Send + Sync;

/// A stand-in for a database host on a port of its own; it goes on until the process ends.
#[derive(Clone)]
pub struct Host {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it has seen.
    pub seen: Arc<Watched<Seen>>,
}

impl Host {
    /// Starts a host that answers each statement as `answers` says.
    pub fn start(
        answers: impl Fn(&str) -> (Reply, ParameterStatuses) + Send + Sync + 'static,
    ) -> io::Result<Host> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let host = Host { addr: listener.local_addr()?, seen: Arc::default() };
        let (seen, answers): (_, Arc<Answers>) = (Arc::clone(&host.seen), Arc::new(answers));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = seen.change(|s| {
                    (s.accepted, s.open) = (s.accepted + 1, s.open + 1);
                    s.accepted_at.push(std::time::Instant::now());
                    s.accepted
                });
                let (seen, answers) = (Arc::clone(&seen), Arc::clone(&answers));
                std::thread::spawn(move || {
                    let _ = connection(&stream, number, &seen, &*answers);
                    let _ = stream.shutdown(Shutdown::Both);
                    seen.change(|s| s.open -= 1);
                });
            }
        });
        Ok(host)
    }

    /// Lets held answers go.
    pub fn release(&self) {
        self.seen.change(|s| s.released = true);
    }

    /// Waits for a statement that holds `part` and takes note of no other; its text and connection.
    pub fn wait_for_statement(&self, part: &str) -> Option<ReceivedStatement> {
        self.seen.wait(|s| s.statements.iter().find(|s| s.text.contains(part)).cloned())
    }

    /// How many statements so far hold `part`.
    pub fn statement_count(&self, part: &str) -> usize {
        self.seen.lock().statements.iter().filter(|s| s.text.contains(part)).count()
    }
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

/// A RowDescription, a DataRow and a CommandComplete with one binary value.
pub fn row(value: &[u8]) -> Vec<u8> {
    let mut column = vec![0, 1];
    column.extend(b"v\0");
    column.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1]);
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    [message(b'T', &column), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mnot done\0\0").as_bytes())
}

fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

fn connection(
    mut stream: &TcpStream,
    number: usize,
    seen: &Watched<Seen>,
    answers: &Answers,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut startup = vec![0; (u32::from_be_bytes(head) as usize).saturating_sub(4).min(10_000)];
    stream.read_exact(&mut startup)?;
    seen.wait(|s| (!s.withhold_welcome).then_some(()));
    let ready = message(b'Z', b"I");
    let welcome =
        [message(b'R', &[0; 4]), parameter("server_version", "15.0"), message(b'K', &[0; 8])].concat();
    stream.write_all(&[welcome, ready.clone()].concat())?;
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; len.saturating_sub(4)];
        stream.read_exact(&mut body)?;
        if head[0] != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body)).into_owned();
        seen.change(|s| {
            s.statements.push(ReceivedStatement {
                connection: number,
                text: text.clone(),
                received_at: std::time::Instant::now(),
            });
        });
        let (reply, telling) = answers(&text);
        let telling: Vec<u8> = telling.iter().flat_map(|(name, value)| parameter(name, value)).collect();
        let out = match reply {
            Reply::Row(value) => [row(&value), telling, ready.clone()].concat(),
            Reply::RowThenClose(value) => {
                return stream.write_all(&[row(&value), telling, ready].concat());
            }
            Reply::Error(code) => [error(code), telling, ready.clone()].concat(),
            Reply::Fatal(code) => {
                stream.write_all(&error(code))?;
                return Ok(());
            }
            Reply::NoAnswer => {
                // Until the other side gives up.
                let _ = stream.read(&mut [0]);
                return Ok(());
            }
            Reply::Close => return Ok(()),
            Reply::Raw(bytes) => bytes,
            Reply::RowOnRelease(value) => {
                seen.wait(|s| s.released.then_some(()));
                [row(&value), telling, ready.clone()].concat()
            }
        };
        stream.write_all(&out)?;
    }
}
