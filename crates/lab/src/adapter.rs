//! The policies of another build, through its adapter program: one process for each run, which hosts all relays of the
//! run and exchanges JSON lines. It receives only the events of its relays.

mod wire;

use std::cell::RefCell;
use std::io::{BufRead, BufReader, Read, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command as Process, Stdio};
use std::rc::Rc;

use juniperwing::interface::{Command, Event};
use juniperwing::time::Time;
use juniperwing_model::fleet::Fleet;
use juniperwing_model::policy::{GroundTruth, Policies, Policy};
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// The longest reply that is read.
const MAX_REPLY_BYTES: u64 = 64 << 20;

/// Why an adapter cannot be used.
#[derive(Debug, Snafu)]
#[allow(missing_docs, reason = "the message says what each field is")]
pub enum AdapterError {
    #[snafu(display("{program} cannot be started: {source}"))]
    Start { program: String, source: std::io::Error },
    #[snafu(display("{program}: no pipes"))]
    NoPipes { program: String },
    #[snafu(display("{source}"))]
    Io { source: std::io::Error },
    #[snafu(display("it ended in the middle of a run"))]
    Ended,
    #[snafu(display("invalid reply: {source}"))]
    InvalidReply { source: serde_json::Error },
}

/// The process of an adapter. It is killed when this value is dropped.
struct AdapterProcess {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Drop for AdapterProcess {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl AdapterProcess {
    fn start(program: &Path) -> Result<AdapterProcess, AdapterError> {
        let name = program.display().to_string();
        let mut child = Process::new(program)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .context(StartSnafu { program: &name })?;
        let input = child.stdin.take().context(NoPipesSnafu { program: &name })?;
        let output = child.stdout.take().context(NoPipesSnafu { program: &name })?;
        Ok(AdapterProcess { child, input, output: BufReader::new(output) })
    }

    /// Sends the events up to `now` and reads the resulting commands.
    fn exchange(&mut self, now: Time, events: &[Value]) -> Result<Vec<Command>, AdapterError> {
        let line = wire::request_line(now, events);
        self.input.write_all(line.as_bytes()).and_then(|()| self.input.flush()).context(IoSnafu)?;
        let mut reply = Vec::new();
        let mut bounded = (&mut self.output).take(MAX_REPLY_BYTES);
        let length = bounded.read_until(b'\n', &mut reply).context(IoSnafu)?;
        ensure!(length > 0, EndedSnafu);
        wire::parse_reply(&reply).context(InvalidReplySnafu)
    }
}

/// An adapter's process, or the reason why it is unavailable.
enum Connection {
    Open(AdapterProcess),
    Failed(AdapterError),
    Closed,
}

/// All relays of a run share one connection.
type SharedConnection = Rc<RefCell<Connection>>;

/// The policies of an adapter's process.
pub struct Adapter {
    name: String,
    connection: SharedConnection,
}

impl Adapter {
    /// Starts the program.
    ///
    /// # Errors
    ///
    /// If the program cannot be started.
    pub fn start(program: &Path) -> Result<Adapter, AdapterError> {
        let process = AdapterProcess::start(program)?;
        let name = program.file_name().and_then(|name| name.to_str()).unwrap_or("adapter").to_owned();
        Ok(Adapter { name, connection: Rc::new(RefCell::new(Connection::Open(process))) })
    }

    /// Ends the run.
    ///
    /// # Errors
    ///
    /// If the program failed or violated the protocol during the run. The metrics of the run are then invalid.
    pub fn finish(self) -> Result<(), AdapterError> {
        match self.connection.replace(Connection::Closed) {
            Connection::Failed(error) => Err(error),
            Connection::Open(_) | Connection::Closed => Ok(()),
        }
    }
}

impl Policies for Adapter {
    fn name(&self) -> &str {
        &self.name
    }

    fn start(&self, _: Time, relay: usize, seed: u64, fleet: &Fleet) -> Box<dyn Policy> {
        let name = format!("r{relay}");
        let start = wire::start(&name, seed, fleet, relay);
        Box::new(AdapterPolicy { connection: self.connection.clone(), name, start: Some(start) })
    }
}

/// A relay that an adapter hosts.
struct AdapterPolicy {
    connection: SharedConnection,
    name: String,
    /// The message that starts the relay, until it is sent.
    start: Option<Value>,
}

impl Policy for AdapterPolicy {
    fn handle(&mut self, now: Time, events: Vec<Event>, _: &dyn GroundTruth) -> Vec<Command> {
        let mut lines: Vec<Value> = self.start.take().into_iter().collect();
        events.into_iter().for_each(|event| wire::push_event(&mut lines, &self.name, event));
        let mut connection = self.connection.borrow_mut();
        let Connection::Open(process) = &mut *connection else { return Vec::new() };
        process.exchange(now, &lines).unwrap_or_else(|error| {
            *connection = Connection::Failed(error);
            Vec::new()
        })
    }
}
