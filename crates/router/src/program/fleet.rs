//! `basalthill fleet`: requests the status of a running router over its fleet socket, with datagrams signed
//! with the fleet's key.

use basalthill_config::local_settings::{self, FleetSettings};
use basalthill_config::ConfigError;
use basalthill_fleet::packet::{Payload, StatusMessage, MAX_DATAGRAM};
use basalthill_fleet::{status, DatagramCodec, NodeId};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The router to query.
#[derive(clap::Args)]
pub(super) struct Options {
    /// The local settings file, which names the fleet and its keys.
    #[arg(long, env = "BASALTHILL_SETTINGS")]
    settings: PathBuf,
    /// The name of the router in the settings.
    router: Option<String>,
    /// The fleet address of the router, instead of the one in the settings.
    #[arg(long)]
    at: Option<SocketAddr>,
}

/// The maximum number of requests for each page. A request is repeated because datagrams may be lost.
const MAX_ATTEMPTS: u32 = 5;
/// The time that each attempt waits for the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Why there is no status to print.
#[derive(Debug, thiserror::Error)]
enum StatusError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("the settings name no fleet")]
    NoFleet,
    #[error("no router given: pass its name, or its fleet address with --at")]
    NoRouterGiven,
    #[error("{name:?} is not in the settings' list of routers")]
    UnknownRouter { name: String },
    #[error("can't open a UDP socket: {0}")]
    Bind(io::Error),
    #[error("can't send a request to {address}: {source}")]
    Send { address: SocketAddr, source: io::Error },
    #[error("{address} does not answer; is it a router of this fleet, with this key?")]
    NoResponse { address: SocketAddr },
}

/// Prints the router's status and returns the exit code.
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

/// Fetches the status, which is split into pages of one datagram each.
fn fetch_status(options: &Options) -> Result<String, StatusError> {
    let fleet = local_settings::load(&options.settings)?.fleet.ok_or(StatusError::NoFleet)?;
    let address = fleet_address(options, &fleet)?;
    let client = StatusClient::open(address, DatagramCodec::new(fleet.keys))?;
    let mut text = String::new();
    let mut number = 0;
    loop {
        let page = client.fetch_page(number)?;
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
    /// The total number of pages.
    page_count: u16,
}

/// Fetches the status of one router over a UDP socket.
struct StatusClient {
    socket: UdpSocket,
    codec: DatagramCodec,
    address: SocketAddr,
    /// The identifier of this status request, which the responses repeat.
    request_id: u64,
}

impl StatusClient {
    fn open(address: SocketAddr, codec: DatagramCodec) -> Result<StatusClient, StatusError> {
        let any_local = match address {
            SocketAddr::V4(_) => IpAddr::from(Ipv4Addr::UNSPECIFIED),
            SocketAddr::V6(_) => IpAddr::from(Ipv6Addr::UNSPECIFIED),
        };
        let socket = UdpSocket::bind((any_local, 0)).map_err(StatusError::Bind)?;
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let request_id = unix_time.as_nanos() as u64 ^ u64::from(std::process::id()).rotate_left(32);
        Ok(StatusClient { socket, codec, address, request_id })
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

    /// Waits for a page until `deadline`. Other datagrams are ignored.
    fn receive_page(&self, number: u16, deadline: Instant) -> Option<StatusPage> {
        let mut datagram = [0; MAX_DATAGRAM + 1];
        loop {
            let remaining = deadline.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
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
