//! A writer that buffers each line and writes it with one call.

use std::io::{self, Write};

/// Passes on complete lines, each in one write, so that the lines of several processes do not interleave and a line takes
/// one system call.
#[derive(Debug)]
pub(crate) struct LineBuffered<W> {
    inner: W,
    line: Vec<u8>,
}

impl<W: Write> LineBuffered<W> {
    pub(crate) fn new(inner: W) -> Self {
        LineBuffered { inner, line: Vec::new() }
    }
}

impl<W: Write> Write for LineBuffered<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let written = self.inner.write_all(&self.line);
            self.line.clear();
            written?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}
