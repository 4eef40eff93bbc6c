//! Framing of messages, and what both sides of a connection read from them.

use basalthill_wire::{
    error_code, error_fields, put_cstring, put_error_response, put_message, read_cstring, MessageBuffer,
    MessageHeader, ProtocolError, Severity, HEADER_LEN, READY_FOR_QUERY,
};

const MAX_BODY_LEN: usize = 100;

#[test]
fn messages_are_found_wherever_the_stream_is_cut() {
    let mut stream = Vec::new();
    put_message(&mut stream, b'Q', |out| put_cstring(out, "select 1"));
    stream.extend_from_slice(READY_FOR_QUERY);
    for cut in 0..=stream.len() {
        let mut buffer = MessageBuffer::default();
        let mut found = Vec::new();
        for part in [&stream[..cut], &stream[cut..]] {
            buffer.extend(part);
            while let Some(MessageHeader { kind, body_len }) = buffer.message_header(MAX_BODY_LEN).unwrap() {
                found.push((kind, buffer.unread()[HEADER_LEN..HEADER_LEN + body_len].to_vec()));
                buffer.consume(HEADER_LEN + body_len);
            }
        }
        assert_eq!(found, [(b'Q', b"select 1\0".to_vec()), (b'Z', b"I".to_vec())], "cut at {cut}");
        assert!(buffer.is_empty());
    }
}

#[test]
fn a_length_below_its_own_field_or_above_the_limit_is_an_error_before_the_body_arrives() {
    let header = |len: u32| [&b"D"[..], &len.to_be_bytes()].concat();
    let check = |len: u32| {
        let mut buffer = MessageBuffer::default();
        buffer.extend(&header(len));
        buffer.message_header(MAX_BODY_LEN)
    };
    for len in [0, 3, 105, u32::MAX] {
        assert_eq!(check(len), Err(ProtocolError::MessageLength(len as usize)));
    }
    assert_eq!(check(104), Ok(None), "the body has not arrived");
    assert_eq!(check(4), Ok(Some(MessageHeader { kind: b'D', body_len: 0 })));
}

#[test]
fn an_error_response_is_read_as_written() {
    let mut out = Vec::new();
    put_error_response(&mut out, Severity::Fatal, "53300", "too\0 many", Some("retry-after-ms=7"));
    let body = &out[HEADER_LEN..];
    let fields: Vec<(u8, &[u8])> = error_fields(body).collect();
    let expected: [(u8, &[u8]); 5] = [
        (b'S', b"FATAL"),
        (b'V', b"FATAL"),
        (b'C', b"53300"),
        (b'M', b"too many"),
        (b'D', b"retry-after-ms=7"),
    ];
    assert_eq!(fields, expected);
    assert_eq!(error_code(body), Some(&b"53300"[..]));
    assert_eq!(error_fields(&body[..8]).count(), 1, "up to the first that is cut off");
    assert_eq!(read_cstring(b"no zero"), None);
}

#[test]
fn the_texts_that_clients_get_stay_as_they_are() {
    let texts = [
        (ProtocolError::MessageLength(3), "a message of 3 bytes"),
        (ProtocolError::UnterminatedQuery, "a query that does not end with its zero byte"),
        (ProtocolError::UnknownClientMessage(b'y'), "message type 121 is unknown"),
        (ProtocolError::StartupLength(7), "a startup message of 7 bytes"),
        (ProtocolError::CancelRequestLength(12), "a cancel request of 12 bytes"),
        (ProtocolError::StartupOptionWithoutValue, "a startup option has no value"),
        (ProtocolError::UnterminatedStartup, "a startup message that does not end well"),
        (ProtocolError::UnsupportedVersion { major: 2, minor: 0 }, "protocol 2.0 is not served"),
        (ProtocolError::UnknownHostMessage, "a message of an unknown type"),
        (ProtocolError::InvalidBodyLength { kind: b'Z', len: 9 }, "a message 'Z' of 9 bytes"),
        (ProtocolError::AuthenticationRequested(b'R'), "a host that wants a password (message 'R')"),
        (ProtocolError::ColumnCount(b'D'), "a row of another shape (message 'D')"),
        (ProtocolError::ValueLength(b'D'), "a value of another length (message 'D')"),
        (ProtocolError::UnexpectedMessage(b'C'), "a message out of order (message 'C')"),
        (ProtocolError::ResponseTooLong, "an answer that is too long"),
        (ProtocolError::MalformedMessage(b'S'), "message 'S' can't be read"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
