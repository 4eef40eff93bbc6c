//! Reading into a state machine and writing gathered parts, with the count of what went out.

use super::Hub;
use async_io::Async;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::TcpStream;

/// Reads what there is and feeds it; 0 at the end of the stream.
pub async fn read(hub: &Hub, stream: &Async<TcpStream>, mut feed: impl FnMut(&[u8])) -> io::Result<usize> {
    stream
        .read_with(|mut s: &TcpStream| {
            let mut scratch = hub.scratch.borrow_mut();
            let n = s.read(&mut scratch)?;
            feed(&scratch[..n]);
            Ok(n)
        })
        .await
}

/// Writes all parts in order, from where they lie.
pub async fn write(stream: &Async<TcpStream>, parts: &[&[u8]]) -> io::Result<()> {
    let total: usize = parts.iter().map(|p| p.len()).sum();
    let mut written = 0;
    while written < total {
        let n = stream
            .write_with(|mut s: &TcpStream| {
                let mut skip = written;
                let mut slices = [IoSlice::new(&[]); 8];
                let mut count = 0;
                for part in parts {
                    let from = skip.min(part.len());
                    skip -= from;
                    if from < part.len() && count < slices.len() {
                        slices[count] = IoSlice::new(&part[from..]);
                        count += 1;
                    }
                }
                s.write_vectored(&slices[..count])
            })
            .await?;
        if n == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        written += n;
    }
    Ok(())
}

/// Whether an idle connection is still open and silent.
pub fn silent(stream: &Async<TcpStream>) -> bool {
    let mut one = [0];
    matches!(stream.get_ref().read(&mut one), Err(e) if e.kind() == ErrorKind::WouldBlock)
}
