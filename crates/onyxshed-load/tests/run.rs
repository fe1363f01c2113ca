//! Tests of the callers against a scripted entry host.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use onyxshed_core::{Millis, ResultCode};
use onyxshed_http::server::{Handler, RejectReply};
use onyxshed_http::{Call, Reply, Server, ServerOptions};
use onyxshed_load::caller::CallerOptions;
use onyxshed_load::mix::Mix;
use onyxshed_load::plan::PlanOptions;
use onyxshed_load::report::Report;
use onyxshed_load::run::{RunOptions, run};
use onyxshed_wire::caller::{Answer, Submission};
use rstest::rstest;

/// Number of requests received for each submission, by submission id.
type RequestCounts = Rc<RefCell<std::collections::BTreeMap<String, u32>>>;

fn answer(request_counts: &RequestCounts, refusals: u32, call: &Call) -> Reply {
    let Ok(job) = Submission::decode(&call.body) else {
        return Reply::bytes(400, "");
    };
    let mut request_counts = request_counts.borrow_mut();
    let requests = request_counts
        .entry(job.submission.to_string())
        .or_default();
    *requests += 1;
    let answer = match *requests <= refusals {
        true => {
            Answer::ended(Some(job.submission), ResultCode::Overloaded, "").retry_after(Millis(1))
        }
        false => Answer::complete(job.submission, job.tasks),
    };
    Reply::json(answer.http_status(), &answer)
}

fn report(refusals: u32) -> Report {
    let executor = Rc::new(LocalExecutor::new());
    let request_counts = RequestCounts::default();
    let handler: Handler = Rc::new(move |call| {
        let request_counts = request_counts.clone();
        Box::pin(async move { answer(&request_counts, refusals, &call) })
    });
    let reject: RejectReply = Rc::new(|code| Reply::bytes(code.http_status(), ""));
    async_io::block_on(executor.clone().run(async {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let listener = Server::listen(any).await.expect("a free port");
        let entry = listener.local_addr().expect("bound");
        let server = Server::new(ServerOptions::default(), handler, reject);
        executor
            .spawn(server.run(listener, executor.clone()))
            .detach();
        let options = RunOptions {
            entries: vec![entry],
            plan: PlanOptions {
                mix: Mix::Valbrenta,
                jobs_per_s: 200.0,
                span_s: 0.2,
                bursts: Vec::new(),
                time_scale: 1.0,
                seed: 1,
            },
            caller: CallerOptions::default(),
            network_us: 500,
        };
        run(&executor, &options).await
    }))
}

/// Returns the codes of all answers and the wasted messages, which do not depend on timing.
fn summary(report: &Report) -> String {
    let codes = report.classes.iter().flat_map(|class| &class.codes);
    let codes: Vec<_> = codes.map(|count| (count.code, count.jobs)).collect();
    format!("{codes:?}\n{:?}", report.wasted)
}

#[rstest]
fn every_job_is_answered() {
    insta::assert_snapshot!(summary(&report(0)));
}

#[rstest]
fn refused_job_is_sent_again_after_retry_time() {
    // Each job is refused once with result "not run" and a retry time. Its caller sends it again
    // after that time, and the second copy is answered. The refusal and the repeat each count as
    // wasted.
    insta::assert_snapshot!(summary(&report(1)));
}

#[rstest]
fn refused_job_ends_after_maximum_repeats() {
    // The entry host refuses every submission. A caller sends a job again twice and then reports
    // the last refusal as the job's end.
    insta::assert_snapshot!(summary(&report(9)));
}
