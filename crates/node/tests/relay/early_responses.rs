//! An endpoint may respond before it has read a long body, keep the connection open and read on later. It must never
//! receive bytes of another request as the rest of that body.

use std::collections::BTreeMap;
use std::sync::Arc;

use http::StatusCode;

use crate::hostile::case_state::CaseState;
use crate::hostile::client::{Outcome, run};
use crate::hostile::endpoint::HostileEndpoint;
use crate::hostile::oracle::check_case;
use crate::hostile::relay_thread::{RelayThread, configuration_for_long_bodies};
use crate::hostile::script::{
    AfterEarlyResponse, ClientPlan, CloseMode, LONG_BODY_BYTES, Reply, RequestKind, RequestPlan, request_id,
};
use crate::support::{RelayHarness, read, request, with_timeout};

fn long_request_with_early_response(
    kind: RequestKind, then: AfterEarlyResponse, declines: bool,
) -> RequestPlan {
    RequestPlan {
        kind,
        body: LONG_BODY_BYTES,
        in_chunks: false,
        replies: vec![Reply::Early { declines, then }, Reply::Early { declines, then }],
    }
}

fn short_request() -> RequestPlan {
    RequestPlan { kind: RequestKind::NonIdempotent, body: 10, in_chunks: false, replies: Vec::new() }
}

/// Sends a long request that gets an early response, then a short one. Returns the outcomes, and the number of
/// connections to the endpoint.
async fn run_long_then_short(long: RequestPlan) -> (Vec<Outcome>, usize) {
    let requests = vec![long, short_request()];
    let plans: BTreeMap<String, RequestPlan> =
        requests.iter().enumerate().map(|(number, plan)| (request_id(0, number), plan.clone())).collect();
    let case = CaseState::new(plans.clone());
    let endpoint = HostileEndpoint::start(&case);
    let relay = RelayThread::start(vec![endpoint.instance(0)]).await;
    let client = ClientPlan {
        requests,
        pipelines: false,
        disconnects_after_bytes: None,
        disconnects_by: CloseMode::Close,
    };
    let outcomes = with_timeout(run(0, client, relay.frontend, Arc::clone(&case))).await.unwrap();
    relay.shut_down();
    with_timeout(endpoint.finish()).await;
    check_case(&plans, &outcomes, &case).unwrap();
    let connections = case.streams.lock().unwrap().len();
    (outcomes, connections)
}

fn status(outcome: &Outcome) -> &str {
    outcome.response.as_ref().map_or("none", |response| &response.head.line[9..12])
}

// Relies on the HTTP library, which accepts no request on a connection that still has bytes of another one to write.
#[tokio::test]
async fn a_connection_with_a_partly_written_body_is_not_reused() {
    for then in [AfterEarlyResponse::KeepOpen, AfterEarlyResponse::ReadOn] {
        for kind in [RequestKind::NonIdempotent, RequestKind::Idempotent, RequestKind::Stream] {
            let (outcomes, connections) =
                run_long_then_short(long_request_with_early_response(kind, then, false)).await;
            let context = format!("{kind:?} {then:?} {outcomes:?}");
            assert_eq!(outcomes.iter().map(status).collect::<Vec<_>>(), ["200", "200"], "{context}");
            assert_eq!(connections, 2, "{context}");
        }
    }
}

// Covers the check of `is_ready` in `ConnectionPool::put_idle`.
#[tokio::test]
async fn an_unread_body_is_released_after_the_response() {
    let plan =
        long_request_with_early_response(RequestKind::NonIdempotent, AfterEarlyResponse::KeepOpen, false);
    let id = request_id(0, 0);
    let case = CaseState::new(BTreeMap::from([(id.clone(), plan)]));
    let endpoint = HostileEndpoint::start(&case);
    let harness = RelayHarness::start().await;
    harness.configure(1, &configuration_for_long_bodies());
    harness.publish_store_map();
    harness.publish_instances(true, vec![endpoint.instance(0)]);
    let body = "x".repeat(LONG_BODY_BYTES);
    let response = read(harness.send(request("POST", &format!("/n/{id}"), &id, &body)).await).await;
    assert_eq!(response.status, StatusCode::OK);
    assert!(!harness.state.pool.has_idle());
}

#[tokio::test]
async fn after_an_early_decline_the_next_request_uses_another_connection() {
    for then in [AfterEarlyResponse::KeepOpen, AfterEarlyResponse::ReadOn] {
        let plan = long_request_with_early_response(RequestKind::NonIdempotent, then, true);
        let (outcomes, _) = run_long_then_short(plan).await;
        assert_eq!(outcomes.iter().map(status).collect::<Vec<_>>(), ["503", "200"], "{then:?} {outcomes:?}");
    }
}
