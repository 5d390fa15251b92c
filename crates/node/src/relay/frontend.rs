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
use juniperwing_balancing::{Destination, PromptPart};
use juniperwing_clock::{Span, Time};
use juniperwing_configuration::{Limits, Route};
use juniperwing_protocol::headers;
use juniperwing_protocol::identity::ProgramId;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use super::Core;
use super::body::RelayBody;
use super::connections::{ClientConnection, Listed, Watched};
use super::exchange::{Exchange, has_other_transfer_coding, header_number, header_text, remove_hop_by_hop};
use super::fate::{Fate, GivenUp, plain};
use super::forward::forward;
use super::memory::Held;
use super::snapshot::InForce;
use super::trace::{Outcome, RequestTrace, Traced};
use super::turn::{Denied, OpenTurn};
use crate::clock::{duration, now, random};
use crate::panics::isolated;

/// The pause after a connection could not be accepted.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);
/// Room for the first line of a request beside its headers, in bytes. The HTTP library's least buffer is as large.
const REQUEST_LINE_BYTES: usize = 8 << 10;
/// Connections beyond the bound that are still told to come back later; more are closed at once.
const REFUSED_POLITELY: usize = 64;
/// Header lines of a request at the most; the bytes that they may take together are the operator's to bound.
const MOST_HEADERS: usize = 512;
/// Bytes that a header takes beside its name and value.
const HEADER_OVERHEAD: usize = 4;

/// Accepts connections until it is dropped.
pub async fn accept(core: Arc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => take(&core, stream),
            Err(_) => sleep(PAUSE_AFTER_FAILURE).await,
        }
    }
}

fn take(core: &Arc<Core>, stream: TcpStream) {
    let count = core.connections.count();
    if count >= core.most_connections + REFUSED_POLITELY {
        return;
    }
    let has_room = count < core.most_connections;
    let limits = core.world.snapshot().limits();
    // Listed at once: a relay that stops ends all that it has accepted.
    let listed = core.connections.add(limits.max_header_bytes);
    tokio::spawn(isolated(serve_connection(Arc::clone(core), stream, listed, limits, has_room)));
}

async fn serve_connection(
    core: Arc<Core>, stream: TcpStream, listed: Listed, limits: Limits, has_room: bool,
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
    builder.max_headers(MOST_HEADERS);
    builder.max_buf_size((limits.max_header_bytes as usize).saturating_add(REQUEST_LINE_BYTES));
    let watched = Watched { stream, connection: Arc::clone(&connection) };
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
    core: Arc<Core>, connection: Arc<ClientConnection>, request: Request<Incoming>, has_room: bool,
) -> Result<Response<RelayBody>, Infallible> {
    let open = connection.open_request();
    core.metrics.requests.add();
    let trace = RequestTrace::begin(header_text(request.headers(), headers::REQUEST_ID));
    // Dropped with this future if the client leaves before it is answered.
    let traced = Traced::new(Arc::clone(&trace), Arc::clone(&core.request_log));
    let mut answer = if has_room {
        respond_before_end(&core, &connection, request, &trace).await
    } else {
        Refused::GivenUp(GivenUp::NoRoom).answer(&core, &trace)
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
    core: &Arc<Core>, connection: &ClientConnection, request: Request<Incoming>, trace: &Arc<RequestTrace>,
) -> Response<RelayBody> {
    tokio::select! {
        biased;
        answer = respond(core, connection, request, trace) => {
            answer.unwrap_or_else(|refused| refused.answer(core, trace))
        }
        () = core.ending() => given_up(core, trace, GivenUp::Ending, Fate::MayHaveRun),
    }
}

/// Why a request is not passed on.
enum Refused {
    Finally(StatusCode),
    GivenUp(GivenUp),
}

impl Refused {
    fn answer(self, core: &Core, trace: &RequestTrace) -> Response<RelayBody> {
        match self {
            Refused::Finally(status) => {
                trace.ended(Outcome::Refused(status));
                plain(status)
            }
            Refused::GivenUp(why) => given_up(core, trace, why, Fate::NotSent),
        }
    }
}

/// Counts a request that is given up, and answers it.
pub(super) fn given_up(core: &Core, trace: &RequestTrace, why: GivenUp, fate: Fate) -> Response<RelayBody> {
    core.metrics.given_up(why);
    let answer = why.answer(fate);
    trace.ended(Outcome::GivenUp(why, answer.status()));
    answer
}

impl From<Denied> for Refused {
    fn from(denied: Denied) -> Self {
        match denied {
            Denied::Finally(status) => Refused::Finally(status),
            Denied::GivenUp(why) => Refused::GivenUp(why),
        }
    }
}

async fn respond(
    core: &Arc<Core>, connection: &ClientConnection, request: Request<Incoming>, trace: &Arc<RequestTrace>,
) -> Result<Response<RelayBody>, Refused> {
    let begun = now();
    let snapshot = core.world.snapshot();
    let in_force = snapshot.configuration.as_ref().ok_or(Refused::GivenUp(GivenUp::NotConfigured))?;
    let route = find_route(core, in_force, &request)?;
    trace.routed(&route, in_force.generation);
    let limits = in_force.table.limits();
    check_head(&request, limits)?;
    // An HTTP/1.0 client could not tell a stream's end from a break.
    if request.version() < Version::HTTP_11 && route.route_type.is_streaming() {
        return Err(Refused::Finally(StatusCode::HTTP_VERSION_NOT_SUPPORTED));
    }
    let (parts, body) = request.into_parts();
    let deadline = begun + time_allowed(&route, &parts.headers);
    let (body, held) = read_body(core, body, limits, deadline).await?;
    let mut exchange = exchange(route, parts, body, deadline, trace, held)?;
    let turn = OpenTurn::begin(core, &mut exchange, &in_force.table).await;
    let turn = turn.inspect_err(|denied| {
        if matches!(denied, Denied::Finally(_)) {
            core.metrics.turns_denied.add();
        }
    })?;
    let with_history = exchange.body.len();
    if !exchange.held.grow(with_history) {
        return Err(Refused::GivenUp(GivenUp::NoRoom));
    }
    let answer = forward(core, exchange, turn).await;
    connection.set_deadline(deadline);
    Ok(answer)
}

fn find_route(core: &Core, in_force: &InForce, request: &Request<Incoming>) -> Result<Arc<Route>, Refused> {
    let authority = request.uri().authority().map_or("", |authority| authority.as_str());
    let host = if authority.is_empty() { header_text(request.headers(), HOST.as_str()) } else { authority };
    let route = in_force.table.lookup(host, request.uri().path());
    route.cloned().ok_or_else(|| {
        if core.world.is_out_of_touch() {
            return Refused::GivenUp(GivenUp::OutOfTouch);
        }
        core.metrics.no_route.add();
        Refused::Finally(StatusCode::NOT_FOUND)
    })
}

fn check_head(request: &Request<Incoming>, limits: &Limits) -> Result<(), Refused> {
    let lines = request.headers().iter();
    let bytes: usize = lines.map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD).sum();
    if bytes as u64 > limits.max_header_bytes {
        return Err(Refused::Finally(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
    }
    if header_number(request.headers(), CONTENT_LENGTH.as_str()) > Some(limits.max_body_bytes) {
        return Err(Refused::Finally(StatusCode::PAYLOAD_TOO_LARGE));
    }
    check_unambiguous(request.headers())
}

/// Whether an endpoint can only read the request as it is read here.
fn check_unambiguous(lines: &HeaderMap) -> Result<(), Refused> {
    let count = |name: &str| lines.get_all(name).iter().count();
    if count(headers::REQUEST_ID) != 1 || count(HOST.as_str()) > 1 || has_other_transfer_coding(lines) {
        return Err(Refused::Finally(StatusCode::BAD_REQUEST));
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
    core: &Core, mut body: Incoming, limits: &Limits, deadline: Time,
) -> Result<(Bytes, Held), Refused> {
    let mut held = core.memory.take(0).ok_or(Refused::GivenUp(GivenUp::NoRoom))?;
    let mut pieces: Vec<Bytes> = Vec::new();
    let mut length = 0;
    let read = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Refused::Finally(StatusCode::BAD_REQUEST))?;
            let Ok(piece) = frame.into_data() else { continue };
            length += piece.len();
            if length as u64 > limits.max_body_bytes {
                return Err(Refused::Finally(StatusCode::PAYLOAD_TOO_LARGE));
            }
            if !held.grow(piece.len()) {
                return Err(Refused::GivenUp(GivenUp::NoRoom));
            }
            pieces.push(piece);
        }
        Ok(())
    };
    let in_time = timeout(duration(deadline.since(now())), read).await;
    in_time.map_err(|_| Refused::Finally(StatusCode::REQUEST_TIMEOUT))??;
    let body = match pieces.len() {
        0 => Bytes::new(),
        1 => pieces.swap_remove(0),
        _ => Bytes::from(pieces.concat()),
    };
    Ok((body, held))
}

fn exchange(
    route: Arc<Route>, parts: http::request::Parts, body: Bytes, deadline: Time, trace: &Arc<RequestTrace>,
    held: Held,
) -> Result<Exchange, Refused> {
    let bad_request = || Refused::Finally(StatusCode::BAD_REQUEST);
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
        prompt: PromptPart::list(header_text(&headers, headers::PROMPT_PREFIX)),
        program: program.map(ProgramId::from),
        hint: None,
        new_share: 1.0,
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
