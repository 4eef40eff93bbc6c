//! `basalthill ready`: checks whether a router replies to an empty query, which it does once it is ready.

use crate::protocol::host::{self, HostCodec, HostEvent, QueryOutcome};
use basalthill_wire::ProtocolError;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// The limit on connecting, and on each read of the reply.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The size of the read buffer in bytes; the complete reply is shorter.
const READ_BUFFER_LEN: usize = 1024;

/// Why a router is not considered ready.
#[derive(Debug, thiserror::Error)]
enum NotReady {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    #[error("unexpected reply to an empty query: {0:?}")]
    UnexpectedReply(Box<HostEvent>),
}

/// Prints whether the router at `listen` is ready, and returns the exit code.
pub(super) fn run(listen: SocketAddr) -> ExitCode {
    match check(listen) {
        Ok(()) => {
            println!("{listen} is ready");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("basalthill: {listen} is not ready: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Sends an empty query and waits for the reply.
fn check(listen: SocketAddr) -> Result<(), NotReady> {
    let mut stream = TcpStream::connect_timeout(&listen, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(&[host::startup(), host::query("")].concat())?;
    let mut codec = HostCodec::default();
    let mut bytes = [0; READ_BUFFER_LEN];
    loop {
        match codec.next_event()? {
            Some(HostEvent::Ready) => codec.begin_query(),
            Some(HostEvent::QueryEnded(QueryOutcome::Empty, _)) => return Ok(()),
            Some(other) => return Err(NotReady::UnexpectedReply(Box::new(other))),
            None => match stream.read(&mut bytes)? {
                0 => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                len => codec.feed(&bytes[..len]),
            },
        }
    }
}
