//! The log with a blocked output, and the flush at the end of a process.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use juniperwing_log::background;
use slog::{Level, debug, info, o};

/// More records than the queue has capacity for.
const RECORDS_BEYOND_QUEUE: usize = 20_000;
/// The maximum duration of a flush or a wait in these tests.
const MAX_DURATION: Duration = Duration::from_secs(2);

#[derive(Clone, Default)]
struct MemoryWriter(Arc<Mutex<Vec<u8>>>);

impl MemoryWriter {
    fn lines(&self) -> Vec<serde_json::Value> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }
}

impl Write for MemoryWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes nothing until the test unblocks it.
struct BlockedWriter {
    unblock: Receiver<()>,
    memory: MemoryWriter,
}

impl BlockedWriter {
    fn new() -> (Sender<()>, MemoryWriter, BlockedWriter) {
        let (sender, unblock) = channel();
        let memory = MemoryWriter::default();
        (sender, memory.clone(), BlockedWriter { unblock, memory })
    }
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Returns an error once the sender is dropped; writes are no longer blocked then.
        let _ = self.unblock.recv();
        self.memory.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_flush_writes_all_records_in_order_with_their_values() {
    let memory = MemoryWriter::default();
    let (log, guard) = background(memory.clone(), Level::Info, o!("role" => "relay"));
    for number in 0..100 {
        info!(log, "logged"; "number" => number);
        debug!(log, "below the level");
    }
    guard.flush();
    let lines = memory.lines();
    let numbers: Vec<_> = lines.iter().map(|line| line["number"].as_u64().unwrap()).collect();
    assert_eq!(numbers, (0..100).collect::<Vec<_>>());
    assert!(lines.iter().all(|line| line["role"] == "relay" && line["msg"] == "logged"));
}

#[test]
fn a_blocked_output_delays_neither_logging_nor_the_flush() {
    let (_unblock, memory, blocked) = BlockedWriter::new();
    let (log, guard) = background(blocked, Level::Info, o!());
    let started_at = Instant::now();
    (0..RECORDS_BEYOND_QUEUE).for_each(|number| info!(log, "line"; "number" => number));
    guard.flush();
    assert!(started_at.elapsed() < MAX_DURATION, "{:?}", started_at.elapsed());
    assert!(memory.lines().is_empty());
}

#[test]
fn dropped_records_are_counted_in_the_log() {
    let (unblock, memory, blocked) = BlockedWriter::new();
    let (log, guard) = background(blocked, Level::Info, o!());
    (0..RECORDS_BEYOND_QUEUE).for_each(|number| info!(log, "line"; "number" => number));
    drop(unblock);
    let deadline = Instant::now() + MAX_DURATION;
    let has_dropped_count = |memory: &MemoryWriter| {
        let text = String::from_utf8_lossy(&memory.0.lock().unwrap()).into_owned();
        text.contains("dropped")
    };
    while !has_dropped_count(&memory) && Instant::now() < deadline {
        info!(log, "after the drop");
        std::thread::sleep(Duration::from_millis(5));
    }
    guard.flush();
    assert!(has_dropped_count(&memory));
}
