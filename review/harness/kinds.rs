//! An executor crashes and starts again under its id as another kind. Jobs that require its former
//! kind must not start there.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::Record;
use crate::executor::Executor;
use crate::fleet::{Fleet, ROUTE_HOST};
use crate::http;

/// Callers that send one job after the other.
const CALLERS: u64 = 8;

/// Executors that crash, one after the other.
const CRASHES: usize = 3;

/// Time for which a crashed executor is down.
const DOWN: Duration = Duration::from_millis(1_000);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut fleet = Fleet::start(record.clone());
    fleet.publish(1);
    let kinds = ["a", "a", "a", "a", "a", "a", "b", "b"];
    let executors: Vec<Arc<Executor>> = (1..)
        .zip(kinds)
        .map(|(number, kind)| {
            Executor::start(
                &format!("x{number}"),
                "z1",
                kind,
                fleet.store,
                record.clone(),
            )
        })
        .collect();
    fleet.start_hosts(&[("z1", 2)]);
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(3));
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let front = fleet.hosts[usize::try_from(number).unwrap_or(0) % fleet.hosts.len()].front;
            let (record, is_over, served) = (record.clone(), is_over.clone(), served.clone());
            thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("{:08x}{count:08x}", number + 1);
                    let body = "{\"spec\":\"40 a\",\"best_effort\":true,\"phases\":[{\"count\":4,\"cpu\":1000,\
                                \"mem_mb\":64,\"est_runtime_ms\":40,\"requires\":\"a\"}]}";
                    record.write(&format!("sent {id}: 4 tasks that require a"));
                    let status = match http::call(
                        front,
                        "POST",
                        &format!("/jobs/{id}"),
                        &[("host", ROUTE_HOST), ("x-onyxshed-deadline-ms", "1500")],
                        body,
                        Duration::from_millis(1_500),
                    ) {
                        Ok(reply) => format!("{} {}", reply.status(), reply.body),
                        Err(error) => error.to_string(),
                    };
                    record.write(&format!("answered {id}: {status}"));
                    match status.starts_with("200") {
                        true => drop(served.fetch_add(1, Ordering::SeqCst)),
                        false => thread::sleep(Duration::from_millis(100)),
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    for executor in executors.iter().take(CRASHES) {
        if has_trouble {
            executor.crash();
            thread::sleep(DOWN);
            executor.start_again("b");
        } else {
            thread::sleep(DOWN);
        }
        thread::sleep(Duration::from_secs(4));
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    judge(record, served.load(Ordering::SeqCst))
}

/// A start that was ordered before the executor's first report of its new life could be known is not
/// counted.
fn judge(record: &Record, served: u64) -> bool {
    let starts = record.starts();
    let is_wrong = |start: &&crate::Start| {
        start
            .requires
            .as_deref()
            .is_some_and(|label| label != start.kind)
    };
    let wrong: Vec<&crate::Start> = starts.iter().filter(is_wrong).collect();
    let known = wrong.iter().filter(|start| start.has_reported).count();
    for start in &wrong {
        record.write(&format!(
            "wrong: {} requires {} and started on {} of kind {}; its first report was sent before: {}",
            start.task,
            start.requires.as_deref().unwrap_or("-"),
            start.executor,
            start.kind,
            start.has_reported
        ));
    }
    let text = format!(
        "{} starts, {served} jobs served; {} starts on an executor without the label, {known} of them after its \
         first report",
        starts.len(),
        wrong.len()
    );
    record.write(&text);
    crate::say(&text);
    if served == 0 {
        crate::fleet::cannot_run("no job was served");
    }
    known > 0
}
