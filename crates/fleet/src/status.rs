//! The status request and response of the operators' command `basalthill fleet`: lines of text, split into
//! pages that each fit in a datagram.

use crate::packet::{Payload, StatusMessage, MAX_DATAGRAM, PAYLOAD_CAPACITY};

/// The most bytes of text on a page. The remaining 40 bytes are for the other fields of the response.
const PAGE_LEN: usize = PAYLOAD_CAPACITY - 40;
/// The most bytes that one character takes in UTF-8.
const MAX_CHAR_LEN: usize = 4;
/// The bytes of padding in a request. A response is never longer than the padding of its request, so that a
/// forged sender address can't be used to amplify traffic.
pub const PADDING: usize = MAX_DATAGRAM - 60;

/// Splits lines into pages. Lines that are longer than a page are truncated.
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
    Payload::Status(StatusMessage::Request { id, page, padding: vec![0; PADDING] })
}

/// Returns the response to a request; `None` for any other message, and for a page that does not exist.
pub fn response(message: &StatusMessage, lines: impl FnOnce() -> Vec<String>) -> Option<Payload> {
    let StatusMessage::Request { id, page, padding } = message else { return None };
    let pages = paginate(&lines());
    let text = pages.get(usize::from(*page)).filter(|text| text.len() <= padding.len())?;
    let response =
        StatusMessage::Response { id: *id, page: *page, pages: pages.len() as u16, text: text.clone() };
    Some(Payload::Status(response))
}
