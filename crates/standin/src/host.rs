//! A database host that speaks version 3 of the PostgreSQL frontend/backend protocol: startup without
//! authentication, then simple queries, each answered by a function of the test.

use crate::pg_message::{
    body_len, message, AUTHENTICATION, BACKEND_KEY_DATA, COMMAND_COMPLETE, DATA_ROW, ERROR_RESPONSE,
    HEAD_LEN, LENGTH_LEN, PARAMETER_STATUS, QUERY, READY_FOR_QUERY, ROW_DESCRIPTION,
};
use crate::Watched;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Instant;

/// The longest startup message that PostgreSQL accepts, in bytes (`MAX_STARTUP_PACKET_LENGTH`).
const MAX_STARTUP_LEN: usize = 10_000;
/// RowDescription of a single column named `v`: no table, type `bytea` (17) of variable length, no type
/// modifier, in binary format.
const COLUMN: &[u8] = b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

/// What a host does with a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// Serves it: one row of one binary value.
    Row(Vec<u8>),
    /// Serves it, then closes the connection.
    RowThenClose(Vec<u8>),
    /// Answers with an error of this SQLSTATE and keeps the connection.
    Error(&'static str),
    /// Answers with an error of this SQLSTATE and closes the connection without ReadyForQuery.
    Fatal(&'static str),
    /// Never answers, and keeps the connection.
    NoResponse,
    /// Closes the connection without an answer.
    Close,
    /// Sends these bytes as they are.
    Raw(Vec<u8>),
    /// Answers with a row once [`Host::release`] is called.
    RowOnRelease(Vec<u8>),
}

/// What a host reports of itself with each answer, as names and values of ParameterStatus messages.
pub type ParameterStatuses = Vec<(&'static str, String)>;

/// A statement that a host has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedStatement {
    /// The number of the connection that it arrived on; the first one is 1.
    pub connection: usize,
    /// Its text.
    pub text: String,
    /// When its last byte had arrived.
    pub received_at: Instant,
}

/// What a host has seen so far, and how it treats new connections.
#[derive(Debug, Default)]
pub struct HostRecord {
    /// Statements in the order in which their last bytes arrived.
    pub statements: Vec<ReceivedStatement>,
    /// When connections were accepted.
    pub accepted_at: Vec<Instant>,
    /// Connections accepted so far.
    pub accepted: usize,
    /// Connections that are open.
    pub open: usize,
    /// While this is set, startup messages on accepted connections get no answer.
    pub withhold_startup_response: bool,
    /// Whether [`Response::RowOnRelease`] may be answered.
    released: bool,
}

/// Decides what a host does with a statement.
type Responder = dyn Fn(&str) -> (Response, ParameterStatuses) + Send + Sync;

/// A database host on a port of its own on loopback. It runs until the process ends.
#[derive(Clone)]
pub struct Host {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it has seen.
    pub record: Arc<Watched<HostRecord>>,
}

impl Host {
    /// Starts a host that does with each statement what `respond` returns. Each connection has a thread.
    pub fn start(
        respond: impl Fn(&str) -> (Response, ParameterStatuses) + Send + Sync + 'static,
    ) -> io::Result<Host> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let host = Host { addr: listener.local_addr()?, record: Arc::default() };
        let record = Arc::clone(&host.record);
        let respond: Arc<Responder> = Arc::new(respond);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = record.change(HostRecord::count_accepted);
                let connection =
                    Connection { stream, number, record: Arc::clone(&record), respond: Arc::clone(&respond) };
                std::thread::spawn(move || connection.run());
            }
        });
        Ok(host)
    }

    /// Lets all [`Response::RowOnRelease`] be answered, from now on.
    pub fn release(&self) {
        self.record.change(|s| s.released = true);
    }

    /// Waits for a statement that contains `part`, also one that arrived earlier. `None` after
    /// [`crate::TIMEOUT`].
    pub fn wait_for_statement(&self, part: &str) -> Option<ReceivedStatement> {
        self.record.wait(|seen| seen.statements.iter().find(|s| s.text.contains(part)).cloned())
    }

    /// How many statements so far contain `part`.
    pub fn statement_count(&self, part: &str) -> usize {
        self.record.lock().statements.iter().filter(|s| s.text.contains(part)).count()
    }
}

impl HostRecord {
    /// Counts a connection that was accepted, and returns its number.
    fn count_accepted(&mut self) -> usize {
        self.accepted += 1;
        self.open += 1;
        self.accepted_at.push(Instant::now());
        self.accepted
    }
}

/// RowDescription, DataRow and CommandComplete of one row with one binary value.
pub fn row(value: &[u8]) -> Vec<u8> {
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    let complete = message(COMMAND_COMPLETE, b"SELECT 1\0");
    [message(ROW_DESCRIPTION, COLUMN), message(DATA_ROW, &data), complete].concat()
}

fn error(sqlstate: &str) -> Vec<u8> {
    message(ERROR_RESPONSE, format!("SERROR\0C{sqlstate}\0Mnot done\0\0").as_bytes())
}

fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    message(PARAMETER_STATUS, format!("{name}\0{value}\0").as_bytes())
}

fn ready_for_query() -> Vec<u8> {
    message(READY_FOR_QUERY, b"I")
}

/// A connection that a host has accepted.
struct Connection {
    stream: TcpStream,
    number: usize,
    record: Arc<Watched<HostRecord>>,
    respond: Arc<Responder>,
}

/// Whether a connection goes on after a statement.
#[derive(PartialEq, Eq)]
enum Next {
    Continue,
    Close,
}

impl Connection {
    /// Serves the connection until either side closes it.
    fn run(mut self) {
        // The other side may close or reset it at any time.
        let _ = self.serve();
        let _ = self.stream.shutdown(Shutdown::Both);
        self.record.change(|s| s.open -= 1);
    }

    fn serve(&mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        self.read_startup()?;
        self.record.wait(|s| (!s.withhold_startup_response).then_some(()));
        let welcome = [
            message(AUTHENTICATION, &[0; 4]),
            parameter_status("server_version", "15.0"),
            message(BACKEND_KEY_DATA, &[0; 8]),
            ready_for_query(),
        ];
        self.stream.write_all(&welcome.concat())?;
        while let Some(text) = self.read_query()? {
            let (reply, statuses) = (self.respond)(&text);
            if self.send(reply, &statuses)? == Next::Close {
                break;
            }
        }
        Ok(())
    }

    fn read_startup(&mut self) -> io::Result<()> {
        let mut len = [0; LENGTH_LEN];
        self.stream.read_exact(&mut len)?;
        let len = (u32::from_be_bytes(len) as usize).saturating_sub(LENGTH_LEN);
        let mut startup = vec![0; len.min(MAX_STARTUP_LEN)];
        self.stream.read_exact(&mut startup)
    }

    /// Reads a query and records it. `None` for any other message.
    fn read_query(&mut self) -> io::Result<Option<String>> {
        let mut head = [0; HEAD_LEN];
        self.stream.read_exact(&mut head)?;
        let mut body = vec![0; body_len(&head)];
        self.stream.read_exact(&mut body)?;
        if head[0] != QUERY {
            return Ok(None);
        }
        let text = String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body)).into_owned();
        self.record.change(|s| {
            s.statements.push(ReceivedStatement {
                connection: self.number,
                text: text.clone(),
                received_at: Instant::now(),
            });
        });
        Ok(Some(text))
    }

    fn send(&mut self, reply: Response, statuses: &ParameterStatuses) -> io::Result<Next> {
        let statuses: Vec<u8> =
            statuses.iter().flat_map(|(name, value)| parameter_status(name, value)).collect();
        let answer = match reply {
            Response::Row(value) => [row(&value), statuses, ready_for_query()].concat(),
            Response::RowThenClose(value) => {
                self.stream.write_all(&[row(&value), statuses, ready_for_query()].concat())?;
                return Ok(Next::Close);
            }
            Response::Error(sqlstate) => [error(sqlstate), statuses, ready_for_query()].concat(),
            Response::Fatal(sqlstate) => {
                self.stream.write_all(&error(sqlstate))?;
                return Ok(Next::Close);
            }
            Response::NoResponse => {
                // Until the other side gives up.
                let _ = self.stream.read(&mut [0]);
                return Ok(Next::Close);
            }
            Response::Close => return Ok(Next::Close),
            Response::Raw(bytes) => bytes,
            Response::RowOnRelease(value) => {
                self.record.wait(|s| s.released.then_some(()));
                [row(&value), statuses, ready_for_query()].concat()
            }
        };
        self.stream.write_all(&answer)?;
        Ok(Next::Continue)
    }
}
