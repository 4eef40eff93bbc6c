mod interleavings;

use super::*;
use crate::protocol::host::Row;
use basalthill_standin::client::{query, startup};
use basalthill_standin::host::row;

const KEY: CancelKey = CancelKey { process: 7, secret: 9 };

fn statement_text(id: usize, write: bool) -> String {
    let comment = format!("/* id={id:016x},c=view,t=acme,d=480,cluster=2 */");
    match write {
        true => format!("INSERT INTO records (k, v) VALUES ('k', '\\x00') RETURNING v {comment}"),
        false => format!("SELECT v FROM records WHERE k = 'k' {comment}"),
    }
}

fn served_reply(value: &[u8]) -> Reply {
    let bytes = row(value);
    let end = bytes.len();
    Reply::Served(Row { bytes, parts: vec![0..end, end..end, end..end], value: None, binary: true })
}

fn empty_conversation() -> Conversation {
    let mut conversation = Conversation::new(KEY, Time(0));
    conversation.socket_drained();
    conversation
}

/// Takes up to `max_len` bytes of the output as written, and returns them.
fn write_out(conversation: &mut Conversation, max_len: usize) -> Vec<u8> {
    let mut slices = [IoSlice::new(&[]); 4];
    let count = conversation.fill_output(&mut slices);
    let all: Vec<u8> = slices[..count].iter().flat_map(|s| s.iter().copied()).take(max_len).collect();
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

/// Executes all steps that are possible now. Returns the requests that were forwarded.
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

/// A reply as the client received it, represented by its most significant message.
struct ReceivedReply {
    message_type: u8,
    body: Vec<u8>,
}

impl ReceivedReply {
    fn error_code(&self) -> &str {
        assert_eq!(self.message_type, b'E');
        std::str::from_utf8(basalthill_wire::error_code(&self.body).unwrap()).unwrap()
    }
}

/// Splits a stream of messages into replies.
fn replies(mut bytes: &[u8]) -> Vec<ReceivedReply> {
    let (mut out, mut last) = (Vec::new(), None);
    while let Some(head) = bytes.first_chunk::<5>() {
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let body = bytes[5..1 + len].to_vec();
        bytes = &bytes[1 + len..];
        match head[0] {
            b'Z' => out.extend(last.take()),
            b'D' | b'E' | b'I' | b'R' => last = Some(ReceivedReply { message_type: head[0], body }),
            _ => {}
        }
    }
    assert!(bytes.is_empty(), "incomplete message at the end");
    out.extend(last);
    out
}

#[test]
fn reads_are_forwarded_concurrently_and_their_replies_are_in_order() {
    let mut conversation = empty_conversation();
    let commands: Vec<u8> =
        (0..MAX_CONCURRENT_READS + 2).flat_map(|n| query(&statement_text(n, false))).collect();
    conversation.feed(&[startup(), commands].concat(), true, Time::ms(5));
    let first = forwarded(&mut conversation);
    assert_eq!(first.len(), MAX_CONCURRENT_READS);
    assert!(first.iter().all(|request| request.arrived_at == Time::ms(5)));
    write_out_all(&mut conversation);
    conversation.complete_command(first[1].command, served_reply(b"second"));
    assert!(!conversation.has_output(), "the first command has no reply yet");
    assert_eq!(forwarded(&mut conversation).len(), 1, "another read may be in flight");
    conversation.complete_command(first[0].command, served_reply(b"first"));
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
    conversation.complete_command(reads[1].command, served_reply(b"b"));
    assert!(forwarded(&mut conversation).is_empty(), "an earlier read is in flight");
    conversation.complete_command(reads[0].command, Reply::Failed);
    let write = forwarded(&mut conversation);
    assert_eq!(write.len(), 1);
    conversation.complete_command(write[0].command, Reply::Rejected { retry_after_ms: Some(40) });
    assert_eq!(forwarded(&mut conversation)[0].statement_id, format!("{:016x}", 3));
}

#[test]
fn input_read_after_a_pause_counts_from_the_pause() {
    let mut conversation = empty_conversation();
    conversation.feed(&startup(), true, Time::ms(1));
    conversation.pause_reading(Time::ms(10));
    conversation.resume_reading(Time::ms(500));
    // The read filled the buffer, so the socket may have had more input.
    conversation.feed(&query(&statement_text(0, false)), false, Time::ms(500));
    conversation.feed(&query(&statement_text(1, false)), true, Time::ms(501));
    conversation.feed(&query(&statement_text(2, false)), true, Time::ms(502));
    let requests = forwarded(&mut conversation);
    let arrivals: Vec<Time> = requests.into_iter().map(|request| request.arrived_at).collect();
    assert_eq!(arrivals, [10, 10, 502].map(Time::ms));
}

#[test]
fn forwarding_pauses_while_the_client_does_not_read_its_replies() {
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
            conversation.complete_command(request.command, served_reply(&[7; 8000]));
        }
    }
    assert!(
        count <= 2 * MAX_CONCURRENT_READS,
        "{count} requests were forwarded, more than twice the concurrency limit"
    );
    write_out_all(&mut conversation);
    assert!(!forwarded(&mut conversation).is_empty(), "forwarding resumes once the replies are written");
}

#[test]
fn reading_pauses_while_more_than_the_limit_is_queued() {
    let mut conversation = empty_conversation();
    let write = query(&statement_text(0, true));
    let write_count = LARGE_STATEMENT_LEN / write.len() + 2;
    let bytes: Vec<u8> = (0..write_count).flat_map(|n| query(&statement_text(n, true))).collect();
    conversation.feed(&[startup(), bytes].concat(), true, Time(0));
    let mut completed = 0;
    let mut open = forwarded(&mut conversation);
    assert!(!conversation.accepts_input());
    while let Some(request) = open.pop() {
        conversation.complete_command(request.command, served_reply(b"x"));
        write_out_all(&mut conversation);
        completed += 1;
        open = forwarded(&mut conversation);
    }
    assert!(conversation.accepts_input() && conversation.is_idle());
    assert_eq!(completed, write_count);
}

#[test]
fn commands_before_too_many_faults_get_their_replies() {
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
    assert_eq!(open.len(), 1, "nothing after the faults is forwarded");
    conversation.complete_command(open[0].command, served_reply(b"x"));
    let received = replies(&write_out_all(&mut conversation));
    let faults = MAX_CLIENT_FAULTS as usize;
    assert_eq!(received.len(), 1 + 1 + faults + 1, "startup reply, row, faults, final error");
    assert_eq!(received[1].message_type, b'D');
    assert!(received[2..2 + faults].iter().all(|t| t.error_code() == "42601"));
    assert_eq!(received[2 + faults].error_code(), "08P01");
    assert!(conversation.is_closing() && conversation.is_idle());
}

#[test]
fn the_timeout_error_of_an_incomplete_message_follows_the_earlier_replies() {
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
    conversation.complete_command(open[0].command, served_reply(b"x"));
    forwarded(&mut conversation);
    let received = replies(&write_out_all(&mut conversation));
    assert_eq!((received[0].message_type, received[1].error_code()), (b'D', "57P05"));
    assert!(conversation.is_closing() && conversation.is_idle());
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
fn input_is_accepted_up_to_the_limit_and_to_the_end_of_the_message_there() {
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
    assert_eq!(forwarded(&mut conversation).len(), 2, "the second message begins before the limit");
    // Once the socket is empty, nothing more is accepted, although the limit has not been reached.
    let mut conversation = empty_conversation();
    conversation.limit_input(1000);
    conversation.socket_drained();
    assert!(!conversation.accepts_input());
}

#[test]
fn an_empty_query_gets_its_reply_once_the_router_is_ready_and_blocks_no_later_reply() {
    let mut conversation = empty_conversation();
    conversation.feed(&[startup(), query("")].concat(), true, Time(0));
    while conversation.next_step(false).is_some() {}
    assert_eq!(replies(&write_out_all(&mut conversation)).len(), 1, "the startup reply only");
    assert!(conversation.next_step(true).is_none());
    assert_eq!(replies(&write_out_all(&mut conversation))[0].message_type, b'I');
    let mut conversation = empty_conversation();
    conversation.feed(&[startup(), query(""), query(&statement_text(0, false))].concat(), true, Time(0));
    let mut open = Vec::new();
    while let Some(step) = conversation.next_step(false) {
        open.extend(matches!(step, Step::Forward { .. }).then_some(step));
    }
    let Some(Step::Forward { command, .. }) = open.pop() else { panic!("the query was not forwarded") };
    conversation.complete_command(command, Reply::Rejected { retry_after_ms: None });
    let received = replies(&write_out_all(&mut conversation));
    assert_eq!((received[1].error_code(), received[2].error_code()), ("57P03", "53300"));
}
