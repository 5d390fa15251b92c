//! What happens when a request, an answer or a signal comes between two lines: each crossing is forced.

use serde_json::{Value, json};

use crate::full;
use crate::stand_in::{Rig, request};

/// The destination's endpoint is where nothing comes up until it is accepted.
fn out_of_reach(config: &mut Value, dial: std::net::SocketAddr) {
    config["known"]["hosts"][0]["dial"] = json!(dial.to_string());
}

/// Killed while its connection is not up: no byte of the push went out, so even a once-only one is tried.
#[test]
fn what_was_decided_on_and_never_written_is_tried_by_the_next_process() {
    for per_call in [1, 10] {
        let (_full, dial, _first) = full();
        let mut rig = Rig::with(|config| {
            config["settings"]["family-info"]["per-call"] = json!([per_call]);
            out_of_reach(config, dial);
        });
        let mut client = rig.client();
        client.write(
            &[request("once", "1", "a", 16_000, b""), request("once", "2", "b", 16_000, b"")].concat(),
        );
        assert_eq!([client.answer().0, client.answer().0], [202; 2]);
        rig.logged("push");
        rig.kill();
        rig.config["known"]["hosts"][0]["dial"] = json!(rig.endpoint.address.to_string());
        let serving = rig.restart();
        assert_eq!(
            (&serving["owed"], &serving["untried"], &serving["tried"]),
            (&json!(2), &json!(2), &json!(0))
        );
        let mut push = rig.endpoint.next();
        if per_call == 1 {
            let mut ids = [push.id().to_owned(), rig.endpoint.next().id().to_owned()];
            ids.sort();
            assert_eq!(ids, ["1", "2"]);
        } else {
            assert!(push.head.starts_with("POST /hook/batch "), "{}", push.head);
            push.answer("200 OK", "", r#"[{"id":"1","state":"delivered"},{"id":"2","state":"delivered"}]"#);
        }
        let line = rig.logged("all that was taken up untried was tried or has ended");
        assert_eq!(
            (&line["tried"], &line["out of time"], &line["given up"]),
            (&json!(2), &json!(0), &json!(0))
        );
    }
}

/// A topic type that is gone from the settings at a restart: what was promised of it holds, and it is tried.
#[test]
fn what_was_taken_on_under_a_topic_type_that_is_gone_is_tried_and_once_only_stays_so() {
    let (_full, dial, _first) = full();
    let mut rig = Rig::with(|config| out_of_reach(config, dial));
    assert_eq!(rig.client().hand_in("once", "1", "k", b"x"), 202);
    rig.kill();
    rig.config["known"]["hosts"][0]["dial"] = json!(rig.endpoint.address.to_string());
    rig.config["settings"]["classes"]
        .as_array_mut()
        .expect("topic types")
        .retain(|class| class["name"] != "once");
    rig.restart();
    let push = rig.endpoint.next();
    assert_eq!((push.id(), &*push.body), ("1", &b"x"[..]));
    rig.kill();
    rig.restart();
    assert_eq!(rig.notice().1, json!({"message": "1", "outcome": "given_up"}));
    assert!(rig.endpoint.next_soon().is_none());
}
