//! What a process has used, from `/proc/PID`.

use std::fs;
use std::io;

/// Clock ticks a second in `/proc/PID/stat`; the kernel's interface fixes it at 100.
const TICKS_PER_S: f64 = 100.0;
const BYTES_PER_MB: f64 = 1_000_000.0;
/// Fields of `/proc/PID/stat` behind the name, before the time spent in the process itself.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time in seconds, with what the kernel did for it.
    pub processor_s: f64,
    /// Memory held now, in megabytes.
    pub memory_mb: f64,
    /// Bytes that it had written to disk.
    pub disk_bytes: f64,
}

/// Reads what a process has used.
///
/// # Errors
///
/// If there is no such process, or the kernel's text is not as expected.
pub fn of(process: u32) -> io::Result<Usage> {
    let folder = format!("/proc/{process}");
    let stat = fs::read_to_string(format!("{folder}/stat"))?;
    let status = fs::read_to_string(format!("{folder}/status"))?;
    let io_text = fs::read_to_string(format!("{folder}/io"))?;
    let usage = || {
        Some(Usage {
            processor_s: processor_s(&stat)?,
            memory_mb: field(&status, "VmRSS:")? * 1_024.0 / BYTES_PER_MB,
            disk_bytes: field(&io_text, "write_bytes:")?,
        })
    };
    usage().ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, format!("{folder} is not as expected")))
}

/// The processor time in the text of `/proc/PID/stat`. The name may hold spaces and brackets.
pub fn processor_s(stat: &str) -> Option<f64> {
    let (_, behind_name) = stat.rsplit_once(") ")?;
    let mut times = behind_name.split(' ').skip(FIELDS_BEFORE_USER_TIME);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}

/// The number behind a name at the beginning of a line.
pub fn field(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
