//! The wire format between routers: packets and messages, encoded by postcard. One packet is one datagram of
//! [`MAX_DATAGRAM`] bytes at most.
//!
//! A packet names the incarnations that it comes from and is addressed to. One that is addressed to an
//! earlier incarnation, or comes from one, carries no units. A sender that does not know the receiver's
//! incarnation may only send a ping.
//!
//! postcard writes fields and variants by their order alone, so the order of the types below is part of the
//! format.

use crate::lease::NodeIncarnation;
use crate::limit::LimitKey;
use crate::loan::LoanRequest;
use crate::roster::NodeId;
use serde::{Deserialize, Serialize};

/// The version of the format. Datagrams of other versions are dropped and counted.
pub const VERSION: u8 = 1;
/// The most bytes of a datagram: it passes an Ethernet without fragmentation, also through a tunnel.
pub const MAX_DATAGRAM: usize = 1200;
/// Bytes set aside for the signature and the fields of a packet around its messages.
const PACKET_OVERHEAD: usize = 80;
/// The bytes that the messages of a packet may take.
pub const PAYLOAD_CAPACITY: usize = MAX_DATAGRAM - PACKET_OVERHEAD;

/// A peer's state in SWIM. Of two updates with the same incarnation and refutations, the one with the later
/// state in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PeerState {
    /// It answers, or reports so itself.
    Alive,
    /// It did not answer a ping.
    Suspect,
    /// Its suspicion was not refuted in time.
    Dead,
    /// It has reported that it shuts down.
    Left,
}

/// A gossip update on a peer's state. Updates of a later incarnation, or with more refutations, win.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// The peer.
    pub node: NodeId,
    /// Its incarnation: a new one begins at each start of its process.
    pub incarnation: u64,
    /// How often the peer has refuted a suspicion in this incarnation. With `incarnation` this is SWIM's
    /// incarnation number.
    pub refutations: u32,
    /// Its state.
    pub state: PeerState,
    /// The router that reported this first.
    pub reporter: NodeId,
}

/// A message between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// SWIM's ping.
    Ping {
        /// Repeated by the acknowledgement.
        number: u32,
    },
    /// SWIM's acknowledgement of a ping.
    Ack {
        /// The ping's number.
        number: u32,
    },
    /// SWIM's ping-req: the receiver pings the target on the sender's behalf.
    PingRequest {
        /// Repeated by the indirect acknowledgement.
        number: u32,
        /// The router to ping.
        target: NodeId,
    },
    /// The target of a ping-req has acknowledged the receiver's ping.
    IndirectAck {
        /// The ping-req's number.
        number: u32,
        /// The router that has answered.
        target: NodeId,
    },
    /// Membership updates.
    Gossip(Vec<MembershipUpdate>),
    /// The receiver's incarnation is an earlier one than this, which the sender knows of.
    StaleIncarnation {
        /// The latest incarnation of the receiver that is known.
        latest: u64,
    },
    /// The sender requests a vote for the lease of a node's quotas.
    VoteRequest {
        /// The node that the quotas belong to.
        owner: NodeId,
        /// The request's number.
        number: u32,
        /// How long the vote is to be valid, in milliseconds. Routers with other limits request other spans.
        span_ms: u32,
    },
    /// The vote is granted.
    VoteGranted {
        /// The node that the quotas belong to.
        owner: NodeId,
        /// The request's number.
        number: u32,
    },
    /// The vote is denied.
    VoteDenied {
        /// The node that the quotas belong to.
        owner: NodeId,
        /// The router that has the vote, if any has.
        granted_to: Option<NodeIncarnation>,
    },
    /// The sender no longer uses a node's quotas, nor any vote for them up to this request.
    LeaseReleased {
        /// The node that the quotas belong to.
        owner: NodeId,
        /// The number of the latest request that is given up.
        number: u32,
    },
    /// To the coordinator of a limit.
    QuotaReport(QuotaReport),
    /// From the coordinator of a limit.
    QuotaReply(QuotaReply),
    /// The sender gives borrowed units back. No answer is expected.
    LoanReturned {
        /// The limit.
        key: LimitKey,
        /// The request by which the loan shrinks.
        request: LoanRequest,
    },
}

/// What a router needs of a limit, and what it can lend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// The limit.
    pub key: LimitKey,
    /// The request for a grant.
    pub request: LoanRequest,
    /// Units wanted in all by this loan.
    pub demand: u64,
    /// The answer to the coordinator's request for a deposit.
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

/// What the coordinator grants, and what it requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// The limit.
    pub key: LimitKey,
    /// The number of the request that is answered.
    pub number: u32,
    /// Units lent.
    pub granted: u64,
    /// The coordinator's request for a deposit.
    pub deposit_request: LoanRequest,
    /// Units that each router with requests may have beyond its demand.
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
    /// The receiver's incarnation; zero if the sender does not know it.
    pub to_incarnation: u64,
    /// Rises with each packet from this incarnation to this receiver.
    pub sequence: u64,
    /// The digest of the sender's roster.
    pub roster_digest: u32,
    /// The digest of the sender's limits.
    pub limits_digest: u32,
    /// The messages.
    pub messages: Vec<Message>,
}

/// What an operator's command requests of a router, and the response: the status as pages of lines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusMessage {
    /// Requests a page of the status.
    Request {
        /// Repeated by the response.
        id: u64,
        /// The page, counted from zero.
        page: u16,
        /// Zeros that make the request as long as the longest response, so that a forged sender address can't
        /// be used to amplify traffic.
        padding: Vec<u8>,
    },
    /// A page of the status.
    Response {
        /// As in the request.
        id: u64,
        /// As in the request.
        page: u16,
        /// The number of pages.
        pages: u16,
        /// The lines of the page.
        text: String,
    },
}

/// What a datagram carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Messages between routers.
    Packet(Packet),
    /// A status request or response.
    Status(StatusMessage),
}

/// The bytes that a message takes in a packet.
pub fn encoded_len(message: &Message) -> usize {
    postcard::to_allocvec(message).map_or(usize::MAX, |bytes| bytes.len())
}

#[cfg(test)]
mod tests;
