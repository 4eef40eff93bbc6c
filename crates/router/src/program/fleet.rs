//! `basalthill fleet`: requests the status of a running router over its fleet socket, signed with the fleet's
//! key.

use basalthill_config::local_settings::{self, FleetSettings};
use basalthill_config::ConfigError;
use basalthill_fleet::packet::{Payload, StatusMessage, MAX_DATAGRAM};
use basalthill_fleet::{status, DatagramCodec, NodeId};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Which router to query.
#[derive(clap::Args)]
pub(super) struct Options {
    /// The settings that name the fleet and its keys.
    #[arg(long, env = "BASALTHILL_SETTINGS")]
    settings: PathBuf,
    /// The router's name, as the settings have it.
    router: Option<String>,
    /// Its fleet address, if it is not the name's.
    #[arg(long)]
    at: Option<SocketAddr>,
}

/// Datagrams may get lost: each page is requested so many times.
const MAX_ATTEMPTS: u32 = 5;
/// How long each attempt waits for its answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Why there is no status to print.
#[derive(Debug, thiserror::Error)]
enum StatusError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("the settings name no fleet")]
    NoFleet,
    #[error("name a router, or an address by --at")]
    NoRouterGiven,
    #[error("{name:?} is not on the list")]
    UnknownRouter { name: String },
    #[error(transparent)]
    Bind(io::Error),
    #[error("{address}: {source}")]
    Send { address: SocketAddr, source: io::Error },
    #[error("{address} does not answer; is it a router of this fleet, with this key?")]
    NoResponse { address: SocketAddr },
}

/// Prints the router's status.
pub(super) fn run(options: &Options) -> ExitCode {
    match fetch_status(options) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("basalthill: fleet: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The status, which comes in pages of one datagram each.
fn fetch_status(options: &Options) -> Result<String, StatusError> {
    let fleet = local_settings::load(&options.settings)?.fleet.ok_or(StatusError::NoFleet)?;
    let address = fleet_address(options, &fleet)?;
    let exchange = StatusExchange::open(address, DatagramCodec::new(fleet.keys))?;
    let mut text = String::new();
    let mut number = 0;
    loop {
        let page = exchange.fetch_page(number)?;
        text.push_str(&page.text);
        number += 1;
        if number >= page.page_count {
            return Ok(text);
        }
    }
}

fn fleet_address(options: &Options, fleet: &FleetSettings) -> Result<SocketAddr, StatusError> {
    if let Some(address) = options.at {
        return Ok(address);
    }
    let name = options.router.as_ref().ok_or(StatusError::NoRouterGiven)?;
    match fleet.roster.get(NodeId::of(name)) {
        Some(peer) => Ok(peer.addr),
        None => Err(StatusError::UnknownRouter { name: name.clone() }),
    }
}

/// One page of a status.
struct StatusPage {
    text: String,
    /// How many pages there are in all.
    page_count: u16,
}

/// The requests to one router that together fetch its status.
struct StatusExchange {
    socket: UdpSocket,
    codec: DatagramCodec,
    address: SocketAddr,
    /// Tells this status from those of other calls.
    request_id: u64,
}

impl StatusExchange {
    fn open(address: SocketAddr, codec: DatagramCodec) -> Result<StatusExchange, StatusError> {
        let any_local = match address {
            SocketAddr::V4(_) => IpAddr::from(Ipv4Addr::UNSPECIFIED),
            SocketAddr::V6(_) => IpAddr::from(Ipv6Addr::UNSPECIFIED),
        };
        let socket = UdpSocket::bind((any_local, 0)).map_err(StatusError::Bind)?;
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let request_id = unix_time.as_nanos() as u64 ^ u64::from(std::process::id()).rotate_left(32);
        Ok(StatusExchange { socket, codec, address, request_id })
    }

    fn fetch_page(&self, number: u16) -> Result<StatusPage, StatusError> {
        let request = self.codec.encode(&status::request(self.request_id, number));
        let address = self.address;
        for _ in 0..MAX_ATTEMPTS {
            let sent = self.socket.send_to(&request, address);
            sent.map_err(|source| StatusError::Send { address, source })?;
            if let Some(page) = self.receive_page(number, Instant::now() + RESPONSE_TIMEOUT) {
                return Ok(page);
            }
        }
        Err(StatusError::NoResponse { address })
    }

    /// The page, if it comes by then; other datagrams are passed over.
    fn receive_page(&self, number: u16, give_up_at: Instant) -> Option<StatusPage> {
        let mut datagram = [0; MAX_DATAGRAM + 1];
        loop {
            let remaining =
                give_up_at.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
            let _ = self.socket.set_read_timeout(Some(remaining));
            let len = self.socket.recv(&mut datagram).ok()?;
            let Ok(Payload::Status(message)) = self.codec.decode(&datagram[..len]) else { continue };
            if let StatusMessage::Response { id, page, pages, text } = message {
                if id == self.request_id && page == number {
                    return Some(StatusPage { text, page_count: pages });
                }
            }
        }
    }
}
