//! The bodies of answers to clients.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures_util::Stream;
use http_body::{Body, Frame, SizeHint};
use snafu::Snafu;

use super::connections::RequestGuard;
use super::memory::MemoryReservation;
use super::trace::Traced;

/// Why an answer breaks off. The client sees a connection that ends before the answer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StreamError {
    /// The endpoint broke off, and nobody may go on.
    #[snafu(display("the endpoint broke off"))]
    Endpoint,
    /// The time is over.
    #[snafu(display("the time is over"))]
    Deadline,
    /// The turn could not be kept.
    #[snafu(display("the turn could not be kept"))]
    TurnNotStored,
    /// The endpoint sent what is no answer.
    #[snafu(display("the endpoint sent no proper answer"))]
    InvalidResponse,
    /// There is no room for what has to be kept of it.
    #[snafu(display("no room for the answer"))]
    NoCapacity,
}

impl StreamError {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            StreamError::Endpoint => "endpoint broke off",
            StreamError::Deadline => "deadline",
            StreamError::TurnNotStored => "turn not kept",
            StreamError::InvalidResponse => "unsound answer",
            StreamError::NoCapacity => "no room for the answer",
        }
    }
}

/// Pieces of an answer as they come.
pub type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, StreamError>> + Send>>;

enum Content {
    Whole(VecDeque<Bytes>),
    Pieces(Pieces),
}

/// The body of an answer.
pub struct RelayBody {
    content: Content,
    /// The room that it takes.
    _held: Option<MemoryReservation>,
    /// Tells what became of the request when its answer has ended.
    traced: Option<Traced>,
    /// The request counts as open for as long as its answer lives.
    open: Option<RequestGuard>,
}

impl RelayBody {
    /// A body that is known as a whole.
    pub fn whole(pieces: VecDeque<Bytes>) -> Self {
        RelayBody { content: Content::Whole(pieces), _held: None, traced: None, open: None }
    }

    /// The same, with the room that it takes until it has gone out.
    pub fn whole_held(pieces: VecDeque<Bytes>, held: MemoryReservation) -> Self {
        RelayBody { _held: Some(held), ..Self::whole(pieces) }
    }

    /// A fixed text.
    pub fn text(text: &'static str) -> Self {
        Self::whole(VecDeque::from([Bytes::from_static(text.as_bytes())]))
    }

    /// A body whose pieces are passed on as they come.
    pub fn pieces(pieces: Pieces) -> Self {
        RelayBody { content: Content::Pieces(pieces), _held: None, traced: None, open: None }
    }

    /// Ties the request to its answer.
    pub fn hold(&mut self, open: RequestGuard, traced: Traced) {
        self.open = Some(open);
        self.traced = Some(traced);
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let piece = match &mut self.content {
            Content::Whole(pieces) => pieces.pop_front().map(Ok),
            Content::Pieces(pieces) => ready!(pieces.as_mut().poll_next(context)),
        };
        Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Whole(pieces) if pieces.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(pieces) => {
                SizeHint::with_exact(pieces.iter().map(|piece| piece.len() as u64).sum())
            }
            Content::Pieces(_) => SizeHint::default(),
        }
    }
}
