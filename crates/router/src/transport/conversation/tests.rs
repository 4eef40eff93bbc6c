use super::*;
use crate::protocol::host::Row;
use crate::protocol::statement::StatementError;
use basalthill_standin::client::{query, startup};
use basalthill_standin::host::row;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const KEY: CancelKey = CancelKey { process: 7, secret: 9 };

fn text(id: usize, write: bool) -> String {
    let comment = format!("/* id={id:016x},c=view,t=acme,d=480,cluster=2 */");
    match write {
        true => format!("INSERT INTO records (k, v) VALUES ('k', '\\x00') RETURNING v {comment}"),
        false => format!("SELECT v FROM records WHERE k = 'k' {comment}"),
    }
}

fn served(value: &[u8]) -> Answer {
    let bytes = row(value);
    let end = bytes.len();
    Answer::Served(Row { bytes, parts: vec![0..end, end..end, end..end], value: None, binary: true })
}

fn talk() -> Conversation {
    let mut talk = Conversation::new(KEY, Time(0));
    talk.drained();
    talk
}

/// Takes up to so many bytes of what is to be written.
fn take(talk: &mut Conversation, most: usize) -> Vec<u8> {
    let mut slices = [IoSlice::new(&[]); 4];
    let count = talk.fill(&mut slices);
    let all: Vec<u8> = slices[..count].iter().flat_map(|s| s.iter().copied()).take(most).collect();
    talk.wrote(all.len());
    all
}

fn all(talk: &mut Conversation) -> Vec<u8> {
    let mut out = Vec::new();
    while talk.speaks() {
        out.extend(take(talk, usize::MAX));
    }
    out
}

/// Steps until nothing can be done now; what is to be asked, with when it came.
fn asks(talk: &mut Conversation) -> Vec<(CommandId, String, Time)> {
    let mut asked = Vec::new();
    while let Some(step) = talk.step(true) {
        if let Step::Ask(command, statement, came) = step {
            asked.push((command, String::from_utf8_lossy(statement.id()).into_owned(), came));
        }
    }
    asked
}

/// The answers in a stream of messages, each by its last telling message: its type and its body.
fn answers(mut bytes: &[u8]) -> Vec<(u8, Vec<u8>)> {
    let (mut out, mut last) = (Vec::new(), None);
    while let Some(head) = bytes.first_chunk::<5>() {
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let body = bytes[5..1 + len].to_vec();
        bytes = &bytes[1 + len..];
        match head[0] {
            b'Z' => out.extend(last.take()),
            b'D' | b'E' | b'I' | b'R' => last = Some((head[0], body)),
            _ => {}
        }
    }
    assert!(bytes.is_empty(), "half a message");
    out.extend(last);
    out
}

fn code(answer: &(u8, Vec<u8>)) -> &str {
    assert_eq!(answer.0, b'E');
    std::str::from_utf8(basalthill_wire::error_code(&answer.1).unwrap()).unwrap()
}

#[test]
fn reads_are_forwarded_concurrently_and_answered_in_order() {
    let mut talk = talk();
    let commands: Vec<u8> = (0..MAX_CONCURRENT_READS + 2).flat_map(|n| query(&text(n, false))).collect();
    talk.read(&[startup(), commands].concat(), true, Time::ms(5));
    let first = asks(&mut talk);
    assert_eq!(first.len(), MAX_CONCURRENT_READS);
    assert!(first.iter().all(|(_, _, came)| *came == Time::ms(5)));
    all(&mut talk);
    talk.answer(first[1].0, served(b"second"));
    assert!(!talk.speaks(), "the first has no answer yet");
    assert_eq!(asks(&mut talk).len(), 1, "there is room for another");
    talk.answer(first[0].0, served(b"first"));
    let told = answers(&all(&mut talk));
    assert!(told[0].1.ends_with(b"first") && told[1].1.ends_with(b"second") && told.len() == 2);
}

#[test]
fn a_write_waits_for_earlier_commands_and_blocks_later_ones() {
    let mut talk = talk();
    let commands = [(0, false), (1, false), (2, true), (3, false)].map(|(n, write)| query(&text(n, write)));
    talk.read(&[startup(), commands.concat()].concat(), true, Time(0));
    let reads = asks(&mut talk);
    assert_eq!(reads.len(), 2);
    talk.answer(reads[1].0, served(b"b"));
    assert!(asks(&mut talk).is_empty(), "a read before it is open");
    talk.answer(reads[0].0, Answer::Failed);
    let write = asks(&mut talk);
    assert_eq!(write.len(), 1);
    talk.answer(write[0].0, Answer::Rejected { retry_after_ms: Some(40) });
    assert_eq!(asks(&mut talk)[0].1, format!("{:016x}", 3));
}

#[test]
fn input_read_after_a_pause_counts_from_the_pause() {
    let mut talk = talk();
    talk.read(&startup(), true, Time::ms(1));
    talk.pause(Time::ms(10));
    talk.resume(Time::ms(500));
    // As much as there was room for: more may have waited with it.
    talk.read(&query(&text(0, false)), false, Time::ms(500));
    talk.read(&query(&text(1, false)), true, Time::ms(501));
    talk.read(&query(&text(2, false)), true, Time::ms(502));
    let came: Vec<Time> = asks(&mut talk).into_iter().map(|a| a.2).collect();
    assert_eq!(came, [10, 10, 502].map(Time::ms));
}

#[test]
fn a_client_that_reads_no_replies_has_no_more_requests_forwarded() {
    let mut talk = talk();
    let commands: Vec<u8> = (0..60).flat_map(|n| query(&text(n, false))).collect();
    talk.read(&[startup(), commands].concat(), true, Time(0));
    let mut asked = 0;
    loop {
        let now = asks(&mut talk);
        if now.is_empty() {
            break;
        }
        asked += now.len();
        now.into_iter().for_each(|(command, ..)| talk.answer(command, served(&[7; 8000])));
    }
    assert!(asked <= 2 * MAX_CONCURRENT_READS, "{asked}");
    all(&mut talk);
    assert!(!asks(&mut talk).is_empty(), "it goes on once they are taken");
}

#[test]
fn reading_pauses_while_much_input_is_queued() {
    let mut talk = talk();
    let write = query(&text(0, true));
    let many = LARGE_STATEMENT_LEN / write.len() + 2;
    let bytes: Vec<u8> = (0..many).flat_map(|n| query(&text(n, true))).collect();
    talk.read(&[startup(), bytes].concat(), true, Time(0));
    let mut answered = 0;
    let mut open = asks(&mut talk);
    assert!(!talk.takes());
    while let Some((command, ..)) = open.pop() {
        talk.answer(command, served(b"x"));
        all(&mut talk);
        answered += 1;
        open = asks(&mut talk);
    }
    assert!(talk.takes() && talk.resting());
    assert_eq!(answered, many);
}

#[test]
fn valid_commands_before_too_many_faults_are_answered() {
    let mut talk = talk();
    let bad = query("DROP TABLE records");
    let commands = [
        query(&text(0, false)),
        bad.repeat(MAX_CLIENT_FAULTS as usize),
        query(&text(1, false)),
        query(&text(2, true)),
    ];
    talk.read(&[startup(), commands.concat()].concat(), true, Time(0));
    let open = asks(&mut talk);
    assert_eq!(open.len(), 1, "nothing behind the faults is sent on");
    talk.answer(open[0].0, served(b"x"));
    let told = answers(&all(&mut talk));
    let faults = MAX_CLIENT_FAULTS as usize;
    assert_eq!(told.len(), 1 + 1 + faults + 1, "welcome, row, faults, the end");
    assert_eq!(told[1].0, b'D');
    assert!(told[2..2 + faults].iter().all(|t| code(t) == "42601"));
    assert_eq!(code(&told[2 + faults]), "08P01");
    assert!(talk.ending() && talk.resting());
}

#[test]
fn an_incomplete_message_times_out_behind_the_earlier_replies() {
    let mut talk = talk();
    let half = query(&text(1, false));
    talk.read(&[startup(), query(&text(0, true)), half[..20].to_vec()].concat(), true, Time::ms(3));
    let open = asks(&mut talk);
    assert_eq!(talk.begun(), Some(Time::ms(3)));
    talk.late();
    assert!(asks(&mut talk).is_empty() && !talk.takes());
    all(&mut talk);
    talk.answer(open[0].0, served(b"x"));
    asks(&mut talk);
    let told = answers(&all(&mut talk));
    assert_eq!((told[0].0, code(&told[1])), (b'D', "57P05"));
    assert!(talk.ending() && talk.resting());
}

#[test]
fn after_the_input_limit_only_a_started_message_is_completed() {
    let mut talk = talk();
    let (one, two) = (query(&text(0, false)), query(&text(1, false)));
    talk.read(&[startup(), one[..7].to_vec()].concat(), true, Time(0));
    talk.last_call(0);
    assert!(talk.takes());
    talk.read(&one[7..20], true, Time(0));
    talk.read(&[one[20..].to_vec(), two.clone()].concat(), true, Time(0));
    assert_eq!(asks(&mut talk).len(), 1);
    assert!(!talk.takes());
    talk.read(&two, true, Time(0));
    assert!(asks(&mut talk).is_empty());
}

#[test]
fn input_is_taken_up_to_the_limit_and_nothing_behind_it() {
    let mut talk = talk();
    talk.read(&startup(), true, Time(0));
    let (one, two, three) = (query(&text(0, false)), query(&text(1, false)), query(&text(2, false)));
    talk.last_call(one.len() + two.len() - 5);
    talk.read(&one, false, Time(0));
    assert!(talk.takes());
    talk.read(&[&two[..], &three].concat(), false, Time(0));
    assert!(!talk.takes());
    assert_eq!(asks(&mut talk).len(), 2, "the second has begun by then");
    // A socket that is found empty holds no more.
    let mut talk = self::talk();
    talk.last_call(1000);
    talk.drained();
    assert!(!talk.takes());
}

#[test]
fn an_empty_query_is_answered_once_the_router_is_ready_and_blocks_nothing() {
    let mut talk = talk();
    talk.read(&[startup(), query("")].concat(), true, Time(0));
    while talk.step(false).is_some() {}
    assert_eq!(answers(&all(&mut talk)).len(), 1, "the welcome");
    assert!(talk.step(true).is_none());
    assert_eq!(answers(&all(&mut talk))[0].0, b'I');
    let mut talk = self::talk();
    talk.read(&[startup(), query(""), query(&text(0, false))].concat(), true, Time(0));
    let mut open = Vec::new();
    while let Some(step) = talk.step(false) {
        open.extend(matches!(step, Step::Ask(..)).then_some(step));
    }
    let Some(Step::Ask(command, ..)) = open.pop() else { panic!("asked") };
    talk.answer(command, Answer::Rejected { retry_after_ms: None });
    let told = answers(&all(&mut talk));
    assert_eq!((code(&told[1]), code(&told[2])), ("57P03", "53300"));
}

/// One thing that a client writes.
#[derive(Clone, Debug)]
enum Written {
    Read,
    Write,
    Empty,
    Bad,
    Sync,
    Unsupported,
}

/// Mostly sound commands, or mostly such as are not served.
fn commands() -> impl Strategy<Value = Vec<Written>> {
    let bad = prop_oneof![1 => written(), 3 => Just(Written::Bad)];
    prop_oneof![4 => prop::collection::vec(written(), 0..40), 1 => prop::collection::vec(bad, 0..40)]
}

fn written() -> impl Strategy<Value = Written> {
    prop_oneof![
        6 => Just(Written::Read),
        3 => Just(Written::Write),
        1 => Just(Written::Empty),
        1 => Just(Written::Bad),
        1 => Just(Written::Sync),
        1 => Just(Written::Unsupported),
    ]
}

/// What happens between two pieces.
#[derive(Clone, Debug)]
enum Happens {
    Answered(usize, u8),
    Token,
    Taken(usize),
    Stops,
    Late,
}

fn happens() -> impl Strategy<Value = Happens> {
    prop_oneof![
        8 => (any::<usize>(), any::<u8>()).prop_map(|(n, how)| Happens::Answered(n, how)),
        1 => Just(Happens::Token),
        4 => (1..200usize).prop_map(Happens::Taken),
        1 => Just(Happens::Stops),
        1 => Just(Happens::Late),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(37),
        ..ProptestConfig::default()
    })]

    /// Whatever a client writes, in whatever pieces, crossed by answers, tokens, a slow reader, a stop and
    /// its own lateness: each whole command that is taken gets exactly one answer, in order; a connection
    /// ends only behind all of them; no read passes a write; and nothing is taken behind its end.
    #[test]
    fn each_complete_command_has_one_reply_in_order(
        commands in commands(),
        cuts in prop::collection::vec(any::<usize>(), 0..30),
        between in prop::collection::vec(happens(), 0..120),
    ) {
        let mut bytes = startup();
        let mut ends = vec![(bytes.len(), None)];
        for (n, c) in commands.iter().enumerate() {
            bytes.extend(match c {
                Written::Read => query(&text(n, false)),
                Written::Write => query(&text(n, true)),
                Written::Empty => query(""),
                Written::Bad => query("EXPLAIN records"),
                Written::Sync => b"S\0\0\0\x04".to_vec(),
                // With the Sync that ends what it began.
                Written::Unsupported => b"P\0\0\0\x04S\0\0\0\x04".to_vec(),
            });
            ends.push((bytes.len(), Some(n)));
        }
        let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let (mut talk, mut out, mut open) = (talk(), Vec::new(), Vec::<(CommandId, usize, bool)>::new());
        let mut fates: BTreeMap<usize, u8> = BTreeMap::new(); // of each command that was asked
        let (mut fed, mut stopped, mut late) = (0, false, false);
        let mut between = between.into_iter();
        let mut pieces = cuts.windows(2);
        loop {
            while let Some(step) = talk.step(true) {
                prop_assert!(talk.replies.len() <= bytes.len());
                if let Step::Ask(command, statement, _) = step {
                    let n = usize::from_str_radix(std::str::from_utf8(statement.id()).unwrap(), 16).unwrap();
                    let write = statement.verb == Verb::Insert;
                    prop_assert!(open.iter().all(|o| !o.2 && !write), "nothing passes a write");
                    prop_assert!(open.len() < MAX_CONCURRENT_READS);
                    prop_assert!(fates.insert(n, u8::MAX).is_none(), "asked once");
                    open.push((command, n, write));
                }
            }
            match between.next() {
                Some(Happens::Answered(which, how)) if !open.is_empty() => {
                    let (command, n, _) = open.remove(which % open.len());
                    let how = how % 5;
                    fates.insert(n, how);
                    let e = StatementError { code: "22023", message: "unknown".into() };
                    talk.answer(command, match how {
                        0 | 1 => served(format!("{n:016x}").as_bytes()),
                        2 => Answer::Rejected { retry_after_ms: None },
                        3 => Answer::Failed,
                        _ => Answer::Invalid(e),
                    });
                }
                Some(Happens::Answered(..)) => {}
                Some(Happens::Token) => talk.token("token"),
                Some(Happens::Taken(most)) => out.extend(take(&mut talk, most)),
                Some(Happens::Stops) if fed > 0 => {
                    talk.last_call(0);
                    stopped = true;
                }
                Some(Happens::Late) if talk.begun().is_some() => {
                    talk.late();
                    late = true;
                }
                Some(Happens::Stops | Happens::Late) => {}
                None => {
                    // The rest, as fast as it goes.
                    if let Some((command, n, _)) = open.pop() {
                        fates.insert(n, 0);
                        talk.answer(command, served(format!("{n:016x}").as_bytes()));
                    }
                    out.extend(all(&mut talk));
                    if open.is_empty() && pieces.len() == 0 && talk.answered() && !talk.speaks() {
                        break;
                    }
                }
            }
            if talk.takes() {
                if let Some(cut) = pieces.next() {
                    talk.read(&bytes[cut[0]..cut[1]], true, Time(0));
                    fed = cut[1];
                }
            } else if talk.ending() || stopped || late {
                pieces = cuts[..0].windows(2);
            }
        }
        // What was told, in the order of the commands.
        let told = answers(&out);
        let mut told = told.iter();
        if fed >= ends[0].0 {
            prop_assert_eq!(told.next().map(|t| t.0), Some(b'R'), "a welcome comes first");
        }
        let mut faults = 0;
        for (end, n) in ends.iter().skip(1) {
            let Some(n) = n else { continue };
            if matches!(commands[*n], Written::Sync) {
                continue;
            }
            let Some(answer) = told.next() else {
                // Not answered: then nothing behind it is, and it was not taken.
                prop_assert!(told.next().is_none() && !fates.contains_key(n));
                prop_assert!(stopped || late || talk.ending() || *end > fed, "command {} has no answer", n);
                return Ok(());
            };
            let fatal = answer.0 == b'E' && answer.1.starts_with(b"SFATAL");
            if fatal {
                prop_assert!(late || faults >= MAX_CLIENT_FAULTS, "a connection ends for a reason");
                prop_assert!(told.next().is_none(), "nothing comes behind the end");
                return Ok(());
            }
            match (&commands[*n], fates.get(n)) {
                (Written::Empty, _) => prop_assert_eq!(answer.0, b'I'),
                (Written::Bad, _) => {
                    faults += 1;
                    prop_assert_eq!(code(answer), "42601");
                }
                (Written::Unsupported, _) => {
                    faults += 1;
                    prop_assert_eq!(code(answer), "0A000");
                }
                (_, Some(0 | 1)) => {
                    prop_assert!(answer.1.ends_with(format!("{n:016x}").as_bytes()), "another's answer");
                }
                (_, Some(2)) | (_, None) => prop_assert_eq!(code(answer), "53300"),
                (_, Some(3)) => prop_assert_eq!(code(answer), "58000"),
                (_, Some(_)) => {
                    faults += 1;
                    prop_assert_eq!(code(answer), "22023");
                }
            }
        }
    }
}
