//! The bodies of responses to clients.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures_util::Stream;
use http_body::{Body, Frame, SizeHint};

use super::connections::RequestGuard;
use super::memory::MemoryReservation;
use super::request_log::PendingLogEntry;
use super::stream_error::StreamError;

/// Chunks of a response as they arrive.
pub type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, StreamError>> + Send>>;

enum Content {
    Complete(VecDeque<Bytes>),
    Streaming(ChunkStream),
}

/// The body of a response to a client.
pub struct RelayBody {
    content: Content,
    /// The memory reserved for the chunks.
    _memory: Option<MemoryReservation>,
    /// Logs the request when dropped, at the end of the response.
    log_entry: Option<PendingLogEntry>,
    /// Keeps the request open until the response is dropped.
    request: Option<RequestGuard>,
}

impl RelayBody {
    /// A body that has been buffered completely.
    pub fn complete(chunks: VecDeque<Bytes>) -> Self {
        RelayBody { content: Content::Complete(chunks), _memory: None, log_entry: None, request: None }
    }

    /// A buffered body that holds its memory reservation until it is sent.
    pub fn complete_with_memory(chunks: VecDeque<Bytes>, memory: MemoryReservation) -> Self {
        RelayBody { _memory: Some(memory), ..Self::complete(chunks) }
    }

    /// A fixed text.
    pub fn text(text: &'static str) -> Self {
        Self::complete(VecDeque::from([Bytes::from_static(text.as_bytes())]))
    }

    /// A body whose chunks are forwarded as they arrive.
    pub fn streaming(chunks: ChunkStream) -> Self {
        RelayBody { content: Content::Streaming(chunks), _memory: None, log_entry: None, request: None }
    }

    /// Attaches what ends with this body: when it is dropped, the request is closed and its log entry written.
    pub fn attach(&mut self, request: RequestGuard, log_entry: PendingLogEntry) {
        self.request = Some(request);
        self.log_entry = Some(log_entry);
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let chunk = match &mut self.content {
            Content::Complete(chunks) => chunks.pop_front().map(Ok),
            Content::Streaming(chunks) => ready!(chunks.as_mut().poll_next(context)),
        };
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Complete(chunks) if chunks.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Complete(chunks) => {
                SizeHint::with_exact(chunks.iter().map(|chunk| chunk.len() as u64).sum())
            }
            Content::Streaming(_) => SizeHint::default(),
        }
    }
}
