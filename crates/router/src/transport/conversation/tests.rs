use super::*;
use crate::protocol::host::Row;
use crate::protocol::statement::StatementError;
use basalthill_standin::client::{query, startup};
use basalthill_standin::host::row;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const KEY: CancelKey = CancelKey { process: 7, secret: 9 };

fn statement_text(id: usize, write: bool) -> String {
    let comment = format!("/* id={id:016x},c=view,t=acme,d=480,cluster=2 */");
    match write {
        true => format!("INSERT INTO records (k, v) VALUES ('k', '\\x00') RETURNING v {comment}"),
        false => format!("SELECT v FROM records WHERE k = 'k' {comment}"),
    }
}

fn served_answer(value: &[u8]) -> Answer {
    let bytes = row(value);
    let end = bytes.len();
    Answer::Served(Row { bytes, parts: vec![0..end, end..end, end..end], value: None, binary: true })
}

fn empty_conversation() -> Conversation {
    let mut conversation = Conversation::new(KEY, Time(0));
    conversation.socket_drained();
    conversation
}

/// Writes out up to `most` bytes.
fn write_out(conversation: &mut Conversation, most: usize) -> Vec<u8> {
    let mut slices = [IoSlice::new(&[]); 4];
    let count = conversation.fill_output(&mut slices);
    let all: Vec<u8> = slices[..count].iter().flat_map(|s| s.iter().copied()).take(most).collect();
    conversation.mark_written(all.len());
    all
}

fn write_out_all(conversation: &mut Conversation) -> Vec<u8> {
    let mut out = Vec::new();
    while conversation.has_output() {
        out.extend(write_out(conversation, usize::MAX));
    }
    out
}

/// A request that the conversation has forwarded.
struct Forwarded {
    command: CommandId,
    statement_id: String,
    arrived_at: Time,
}

/// Steps until nothing can be done now; the requests that were forwarded.
fn forwarded(conversation: &mut Conversation) -> Vec<Forwarded> {
    let mut requests = Vec::new();
    while let Some(step) = conversation.next_step(true) {
        if let Step::Forward { command, statement, arrived_at } = step {
            let statement_id = String::from_utf8_lossy(statement.id()).into_owned();
            requests.push(Forwarded { command, statement_id, arrived_at });
        }
    }
    requests
}

/// A reply, by the message in it that says most.
struct Reply {
    message_type: u8,
    body: Vec<u8>,
}

impl Reply {
    fn error_code(&self) -> &str {
        assert_eq!(self.message_type, b'E');
        std::str::from_utf8(basalthill_wire::error_code(&self.body).unwrap()).unwrap()
    }
}

/// The replies in a stream of messages.
fn replies(mut bytes: &[u8]) -> Vec<Reply> {
    let (mut out, mut last) = (Vec::new(), None);
    while let Some(head) = bytes.first_chunk::<5>() {
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let body = bytes[5..1 + len].to_vec();
        bytes = &bytes[1 + len..];
        match head[0] {
            b'Z' => out.extend(last.take()),
            b'D' | b'E' | b'I' | b'R' => last = Some(Reply { message_type: head[0], body }),
            _ => {}
        }
    }
    assert!(bytes.is_empty(), "half a message");
    out.extend(last);
    out
}

#[test]
fn reads_are_forwarded_concurrently_and_answered_in_order() {
    let mut conversation = empty_conversation();
    let commands: Vec<u8> =
        (0..MAX_CONCURRENT_READS + 2).flat_map(|n| query(&statement_text(n, false))).collect();
    conversation.feed(&[startup(), commands].concat(), true, Time::ms(5));
    let first = forwarded(&mut conversation);
    assert_eq!(first.len(), MAX_CONCURRENT_READS);
    assert!(first.iter().all(|request| request.arrived_at == Time::ms(5)));
    write_out_all(&mut conversation);
    conversation.answer(first[1].command, served_answer(b"second"));
    assert!(!conversation.has_output(), "the first has no answer yet");
    assert_eq!(forwarded(&mut conversation).len(), 1, "another read may be in flight");
    conversation.answer(first[0].command, served_answer(b"first"));
    let received = replies(&write_out_all(&mut conversation));
    assert!(
        received[0].body.ends_with(b"first") && received[1].body.ends_with(b"second") && received.len() == 2
    );
}

#[test]
fn a_write_waits_for_earlier_commands_and_blocks_later_ones() {
    let mut conversation = empty_conversation();
    let commands =
        [(0, false), (1, false), (2, true), (3, false)].map(|(n, write)| query(&statement_text(n, write)));
    conversation.feed(&[startup(), commands.concat()].concat(), true, Time(0));
    let reads = forwarded(&mut conversation);
    assert_eq!(reads.len(), 2);
    conversation.answer(reads[1].command, served_answer(b"b"));
    assert!(forwarded(&mut conversation).is_empty(), "a read before it is open");
    conversation.answer(reads[0].command, Answer::Failed);
    let write = forwarded(&mut conversation);
    assert_eq!(write.len(), 1);
    conversation.answer(write[0].command, Answer::Rejected { retry_after_ms: Some(40) });
    assert_eq!(forwarded(&mut conversation)[0].statement_id, format!("{:016x}", 3));
}

#[test]
fn input_read_after_a_pause_counts_from_the_pause() {
    let mut conversation = empty_conversation();
    conversation.feed(&startup(), true, Time::ms(1));
    conversation.pause_reading(Time::ms(10));
    conversation.resume_reading(Time::ms(500));
    // The buffer was full: more may have arrived with it.
    conversation.feed(&query(&statement_text(0, false)), false, Time::ms(500));
    conversation.feed(&query(&statement_text(1, false)), true, Time::ms(501));
    conversation.feed(&query(&statement_text(2, false)), true, Time::ms(502));
    let requests = forwarded(&mut conversation);
    let arrivals: Vec<Time> = requests.into_iter().map(|request| request.arrived_at).collect();
    assert_eq!(arrivals, [10, 10, 502].map(Time::ms));
}

#[test]
fn a_client_that_reads_no_replies_has_no_more_requests_forwarded() {
    let mut conversation = empty_conversation();
    let commands: Vec<u8> = (0..60).flat_map(|n| query(&statement_text(n, false))).collect();
    conversation.feed(&[startup(), commands].concat(), true, Time(0));
    let mut count = 0;
    loop {
        let requests = forwarded(&mut conversation);
        if requests.is_empty() {
            break;
        }
        count += requests.len();
        for request in requests {
            conversation.answer(request.command, served_answer(&[7; 8000]));
        }
    }
    assert!(count <= 2 * MAX_CONCURRENT_READS, "{count}");
    write_out_all(&mut conversation);
    assert!(!forwarded(&mut conversation).is_empty(), "it goes on once the replies are written");
}

#[test]
fn reading_pauses_while_much_input_is_queued() {
    let mut conversation = empty_conversation();
    let write = query(&statement_text(0, true));
    let many = LARGE_STATEMENT_LEN / write.len() + 2;
    let bytes: Vec<u8> = (0..many).flat_map(|n| query(&statement_text(n, true))).collect();
    conversation.feed(&[startup(), bytes].concat(), true, Time(0));
    let mut answered = 0;
    let mut open = forwarded(&mut conversation);
    assert!(!conversation.accepts_input());
    while let Some(request) = open.pop() {
        conversation.answer(request.command, served_answer(b"x"));
        write_out_all(&mut conversation);
        answered += 1;
        open = forwarded(&mut conversation);
    }
    assert!(conversation.accepts_input() && conversation.is_idle());
    assert_eq!(answered, many);
}

#[test]
fn valid_commands_before_too_many_faults_are_answered() {
    let mut conversation = empty_conversation();
    let bad = query("DROP TABLE records");
    let commands = [
        query(&statement_text(0, false)),
        bad.repeat(MAX_CLIENT_FAULTS as usize),
        query(&statement_text(1, false)),
        query(&statement_text(2, true)),
    ];
    conversation.feed(&[startup(), commands.concat()].concat(), true, Time(0));
    let open = forwarded(&mut conversation);
    assert_eq!(open.len(), 1, "nothing behind the faults is forwarded");
    conversation.answer(open[0].command, served_answer(b"x"));
    let received = replies(&write_out_all(&mut conversation));
    let faults = MAX_CLIENT_FAULTS as usize;
    assert_eq!(received.len(), 1 + 1 + faults + 1, "welcome, row, faults, the end");
    assert_eq!(received[1].message_type, b'D');
    assert!(received[2..2 + faults].iter().all(|t| t.error_code() == "42601"));
    assert_eq!(received[2 + faults].error_code(), "08P01");
    assert!(conversation.is_ending() && conversation.is_idle());
}

#[test]
fn an_incomplete_message_times_out_behind_the_earlier_replies() {
    let mut conversation = empty_conversation();
    let half = query(&statement_text(1, false));
    conversation.feed(
        &[startup(), query(&statement_text(0, true)), half[..20].to_vec()].concat(),
        true,
        Time::ms(3),
    );
    let open = forwarded(&mut conversation);
    assert_eq!(conversation.message_started(), Some(Time::ms(3)));
    conversation.time_out_message();
    assert!(forwarded(&mut conversation).is_empty() && !conversation.accepts_input());
    write_out_all(&mut conversation);
    conversation.answer(open[0].command, served_answer(b"x"));
    forwarded(&mut conversation);
    let received = replies(&write_out_all(&mut conversation));
    assert_eq!((received[0].message_type, received[1].error_code()), (b'D', "57P05"));
    assert!(conversation.is_ending() && conversation.is_idle());
}

#[test]
fn after_the_input_limit_only_a_started_message_is_completed() {
    let mut conversation = empty_conversation();
    let (one, two) = (query(&statement_text(0, false)), query(&statement_text(1, false)));
    conversation.feed(&[startup(), one[..7].to_vec()].concat(), true, Time(0));
    conversation.limit_input(0);
    assert!(conversation.accepts_input());
    conversation.feed(&one[7..20], true, Time(0));
    conversation.feed(&[one[20..].to_vec(), two.clone()].concat(), true, Time(0));
    assert_eq!(forwarded(&mut conversation).len(), 1);
    assert!(!conversation.accepts_input());
    conversation.feed(&two, true, Time(0));
    assert!(forwarded(&mut conversation).is_empty());
}

#[test]
fn input_is_taken_up_to_the_limit_and_nothing_behind_it() {
    let mut conversation = empty_conversation();
    conversation.feed(&startup(), true, Time(0));
    let (one, two, three) = (
        query(&statement_text(0, false)),
        query(&statement_text(1, false)),
        query(&statement_text(2, false)),
    );
    conversation.limit_input(one.len() + two.len() - 5);
    conversation.feed(&one, false, Time(0));
    assert!(conversation.accepts_input());
    conversation.feed(&[&two[..], &three].concat(), false, Time(0));
    assert!(!conversation.accepts_input());
    assert_eq!(forwarded(&mut conversation).len(), 2, "the second has begun by then");
    // A socket that is found empty has no more.
    let mut conversation = empty_conversation();
    conversation.limit_input(1000);
    conversation.socket_drained();
    assert!(!conversation.accepts_input());
}

#[test]
fn an_empty_query_is_answered_once_the_router_is_ready_and_blocks_nothing() {
    let mut conversation = empty_conversation();
    conversation.feed(&[startup(), query("")].concat(), true, Time(0));
    while conversation.next_step(false).is_some() {}
    assert_eq!(replies(&write_out_all(&mut conversation)).len(), 1, "the welcome");
    assert!(conversation.next_step(true).is_none());
    assert_eq!(replies(&write_out_all(&mut conversation))[0].message_type, b'I');
    let mut conversation = empty_conversation();
    conversation.feed(&[startup(), query(""), query(&statement_text(0, false))].concat(), true, Time(0));
    let mut open = Vec::new();
    while let Some(step) = conversation.next_step(false) {
        open.extend(matches!(step, Step::Forward { .. }).then_some(step));
    }
    let Some(Step::Forward { command, .. }) = open.pop() else { panic!("the query is forwarded") };
    conversation.answer(command, Answer::Rejected { retry_after_ms: None });
    let received = replies(&write_out_all(&mut conversation));
    assert_eq!((received[1].error_code(), received[2].error_code()), ("57P03", "53300"));
}

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
                        2 => Answer::Rejected { retry_after_ms: None },
                        3 => Answer::Failed,
                        _ => Answer::Invalid(e),
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
