//! A property test: whatever a client writes, and whatever happens meanwhile.

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
    Bad,
    Sync,
    Unsupported,
}

/// Mostly sound commands, or mostly such as are not served.
fn commands() -> impl Strategy<Value = Vec<ClientWrite>> {
    let bad = prop_oneof![1 => client_write(), 3 => Just(ClientWrite::Bad)];
    prop_oneof![4 => prop::collection::vec(client_write(), 0..40), 1 => prop::collection::vec(bad, 0..40)]
}

fn client_write() -> impl Strategy<Value = ClientWrite> {
    prop_oneof![
        6 => Just(ClientWrite::Read),
        3 => Just(ClientWrite::Write),
        1 => Just(ClientWrite::Empty),
        1 => Just(ClientWrite::Bad),
        1 => Just(ClientWrite::Sync),
        1 => Just(ClientWrite::Unsupported),
    ]
}

/// What happens between two pieces of a client's input.
#[derive(Clone, Debug)]
enum Interleaved {
    Answered(usize, u8),
    Token,
    BytesWritten(usize),
    ShutdownStarts,
    MessageTimesOut,
}

fn interleaved() -> impl Strategy<Value = Interleaved> {
    prop_oneof![
        8 => (any::<usize>(), any::<u8>()).prop_map(|(n, how)| Interleaved::Answered(n, how)),
        1 => Just(Interleaved::Token),
        4 => (1..200usize).prop_map(Interleaved::BytesWritten),
        1 => Just(Interleaved::ShutdownStarts),
        1 => Just(Interleaved::MessageTimesOut),
    ]
}

/// A request of the property test that is not answered yet.
struct OpenRequest {
    command: CommandId,
    /// Its place among the commands.
    n: usize,
    is_write: bool,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(37),
        ..ProptestConfig::default()
    })]

    /// Whatever a client writes, in whatever pieces, interleaved with answers, tokens, a slow reader, a
    /// shutdown and a timeout: each complete command that is taken gets exactly one reply, in order; a
    /// connection ends only behind all of them; no read passes a write; and nothing is taken behind its end.
    #[test]
    fn each_complete_command_has_one_reply_in_order(
        commands in commands(),
        cuts in prop::collection::vec(any::<usize>(), 0..30),
        between in prop::collection::vec(interleaved(), 0..120),
    ) {
        let mut bytes = startup();
        let mut ends = vec![(bytes.len(), None)];
        for (n, c) in commands.iter().enumerate() {
            bytes.extend(match c {
                ClientWrite::Read => query(&statement_text(n, false)),
                ClientWrite::Write => query(&statement_text(n, true)),
                ClientWrite::Empty => query(""),
                ClientWrite::Bad => query("EXPLAIN records"),
                ClientWrite::Sync => b"S\0\0\0\x04".to_vec(),
                // With the Sync that ends what it began.
                ClientWrite::Unsupported => b"P\0\0\0\x04S\0\0\0\x04".to_vec(),
            });
            ends.push((bytes.len(), Some(n)));
        }
        let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut conversation = empty_conversation();
        let mut out = Vec::new();
        let mut open: Vec<OpenRequest> = Vec::new();
        // How each command that was forwarded was answered.
        let mut outcomes: BTreeMap<usize, u8> = BTreeMap::new();
        let mut fed = 0;
        let mut stopped = false;
        let mut late = false;
        let mut between = between.into_iter();
        let mut pieces = cuts.windows(2);
        loop {
            while let Some(step) = conversation.next_step(true) {
                prop_assert!(conversation.replies.len() <= bytes.len());
                if let Step::Forward { command, statement, .. } = step {
                    let n = usize::from_str_radix(std::str::from_utf8(statement.id()).unwrap(), 16).unwrap();
                    let is_write = statement.verb == Verb::Insert;
                    let passes_no_write = open.iter().all(|request| !request.is_write && !is_write);
                    prop_assert!(passes_no_write, "nothing passes a write");
                    prop_assert!(open.len() < MAX_CONCURRENT_READS);
                    prop_assert!(outcomes.insert(n, u8::MAX).is_none(), "forwarded once");
                    open.push(OpenRequest { command, n, is_write });
                }
            }
            match between.next() {
                Some(Interleaved::Answered(which, how)) if !open.is_empty() => {
                    let OpenRequest { command, n, .. } = open.remove(which % open.len());
                    let how = how % 5;
                    outcomes.insert(n, how);
                    let e = StatementError { code: "22023", message: "unknown".into() };
                    conversation.answer(command, match how {
                        0 | 1 => served_answer(format!("{n:016x}").as_bytes()),
                        2 => Reply::Rejected { retry_after_ms: None },
                        3 => Reply::Failed,
                        _ => Reply::Invalid(e),
                    });
                }
                Some(Interleaved::Answered(..)) => {}
                Some(Interleaved::Token) => conversation.push_session_token("token"),
                Some(Interleaved::BytesWritten(most)) => out.extend(write_out(&mut conversation, most)),
                Some(Interleaved::ShutdownStarts) if fed > 0 => {
                    conversation.limit_input(0);
                    stopped = true;
                }
                Some(Interleaved::MessageTimesOut) if conversation.message_started().is_some() => {
                    conversation.time_out_message();
                    late = true;
                }
                Some(Interleaved::ShutdownStarts | Interleaved::MessageTimesOut) => {}
                None => {
                    // The rest, as fast as it goes.
                    if let Some(OpenRequest { command, n, .. }) = open.pop() {
                        outcomes.insert(n, 0);
                        conversation.answer(command, served_answer(format!("{n:016x}").as_bytes()));
                    }
                    out.extend(write_out_all(&mut conversation));
                    let is_consumed = open.is_empty() && pieces.len() == 0;
                    if is_consumed && conversation.is_answered() && !conversation.has_output() {
                        break;
                    }
                }
            }
            if conversation.accepts_input() {
                if let Some(cut) = pieces.next() {
                    conversation.feed(&bytes[cut[0]..cut[1]], true, Time(0));
                    fed = cut[1];
                }
            } else if conversation.is_ending() || stopped || late {
                pieces = cuts[..0].windows(2);
            }
        }
        // What was received, in the order of the commands.
        let received = replies(&out);
        let mut received = received.iter();
        if fed >= ends[0].0 {
            let first = received.next().map(|reply| reply.message_type);
            prop_assert_eq!(first, Some(b'R'), "a welcome comes first");
        }
        let mut faults = 0;
        for (end, n) in ends.iter().skip(1) {
            let Some(n) = n else { continue };
            if matches!(commands[*n], ClientWrite::Sync) {
                continue;
            }
            let Some(reply) = received.next() else {
                // Not answered: then nothing behind it is, and it was not taken.
                prop_assert!(received.next().is_none() && !outcomes.contains_key(n));
                let is_excused = stopped || late || conversation.is_ending() || *end > fed;
                prop_assert!(is_excused, "command {} has no reply", n);
                return Ok(());
            };
            let fatal = reply.message_type == b'E' && reply.body.starts_with(b"SFATAL");
            if fatal {
                prop_assert!(late || faults >= MAX_CLIENT_FAULTS, "a connection ends for a reason");
                prop_assert!(received.next().is_none(), "nothing comes behind the end");
                return Ok(());
            }
            match (&commands[*n], outcomes.get(n)) {
                (ClientWrite::Empty, _) => prop_assert_eq!(reply.message_type, b'I'),
                (ClientWrite::Bad, _) => {
                    faults += 1;
                    prop_assert_eq!(reply.error_code(), "42601");
                }
                (ClientWrite::Unsupported, _) => {
                    faults += 1;
                    prop_assert_eq!(reply.error_code(), "0A000");
                }
                (_, Some(0 | 1)) => {
                    let id = format!("{n:016x}");
                    prop_assert!(reply.body.ends_with(id.as_bytes()), "another command's answer");
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
