//! What operators are told of a router's fleet: pages of lines.

use crate::packet::{Payload, StatusMessage, MAX_DATAGRAM, PAYLOAD_CAPACITY};

/// Bytes of lines on a page.
const PAGE: usize = PAYLOAD_CAPACITY - 40;

/// The longest question; shorter ones get shorter answers.
pub const PADDING: usize = MAX_DATAGRAM - 60;

/// Lines, broken into pages.
pub fn pages(lines: &[String]) -> Vec<String> {
    let mut pages = vec![String::new()];
    for line in lines {
        let line: String = line.chars().take(PAGE / 4).collect();
        if pages.last().is_some_and(|p| p.len() + line.len() + 1 > PAGE) {
            pages.push(String::new());
        }
        if let Some(page) = pages.last_mut() {
            page.push_str(&line);
            page.push('\n');
        }
    }
    pages
}

/// The question for a page.
pub fn request(number: u64, page: u16) -> Payload {
    Payload::Status(StatusMessage::Request { id: number, page, padding: vec![0; PADDING] })
}

/// The answer to an operator's question; none to anything else, or to a page that is not there.
pub fn answer(asked: &StatusMessage, lines: impl FnOnce() -> Vec<String>) -> Option<Payload> {
    let StatusMessage::Request { id: number, page, padding } = asked else { return None };
    let pages = pages(&lines());
    let text = pages.get(usize::from(*page)).filter(|text| text.len() <= padding.len())?;
    Some(Payload::Status(StatusMessage::Response {
        id: *number,
        page: *page,
        pages: pages.len() as u16,
        text: text.clone(),
    }))
}
