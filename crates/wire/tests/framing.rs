//! Tests of the framing of messages, of ErrorResponses and of the error texts.

use basalthill_wire::{
    error_code, error_fields, put_cstring, put_error_response, put_message, read_cstring, MessageBuffer,
    MessageHeader, ProtocolError, Severity, HEADER_LEN, READY_FOR_QUERY,
};

const MAX_BODY_LEN: usize = 100;

#[test]
fn messages_are_decoded_from_a_stream_split_at_any_byte() {
    let mut stream = Vec::new();
    put_message(&mut stream, b'Q', |out| put_cstring(out, "select 1"));
    stream.extend_from_slice(READY_FOR_QUERY);
    for split in 0..=stream.len() {
        let mut buffer = MessageBuffer::default();
        let mut messages = Vec::new();
        for part in [&stream[..split], &stream[split..]] {
            buffer.extend(part);
            while let Some(MessageHeader { kind, body_len }) = buffer.message_header(MAX_BODY_LEN).unwrap() {
                messages.push((kind, buffer.unread()[HEADER_LEN..HEADER_LEN + body_len].to_vec()));
                buffer.consume(HEADER_LEN + body_len);
            }
        }
        assert_eq!(
            messages,
            [(b'Q', b"select 1\0".to_vec()), (b'Z', b"I".to_vec())],
            "stream split at byte {split}"
        );
        assert!(buffer.is_empty());
    }
}

#[test]
fn an_invalid_length_field_is_an_error_before_the_body_is_received() {
    let header = |len: u32| [&b"D"[..], &len.to_be_bytes()].concat();
    let decode_header = |len: u32| {
        let mut buffer = MessageBuffer::default();
        buffer.extend(&header(len));
        buffer.message_header(MAX_BODY_LEN)
    };
    for len in [0, 3, 105, u32::MAX] {
        assert_eq!(decode_header(len), Err(ProtocolError::MessageLength(len as usize)));
    }
    assert_eq!(decode_header(104), Ok(None), "the body was not received");
    assert_eq!(decode_header(4), Ok(Some(MessageHeader { kind: b'D', body_len: 0 })));
}

#[test]
fn a_decoded_error_response_has_the_encoded_fields() {
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
    assert_eq!(error_fields(&body[..8]).count(), 1, "fields up to the first that is cut off");
    assert_eq!(read_cstring(b"no zero"), None);
}

#[test]
fn protocol_errors_have_the_expected_texts() {
    // The router sends the first eight texts to clients, so they must not change.
    let texts = [
        (ProtocolError::MessageLength(3), "a message of 3 bytes"),
        (ProtocolError::UnterminatedQuery, "a query that does not end with its zero byte"),
        (ProtocolError::UnknownClientMessage(b'y'), "message type 121 is unknown"),
        (ProtocolError::StartupLength(7), "a startup message of 7 bytes"),
        (ProtocolError::CancelRequestLength(12), "a cancel request of 12 bytes"),
        (ProtocolError::StartupOptionWithoutValue, "a startup option has no value"),
        (ProtocolError::UnterminatedStartup, "a startup message that does not end well"),
        (ProtocolError::UnsupportedVersion { major: 2, minor: 0 }, "protocol 2.0 is not served"),
        (ProtocolError::UnknownHostMessage, "host sent a message of an unknown type"),
        (
            ProtocolError::InvalidBodyLength { kind: b'Z', len: 9 },
            "body of message 'Z' has an invalid length of 9 bytes",
        ),
        (
            ProtocolError::AuthenticationRequested(b'R'),
            "host requires authentication, which is not supported (message 'R')",
        ),
        (ProtocolError::ColumnCount(b'D'), "message 'D' is not a row of exactly one column"),
        (
            ProtocolError::ValueLength(b'D'),
            "value length in message 'D' does not match the length of the message",
        ),
        (
            ProtocolError::UnexpectedMessage(b'C'),
            "message 'C' is not allowed in the current state of the exchange",
        ),
        (ProtocolError::ResponseTooLong, "response exceeds the length limit"),
        (ProtocolError::MalformedMessage(b'S'), "message 'S' is malformed or of an unknown type"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
