//! The status request and response of the operators' command `basalthill fleet`: lines of text, split into
//! pages that each fit in a datagram.

use crate::packet::{Payload, StatusMessage, MAX_DATAGRAM, PAYLOAD_CAPACITY};

/// The most bytes of text on a page. The remaining 40 bytes are for the other fields of the response.
const PAGE_LEN: usize = PAYLOAD_CAPACITY - 40;
/// The most bytes that one character takes in UTF-8.
const MAX_CHAR_LEN: usize = 4;
/// The bytes of padding in a request. The remaining 60 bytes are for the other fields of the request and for
/// the datagram's header and authentication code. The text of a response is never longer than the padding of
/// its request, so that a forged sender address can't be used to amplify traffic.
pub const PADDING_LEN: usize = MAX_DATAGRAM - 60;

/// Splits lines into pages. A line is truncated after a quarter of `PAGE_LEN` characters, so that it fits on
/// a page whatever its characters.
pub fn paginate(lines: &[String]) -> Vec<String> {
    let mut pages = vec![String::new()];
    for line in lines {
        let line: String = line.chars().take(PAGE_LEN / MAX_CHAR_LEN).collect();
        if pages.last().is_some_and(|page| page.len() + line.len() + 1 > PAGE_LEN) {
            pages.push(String::new());
        }
        if let Some(page) = pages.last_mut() {
            page.push_str(&line);
            page.push('\n');
        }
    }
    pages
}

/// Returns the request for a page.
pub fn request(id: u64, page: u16) -> Payload {
    Payload::Status(StatusMessage::Request { id, page, padding: vec![0; PADDING_LEN] })
}

/// Returns the response to a request. Returns `None` for any other message, if the page does not exist, and
/// if the text of the page is longer than the padding of the request.
pub fn response(message: &StatusMessage, lines: impl FnOnce() -> Vec<String>) -> Option<Payload> {
    let StatusMessage::Request { id, page, padding } = message else { return None };
    let pages = paginate(&lines());
    let text = pages.get(usize::from(*page)).filter(|text| text.len() <= padding.len())?;
    let response =
        StatusMessage::Response { id: *id, page: *page, pages: pages.len() as u16, text: text.clone() };
    Some(Payload::Status(response))
}
