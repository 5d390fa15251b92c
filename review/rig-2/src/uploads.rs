//! Fault: relays that are sent long bodies in the segments of an ordinary link exceed the memory of their machine,
//! though the bodies stay inside `limits` and inside the relay's own bound for bodies.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::endpoint::Endpoint;
use crate::record::Record;
use crate::tier::{Role, Tier};

/// The length of a body: `maxBodyBytes` is 4,194,304.
const BODY: usize = 4_050_000;
/// The bytes in one segment of an ordinary link.
const SEGMENT: usize = 1_448;
/// The pause between two segments of one client: about 11 Mbit/s.
const PAUSE: Duration = Duration::from_millis(1);
/// Clients at one relay at a time, as usual.
const USUAL: usize = 9;
/// Clients at one relay at a time in a burst: twice as many; the largest dose of the site files is 2.1.
const BURST: usize = 18;
const ROUNDS: usize = 7;
/// The memory of a relay's machine, `memoryMb` in its settings; read as MiB, which is the more lenient way.
const MEMORY_KIB: u64 = 260 * 1_024;

fn configuration() -> String {
    r#"{"generation":1,"routes":[{"name":"ledger","hostname":"demo.example","pathPrefix":"/ledger/","routeType":"non_idempotent","timeoutMs":5000,"targetLatencyMs":4500,"priority":0,"backend":"desk","maxRetries":1}],"backends":[{"name":"desk","healthCheck":"/healthz","maxConnections":230,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#.to_owned()
}

/// Sends the bodies of several clients at once, a segment of each in turn; returns the statuses (0: no answer).
fn upload(to: SocketAddr, clients: usize, round: usize) -> Vec<u16> {
    struct Client {
        stream: TcpStream,
        left: usize,
    }
    let mut open = Vec::new();
    for number in 0..clients {
        let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { continue };
        let _ = stream.set_nodelay(true);
        let head = format!(
            "POST /ledger/1 HTTP/1.1\r\nHost: demo.example\r\nX-Request-Id: u{round}-{}-{number}\r\nX-Deadline-Ms: 5000\r\nContent-Length: {BODY}\r\n\r\n",
            to.ip()
        );
        if stream.write_all(head.as_bytes()).is_ok() {
            let _ = stream.set_nonblocking(true);
            open.push(Client { stream, left: BODY });
        }
    }
    let segment = vec![b'x'; SEGMENT];
    let began = Instant::now();
    let mut next = began;
    while open.iter().any(|client| client.left > 0) && began.elapsed() < Duration::from_secs(6) {
        for client in open.iter_mut().filter(|client| client.left > 0) {
            match client.stream.write(&segment[..SEGMENT.min(client.left)]) {
                Ok(n) => client.left -= n,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => client.left = 0,
            }
        }
        next += PAUSE;
        match next.checked_duration_since(Instant::now()) {
            Some(pause) => std::thread::sleep(pause),
            None => next = Instant::now(),
        }
    }
    let mut statuses = vec![0; clients - open.len()];
    for mut client in open {
        let _ = client.stream.set_nonblocking(false);
        let _ = client.stream.set_read_timeout(Some(Duration::from_secs(5)));
        let mut buffer = [0; 64];
        let n = client.stream.read(&mut buffer).unwrap_or(0);
        let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
        statuses.push(text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0));
    }
    statuses
}

/// The platform: ends a process that goes over its memory, and starts it again after a short delay.
fn watch(
    tier: &Mutex<Tier>, relays: &[usize], ends: &Mutex<Vec<usize>>, most: &Mutex<Vec<u64>>, stop: &AtomicBool,
) {
    while !stop.load(Ordering::Relaxed) {
        for (place, index) in relays.iter().enumerate() {
            let mut tier = tier.lock().expect("tier");
            let used = tier.resident_kib(*index);
            let mut most = most.lock().expect("most");
            most[place] = most[place].max(used);
            drop(most);
            if used > MEMORY_KIB {
                tier.note(&format!(
                    "{} uses {} MiB of 260: over the limit",
                    tier.machines[*index].name,
                    used >> 10
                ));
                tier.kill(*index);
                ends.lock().expect("ends")[place] += 1;
                std::thread::sleep(Duration::from_millis(300));
                tier.start_machine(*index);
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

pub fn play(trouble: bool, record: &Arc<Record>) -> Verdict {
    let tier = Tier::start(3, 3, 2, record);
    if tier.put_config(0, &configuration()) != 200 {
        return Verdict::CouldNotRun("no configuration was taken".to_owned());
    }
    let ip = "127.0.0.1".parse().expect("an address");
    let controls = tier.controls();
    let _endpoints: Vec<_> = (1..=4)
        .map(|n| Endpoint::start(&format!("i-{n}"), "desk", ip, 1, controls.clone(), record))
        .collect();
    if !tier.wait_ready(Duration::from_secs(12)) {
        return Verdict::CouldNotRun("the relays are not ready".to_owned());
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let relays = tier.of(Role::Relay);
    let addresses: Vec<SocketAddr> = relays.iter().map(|index| tier.frontend(*index)).collect();
    let (ends, most) = (Mutex::new(vec![0; relays.len()]), Mutex::new(vec![0; relays.len()]));
    let (tier, stop) = (Mutex::new(tier), AtomicBool::new(false));
    let clients = if trouble { BURST } else { USUAL };
    std::thread::scope(|scope| {
        scope.spawn(|| watch(&tier, &relays, &ends, &most, &stop));
        for round in 1..=ROUNDS {
            let sending: Vec<_> = addresses
                .iter()
                .map(|address| (*address, scope.spawn(move || upload(*address, clients, round))))
                .collect();
            for (address, upload) in sending {
                let statuses = upload.join().unwrap_or_default();
                record.line(&format!(
                    "clients: {clients} bodies of {BODY} bytes at once to {address} -> {statuses:?}"
                ));
            }
            let until = Instant::now() + Duration::from_secs(12);
            while !tier.lock().expect("tier").wait_ready(Duration::from_millis(300)) && Instant::now() < until
            {
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        stop.store(true, Ordering::Relaxed);
    });
    let (ends, most) = (ends.into_inner().expect("ends"), most.into_inner().expect("most"));
    let most: Vec<u64> = most.iter().map(|kib| kib >> 10).collect();
    let text = format!(
        "the relays ended {ends:?} times by going over their memory; the most they used: {most:?} MiB of 260, with {clients} bodies ({} MB) at once at each",
        clients * BODY / 1_000_000
    );
    if ends.iter().filter(|ends| **ends >= 3).count() >= 2 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
