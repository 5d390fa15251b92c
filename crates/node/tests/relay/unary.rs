//! Requests with a single response.

use std::time::Duration;

use http::StatusCode;
use juniperwing_protocol::registry::InstanceState;

use crate::endpoint::{FakeEndpoint, Step, ok, response};
use crate::hostile::script::CloseMode;
use crate::support::{RelayHarness, connect, instance, read, request, with_headers, with_timeout};

#[tokio::test]
async fn request_and_response_are_forwarded_unchanged() {
    let endpoint = FakeEndpoint::start("i-1", |request| {
        vec![response(
            request,
            "201 Created",
            "X-Other: 7\r\nKeep-Alive: 5\r\nConnection: keep-alive\r\n",
            "done",
        )]
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let sent = with_headers(
        request("POST", "/n/a%20b/c?x=1&y=%2F", "9c41", "the body"),
        &[("x-mine", "yes"), ("connection", "keep-alive, x-hop"), ("keep-alive", "3"), ("te", "trailers")],
    );
    let response = read(harness.send(sent).await).await;
    assert_eq!(response.status, StatusCode::CREATED);
    assert_eq!(response.body.as_deref(), Some(&b"done"[..]));
    assert_eq!(response.header("x-server-signature"), "stamp");
    assert_eq!(response.header("x-request-id"), "9c41");
    assert_eq!(response.header("x-other"), "7");
    assert_eq!(response.header("keep-alive"), "");
    let received = &endpoint.received()[0];
    assert_eq!(received.line, "POST /n/a%20b/c?x=1&y=%2F HTTP/1.1");
    assert_eq!(received.body, b"the body");
    assert_eq!(received.id(), "9c41");
    assert_eq!(received.header("host"), Some("h.example"));
    assert_eq!(received.header("x-mine"), Some("yes"));
    assert_eq!(received.header("x-expect-instance"), Some("i-1"));
    assert_eq!(received.header("priority"), Some("2"));
    assert_eq!((received.header("te"), received.header("keep-alive")), (None, None));
    let left: u64 = received.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!((1..=8000).contains(&left), "{left}");
}

#[tokio::test]
async fn unknown_routes_get_404_and_a_missing_configuration_503() {
    let harness = RelayHarness::start().await;
    let early = harness.get("/i/x").await;
    assert_eq!(early.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(early.header("retry-after").parse::<f64>().unwrap() > 0.0);
    harness.configure_all_routes(1);
    assert_eq!(harness.get("/nowhere/x").await.status, StatusCode::NOT_FOUND);
    let no_endpoint = harness.get("/i/x").await;
    assert_eq!(no_endpoint.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(no_endpoint.header("retry-after").parse::<f64>().unwrap() > 0.0);
}

#[tokio::test]
async fn a_response_to_another_request_is_never_forwarded() {
    let script = |request: &crate::endpoint::ReceivedRequest| {
        let mut other = request.clone();
        other.headers.retain(|(name, _)| !name.eq_ignore_ascii_case("x-request-id"));
        other.headers.push(("x-request-id".into(), "another".into()));
        ok(&other, "not yours")
    };
    let endpoint = FakeEndpoint::start("i-1", script).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let response = read(harness.send(request("POST", "/n/x", "9c41", "")).await).await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(response.header("x-server-signature"), "");
    assert_eq!(endpoint.received().len(), 1);
}

#[tokio::test]
async fn surplus_bytes_do_not_reach_the_next_request() {
    let endpoint = FakeEndpoint::start("i-1", |request| {
        let mut late = request.clone();
        late.body.clear();
        vec![response(request, "200 OK", "", "first"), response(&late, "200 OK", "", "surplus")]
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    for id in ["a1", "a2", "a3"] {
        let response = read(harness.send(request("GET", "/i/x", id, "")).await).await;
        assert_eq!((response.status, response.header("x-request-id")), (StatusCode::OK, id));
        assert_eq!(response.body.as_deref(), Some(&b"first"[..]));
    }
}

#[tokio::test]
async fn invalid_success_responses_are_not_forwarded() {
    // Without a length the response is delimited by the connection, so that only a reset makes it incomplete.
    let heads = [
        ("X-Request-Id: ID\r\nContent-Length: 2\r\n", CloseMode::Close),
        (
            "X-Request-Id: ID\r\nX-Server-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n",
            CloseMode::Close,
        ),
        ("X-Request-Id: ID\r\nX-Server-Signature: s\r\n", CloseMode::Reset),
        ("X-Request-Id: ID\r\n", CloseMode::Close),
        ("X-Request-Id: ID\r\nX-Server-Signature: s\r\nContent-Length: 9\r\n", CloseMode::Close),
        ("X-Request-Id: ID\r\nX-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n", CloseMode::Close),
    ];
    for (head, end) in heads {
        let endpoint = FakeEndpoint::start("i-1", move |request| {
            let head = head.replace("ID", request.id());
            let end = if end == CloseMode::Reset { Step::Reset } else { Step::Close };
            vec![Step::Send(format!("HTTP/1.1 200 OK\r\n{head}\r\nhi").into_bytes()), end]
        })
        .await;
        let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
        let response = read(harness.send(request("POST", "/n/x", "9c41", "")).await).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{head}");
        assert_eq!(endpoint.received().len(), 1, "{head}");
    }
}

#[tokio::test]
async fn a_misdirected_instance_is_dropped() {
    let endpoint = FakeEndpoint::start("i-1", |_| {
        vec![Step::Send(
            b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n".to_vec(),
        )]
    })
    .await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    for _ in 0..3 {
        let response = read(harness.send(request("POST", "/n/x", "9c41", "")).await).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(endpoint.received().len(), 1);
}

#[tokio::test]
async fn a_draining_instance_gets_no_requests() {
    let leaving = FakeEndpoint::start("i-1", |request| ok(request, "")).await;
    let staying = FakeEndpoint::start("i-2", |request| ok(request, "")).await;
    let harness = RelayHarness::with_endpoints(&[&leaving, &staying]).await;
    for _ in 0..8 {
        harness.get("/i/x").await;
    }
    harness.publish_instances(false, vec![instance(&leaving, InstanceState::Draining, 2)]);
    let before = leaving.received().len();
    // A late heartbeat does not restore it.
    harness.publish_instances(false, vec![instance(&leaving, InstanceState::Ready, 3)]);
    for _ in 0..8 {
        assert_eq!(harness.get("/i/x").await.status, StatusCode::OK);
    }
    assert_eq!(leaving.received().len(), before);
}

#[tokio::test]
async fn endpoint_errors_are_forwarded_unchanged() {
    let endpoint =
        FakeEndpoint::start("i-1", |request| vec![response(request, "500 Internal Server Error", "", "oh")])
            .await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    for (method, path) in [("POST", "/n/x"), ("GET", "/i/x"), ("POST", "/e/x")] {
        let response = read(harness.send(request(method, path, "9c41", "")).await).await;
        assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(
            (response.header("x-server-signature"), response.body.as_deref()),
            ("stamp", Some(&b"oh"[..]))
        );
    }
}

#[tokio::test]
async fn configured_limits_are_enforced() {
    let endpoint = FakeEndpoint::start("i-1", |request| ok(request, "")).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let large = "x".repeat(65_537);
    let response = read(harness.send(request("POST", "/n/x", "9c41", &large)).await).await;
    assert_eq!(response.status, StatusCode::PAYLOAD_TOO_LARGE);
    let long = "x".repeat(16_384);
    let sent = with_headers(request("POST", "/n/x", "9c41", ""), &[("x-long", &long)]);
    let response = read(harness.send(sent).await).await;
    assert_eq!(response.status, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    assert!(endpoint.received().is_empty());
}

#[tokio::test]
async fn requests_on_one_client_connection_reuse_one_endpoint_connection() {
    let endpoint = FakeEndpoint::start("i-1", |request| ok(request, request.id())).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let mut client = connect(harness.frontend).await;
    for id in ["a", "b", "c"] {
        client.ready().await.unwrap();
        let response =
            read(with_timeout(client.send_request(request("GET", "/i/x", id, ""))).await.unwrap()).await;
        assert_eq!(response.body.as_deref(), Some(id.as_bytes()));
    }
    assert_eq!(*endpoint.connections.lock().unwrap(), 1);
}

#[tokio::test]
async fn idle_connections_are_closed_when_the_endpoint_accepts_none() {
    let endpoint = FakeEndpoint::start("i-1", |request| ok(request, "")).await;
    let harness = RelayHarness::start().await;
    let (pool, id) = (&harness.state.pool, "i-1".into());
    let mut connection = pool.connect(endpoint.address, Duration::from_secs(1)).await.unwrap();
    connection.sender.ready().await.unwrap();
    pool.put_idle(&id, connection, None);
    assert!(pool.has_idle());
    pool.close_idle(&id);
    assert!(pool.take_idle(&id).is_none());
}
