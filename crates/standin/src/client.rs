//! A client that speaks version 3 of the PostgreSQL frontend/backend protocol and sends simple queries over
//! one blocking socket.

use crate::pg_message::{
    body_len, message, DATA_ROW, EMPTY_QUERY_RESPONSE, ERROR_RESPONSE, HEAD_LEN, LENGTH_LEN,
    PARAMETER_STATUS, QUERY, READY_FOR_QUERY,
};
use crate::TIMEOUT;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Bytes in the body of a DataRow before the value of its single column: the number of columns and the length
/// of the value.
const DATA_ROW_PREFIX: usize = 6;
/// Types of the fields of an ErrorResponse.
const SEVERITY_FIELD: u8 = b'S';
const SQLSTATE_FIELD: u8 = b'C';
const DETAIL_FIELD: u8 = b'D';

/// The reply of a router to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A row of one column, with its value.
    Row(Vec<u8>),
    /// An error, with its SQLSTATE and, if it has one, its detail.
    Error(String, Option<String>),
    /// EmptyQueryResponse.
    Empty,
}

impl Reply {
    /// Returns whether the router rejected the request: whether the reply is an error with the SQLSTATE
    /// `too_many_connections` or `cannot_connect_now`.
    pub fn is_rejection(&self) -> bool {
        matches!(self, Reply::Error(sqlstate, _) if sqlstate == "53300" || sqlstate == "57P03")
    }
}

/// A message from a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The type byte.
    pub kind: u8,
    /// The bytes after the type and the length.
    pub body: Vec<u8>,
}

/// A connection of a client to a router. It is closed when dropped.
pub struct Client {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes of all queries sent and of all messages received.
    pub bytes_transferred: u64,
    /// The last value of the parameter `session_token` that the router has reported.
    pub token: Option<String>,
}

/// Returns a StartupMessage of protocol version 3.0 for user `svc` and database `main`.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0svc\0database\0main\0\0";
    [&((body.len() + LENGTH_LEN) as u32).to_be_bytes()[..], body].concat()
}

/// Returns a Query message with this text.
pub fn query(text: &str) -> Vec<u8> {
    message(QUERY, &[text.as_bytes(), b"\0"].concat())
}

impl Client {
    /// Connects, sends the startup message and waits until the router is ready for queries.
    pub fn connect(addr: SocketAddr) -> io::Result<Client> {
        let mut client = Client::connect_without_startup(addr)?;
        client.stream.write_all(&startup())?;
        client.read_until_ready()?;
        Ok(client)
    }

    /// Connects without sending anything.
    pub fn connect_without_startup(addr: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        Ok(Client { stream, bytes_transferred: 0, token: None })
    }

    /// Reads and discards messages up to and including the next ReadyForQuery.
    pub fn read_until_ready(&mut self) -> io::Result<()> {
        while self.read_message()?.kind != READY_FOR_QUERY {}
        Ok(())
    }

    /// Reads one message. If it reports a session token, stores it in [`Self::token`].
    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut head = [0; HEAD_LEN];
        self.stream.read_exact(&mut head)?;
        let kind = head[0];
        let mut body = vec![0; body_len(&head)];
        self.stream.read_exact(&mut body)?;
        self.bytes_transferred += (head.len() + body.len()) as u64;
        if kind == PARAMETER_STATUS {
            if let Some(token) = body.strip_prefix(b"session_token\0") {
                let token = token.strip_suffix(b"\0").unwrap_or(token);
                self.token = Some(String::from_utf8_lossy(token).into_owned());
            }
        }
        Ok(Message { kind, body })
    }

    /// Sends a query and waits for its reply.
    pub fn query(&mut self, text: &str) -> io::Result<Reply> {
        self.send(text)?;
        self.read_reply()
    }

    /// Sends a query without waiting for its reply.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        let bytes = query(text);
        self.bytes_transferred += bytes.len() as u64;
        self.stream.write_all(&bytes)
    }

    /// Reads the messages of a reply up to its ReadyForQuery, or up to a fatal error. Fails with
    /// `InvalidData` if ReadyForQuery arrives without a row, an error or EmptyQueryResponse before it.
    pub fn read_reply(&mut self) -> io::Result<Reply> {
        let mut reply = None;
        loop {
            let Message { kind, body } = self.read_message()?;
            match kind {
                READY_FOR_QUERY => return reply.ok_or_else(|| ErrorKind::InvalidData.into()),
                DATA_ROW => {
                    reply = Some(Reply::Row(body.get(DATA_ROW_PREFIX..).unwrap_or_default().to_vec()));
                }
                EMPTY_QUERY_RESPONSE => reply = Some(Reply::Empty),
                ERROR_RESPONSE => {
                    let sqlstate = error_field(&body, SQLSTATE_FIELD).unwrap_or_default();
                    let error = Reply::Error(sqlstate, error_field(&body, DETAIL_FIELD));
                    // A router closes the connection after a fatal error, without sending ReadyForQuery.
                    if error_field(&body, SEVERITY_FIELD).as_deref() == Some("FATAL") {
                        return Ok(error);
                    }
                    reply = Some(error);
                }
                _ => {}
            }
        }
    }

    /// Waits until the router closes or resets the connection. Returns false if the router sends a byte
    /// instead, or if nothing happens within the read timeout of the socket.
    pub fn wait_for_close(&mut self) -> bool {
        let result = self.stream.read(&mut [0]);
        matches!(result, Ok(0)) || matches!(result, Err(e) if e.kind() == ErrorKind::ConnectionReset)
    }
}

/// Returns the value of the first field of this type in the body of an ErrorResponse.
fn error_field(body: &[u8], field_type: u8) -> Option<String> {
    let mut fields = body.split(|b| *b == 0);
    let found = fields.find(|field| field.first() == Some(&field_type))?;
    Some(String::from_utf8_lossy(&found[1..]).into_owned())
}
