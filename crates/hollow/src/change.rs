//! The changer of the configuration: puts one made configuration after the other.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use crate::call::Caller;
use crate::endpoint::SERVICE;
use crate::load::Load;
use crate::report::Tally;

/// How long the operator waits for an acknowledgement.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(4);

/// Puts configurations at the load's rate until the time is over. A change counts from its first sending to
/// its acknowledgement, which keepers hold until the relays connected have applied it.
pub async fn change_until(until: Instant, load: Load, tally: Arc<Tally>) {
    let mut caller = Caller::new(load.keepers.clone(), 0);
    let mut ticks = interval(Duration::from_secs_f64(1.0 / load.changes_per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut base = 0;
    while timeout(until.saturating_duration_since(Instant::now()), ticks.tick()).await.is_ok() {
        let generation = base + 1;
        let body = configuration(generation, load.routes);
        let bytes = body.len();
        let begun = Instant::now();
        loop {
            if let Some(200) = caller.put("/config", Some(base), body.clone(), ACKNOWLEDGED_WITHIN).await {
                base = generation;
                tally.done(begun.elapsed(), bytes);
                break;
            }
            if Instant::now() >= until {
                return;
            }
            tally.failed();
            // Sent again, unchanged, after the pause of one tick.
            ticks.tick().await;
        }
    }
}

/// A configuration of this many routes to the service of the hollow endpoints.
pub fn configuration(generation: u64, routes: u64) -> Bytes {
    let routes: Vec<Value> = (0..routes).map(route).collect();
    let service = json!({"name": SERVICE, "healthCheck": "/healthz", "maxConnections": 230, "protocol": "h1", "tls": false});
    let limits = json!({
        "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000
    });
    let whole = json!({"generation": generation, "routes": routes, "backends": [service], "limits": limits});
    Bytes::from(whole.to_string())
}

fn route(number: u64) -> Value {
    json!({
        "name": format!("r-{number}"), "hostname": format!("h{number}.example"), "pathPrefix": "/a/",
        "routeType": "streaming", "timeoutMs": 5_000, "targetLatencyMs": 250, "priority": 0,
        "backend": SERVICE, "maxRetries": 2, "kept": true, "retentionS": 60.0, "sessionAffinity": true,
        "resumable": false, "gap_aim_ms": 400
    })
}
