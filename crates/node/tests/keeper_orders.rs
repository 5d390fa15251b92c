//! Concurrent and repeated orders, sent to any keeper over loopback.

mod keepers;
mod loopback;

use futures_util::future::join_all;
use keepers::{Keepers, configuration};

/// The number of concurrent orders.
const CONCURRENT_ORDERS: usize = 8;

/// A configuration whose content differs from others of the same generation.
fn variant(generation: u64, content: usize) -> String {
    format!("{}{}", configuration(generation), " ".repeat(content))
}

/// Sends every variant of `generation` on `base` concurrently, each to two keepers. Returns the accepted one.
async fn race(keepers: &Keepers, base: u64, generation: u64) -> usize {
    let bodies: Vec<String> = (0..CONCURRENT_ORDERS).map(|content| variant(generation, content)).collect();
    let sends = bodies.iter().enumerate().flat_map(|(content, body)| {
        [content % 3, (content + 1) % 3].map(|keeper| keepers.put(keeper, base, body))
    });
    let statuses: Vec<u16> = join_all(sends).await.iter().map(|response| response.status).collect();
    let mut accepted = Vec::new();
    for (content, copies) in statuses.chunks(2).enumerate() {
        assert_eq!(copies[0], copies[1], "two copies of one order get the same status: {statuses:?}");
        match copies[0] {
            200 => accepted.push(content),
            status => assert_eq!(status, 412),
        }
    }
    assert_eq!(accepted.len(), 1, "{statuses:?}");
    accepted[0]
}

/// Fails if `put_configuration` reports a conflict of proposals as a rejection, and without the order history.
#[tokio::test]
async fn of_eight_concurrent_orders_of_one_generation_only_one_is_ever_accepted() {
    let keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(1)).await.status, 200);
    let accepted = race(&keepers, 1, 2).await;
    assert_eq!(keepers.get(2).await.body, variant(2, accepted));
    for later in 3..14 {
        assert_eq!(keepers.put(later as usize % 3, later - 1, &configuration(later)).await.status, 200);
        if later == 3 || later == 13 {
            for keeper in 0..3 {
                for content in 0..CONCURRENT_ORDERS {
                    let expected = if content == accepted { 200 } else { 412 };
                    assert_eq!(keepers.put(keeper, 1, &variant(2, content)).await.status, expected);
                }
            }
        }
    }
    assert_eq!(keepers.get(1).await.body, configuration(13));
}

/// Fails if `put_configuration` reports a conflict of proposals as a rejection.
#[tokio::test]
async fn of_concurrent_orders_only_one_is_accepted_through_the_loss_of_each_keeper() {
    let mut keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(1)).await.status, 200);
    let mut accepted = Vec::new();
    for lost in 0..3 {
        let base = lost as u64 + 1;
        // Responses of the killed keeper may be lost; its orders are sent again to the others.
        let bodies: Vec<String> = (0..CONCURRENT_ORDERS).map(|content| variant(base + 1, content)).collect();
        let others = [(lost + 1) % 3, (lost + 2) % 3];
        let early: Vec<_> = bodies.iter().map(|body| keepers.start_put(lost, base, body)).collect();
        let first = keepers.put(others[0], base, &bodies[0]).await;
        keepers.kill(lost).await;
        let sends =
            bodies.iter().enumerate().map(|(content, body)| keepers.put(others[content % 2], base, body));
        let late = join_all(sends).await;
        assert_eq!(first.status, late[0].status);
        for (early, late) in join_all(early).await.into_iter().zip(&late) {
            let definite =
                early.expect("the request task does not panic").filter(|response| response.status != 503);
            assert!(definite.is_none_or(|response| response.status == late.status));
        }
        let winners: Vec<usize> =
            (0..CONCURRENT_ORDERS).filter(|content| late[*content].status == 200).collect();
        assert_eq!(winners.len(), 1, "{late:?}");
        accepted.push(winners[0]);
        keepers.restart(lost).await;
        assert_eq!(keepers.get(lost).await.body, variant(base + 1, winners[0]));
    }
    for (base, content) in (1..).zip(accepted) {
        for keeper in 0..3 {
            assert_eq!(keepers.put(keeper, base, &variant(base + 1, content)).await.status, 200);
        }
    }
}

/// Fails if `decide_configuration` returns `Stale` in place of `Reject`, so that the rejection is not recorded.
#[tokio::test]
async fn an_order_rejected_before_its_base_was_accepted_stays_rejected_at_all_keepers() {
    let mut keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(1)).await.status, 200);
    assert_eq!(keepers.put(1, 2, &configuration(3)).await.status, 412);
    assert_eq!(keepers.put(2, 1, &configuration(2)).await.status, 200);
    keepers.kill(0).await;
    for keeper in 1..3 {
        assert_eq!(keepers.put(keeper, 2, &configuration(3)).await.status, 412);
    }
    keepers.restart(0).await;
    assert_eq!(keepers.put(0, 2, &configuration(3)).await.status, 412);
    assert_eq!(keepers.put(0, 2, &variant(3, 1)).await.status, 200);
}

/// Fails if `parse_generation` strips quotes with `trim_matches` or accepts what `parse` accepts, such as a sign, and
/// if the first of several `If-Match` headers is used.
#[tokio::test]
async fn if_match_accepts_exactly_one_unsigned_integer() {
    let keepers = Keepers::start(1).await;
    let body = configuration(1);
    let malformed = [
        "",
        "If-Match:\r\n",
        "If-Match: x\r\n",
        "If-Match: -0\r\n",
        "If-Match: +0\r\n",
        "If-Match: *\r\n",
        "If-Match: W/\"0\"\r\n",
        "If-Match: \"0\r\n",
        "If-Match: 0, 1\r\n",
        "If-Match: 0\r\nIf-Match: 1\r\n",
        "If-Match: 18446744073709551616\r\n",
    ];
    for headers in malformed {
        let response = keepers.put_with(0, headers, &body).await.expect("a response");
        assert_eq!(response.status, 400, "{headers:?}");
        assert!(response.body.contains("If-Match"), "{headers:?}");
    }
    assert_eq!(keepers.put(0, 0, &body).await.status, 200);
    for headers in ["If-Match: \"0\"\r\n", "If-Match:   0  \r\n", "if-match: 00\r\n"] {
        assert_eq!(keepers.put_with(0, headers, &body).await.expect("a response").status, 200, "{headers:?}");
    }
}
