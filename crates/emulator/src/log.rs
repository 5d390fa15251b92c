//! Records the log lines of keepers in the history.

use std::fmt::Arguments;

use juniperwing_node::clock;
use slog::{Drain, KV, Key, Logger, Never, OwnedKVList, Record, Serializer, o};

use crate::history::{Event, History};

/// Writes log lines of the named process to the history.
struct HistoryDrain {
    history: History,
    name: String,
}

/// A log line with its keys and values.
#[derive(Default)]
struct LogLine(String);

impl Serializer for LogLine {
    fn emit_arguments(&mut self, key: Key, value: &Arguments<'_>) -> slog::Result {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}

impl Drain for HistoryDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut line = LogLine(format!("{}: {}", self.name, record.msg()));
        // The serializer accepts every value.
        let _ = record.kv().serialize(record, &mut line);
        self.history.record(clock::now(), Event::Log(line.0));
        Ok(())
    }
}

/// Creates a logger that records its lines in the history.
pub fn history_logger(history: &History, name: &str) -> Logger {
    Logger::root(HistoryDrain { history: history.clone(), name: name.to_owned() }, o!())
}
