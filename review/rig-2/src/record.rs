//! `record.txt`: what was sent, answered and run, with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record { started: Instant::now(), file: Mutex::new(File::create(path).expect("record.txt")) }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        let mut file = self.file.lock().expect("record.txt");
        let _ = writeln!(file, "{line}");
    }
}
