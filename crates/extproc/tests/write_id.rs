//! Parsing of the text form of write ids.

use basalthill_extproc::WriteId;
use basalthill_policy::api::Time;

#[test]
fn only_uuids_of_version_7_are_parsed() {
    let text = b"019438fa-2a7b-7cde-8f01-23456789abcd";
    let id = WriteId::parse(text).unwrap();
    assert_eq!(id.bits(), 0x0194_38fa_2a7b_7cde_8f01_2345_6789_abcd);
    assert_eq!(id.created_at(), Time::ms(0x0194_38fa_2a7b));
    assert_eq!(WriteId::parse(&text.to_ascii_uppercase()), Some(id));
    for n in 0..text.len() {
        assert_eq!(WriteId::parse(&text[..n]), None, "cut at {n}");
        let mut other = *text;
        other[n] = b'g';
        assert_eq!(WriteId::parse(&other), None, "byte {n}");
        let mut other = *text;
        other[n] = if text[n] == b'-' { b'0' } else { b'-' };
        assert_eq!(WriteId::parse(&other), None, "byte {n}");
    }
    assert_eq!(
        WriteId::parse(b"019438fa-2a7b-4cde-8f01-23456789abcd"),
        None,
        "UUIDs of version 4 have no timestamp"
    );
    assert_eq!(
        WriteId::parse(b"019438fa-2a7b-7cde-cf01-23456789abcd"),
        None,
        "a variant other than that of RFC 9562"
    );
}
