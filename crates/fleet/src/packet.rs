//! What routers say to each other, as postcard writes it. One packet is one datagram, [`MAX_DATAGRAM`] bytes
//! at most.
//!
//! A packet says from which life of which router it comes and for which it is: one that was meant for an
//! earlier life, or comes from one, carries no rights. Only a ping may come from one who does not know
//! the other's life.

use crate::limit::LimitKey;
use crate::names::NodeId;
use serde::{Deserialize, Serialize};

/// The wire's version; another one is dropped and counted.
pub const VERSION: u8 = 1;
/// Most bytes of a datagram: what passes an Ethernet unbroken, with room for tunnels.
pub const MAX_DATAGRAM: usize = 1200;
/// Bytes that messages may take: the rest is the seal's and the head's.
pub const PAYLOAD_CAPACITY: usize = MAX_DATAGRAM - 80;

/// What is known of a router, by those who heard it or heard of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PeerState {
    /// It answers, or says so itself.
    Alive,
    /// It did not answer one who asked.
    Suspect,
    /// Nobody has heard it in time.
    Dead,
    /// It has said that it goes.
    Left,
}

/// News of a router. What it says itself of a later life or a later turn of a life counts more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// Of whom.
    pub of: NodeId,
    /// Its life.
    pub life: u64,
    /// Its turn in that life: it rises whenever the router has to contradict.
    pub turn: u32,
    /// What is said.
    pub word: PeerState,
    /// Who says so first.
    pub by: NodeId,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// An answer is asked for.
    Ping(u32),
    /// The answer.
    Ack(u32),
    /// Another router is to be asked in the sender's place.
    PingRequest(u32, NodeId),
    /// It has answered.
    IndirectAck(u32, NodeId),
    /// News of routers.
    Gossip(Vec<MembershipUpdate>),
    /// The sender's life is an earlier one than this, which is known of it.
    StaleIncarnation(u64),
    /// A vote on a name's share is asked for: the name, the question's number, and for how many milliseconds.
    /// Routers with other limits may want other spans.
    VoteRequest(NodeId, u32, u32),
    /// The vote is given.
    VoteGranted(NodeId, u32),
    /// It is not given, as this life of a router has it, if any.
    VoteDenied(NodeId, Option<(NodeId, u64)>),
    /// The sender no longer uses a name's share, nor any vote for it up to its question of this number.
    LeaseReleased(NodeId, u32),
    /// To the one who deals a limit's rights out.
    Report(QuotaReport),
    /// From that one.
    Reply(QuotaReply),
    /// Of what the sender has borrowed under a limit, it keeps no more than so many units: the question's
    /// number, and the units. No answer is wanted.
    LoanReturned(LimitKey, u32, u64),
}

/// What a router needs and what it can spare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Of which limit.
    pub key: LimitKey,
    /// The question's number.
    pub number: u32,
    /// Units kept of the loan before.
    pub keep: u64,
    /// Units wanted.
    pub want: u64,
    /// The answer to the other's question: its number, and units that can be spared.
    pub spare: Option<(u32, u64)>,
}

/// What a router gets, and what it is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Of which limit.
    pub key: LimitKey,
    /// The question that is answered.
    pub number: u32,
    /// Units lent.
    pub units: u64,
    /// The question for what can be spared: its number, and units kept of the loan before.
    pub question: (u32, u64),
    /// Units that each router with requests may have beyond what it wants.
    pub cushion: u64,
}

/// A packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Who sends it.
    pub from: NodeId,
    /// In which life.
    pub life: u64,
    /// To whom.
    pub to: NodeId,
    /// To which life of it; zero if that is not known.
    pub to_life: u64,
    /// Rises with each packet from this life to this router.
    pub sequence: u64,
    /// The sender's list of names, in short.
    pub names: u32,
    /// The sender's limits, in short.
    pub limits: u32,
    /// What it says.
    pub messages: Vec<Message>,
}

/// What an operator asks, and what is answered: pages of lines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusMessage {
    /// A page of the status, with a number that the answer repeats, and padding: an answer is never much
    /// longer than its question.
    Request {
        /// Repeated by the response.
        id: u64,
        /// The page, counted from zero.
        page: u16,
        /// Zeros that make the request as long as the longest response.
        padding: Vec<u8>,
    },
    /// The number, the page, how many pages there are, and the page's lines.
    Response {
        /// As in the request.
        id: u64,
        /// As in the request.
        page: u16,
        /// How many pages there are.
        pages: u16,
        /// The lines of the page.
        text: String,
    },
}

/// What a datagram holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Talk between routers.
    Packet(Packet),
    /// Talk with an operator.
    Status(StatusMessage),
}

/// How many bytes a message takes.
pub fn encoded_len(message: &Message) -> usize {
    postcard::to_allocvec(message).map_or(usize::MAX, |bytes| bytes.len())
}
