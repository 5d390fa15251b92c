//! The cases: requests, what endpoints do with each, and when clients disconnect.

use proptest::prelude::*;

/// The number of events in a complete stream.
pub const EVENTS: usize = 4;

/// More than fits into the buffers of two sockets.
pub const LONG_BODY_BYTES: usize = 7 << 20;

/// The route of a request; the prefixes are those of the routes in `support`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Idempotent,
    NonIdempotent,
    Stream,
    ResumableStream,
}

impl Kind {
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Idempotent => "/i/",
            Kind::NonIdempotent => "/n/",
            Kind::Stream => "/e/",
            Kind::ResumableStream => "/r/",
        }
    }

    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::ResumableStream)
    }

    /// Whether the request may be executed more than once.
    pub fn is_retryable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::ResumableStream)
    }
}

/// How a response delimits its body.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    Length,
    /// The same length in two lines.
    LengthTwice,
    Chunked,
    /// In chunks, with a wrong length beside them. The chunks count.
    ChunkedAndWrongLength,
    /// The body ends with the connection.
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
pub enum End {
    Close,
    Reset,
}

/// When a second response to the same request follows the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Surplus {
    None,
    /// In the same write.
    AtOnce,
    /// Once the client has its response, or another request arrives.
    WhileIdle,
    /// Once the head of the next request has been read.
    WhenNextIsDue,
}

/// Whether an endpoint closes the connection after a complete response.
#[derive(Clone, Copy, Debug)]
pub enum Closing {
    KeepsOpen,
    Announced,
    /// Unannounced, once the client has its response, or another request arrives.
    WhileIdle(End),
}

/// What an endpoint does with the rest of a request after an early response.
#[derive(Clone, Copy, Debug)]
pub enum AfterEarly {
    ReadOn,
    /// Reads on only when the case ends.
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
    CutHead {
        at: usize,
        end: End,
    },
    /// `at` counts from the start of the body, modulo its length.
    CutBody {
        framing: Framing,
        at: usize,
        end: End,
    },
    /// Bytes that are not a valid response, chosen by the number.
    Garbage(usize),
    /// A complete response with the id of another request.
    OtherId,
    /// A complete response with two ids, the right one first.
    TwoIds,
    /// Responds once the head is read.
    Early {
        declines: bool,
        then: AfterEarly,
    },
    Declined,
    /// A server error of the endpoint.
    Failed(Framing),
    SwitchingProtocols,
    NoResponse,
    /// Resets the connection once this much of the body is read.
    ResetAfter(usize),
}

/// One request of a client. Each reply is for the next endpoint that the request reaches; endpoints beyond them respond
/// correctly.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    pub kind: Kind,
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
    pub disconnects_by: End,
}

pub fn request_id(client: usize, request: usize) -> String {
    format!("c{client}r{request}")
}

/// The body that a client sends.
pub fn request_body(id: &str, length: usize) -> Vec<u8> {
    format!("<{id}>").into_bytes().into_iter().cycle().take(length).collect()
}

/// The body of a complete response, or the events after number `after`.
pub fn response_body(id: &str, kind: Kind, after: usize) -> Vec<u8> {
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
    let leaves = prop_oneof![3 => Just(None), 1 => (0_usize..600).prop_map(Some)];
    let requests = prop::collection::vec(request_plan(), 1..5);
    (requests, any::<bool>(), leaves, end()).prop_map(
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
        Kind::Idempotent,
        Kind::NonIdempotent,
        Kind::NonIdempotent,
        Kind::Stream,
        Kind::ResumableStream,
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
                // No second response can follow a body that ends with its connection.
                let surplus = if framing.ends_with_connection() { Surplus::None } else { surplus };
                Reply::Complete { framing, informational, surplus, closing }
            }
        ),
        1 => (0_usize..160, end()).prop_map(|(at, end)| Reply::CutHead { at, end }),
        3 => (framing(), 0_usize..4_000, end())
            .prop_map(|(framing, at, end)| Reply::CutBody { framing, at, end }),
        1 => any::<usize>().prop_map(Reply::Garbage),
        1 => Just(Reply::OtherId),
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
    prop::sample::select(vec![Surplus::None, Surplus::AtOnce, Surplus::WhileIdle, Surplus::WhenNextIsDue])
}

fn closing() -> impl Strategy<Value = Closing> {
    prop_oneof![
        6 => Just(Closing::KeepsOpen),
        1 => Just(Closing::Announced),
        1 => end().prop_map(Closing::WhileIdle),
    ]
}

fn after_early() -> impl Strategy<Value = AfterEarly> {
    prop::sample::select(vec![AfterEarly::ReadOn, AfterEarly::KeepOpen, AfterEarly::Close, AfterEarly::Reset])
}

fn end() -> impl Strategy<Value = End> {
    prop::sample::select(vec![End::Close, End::Reset])
}
