//! CONFIG: a configuration with a route that names an unknown service is acknowledged, if the route has weights too.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::tier::Tier;

fn configuration(generation: u64, route_services: &str, services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","healthCheck":"/healthz","maxConnections":96,"protocol":"h1","tls":false}}"#))
        .collect();
    format!(
        r#"{{"generation":{generation},"routes":[{{"name":"lookup","hostname":"demo.example","pathPrefix":"/lookup/","routeType":"idempotent","timeoutMs":1200,"targetLatencyMs":150,"priority":2,{route_services},"maxRetries":2}}],"backends":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        services.join(",")
    )
}

pub fn play(trouble: bool, record: &Arc<Record>) -> Verdict {
    let tier = Tier::start(3, 3, 2, record);
    if tier.put_config(0, &configuration(1, r#""backend":"desk-a""#, &["desk-a"])) != 200 {
        return Verdict::CouldNotRun("no configuration was taken".to_owned());
    }
    if !tier.wait_ready(Duration::from_secs(12)) {
        return Verdict::CouldNotRun("the relays are not ready".to_owned());
    }
    // The route is split over two new services and the old service is removed. With the disruption, the operator has left
    // the name of the old one in the route.
    let weighted =
        r#""weightedBackends":[{"backend":"desk-b","weight":90},{"backend":"desk-c","weight":10}]"#;
    let named = if trouble { format!(r#""backend":"desk-a",{weighted}"#) } else { weighted.to_owned() };
    let status = tier.put_config(1, &configuration(2, &named, &["desk-b", "desk-c"]));
    let in_force = tier.get_config().is_some_and(|text| text.contains("\"generation\":2"));
    let text = format!(
        "the change was answered {status}; generation 2 is {}in force",
        if in_force { "" } else { "not " }
    );
    match (trouble, status) {
        (true, 200) => Verdict::Broken(format!("{text}, though its route names the unknown service desk-a")),
        (true, 400..500) if !in_force => Verdict::Held(text),
        (false, 200) if in_force => Verdict::Held(text),
        _ => Verdict::CouldNotRun(text),
    }
}
