//! Generates test cases: requests, what endpoints do with each, and when clients disconnect.

use proptest::prelude::*;

/// The number of events in a complete stream.
pub const EVENTS: usize = 4;

/// The length of a body that does not fit into the buffers of two sockets.
pub const LONG_BODY_BYTES: usize = 7 << 20;

/// The type of a request's route. The prefixes are those of the routes in `support`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Idempotent,
    NonIdempotent,
    Stream,
    ResumableStream,
}

impl RequestKind {
    pub fn prefix(self) -> &'static str {
        match self {
            RequestKind::Idempotent => "/i/",
            RequestKind::NonIdempotent => "/n/",
            RequestKind::Stream => "/e/",
            RequestKind::ResumableStream => "/r/",
        }
    }

    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream | RequestKind::ResumableStream)
    }

    /// Whether the request may be executed more than once.
    pub fn is_retryable(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::ResumableStream)
    }
}

/// How a response delimits its body.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    Length,
    /// The same length in two header lines.
    LengthTwice,
    Chunked,
    /// In chunks, with a wrong `Content-Length`, which must be ignored.
    ChunkedAndWrongLength,
    /// The end of the connection delimits the body.
    UntilClose,
    /// The same, from an endpoint that speaks HTTP/1.0.
    UntilCloseOfHttp10,
}

impl Framing {
    pub fn ends_with_connection(self) -> bool {
        matches!(self, Framing::UntilClose | Framing::UntilCloseOfHttp10)
    }
}

/// How an endpoint ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    Close,
    Reset,
}

/// When a second response to the same request follows the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Surplus {
    None,
    /// In the same write.
    AtOnce,
    /// Once the client has received its response, or another request arrives.
    WhileIdle,
    /// Once the head of the next request has been read.
    WithNextRequest,
}

/// Whether an endpoint closes the connection after a complete response.
#[derive(Clone, Copy, Debug)]
pub enum Closing {
    KeepAlive,
    /// Immediately, announced by `Connection: close`.
    Announced,
    /// Without notice, once the client has received its response, or another request arrives.
    WhileIdle(CloseMode),
}

/// What an endpoint does with the rest of a request after an early response.
#[derive(Clone, Copy, Debug)]
pub enum AfterEarlyResponse {
    ReadOn,
    /// Reads on only when the test case ends.
    KeepOpen,
    Close,
    Reset,
}

/// What an endpoint does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    Complete {
        framing: Framing,
        informational: bool,
        surplus: Surplus,
        closing: Closing,
    },
    TruncatedHead {
        at: usize,
        end: CloseMode,
    },
    /// `at` counts from the start of the body, modulo its length.
    TruncatedBody {
        framing: Framing,
        at: usize,
        end: CloseMode,
    },
    /// An entry of `GARBAGE`, by its index.
    Garbage(usize),
    /// A complete response with the id of another request.
    WrongId,
    /// A complete response with two ids, the right one first.
    TwoIds,
    /// Responds as soon as the head is read.
    Early {
        declines: bool,
        then: AfterEarlyResponse,
    },
    Declined,
    /// A server error of the endpoint.
    Failed(Framing),
    SwitchingProtocols,
    NoResponse,
    /// Resets the connection after reading this number of bytes of the body.
    ResetAfter(usize),
}

/// One request of a client. The n-th reply is used by the n-th endpoint that the request reaches; further endpoints
/// respond correctly.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    pub kind: RequestKind,
    pub body: usize,
    pub in_chunks: bool,
    pub replies: Vec<Reply>,
}

/// One client.
#[derive(Clone, Debug)]
pub struct ClientPlan {
    pub requests: Vec<RequestPlan>,
    /// Sends all requests before it reads a response.
    pub pipelines: bool,
    /// Disconnects once it has read this number of bytes.
    pub disconnects_after_bytes: Option<usize>,
    pub disconnects_by: CloseMode,
}

pub fn request_id(client: usize, request: usize) -> String {
    format!("c{client}r{request}")
}

/// The body that a client sends.
pub fn request_body(id: &str, length: usize) -> Vec<u8> {
    format!("<{id}>").into_bytes().into_iter().cycle().take(length).collect()
}

/// The body of a complete response. For streams, only the events after number `after`.
pub fn response_body(id: &str, kind: RequestKind, after: usize) -> Vec<u8> {
    if !kind.is_stream() {
        return format!("answer to {id}|").repeat(1 + id.len() * 3).into_bytes();
    }
    (after + 1..=EVENTS)
        .map(|number| format!("id: {number}\ndata: {id} piece {number}\n\n"))
        .collect::<String>()
        .into()
}

pub fn client_plans() -> impl Strategy<Value = Vec<ClientPlan>> {
    prop::collection::vec(client_plan(), 1..4)
}

fn client_plan() -> impl Strategy<Value = ClientPlan> {
    let disconnects_after_bytes = prop_oneof![3 => Just(None), 1 => (0_usize..600).prop_map(Some)];
    let requests = prop::collection::vec(request_plan(), 1..5);
    (requests, any::<bool>(), disconnects_after_bytes, end()).prop_map(
        |(requests, pipelines, disconnects_after_bytes, disconnects_by)| ClientPlan {
            requests,
            pipelines,
            disconnects_after_bytes,
            disconnects_by,
        },
    )
}

fn request_plan() -> impl Strategy<Value = RequestPlan> {
    let kind = prop::sample::select(vec![
        RequestKind::Idempotent,
        RequestKind::NonIdempotent,
        RequestKind::NonIdempotent,
        RequestKind::Stream,
        RequestKind::ResumableStream,
    ]);
    let body = prop_oneof![10 => Just(0), 36 => 1_usize..200, 10 => 20_000_usize..60_000, 1 => Just(LONG_BODY_BYTES)];
    let replies = prop::collection::vec(reply(), 1..3);
    (kind, body, any::<bool>(), replies).prop_map(|(kind, body, in_chunks, replies)| RequestPlan {
        kind,
        body,
        in_chunks,
        replies,
    })
}

fn reply() -> impl Strategy<Value = Reply> {
    prop_oneof![
        6 => (framing(), any::<bool>(), surplus(), closing()).prop_map(
            |(framing, informational, surplus, closing)| {
                // No second response can follow a body that is delimited by the end of its connection.
                let surplus = if framing.ends_with_connection() { Surplus::None } else { surplus };
                Reply::Complete { framing, informational, surplus, closing }
            }
        ),
        1 => (0_usize..160, end()).prop_map(|(at, end)| Reply::TruncatedHead { at, end }),
        3 => (framing(), 0_usize..4_000, end())
            .prop_map(|(framing, at, end)| Reply::TruncatedBody { framing, at, end }),
        1 => any::<usize>().prop_map(Reply::Garbage),
        1 => Just(Reply::WrongId),
        1 => Just(Reply::TwoIds),
        2 => (any::<bool>(), after_early()).prop_map(|(declines, then)| Reply::Early { declines, then }),
        1 => Just(Reply::Declined),
        1 => framing().prop_map(Reply::Failed),
        1 => Just(Reply::SwitchingProtocols),
        1 => Just(Reply::NoResponse),
        1 => (0_usize..300).prop_map(Reply::ResetAfter),
    ]
}

fn framing() -> impl Strategy<Value = Framing> {
    prop::sample::select(vec![
        Framing::Length,
        Framing::LengthTwice,
        Framing::Chunked,
        Framing::ChunkedAndWrongLength,
        Framing::UntilClose,
        Framing::UntilCloseOfHttp10,
    ])
}

fn surplus() -> impl Strategy<Value = Surplus> {
    prop::sample::select(vec![Surplus::None, Surplus::AtOnce, Surplus::WhileIdle, Surplus::WithNextRequest])
}

fn closing() -> impl Strategy<Value = Closing> {
    prop_oneof![
        6 => Just(Closing::KeepAlive),
        1 => Just(Closing::Announced),
        1 => end().prop_map(Closing::WhileIdle),
    ]
}

fn after_early() -> impl Strategy<Value = AfterEarlyResponse> {
    prop::sample::select(vec![
        AfterEarlyResponse::ReadOn,
        AfterEarlyResponse::KeepOpen,
        AfterEarlyResponse::Close,
        AfterEarlyResponse::Reset,
    ])
}

fn end() -> impl Strategy<Value = CloseMode> {
    prop::sample::select(vec![CloseMode::Close, CloseMode::Reset])
}
