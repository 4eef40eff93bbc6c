//! A client: version 3 of PostgreSQL's protocol, simple queries.

use crate::TIMEOUT;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// What a router answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A value.
    Row(Vec<u8>),
    /// An error: its SQLSTATE, and its detail if it has one.
    Error(String, Option<String>),
    /// EmptyQueryResponse.
    Empty,
}

/// A message of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its type byte.
    pub kind: u8,
    /// What follows its length.
    pub body: Vec<u8>,
}

/// A client's connection.
pub struct Client {
    /// Its socket.
    pub stream: TcpStream,
    /// Bytes sent and received.
    pub bytes: u64,
    /// The newest `session_token` that it was told.
    pub token: Option<String>,
}

/// The startup message.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0svc\0database\0main\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// A simple query.
pub fn query(text: &str) -> Vec<u8> {
    let len = (text.len() as u32 + 5).to_be_bytes();
    [b"Q", &len[..], text.as_bytes(), b"\0"].concat()
}

impl Client {
    /// Connects and introduces itself; the welcome is awaited.
    pub fn connect(addr: SocketAddr) -> io::Result<Client> {
        let mut client = Client::connect_without_startup(addr)?;
        client.stream.write_all(&startup())?;
        client.read_until_ready()?;
        Ok(client)
    }

    /// Connects and says nothing.
    pub fn connect_without_startup(addr: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        Ok(Client { stream, bytes: 0, token: None })
    }

    /// Reads up to the first ReadyForQuery.
    pub fn read_until_ready(&mut self) -> io::Result<()> {
        while self.read_message()?.kind != b'Z' {}
        Ok(())
    }

    /// One message: its type and its body.
    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head)?;
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; len.saturating_sub(4)];
        self.stream.read_exact(&mut body)?;
        self.bytes += (head.len() + body.len()) as u64;
        if let Some(token) = body.strip_prefix(b"session_token\0").filter(|_| head[0] == b'S') {
            let token = token.strip_suffix(b"\0").unwrap_or(token);
            self.token = Some(String::from_utf8_lossy(token).into_owned());
        }
        Ok(Message { kind: head[0], body })
    }

    /// Sends a query and awaits its answer.
    pub fn query(&mut self, text: &str) -> io::Result<Answer> {
        self.send(text)?;
        self.read_answer()
    }

    /// Sends a query.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        let bytes = query(text);
        self.bytes += bytes.len() as u64;
        self.stream.write_all(&bytes)
    }

    /// Awaits an answer, to its ReadyForQuery.
    pub fn read_answer(&mut self) -> io::Result<Answer> {
        let mut answer = None;
        loop {
            let Message { kind, body } = self.read_message()?;
            match kind {
                b'Z' => return answer.ok_or_else(|| ErrorKind::InvalidData.into()),
                b'D' => answer = Some(Answer::Row(body.get(6..).unwrap_or_default().to_vec())),
                b'I' => answer = Some(Answer::Empty),
                b'E' => {
                    let field = |name: u8| {
                        let mut fields = body.split(|b| *b == 0);
                        let found = fields.find(|f| f.first() == Some(&name))?;
                        Some(String::from_utf8_lossy(&found[1..]).into_owned())
                    };
                    answer = Some(Answer::Error(field(b'C').unwrap_or_default(), field(b'D')));
                    if field(b'S').as_deref() == Some("FATAL") {
                        return answer.ok_or_else(|| ErrorKind::InvalidData.into());
                    }
                }
                _ => {}
            }
        }
    }

    /// Whether the other side has ended the connection.
    pub fn is_closed(&mut self) -> bool {
        let end = self.stream.read(&mut [0]);
        matches!(end, Ok(0)) || matches!(end, Err(e) if e.kind() == ErrorKind::ConnectionReset)
    }
}
