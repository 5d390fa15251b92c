//! The logs of keepers as notes in the history.

use std::fmt::Arguments;

use juniperwing_node::clock;
use slog::{Drain, KV, Key, Logger, Never, OwnedKVList, Record, Serializer, o};

use crate::history::{History, Seen};

struct Notes {
    history: History,
    name: String,
}

#[derive(Default)]
struct Line(String);

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, value: &Arguments<'_>) -> slog::Result {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}

impl Drain for Notes {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut line = Line(format!("{}: {}", self.name, record.msg()));
        // Numbers and text are always taken.
        let _ = record.kv().serialize(record, &mut line);
        self.history.add(clock::now(), Seen::Note(line.0));
        Ok(())
    }
}

/// A log whose lines go to the history.
pub fn logger(history: &History, name: &str) -> Logger {
    Logger::root(Notes { history: history.clone(), name: name.to_owned() }, o!())
}
