//! A database host that speaks version 3 of the PostgreSQL frontend/backend protocol: startup without
//! authentication, then simple queries. The test supplies a function that returns the response to each query.

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
/// Body of a RowDescription of a single column named `v`: no table, type `bytea` (17) of variable length, no
/// type modifier, in binary format.
const ROW_DESCRIPTION_BODY: &[u8] = b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

/// The response of a host to a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// One row of one binary value.
    Row(Vec<u8>),
    /// Like [`Self::Row`], but the host then closes the connection.
    RowThenClose(Vec<u8>),
    /// An error with this SQLSTATE. The connection stays open.
    Error(&'static str),
    /// An error with this SQLSTATE. The host then closes the connection without sending ReadyForQuery.
    Fatal(&'static str),
    /// Nothing. The host keeps the connection open until the router closes it or sends more data.
    NoResponse,
    /// Nothing. The host closes the connection immediately.
    Close,
    /// These bytes, sent unchanged.
    Raw(Vec<u8>),
    /// Like [`Self::Row`], but sent once [`Host::release`] has been called, or after [`crate::TIMEOUT`].
    RowOnRelease(Vec<u8>),
}

/// Names and values of the ParameterStatus messages in a response, with which a host reports its state.
pub type ParameterStatuses = Vec<(&'static str, String)>;

/// A statement that a host has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedStatement {
    /// Number of the connection that the statement was received on, counted from 1.
    pub connection: usize,
    /// Text of the statement.
    pub text: String,
    /// When the last byte of the statement was received.
    pub received_at: Instant,
}

/// What a host has received so far, and settings that tests change while it runs.
#[derive(Debug, Default)]
pub struct HostRecord {
    /// Statements, in the order in which their last bytes were received.
    pub statements: Vec<ReceivedStatement>,
    /// When each connection was accepted.
    pub accepted_at: Vec<Instant>,
    /// Number of connections accepted so far.
    pub accepted: usize,
    /// Number of open connections.
    pub open: usize,
    /// While this is set, the host does not respond to startup messages, for up to [`crate::TIMEOUT`] each.
    pub withhold_startup_response: bool,
    /// Whether rows of [`Response::RowOnRelease`] may be sent.
    released: bool,
}

/// Returns the response to a statement.
type Responder = dyn Fn(&str) -> (Response, ParameterStatuses) + Send + Sync;

/// A database host that listens on its own loopback port. It runs until the process exits.
#[derive(Clone)]
pub struct Host {
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// What the host has received from routers so far, and settings that tests change while it runs.
    pub record: Arc<Watched<HostRecord>>,
}

impl Host {
    /// Starts a host that responds to each statement with what `respond` returns. Each connection is served
    /// by a separate thread.
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

    /// Allows the rows of [`Response::RowOnRelease`] to be sent, for statements received so far and later
    /// ones.
    pub fn release(&self) {
        self.record.change(|record| record.released = true);
    }

    /// Returns the first statement that contains `part`, waiting for it if it has not been received yet.
    /// Returns `None` after [`crate::TIMEOUT`].
    pub fn wait_for_statement(&self, part: &str) -> Option<ReceivedStatement> {
        self.record.wait(|record| record.statements.iter().find(|s| s.text.contains(part)).cloned())
    }

    /// Returns the number of statements received so far that contain `part`.
    pub fn statement_count(&self, part: &str) -> usize {
        self.record.lock().statements.iter().filter(|s| s.text.contains(part)).count()
    }
}

impl HostRecord {
    /// Counts an accepted connection and returns its number.
    fn count_accepted(&mut self) -> usize {
        self.accepted += 1;
        self.open += 1;
        self.accepted_at.push(Instant::now());
        self.accepted
    }
}

/// Returns the RowDescription, DataRow and CommandComplete messages of one row with one binary value.
pub fn row(value: &[u8]) -> Vec<u8> {
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    let complete = message(COMMAND_COMPLETE, b"SELECT 1\0");
    [message(ROW_DESCRIPTION, ROW_DESCRIPTION_BODY), message(DATA_ROW, &data), complete].concat()
}

fn error_response(sqlstate: &str) -> Vec<u8> {
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

/// What happens to a connection after the response to a statement.
#[derive(PartialEq, Eq)]
enum Next {
    Continue,
    Close,
}

impl Connection {
    /// Serves the connection until the host or the router closes it.
    fn run(mut self) {
        // An error is expected here: the router may close or reset the connection at any time.
        let _ = self.serve();
        let _ = self.stream.shutdown(Shutdown::Both);
        self.record.change(|record| record.open -= 1);
    }

    fn serve(&mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        self.read_startup()?;
        self.record.wait(|record| (!record.withhold_startup_response).then_some(()));
        let startup_response = [
            message(AUTHENTICATION, &[0; 4]),
            parameter_status("server_version", "15.0"),
            message(BACKEND_KEY_DATA, &[0; 8]),
            ready_for_query(),
        ];
        self.stream.write_all(&startup_response.concat())?;
        while let Some(text) = self.read_query()? {
            let (response, statuses) = (self.respond)(&text);
            if self.send(response, &statuses)? == Next::Close {
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

    /// Reads a message; if it is a query, records its text and returns it, otherwise returns `None`.
    fn read_query(&mut self) -> io::Result<Option<String>> {
        let mut head = [0; HEAD_LEN];
        self.stream.read_exact(&mut head)?;
        let mut body = vec![0; body_len(&head)];
        self.stream.read_exact(&mut body)?;
        if head[0] != QUERY {
            return Ok(None);
        }
        let text = String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body)).into_owned();
        self.record.change(|record| {
            record.statements.push(ReceivedStatement {
                connection: self.number,
                text: text.clone(),
                received_at: Instant::now(),
            });
        });
        Ok(Some(text))
    }

    fn send(&mut self, response: Response, statuses: &ParameterStatuses) -> io::Result<Next> {
        let statuses: Vec<u8> =
            statuses.iter().flat_map(|(name, value)| parameter_status(name, value)).collect();
        let bytes = match response {
            Response::Row(value) => [row(&value), statuses, ready_for_query()].concat(),
            Response::RowThenClose(value) => {
                self.stream.write_all(&[row(&value), statuses, ready_for_query()].concat())?;
                return Ok(Next::Close);
            }
            Response::Error(sqlstate) => [error_response(sqlstate), statuses, ready_for_query()].concat(),
            Response::Fatal(sqlstate) => {
                self.stream.write_all(&error_response(sqlstate))?;
                return Ok(Next::Close);
            }
            Response::NoResponse => {
                // Returns once the router has closed the connection or sent another byte.
                let _ = self.stream.read(&mut [0]);
                return Ok(Next::Close);
            }
            Response::Close => return Ok(Next::Close),
            Response::Raw(bytes) => bytes,
            Response::RowOnRelease(value) => {
                self.record.wait(|record| record.released.then_some(()));
                [row(&value), statuses, ready_for_query()].concat()
            }
        };
        self.stream.write_all(&bytes)?;
        Ok(Next::Continue)
    }
}
