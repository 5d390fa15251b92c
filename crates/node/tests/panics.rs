//! Handling of panics in isolated tasks, critical sections and essential tasks.

use std::panic::{AssertUnwindSafe, catch_unwind};

use juniperwing_node::panics::{critical_section, is_isolated, isolate, spawn_essential};

#[tokio::test]
async fn isolation_applies_to_its_task_only() {
    assert!(!is_isolated());
    let observed = isolate(async {
        let at_start = is_isolated();
        tokio::task::yield_now().await;
        let in_critical_section = critical_section(is_isolated);
        let in_spawned_task = tokio::spawn(async { is_isolated() }).await.unwrap();
        (at_start, in_critical_section, in_spawned_task, is_isolated())
    });
    assert_eq!(observed.await, (true, false, false, true));
    assert!(!is_isolated());
}

#[tokio::test]
async fn isolation_is_restored_after_a_panic() {
    let result = tokio::spawn(isolate(async { panic!("isolated") })).await;
    assert!(result.unwrap_err().is_panic());
    assert!(!is_isolated());
    let is_still_isolated = isolate(async {
        catch_unwind(AssertUnwindSafe(|| critical_section(|| panic!("critical section")))).is_err()
            && is_isolated()
    });
    assert!(is_still_isolated.await);
}

#[tokio::test]
async fn an_essential_task_that_returns_panics() {
    let result = spawn_essential("test task", async {}).await;
    assert!(result.unwrap_err().is_panic());
}
