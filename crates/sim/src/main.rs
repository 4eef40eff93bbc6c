//! Hosts one decision module per router on the bench's wire; each is kept apart from the others.

use basalthill_policy::Policy;
use basalthill_sim::wire::{reply, Decoder, Incoming};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("basalthill-sim: {message}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut decoder = Decoder::default();
    let mut routers: BTreeMap<u32, Policy> = BTreeMap::new();
    for number in 0u64.. {
        let Some(frame) = next_frame(&mut input).map_err(|e| format!("frame {number}: {e}"))? else { break };
        let (now, events) = decoder.frame(&frame).map_err(|e| format!("frame {number}: {e}"))?;
        let (mut actions, mut out) = (Vec::new(), Vec::new());
        for (inst, incoming) in events {
            match incoming {
                Incoming::Start(seed, settings) => {
                    routers.insert(inst, Policy::new(*settings, seed));
                }
                Incoming::Stop => {
                    routers.remove(&inst);
                    actions.retain(|(i, _)| *i != inst);
                }
                Incoming::Event(event) => {
                    let router = routers.get_mut(&inst);
                    let router = router.ok_or(format!("frame {number}: router {inst} was never started"))?;
                    router.handle(now, event, &mut out);
                    actions.extend(out.drain(..).map(|a| (inst, a)));
                }
            }
        }
        output.write_all(&reply(&actions)).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// The next whole frame; none at the end of input.
fn next_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut head = [0; 4];
    let mut have = 0;
    while have < head.len() {
        match input.read(&mut head[have..]).map_err(|e| e.to_string())? {
            0 if have == 0 => return Ok(None),
            0 => return Err("input ends inside a frame's length".into()),
            n => have += n,
        }
    }
    let len = Decoder::frame_len(head)?;
    let mut frame = head.to_vec();
    let got = input.take(len as u64 - 4).read_to_end(&mut frame).map_err(|e| e.to_string())?;
    if got + 4 != len {
        return Err(format!("input ends {} bytes short of a frame of {len}", len - got - 4));
    }
    Ok(Some(frame))
}
