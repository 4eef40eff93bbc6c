//! `basalthill fleet`: asks a running router over its fleet socket, signed with the fleet's key.

use basalthill_config::local_settings::{self, FleetSettings};
use basalthill_fleet::packet::{Payload, StatusMessage, MAX_DATAGRAM};
use basalthill_fleet::{status, DatagramCodec, NodeId};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What to ask of whom.
#[derive(clap::Args)]
pub struct Options {
    /// The settings that name the fleet and its keys.
    #[arg(long, env = "BASALTHILL_SETTINGS")]
    settings: PathBuf,
    /// The router's name, as the settings have it.
    router: Option<String>,
    /// Its fleet address, if it is not the name's.
    #[arg(long)]
    at: Option<SocketAddr>,
}

const TRIES: u32 = 5;
const ANSWER_WITHIN: Duration = Duration::from_millis(400);

/// Prints what the router says.
pub fn run(options: &Options) -> ExitCode {
    match asked(options) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("basalthill: fleet: {e}");
            ExitCode::FAILURE
        }
    }
}

fn asked(options: &Options) -> Result<String, String> {
    let own = local_settings::load(&options.settings).map_err(|e| e.to_string())?;
    let fleet = own.fleet.ok_or("the settings name no fleet")?;
    let addr = address(options, &fleet)?;
    let any = if addr.is_ipv4() { Ipv4Addr::UNSPECIFIED.into() } else { IpAddr::from([0u16; 8]) };
    let socket = UdpSocket::bind((any, 0)).map_err(|e| e.to_string())?;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let number = unix.as_nanos() as u64 ^ u64::from(std::process::id()).rotate_left(32);
    let seal = DatagramCodec::new(fleet.keys);
    let (mut text, mut page, mut pages) = (String::new(), 0, 1);
    while page < pages {
        let (more, lines) = one(&socket, &seal, addr, number, page)?;
        text.push_str(&lines);
        (page, pages) = (page + 1, more);
    }
    Ok(text)
}

fn address(options: &Options, fleet: &FleetSettings) -> Result<SocketAddr, String> {
    match (&options.at, &options.router) {
        (Some(addr), _) => Ok(*addr),
        (None, Some(name)) => {
            let peer = fleet.names.get(NodeId::of(name));
            peer.map(|p| p.addr).ok_or(format!("{name:?} is not on the list"))
        }
        (None, None) => Err("name a router, or an address by --at".into()),
    }
}

/// One page: how many there are, and its lines.
fn one(
    socket: &UdpSocket,
    seal: &DatagramCodec,
    addr: SocketAddr,
    number: u64,
    page: u16,
) -> Result<(u16, String), String> {
    let question = seal.encode(&status::request(number, page));
    for _ in 0..TRIES {
        socket.send_to(&question, addr).map_err(|e| format!("{addr}: {e}"))?;
        let until = Instant::now() + ANSWER_WITHIN;
        while let Some(left) = until.checked_duration_since(Instant::now()).filter(|l| !l.is_zero()) {
            let mut bytes = [0; MAX_DATAGRAM + 1];
            let _ = socket.set_read_timeout(Some(left));
            let Ok(len) = socket.recv(&mut bytes) else { break };
            match seal.decode(&bytes[..len]) {
                Ok(Payload::Status(StatusMessage::Response { id: n, page: p, pages, text: lines }))
                    if (n, p) == (number, page) =>
                {
                    return Ok((pages, lines));
                }
                _ => {}
            }
        }
    }
    Err(format!("{addr} does not answer; is it a router of this fleet, with this key?"))
}
