//! The listener for clients.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, Version};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use juniperwing_balancing::{Destination, PromptSection};
use juniperwing_clock::{Span, Time};
use juniperwing_configuration::{Limits, Route};
use juniperwing_protocol::headers;
use juniperwing_protocol::identity::ProgramId;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use super::RelayState;
use super::attempt_outcome::{ExecutionStatus, Rejection, plain};
use super::body::RelayBody;
use super::connections::{ClientConnection, RegisteredConnection, WatchedStream};
use super::exchange::{Exchange, has_other_transfer_coding, header_number, header_text, remove_hop_by_hop};
use super::forward::forward;
use super::memory::MemoryReservation;
use super::snapshot::ActiveConfiguration;
use super::trace::{Outcome, RequestTrace, Traced};
use super::turn::{OpenTurn, TurnRejection};
use crate::clock::{duration, now, random};
use crate::panics::isolated;

/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Room for the first line of a request beside its headers, in bytes. The HTTP library's least buffer is as large.
const REQUEST_LINE_BYTES: usize = 8 << 10;
/// Connections beyond the bound that are still told to come back later; more are closed at once.
const MAX_REJECTED_CONNECTIONS: usize = 64;
/// Header lines of a request at the most; the bytes that they may take together are the operator's to bound.
const MAX_HEADER_LINES: usize = 512;
/// Bytes that a header takes beside its name and value.
const HEADER_OVERHEAD: usize = 4;

/// Accepts connections until it is dropped.
pub async fn accept(core: Arc<RelayState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => take(&core, stream),
            Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}

fn take(core: &Arc<RelayState>, stream: TcpStream) {
    let count = core.connections.count();
    if count >= core.max_client_connections + MAX_REJECTED_CONNECTIONS {
        return;
    }
    let has_room = count < core.max_client_connections;
    let limits = core.world.snapshot().limits();
    // RegisteredConnection at once: a relay that stops ends all that it has accepted.
    let listed = core.connections.add(limits.max_header_bytes);
    tokio::spawn(isolated(serve_connection(Arc::clone(core), stream, listed, limits, has_room)));
}

async fn serve_connection(
    core: Arc<RelayState>, stream: TcpStream, listed: RegisteredConnection, limits: Limits, has_room: bool,
) {
    // Without it answers only come later.
    let _ = stream.set_nodelay(true);
    let connection = Arc::clone(&listed.connection);
    let service = {
        let (core, connection) = (Arc::clone(&core), Arc::clone(&connection));
        service_fn(move |request| {
            serve_request(Arc::clone(&core), Arc::clone(&connection), request, has_room)
        })
    };
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None);
    builder.auto_date_header(false);
    builder.max_headers(MAX_HEADER_LINES);
    builder.max_buf_size((limits.max_header_bytes as usize).saturating_add(REQUEST_LINE_BYTES));
    let watched = WatchedStream { stream, connection: Arc::clone(&connection) };
    let served = builder.serve_connection(TokioIo::new(watched), service);
    tokio::pin!(served);
    loop {
        tokio::select! {
            // Clients that break off are no concern of the relay.
            _ = served.as_mut() => return,
            () = connection.finish.notified() => served.as_mut().graceful_shutdown(),
            () = connection.cut.notified() => return,
        }
    }
}

async fn serve_request(
    core: Arc<RelayState>, connection: Arc<ClientConnection>, request: Request<Incoming>, has_room: bool,
) -> Result<Response<RelayBody>, Infallible> {
    let open = connection.open_request();
    core.metrics.requests.add();
    let trace = RequestTrace::begin(header_text(request.headers(), headers::REQUEST_ID));
    // Dropped with this future if the client leaves before it is answered.
    let traced = Traced::new(Arc::clone(&trace), Arc::clone(&core.request_log));
    let mut answer = if has_room {
        respond_before_end(&core, &connection, request, &trace).await
    } else {
        Refused::Rejection(Rejection::NoCapacity).answer(&core, &trace)
    };
    trace.answering(&answer);
    answer.body_mut().hold(open, traced);
    if core.stopping.load(Ordering::Relaxed) || !has_room {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

/// Answers a request; without a promise if the process ends before it is done.
async fn respond_before_end(
    core: &Arc<RelayState>, connection: &ClientConnection, request: Request<Incoming>,
    trace: &Arc<RequestTrace>,
) -> Response<RelayBody> {
    tokio::select! {
        biased;
        answer = respond(core, connection, request, trace) => {
            answer.unwrap_or_else(|refused| refused.answer(core, trace))
        }
        () = core.ending() => reject(core, trace, Rejection::ShuttingDown, ExecutionStatus::MayHaveRun),
    }
}

/// Why a request is not passed on.
enum Refused {
    Final(StatusCode),
    Rejection(Rejection),
}

impl Refused {
    fn answer(self, core: &RelayState, trace: &RequestTrace) -> Response<RelayBody> {
        match self {
            Refused::Final(status) => {
                trace.ended(Outcome::Refused(status));
                plain(status)
            }
            Refused::Rejection(why) => reject(core, trace, why, ExecutionStatus::NotSent),
        }
    }
}

/// Counts a request that is given up, and answers it.
pub(super) fn reject(
    core: &RelayState, trace: &RequestTrace, why: Rejection, fate: ExecutionStatus,
) -> Response<RelayBody> {
    core.metrics.reject(why);
    let answer = why.answer(fate);
    trace.ended(Outcome::Rejection(why, answer.status()));
    answer
}

impl From<TurnRejection> for Refused {
    fn from(denied: TurnRejection) -> Self {
        match denied {
            TurnRejection::Final(status) => Refused::Final(status),
            TurnRejection::Rejection(why) => Refused::Rejection(why),
        }
    }
}

async fn respond(
    core: &Arc<RelayState>, connection: &ClientConnection, request: Request<Incoming>,
    trace: &Arc<RequestTrace>,
) -> Result<Response<RelayBody>, Refused> {
    let begun = now();
    let snapshot = core.world.snapshot();
    let active = snapshot.configuration.as_ref().ok_or(Refused::Rejection(Rejection::NotConfigured))?;
    let route = find_route(core, active, &request)?;
    trace.routed(&route, active.generation);
    let limits = active.table.limits();
    check_head(&request, limits)?;
    // An HTTP/1.0 client could not tell a stream's end from a break.
    if request.version() < Version::HTTP_11 && route.route_type.is_streaming() {
        return Err(Refused::Final(StatusCode::HTTP_VERSION_NOT_SUPPORTED));
    }
    let (parts, body) = request.into_parts();
    let deadline = begun + time_allowed(&route, &parts.headers);
    let (body, held) = read_body(core, body, limits, deadline).await?;
    let mut exchange = exchange(route, parts, body, deadline, trace, held)?;
    let turn = OpenTurn::begin(core, &mut exchange, &active.table).await;
    let turn = turn.inspect_err(|denied| {
        if matches!(denied, TurnRejection::Final(_)) {
            core.metrics.turns_denied.add();
        }
    })?;
    let with_history = exchange.body.len();
    if !exchange.held.grow(with_history) {
        return Err(Refused::Rejection(Rejection::NoCapacity));
    }
    let answer = forward(core, exchange, turn).await;
    connection.set_deadline(deadline);
    Ok(answer)
}

fn find_route(
    core: &RelayState, active: &ActiveConfiguration, request: &Request<Incoming>,
) -> Result<Arc<Route>, Refused> {
    let authority = request.uri().authority().map_or("", |authority| authority.as_str());
    let host = if authority.is_empty() { header_text(request.headers(), HOST.as_str()) } else { authority };
    let route = active.table.lookup(host, request.uri().path());
    route.cloned().ok_or_else(|| {
        if core.world.is_out_of_touch() {
            return Refused::Rejection(Rejection::KeepersUnreachable);
        }
        core.metrics.no_route.add();
        Refused::Final(StatusCode::NOT_FOUND)
    })
}

fn check_head(request: &Request<Incoming>, limits: &Limits) -> Result<(), Refused> {
    let lines = request.headers().iter();
    let bytes: usize = lines.map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD).sum();
    if bytes as u64 > limits.max_header_bytes {
        return Err(Refused::Final(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
    }
    if header_number(request.headers(), CONTENT_LENGTH.as_str()) > Some(limits.max_body_bytes) {
        return Err(Refused::Final(StatusCode::PAYLOAD_TOO_LARGE));
    }
    check_unambiguous(request.headers())
}

/// Whether an endpoint can only read the request as it is read here.
fn check_unambiguous(lines: &HeaderMap) -> Result<(), Refused> {
    let count = |name: &str| lines.get_all(name).iter().count();
    if count(headers::REQUEST_ID) != 1 || count(HOST.as_str()) > 1 || has_other_transfer_coding(lines) {
        return Err(Refused::Final(StatusCode::BAD_REQUEST));
    }
    Ok(())
}

/// The shorter of what the client and what the operator allows.
fn time_allowed(route: &Route, headers: &HeaderMap) -> Span {
    let deadline: Option<f64> = header_text(headers, headers::DEADLINE_MS).trim().parse().ok();
    deadline.map_or(route.timeout, |millis| Span::from_secs_f64(millis / 1_000.0).min(route.timeout))
}

/// Reads the body whole, within its bounds.
async fn read_body(
    core: &RelayState, mut body: Incoming, limits: &Limits, deadline: Time,
) -> Result<(Bytes, MemoryReservation), Refused> {
    let mut held = core.memory.take(0).ok_or(Refused::Rejection(Rejection::NoCapacity))?;
    let mut pieces: Vec<Bytes> = Vec::new();
    let mut length = 0;
    let read = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Refused::Final(StatusCode::BAD_REQUEST))?;
            let Ok(piece) = frame.into_data() else { continue };
            length += piece.len();
            if length as u64 > limits.max_body_bytes {
                return Err(Refused::Final(StatusCode::PAYLOAD_TOO_LARGE));
            }
            if !held.grow(piece.len()) {
                return Err(Refused::Rejection(Rejection::NoCapacity));
            }
            pieces.push(piece);
        }
        Ok(())
    };
    let in_time = timeout(duration(deadline.since(now())), read).await;
    in_time.map_err(|_| Refused::Final(StatusCode::REQUEST_TIMEOUT))??;
    let body = match pieces.len() {
        0 => Bytes::new(),
        1 => pieces.swap_remove(0),
        _ => Bytes::from(pieces.concat()),
    };
    Ok((body, held))
}

fn exchange(
    route: Arc<Route>, parts: http::request::Parts, body: Bytes, deadline: Time, trace: &Arc<RequestTrace>,
    held: MemoryReservation,
) -> Result<Exchange, Refused> {
    let bad_request = || Refused::Final(StatusCode::BAD_REQUEST);
    let mut headers = parts.headers;
    let request = headers.get(headers::REQUEST_ID).cloned().ok_or_else(bad_request)?;
    remove_hop_by_hop(&mut headers);
    // The body is sent anew, whole: its length is set by the HTTP library.
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    let program = Some(header_text(&headers, headers::PROGRAM)).filter(|program| !program.is_empty());
    let destination = Destination {
        service: route.service_for(random()).clone(),
        host: route.hostname.clone(),
        prefix: route.path_prefix.clone(),
    };
    Ok(Exchange {
        destination,
        method: parts.method,
        uri: target(&parts.uri).ok_or_else(bad_request)?,
        request,
        prompt: PromptSection::list(header_text(&headers, headers::PROMPT_PREFIX)),
        program: program.map(ProgramId::from),
        hint: None,
        new_prompt_fraction: 1.0,
        headers,
        body,
        deadline,
        route,
        trace: Arc::clone(trace),
        held,
    })
}

/// Path and query as they came.
fn target(uri: &Uri) -> Option<Uri> {
    if uri.authority().is_none() {
        return Some(uri.clone());
    }
    Uri::builder().path_and_query(uri.path_and_query()?.clone()).build().ok()
}
