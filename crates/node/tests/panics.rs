//! What a panic ends.

use std::panic::{AssertUnwindSafe, catch_unwind};

use juniperwing_node::panics::{critical_section, is_isolated, isolate, spawn_essential};

#[tokio::test]
async fn isolation_holds_in_the_task_and_nowhere_else() {
    assert!(!is_isolated());
    let seen = isolate(async {
        let before = is_isolated();
        tokio::task::yield_now().await;
        let in_critical = critical_section(is_isolated);
        let spawned = tokio::spawn(async { is_isolated() }).await.unwrap();
        (before, in_critical, spawned, is_isolated())
    });
    assert_eq!(seen.await, (true, false, false, true));
    assert!(!is_isolated());
}

#[tokio::test]
async fn a_panic_leaves_the_isolation_of_its_task() {
    let ended = tokio::spawn(isolate(async { panic!("a caller's") })).await;
    assert!(ended.unwrap_err().is_panic());
    assert!(!is_isolated());
    let ended = isolate(async {
        catch_unwind(AssertUnwindSafe(|| critical_section(|| panic!("shared")))).is_err() && is_isolated()
    });
    assert!(ended.await);
}

#[tokio::test]
async fn an_essential_task_that_returns_panics() {
    let ended = spawn_essential("upkeep", async {}).await;
    assert!(ended.unwrap_err().is_panic());
}
