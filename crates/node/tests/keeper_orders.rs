//! Operators that send at the same time, again, and to any member, over loopback.

mod keepers;

use futures_util::future::join_all;
use keepers::{Keepers, configuration};

/// Orders at once.
const OPERATORS: usize = 8;

/// A configuration whose content differs from others under the same number.
fn variant(generation: u64, content: usize) -> String {
    format!("{}{}", configuration(generation), " ".repeat(content))
}

/// Sends every variant of `generation` on `base` at once, each to two members, and gives back the one that was
/// taken.
async fn race(keepers: &Keepers, base: u64, generation: u64) -> usize {
    let bodies: Vec<String> = (0..OPERATORS).map(|content| variant(generation, content)).collect();
    let sends = bodies.iter().enumerate().flat_map(|(content, body)| {
        [content % 3, (content + 1) % 3].map(|keeper| keepers.put(keeper, base, body))
    });
    let statuses: Vec<u16> = join_all(sends).await.iter().map(|answer| answer.status).collect();
    let mut taken = Vec::new();
    for (content, copies) in statuses.chunks(2).enumerate() {
        assert_eq!(copies[0], copies[1], "two copies of one order are answered alike: {statuses:?}");
        match copies[0] {
            200 => taken.push(content),
            status => assert_eq!(status, 412),
        }
    }
    assert_eq!(taken.len(), 1, "{statuses:?}");
    taken[0]
}

/// Fails if a conflict of proposals is answered as a refusal in `put_configuration`, and without the orders remembered.
#[tokio::test]
async fn of_eight_orders_under_one_number_at_all_members_one_is_taken_for_ever() {
    let keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(1)).await.status, 200);
    let taken = race(&keepers, 1, 2).await;
    assert_eq!(keepers.get(2).await.body, variant(2, taken));
    for later in 3..14 {
        assert_eq!(keepers.put(later as usize % 3, later - 1, &configuration(later)).await.status, 200);
        if later == 3 || later == 13 {
            for keeper in 0..3 {
                for content in 0..OPERATORS {
                    let expected = if content == taken { 200 } else { 412 };
                    assert_eq!(keepers.put(keeper, 1, &variant(2, content)).await.status, expected);
                }
            }
        }
    }
    assert_eq!(keepers.get(1).await.body, configuration(13));
}

/// Fails if a conflict of proposals is answered as a refusal in `put_configuration`.
#[tokio::test]
async fn orders_race_through_the_loss_of_each_member() {
    let mut keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(1)).await.status, 200);
    let mut taken = Vec::new();
    for lost in 0..3 {
        let base = lost as u64 + 1;
        // Of the calls that the lost member has, answers are lost; those calls are sent again elsewhere.
        let bodies: Vec<String> = (0..OPERATORS).map(|content| variant(base + 1, content)).collect();
        let others = [(lost + 1) % 3, (lost + 2) % 3];
        let early: Vec<_> = bodies.iter().map(|body| keepers.start_put(lost, base, body)).collect();
        let first = keepers.put(others[0], base, &bodies[0]).await;
        keepers.kill(lost).await;
        let sends =
            bodies.iter().enumerate().map(|(content, body)| keepers.put(others[content % 2], base, body));
        let late = join_all(sends).await;
        assert_eq!(first.status, late[0].status);
        for (early, late) in join_all(early).await.into_iter().zip(&late) {
            let clear = early.expect("the call is made").filter(|answer| answer.status != 503);
            assert!(clear.is_none_or(|answer| answer.status == late.status));
        }
        let winners: Vec<usize> = (0..OPERATORS).filter(|content| late[*content].status == 200).collect();
        assert_eq!(winners.len(), 1, "{late:?}");
        taken.push(winners[0]);
        keepers.restart(lost).await;
        assert_eq!(keepers.get(lost).await.body, variant(base + 1, winners[0]));
    }
    for (base, content) in (1..).zip(taken) {
        for keeper in 0..3 {
            assert_eq!(keepers.put(keeper, base, &variant(base + 1, content)).await.status, 200);
        }
    }
}

/// Fails with an answer of `Stale` in place of `Reject` in `decide_put`.
#[tokio::test]
async fn an_order_that_was_refused_before_its_base_came_stays_refused_everywhere() {
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

/// Fails with a `trim_matches` or a plain `parse` in `parse_version`, and with the first of several versions.
#[tokio::test]
async fn the_version_that_a_configuration_builds_on_has_one_form() {
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
        let answer = keepers.put_with(0, headers, &body).await.expect("an answer");
        assert_eq!(answer.status, 400, "{headers:?}");
        assert!(answer.body.contains("If-Match"), "{headers:?}");
    }
    assert_eq!(keepers.put(0, 0, &body).await.status, 200);
    for headers in ["If-Match: \"0\"\r\n", "If-Match:   0  \r\n", "if-match: 00\r\n"] {
        assert_eq!(keepers.put_with(0, headers, &body).await.expect("an answer").status, 200, "{headers:?}");
    }
}
