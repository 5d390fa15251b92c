//! The record of a case: one line for everything that was sent, answered, run or done to a process.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    shared: Arc<(Instant, Mutex<File>)>,
}

impl Record {
    /// Creates the file; an earlier record is replaced.
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { shared: Arc::new((Instant::now(), Mutex::new(file))) }
    }

    /// The seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.shared.0.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let mut file = self.shared.1.lock().expect("no writer panics");
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line, to standard output too.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.now());
        self.line(text);
    }
}
