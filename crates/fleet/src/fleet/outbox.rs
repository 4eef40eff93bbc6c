//! The queue of messages to be sent, and how they are packed into packets.

use crate::packet::{encoded_len, Message, PAYLOAD_CAPACITY};
use crate::roster::NodeId;
use std::collections::BTreeMap;

/// Messages to be sent, by receiver.
#[derive(Debug, Default)]
pub struct Outbox {
    queued: BTreeMap<NodeId, Vec<Message>>,
}

impl Outbox {
    /// Queues a message.
    pub fn push(&mut self, to: NodeId, message: Message) {
        self.queued.entry(to).or_default().push(message);
    }

    /// Removes and returns all messages, in the order of their receivers' ids.
    pub fn take(&mut self) -> BTreeMap<NodeId, Vec<Message>> {
        std::mem::take(&mut self.queued)
    }
}

/// Messages for one receiver, packed into packets of at most [`PAYLOAD_CAPACITY`] bytes.
#[derive(Debug)]
pub struct PackedMessages {
    /// All packets but the last. Each had no capacity left for the message that follows it.
    pub full: Vec<Vec<Message>>,
    /// The last packet.
    pub last: Vec<Message>,
    /// Bytes left in the last packet.
    last_capacity: usize,
}

impl PackedMessages {
    /// Packs messages, in their order.
    pub fn pack(messages: Vec<Message>) -> PackedMessages {
        let mut packed =
            PackedMessages { full: Vec::new(), last: Vec::new(), last_capacity: PAYLOAD_CAPACITY };
        for message in messages {
            let len = encoded_len(&message);
            if len > packed.last_capacity {
                packed.full.push(std::mem::take(&mut packed.last));
                packed.last_capacity = PAYLOAD_CAPACITY;
            }
            packed.last_capacity = packed.last_capacity.saturating_sub(len);
            packed.last.push(message);
        }
        packed
    }

    /// Adds a message to the last packet if the packet has capacity left for it; otherwise drops the message.
    pub fn push_if_fits(&mut self, message: Message) {
        if encoded_len(&message) <= self.last_capacity {
            self.last.push(message);
        }
    }
}
