//! The load that endpoints report.

/// The load that an endpoint reports (`X-Server-Load`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// The number of requests that the endpoint runs concurrently.
    pub slots: u32,
}

impl ServerLoad {
    /// Parses `running,waiting,slots`; `None` if the text is malformed.
    pub fn parse(text: &str) -> Option<ServerLoad> {
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
        Some(ServerLoad { running, waiting, slots })
    }
}
