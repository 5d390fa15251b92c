//! The log under readers that stand still, and its last lines.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use juniperwing_log::background;
use slog::{Level, debug, info, o};

/// More than the queue holds.
const MANY: usize = 20_000;
const AT_ONCE: Duration = Duration::from_secs(2);

#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Vec<u8>>>);

impl Memory {
    fn lines(&self) -> Vec<serde_json::Value> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }
}

impl Write for Memory {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes nothing before it is told to go on.
struct Standing {
    go_on: Receiver<()>,
    memory: Memory,
}

impl Standing {
    fn new() -> (Sender<()>, Memory, Standing) {
        let (sender, go_on) = channel();
        let memory = Memory::default();
        (sender, memory.clone(), Standing { go_on, memory })
    }
}

impl Write for Standing {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error once the sender is dropped: written from then on.
        let _ = self.go_on.recv();
        self.memory.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_flush_writes_all_records_in_order_with_their_values() {
    let memory = Memory::default();
    let (log, guard) = background(memory.clone(), Level::Info, o!("role" => "relay"));
    for number in 0..100 {
        info!(log, "told"; "number" => number);
        debug!(log, "not told");
    }
    guard.flush();
    let lines = memory.lines();
    let numbers: Vec<_> = lines.iter().map(|line| line["number"].as_u64().unwrap()).collect();
    assert_eq!(numbers, (0..100).collect::<Vec<_>>());
    assert!(lines.iter().all(|line| line["role"] == "relay" && line["msg"] == "told"));
}

#[test]
fn an_output_that_stands_still_holds_up_neither_logging_nor_the_end() {
    let (_go_on, memory, standing) = Standing::new();
    let (log, guard) = background(standing, Level::Info, o!());
    let begun = Instant::now();
    (0..MANY).for_each(|number| info!(log, "line"; "number" => number));
    guard.flush();
    assert!(begun.elapsed() < AT_ONCE, "{:?}", begun.elapsed());
    assert!(memory.lines().is_empty());
}

#[test]
fn dropped_records_are_counted_in_the_log() {
    let (go_on, memory, standing) = Standing::new();
    let (log, guard) = background(standing, Level::Info, o!());
    (0..MANY).for_each(|number| info!(log, "line"; "number" => number));
    drop(go_on);
    let until = Instant::now() + AT_ONCE;
    let is_told = |memory: &Memory| {
        let text = String::from_utf8_lossy(&memory.0.lock().unwrap()).into_owned();
        text.contains("dropped")
    };
    while !is_told(&memory) && Instant::now() < until {
        info!(log, "room again");
        std::thread::sleep(Duration::from_millis(5));
    }
    guard.flush();
    assert!(is_told(&memory));
}
