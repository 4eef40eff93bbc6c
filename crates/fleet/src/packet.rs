//! The wire format between routers: packets and messages, encoded by postcard. A packet is sent as one
//! datagram of at most [`MAX_DATAGRAM`] bytes.
//!
//! A packet names the incarnations of its sender and its receiver. A packet from or to an outdated
//! incarnation is dropped, so it transfers no units. A sender that does not know the receiver's incarnation
//! may only send pings.
//!
//! postcard encodes fields and variants by their order alone, so the order in the types below is part of the
//! format.

use crate::lease::NodeIncarnation;
use crate::limit::LimitKey;
use crate::loan::LoanRequest;
use crate::roster::NodeId;
use serde::{Deserialize, Serialize};

/// The version of the format. Datagrams of other versions are dropped and counted.
pub const VERSION: u8 = 1;
/// The largest size of a datagram, in bytes. It fits in an Ethernet frame without fragmentation, even inside
/// a tunnel.
pub const MAX_DATAGRAM: usize = 1200;
/// Bytes reserved for the datagram's header and authentication code, and for the fields of a packet other
/// than its messages.
const PACKET_OVERHEAD: usize = 80;
/// The most bytes that the messages of a packet may take.
pub const PAYLOAD_CAPACITY: usize = MAX_DATAGRAM - PACKET_OVERHEAD;

/// A peer's state in SWIM. Of two updates with the same incarnation and number of refutations, the one with
/// the later state in this order takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PeerState {
    /// The peer acknowledges pings, or has refuted a suspicion.
    Alive,
    /// The peer did not acknowledge a ping.
    Suspect,
    /// The peer did not refute a suspicion in time.
    Dead,
    /// The peer has reported that it shuts down.
    Left,
}

/// A gossip update on a peer's state. An update with a later incarnation, or with the same incarnation and
/// more refutations, takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// The peer.
    pub node: NodeId,
    /// Its incarnation. A new one begins each time its process starts.
    pub incarnation: u64,
    /// The number of suspicions that the peer has refuted in this incarnation. Together with `incarnation` it
    /// forms the incarnation number of the SWIM paper.
    pub refutations: u32,
    /// Its state.
    pub state: PeerState,
    /// The router that first reported this state.
    pub reporter: NodeId,
}

/// A message between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// SWIM's ping.
    Ping {
        /// The number of the ping, which the acknowledgement repeats.
        number: u32,
    },
    /// SWIM's acknowledgement of a ping.
    Ack {
        /// The ping's number.
        number: u32,
    },
    /// SWIM's ping-req: the receiver pings the target on the sender's behalf.
    PingRequest {
        /// The number of the ping-req, which the indirect acknowledgement repeats.
        number: u32,
        /// The router to ping.
        target: NodeId,
    },
    /// The target of a ping-req has acknowledged the ping that the sender relayed.
    IndirectAck {
        /// The ping-req's number.
        number: u32,
        /// The router that has acknowledged the ping.
        target: NodeId,
    },
    /// Membership updates.
    Gossip(Vec<MembershipUpdate>),
    /// The sender knows a later incarnation of the receiver than the one that the receiver uses.
    StaleIncarnation {
        /// The latest incarnation of the receiver that the sender knows.
        latest: u64,
    },
    /// The sender requests a vote for the lease on an owner's quotas.
    VoteRequest {
        /// The router that the quotas belong to.
        owner: NodeId,
        /// The request's number.
        number: u32,
        /// How long the vote is to be valid, in milliseconds. It differs between routers with different
        /// limits.
        span_ms: u32,
    },
    /// The vote is granted.
    VoteGranted {
        /// The router that the quotas belong to.
        owner: NodeId,
        /// The request's number.
        number: u32,
    },
    /// The vote is denied.
    VoteDenied {
        /// The router that the quotas belong to.
        owner: NodeId,
        /// The router that holds the vote; `None` if the vote is denied for another reason.
        granted_to: Option<NodeIncarnation>,
    },
    /// The sender no longer uses the quotas of `owner`, nor any vote on them granted for its requests up to
    /// `number`.
    LeaseReleased {
        /// The router that the quotas belong to.
        owner: NodeId,
        /// The number of the latest request that the release covers.
        number: u32,
    },
    /// The report of a router to the coordinator of a limit.
    QuotaReport(QuotaReport),
    /// The response of the coordinator of a limit to a report.
    QuotaResponse(QuotaResponse),
    /// The sender returns borrowed units. No response is sent.
    LoanReturned {
        /// The limit.
        key: LimitKey,
        /// The request that reduces the loan.
        request: LoanRequest,
    },
}

/// The demand of a router for units of a limit, and the units that it can lend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// The limit.
    pub key: LimitKey,
    /// The request for a grant.
    pub request: LoanRequest,
    /// The units that the router needs in total from this loan.
    pub demand: u64,
    /// The units lent in response to the coordinator's deposit request; `None` if there is none.
    pub surplus: Option<SurplusOffer>,
}

/// Units that a router lends to the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurplusOffer {
    /// The number of the coordinator's request.
    pub number: u32,
    /// Units lent.
    pub units: u64,
}

/// The units that the coordinator grants, and its request for a deposit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaResponse {
    /// The limit.
    pub key: LimitKey,
    /// The number of the loan request that this is the response to.
    pub number: u32,
    /// The units that the coordinator lends in response to that request.
    pub granted: u64,
    /// The coordinator's request for a deposit.
    pub deposit_request: LoanRequest,
    /// Units that each router with requests may use beyond its demand.
    pub headroom: u64,
}

/// A packet from one router to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: NodeId,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The receiver.
    pub to: NodeId,
    /// The receiver's incarnation, or zero if the sender does not know it.
    pub to_incarnation: u64,
    /// Increases with each packet from this incarnation to this receiver.
    pub sequence: u64,
    /// The digest of the sender's roster.
    pub roster_digest: u32,
    /// The digest of the sender's limits.
    pub limits_digest: u32,
    /// The messages.
    pub messages: Vec<Message>,
}

/// A status request of the operators' command, or the response to it: a page of lines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusMessage {
    /// Requests a page of the status.
    Request {
        /// An id that the response repeats.
        id: u64,
        /// The page, counted from zero.
        page: u16,
        /// Zeros that make the request as long as the longest response, so that requests with a forged sender
        /// address can't be used to amplify traffic.
        padding: Vec<u8>,
    },
    /// A page of the status.
    Response {
        /// The id of the request.
        id: u64,
        /// The page that was requested, counted from zero.
        page: u16,
        /// The number of pages.
        pages: u16,
        /// The lines of the page.
        text: String,
    },
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Messages between routers.
    Packet(Packet),
    /// A status request or response.
    Status(StatusMessage),
}

/// Returns the number of bytes that a message takes in a packet; `usize::MAX` if it can't be encoded.
pub fn encoded_len(message: &Message) -> usize {
    postcard::to_allocvec(message).map_or(usize::MAX, |bytes| bytes.len())
}

#[cfg(test)]
mod tests;
