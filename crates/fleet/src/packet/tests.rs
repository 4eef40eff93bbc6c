//! Tests of the encoding of each message. Routers of different builds exchange these bytes, so they must not
//! change.

use super::*;

const NODE: NodeId = NodeId(0x0102_0304_0506_0708);
const KEY: LimitKey = LimitKey { limit: 300, member: 0x1000 };
/// The encoding of [`packet_of`] up to its messages.
const PACKET_HEAD: &str = "00888e98a8c0e08081011a1b1c1d1e1f";

fn packet_of(messages: Vec<Message>) -> Payload {
    Payload::Packet(Packet {
        from: NODE,
        incarnation: 26,
        to: NodeId(27),
        to_incarnation: 28,
        sequence: 29,
        roster_digest: 30,
        limits_digest: 31,
        messages,
    })
}

fn hex(payload: &Payload) -> String {
    let bytes = postcard::to_allocvec(payload).expect("a payload can be encoded");
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Asserts that a packet with this message is encoded with these bytes at its end, and that decoding yields
/// the same message.
fn assert_encoding(message: Message, expected: &str) {
    let payload = packet_of(vec![message]);
    assert_eq!(hex(&payload), format!("{PACKET_HEAD}01{expected}"), "{payload:?}");
    let bytes = postcard::to_allocvec(&payload).expect("a payload can be encoded");
    assert_eq!(postcard::from_bytes(&bytes), Ok(payload));
}

fn update(state: PeerState) -> MembershipUpdate {
    MembershipUpdate {
        node: NODE,
        incarnation: 1_790_000_000_000,
        refutations: 7,
        state,
        reporter: NodeId(9),
    }
}

#[test]
fn packets_keep_their_encoding() {
    assert_eq!(hex(&packet_of(vec![])), format!("{PACKET_HEAD}00"));
}

#[test]
fn membership_messages_keep_their_encoding() {
    assert_encoding(Message::Ping { number: 1 }, "0001");
    assert_encoding(Message::Ack { number: 200 }, "01c801");
    assert_encoding(Message::PingRequest { number: 3, target: NODE }, "0203888e98a8c0e0808101");
    assert_encoding(Message::IndirectAck { number: 4, target: NODE }, "0304888e98a8c0e0808101");
    let states = [PeerState::Alive, PeerState::Suspect, PeerState::Dead, PeerState::Left];
    assert_encoding(
        Message::Gossip(states.map(update).to_vec()),
        "0404\
         888e98a8c0e080810180d8c1a28c34070009888e98a8c0e080810180d8c1a28c34070109\
         888e98a8c0e080810180d8c1a28c34070209888e98a8c0e080810180d8c1a28c34070309",
    );
    assert_encoding(Message::StaleIncarnation { latest: 1_790_000_000_001 }, "0581d8c1a28c34");
}

#[test]
fn lease_messages_keep_their_encoding() {
    let owner = NODE;
    assert_encoding(Message::VoteRequest { owner, number: 5, span_ms: 3700 }, "06888e98a8c0e080810105f41c");
    assert_encoding(Message::VoteGranted { owner, number: 6 }, "07888e98a8c0e080810106");
    assert_encoding(Message::VoteDenied { owner, granted_to: None }, "08888e98a8c0e080810100");
    let other = NodeIncarnation { node: NodeId(10), incarnation: 1_790_000_000_002 };
    assert_encoding(
        Message::VoteDenied { owner, granted_to: Some(other) },
        "08888e98a8c0e0808101010a82d8c1a28c34",
    );
    assert_encoding(Message::LeaseReleased { owner, number: 8 }, "09888e98a8c0e080810108");
}

#[test]
fn quota_messages_keep_their_encoding() {
    let request = LoanRequest { number: 11, retained: 12 };
    assert_encoding(
        Message::QuotaReport(QuotaReport { key: KEY, request, demand: 13, surplus: None }),
        "0aac0280200b0c0d00",
    );
    let request = LoanRequest { number: 14, retained: 15 };
    let surplus = Some(SurplusOffer { number: 17, units: 18 });
    assert_encoding(
        Message::QuotaReport(QuotaReport { key: KEY, request, demand: 16, surplus }),
        "0aac0280200e0f10011112",
    );
    let deposit_request = LoanRequest { number: 21, retained: 22 };
    assert_encoding(
        Message::QuotaResponse(QuotaResponse {
            key: KEY,
            number: 19,
            granted: 20,
            deposit_request,
            headroom: 23,
        }),
        "0bac0280201314151617",
    );
    let request = LoanRequest { number: 24, retained: 25 };
    assert_encoding(Message::LoanReturned { key: KEY, request }, "0cac0280201819");
}

#[test]
fn status_messages_keep_their_encoding() {
    let request = StatusMessage::Request { id: 32, page: 33, padding: vec![0; 3] };
    assert_eq!(hex(&Payload::Status(request)), "0100202103000000");
    let response = StatusMessage::Response { id: 34, page: 35, pages: 36, text: "ab".into() };
    assert_eq!(hex(&Payload::Status(response)), "0101222324026162");
}
