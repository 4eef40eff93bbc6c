//! Property test of the conversation with arbitrary input, interleaved with arbitrary other events.

use super::*;
use crate::protocol::statement::StatementError;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

/// One message that a client writes.
#[derive(Clone, Debug)]
enum ClientWrite {
    Read,
    Write,
    Empty,
    Invalid,
    Sync,
    Unsupported,
}

/// Generates commands that are mostly valid (4 of 5 cases) or mostly invalid.
fn commands() -> impl Strategy<Value = Vec<ClientWrite>> {
    let faulty = prop_oneof![1 => client_write(), 3 => Just(ClientWrite::Invalid)];
    prop_oneof![4 => prop::collection::vec(client_write(), 0..40), 1 => prop::collection::vec(faulty, 0..40)]
}

fn client_write() -> impl Strategy<Value = ClientWrite> {
    prop_oneof![
        6 => Just(ClientWrite::Read),
        3 => Just(ClientWrite::Write),
        1 => Just(ClientWrite::Empty),
        1 => Just(ClientWrite::Invalid),
        1 => Just(ClientWrite::Sync),
        1 => Just(ClientWrite::Unsupported),
    ]
}

/// An event between two chunks of a client's input.
#[derive(Clone, Debug)]
enum Event {
    Reply(usize, u8),
    Token,
    BytesWritten(usize),
    ShutdownStarts,
    MessageTimesOut,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (any::<usize>(), any::<u8>()).prop_map(|(n, kind)| Event::Reply(n, kind)),
        1 => Just(Event::Token),
        4 => (1..200usize).prop_map(Event::BytesWritten),
        1 => Just(Event::ShutdownStarts),
        1 => Just(Event::MessageTimesOut),
    ]
}

/// A request that has been forwarded and has no reply yet.
struct OpenRequest {
    command: CommandId,
    /// The index of the command among the generated commands.
    index: usize,
    is_write: bool,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(37),
        ..ProptestConfig::default()
    })]

    /// The input is split into arbitrary chunks and interleaved with replies from routing, session tokens,
    /// partial writes, a shutdown and a message timeout. Each complete command that is taken gets exactly one
    /// reply, in order. The connection is closed only after all replies, nothing is forwarded while a write
    /// is in flight or after the connection is closed, and a write is not forwarded while a read is in
    /// flight.
    #[test]
    fn each_complete_command_has_one_reply_in_order(
        commands in commands(),
        cuts in prop::collection::vec(any::<usize>(), 0..30),
        events in prop::collection::vec(event(), 0..120),
    ) {
        let mut bytes = startup();
        let mut ends = vec![(bytes.len(), None)];
        for (index, command) in commands.iter().enumerate() {
            bytes.extend(match command {
                ClientWrite::Read => query(&statement_text(index, false)),
                ClientWrite::Write => query(&statement_text(index, true)),
                ClientWrite::Empty => query(""),
                ClientWrite::Invalid => query("EXPLAIN records"),
                ClientWrite::Sync => b"S\0\0\0\x04".to_vec(),
                // The Sync that follows ends the skipping of messages after the error.
                ClientWrite::Unsupported => b"P\0\0\0\x04S\0\0\0\x04".to_vec(),
            });
            ends.push((bytes.len(), Some(index)));
        }
        let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut conversation = empty_conversation();
        let mut out = Vec::new();
        let mut open: Vec<OpenRequest> = Vec::new();
        // The kind of reply to each forwarded command; `u8::MAX` until it has one.
        let mut reply_kinds: BTreeMap<usize, u8> = BTreeMap::new();
        let mut fed = 0;
        let mut shutdown_started = false;
        let mut message_timed_out = false;
        let mut events = events.into_iter();
        let mut chunks = cuts.windows(2);
        loop {
            while let Some(step) = conversation.next_step(true) {
                prop_assert!(conversation.replies.len() <= bytes.len());
                if let Step::Forward { command, statement, .. } = step {
                    let id = std::str::from_utf8(statement.id()).unwrap();
                    let index = usize::from_str_radix(id, 16).unwrap();
                    let is_write = statement.verb == Verb::Insert;
                    let order_is_kept = open.iter().all(|request| !request.is_write && !is_write);
                    prop_assert!(order_is_kept, "a write and another request are in flight concurrently");
                    prop_assert!(open.len() < MAX_CONCURRENT_READS);
                    let is_new = reply_kinds.insert(index, u8::MAX).is_none();
                    prop_assert!(is_new, "command {} forwarded twice", index);
                    open.push(OpenRequest { command, index, is_write });
                }
            }
            match events.next() {
                Some(Event::Reply(which, kind)) if !open.is_empty() => {
                    let OpenRequest { command, index, .. } = open.remove(which % open.len());
                    let kind = kind % 5;
                    reply_kinds.insert(index, kind);
                    let error = StatementError { code: "22023", message: "unknown".into() };
                    conversation.complete_command(command, match kind {
                        0 | 1 => served_reply(format!("{index:016x}").as_bytes()),
                        2 => Reply::Rejected { retry_after_ms: None },
                        3 => Reply::Failed,
                        _ => Reply::Invalid(error),
                    });
                }
                Some(Event::Reply(..)) => {}
                Some(Event::Token) => conversation.push_session_token("token"),
                Some(Event::BytesWritten(len)) => out.extend(write_out(&mut conversation, len)),
                Some(Event::ShutdownStarts) if fed > 0 => {
                    conversation.limit_input(0);
                    shutdown_started = true;
                }
                Some(Event::MessageTimesOut) if conversation.message_started().is_some() => {
                    conversation.time_out_message();
                    message_timed_out = true;
                }
                Some(Event::ShutdownStarts | Event::MessageTimesOut) => {}
                None => {
                    // No events are left: complete all requests and write all output.
                    if let Some(OpenRequest { command, index, .. }) = open.pop() {
                        reply_kinds.insert(index, 0);
                        let reply = served_reply(format!("{index:016x}").as_bytes());
                        conversation.complete_command(command, reply);
                    }
                    out.extend(write_out_all(&mut conversation));
                    let is_consumed = open.is_empty() && chunks.len() == 0;
                    if is_consumed && conversation.has_replied_to_all() && !conversation.has_output() {
                        break;
                    }
                }
            }
            if conversation.accepts_input() {
                if let Some(cut) = chunks.next() {
                    conversation.feed(&bytes[cut[0]..cut[1]], true, Time(0));
                    fed = cut[1];
                }
            } else if conversation.is_closing() || shutdown_started || message_timed_out {
                chunks = cuts[..0].windows(2);
            }
        }
        // The replies that the client received, in the order of the commands.
        let received = replies(&out);
        let mut received = received.iter();
        if fed >= ends[0].0 {
            let first = received.next().map(|reply| reply.message_type);
            prop_assert_eq!(first, Some(b'R'), "the first reply is not the startup reply");
        }
        let mut faults = 0;
        for (end, index) in ends.iter().skip(1) {
            let Some(index) = index else { continue };
            if matches!(commands[*index], ClientWrite::Sync) {
                continue;
            }
            let Some(reply) = received.next() else {
                // A command without a reply was not forwarded, and no later command has a reply.
                prop_assert!(received.next().is_none() && !reply_kinds.contains_key(index));
                let is_excused =
                    shutdown_started || message_timed_out || conversation.is_closing() || *end > fed;
                prop_assert!(is_excused, "command {} has no reply", index);
                return Ok(());
            };
            let fatal = reply.message_type == b'E' && reply.body.starts_with(b"SFATAL");
            if fatal {
                prop_assert!(
                    message_timed_out || faults >= MAX_CLIENT_FAULTS,
                    "closed without a message timeout after {faults} of {MAX_CLIENT_FAULTS} faults"
                );
                prop_assert!(received.next().is_none(), "the client got a reply after the final error");
                return Ok(());
            }
            match (&commands[*index], reply_kinds.get(index)) {
                (ClientWrite::Empty, _) => prop_assert_eq!(reply.message_type, b'I'),
                (ClientWrite::Invalid, _) => {
                    faults += 1;
                    prop_assert_eq!(reply.error_code(), "42601");
                }
                (ClientWrite::Unsupported, _) => {
                    faults += 1;
                    prop_assert_eq!(reply.error_code(), "0A000");
                }
                (_, Some(0 | 1)) => {
                    let id = format!("{index:016x}");
                    let is_own = reply.body.ends_with(id.as_bytes());
                    prop_assert!(is_own, "command {} got the reply to another command", index);
                }
                (_, Some(2)) | (_, None) => prop_assert_eq!(reply.error_code(), "53300"),
                (_, Some(3)) => prop_assert_eq!(reply.error_code(), "58000"),
                (_, Some(_)) => {
                    faults += 1;
                    prop_assert_eq!(reply.error_code(), "22023");
                }
            }
        }
    }
}
