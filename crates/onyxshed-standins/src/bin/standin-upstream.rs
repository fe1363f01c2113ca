//! `standin-upstream`: one executor of an upstream as a process.

use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use onyxshed_core::{ExecutorName, Millis, UpstreamName};
use onyxshed_standins::ready::ReadyLine;
use onyxshed_standins::upstream::{Executor, UpstreamOptions};
use onyxshed_standins::{Result, serve};

const NAME: &str = "standin-upstream";

fn command() -> Command {
    let option = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default)
    };
    Command::new(NAME)
        .version(clap::crate_version!())
        .about("Stands in for one executor of an upstream in tests")
        .after_help(
            "A payload that is JSON of the form \
             {\"service_ms\":100,\"fail\":false,\"echo\":\"x\",\"result_bytes\":10} sets the task's behavior; \
             any other payload is echoed. GET /control/starts lists every start, \
             POST /control/faults sets faults, POST /control/drain begins to drain. \
             docs/UPSTREAMS.md describes all of them.",
        )
        .arg(
            option("address", "127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr))
                .help("The address to listen on; port 0 takes a free port"),
        )
        .arg(
            option("name", "x1")
                .value_parser(value_parser!(ExecutorName))
                .help("The executor's name"),
        )
        .arg(
            option("upstream", "desk")
                .value_parser(value_parser!(UpstreamName))
                .help("The upstream that the executor belongs to"),
        )
        .arg(
            option("slots", "8")
                .value_parser(value_parser!(u32).range(1..))
                .help("The number of tasks that may run at the same time"),
        )
        .arg(
            option("queue", "16")
                .value_parser(value_parser!(u32))
                .help("The number of tasks that may wait for a slot; further ones are refused"),
        )
        .arg(
            option("speed", "1")
                .value_parser(value_parser!(f64))
                .help("The factor by which service times are divided"),
        )
        .arg(
            option("service-ms", "0")
                .value_parser(value_parser!(u64))
                .help("The service time of a task whose payload sets none"),
        )
        .arg(
            option("usage-lag-ms", "1000")
                .value_parser(value_parser!(u64).range(1..))
                .help("The interval at which the usage report is renewed"),
        )
        .arg(
            Arg::new("log-starts")
                .long("log-starts")
                .action(ArgAction::SetTrue)
                .help("Writes every start to standard error as it happens"),
        )
}

/// Returns the value of an option that has a default.
fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .expect("the option has a default")
}

async fn run(executor: Rc<LocalExecutor<'static>>) -> Result<()> {
    let matches = command().get_matches();
    let options = UpstreamOptions {
        name: value(&matches, "name"),
        upstream: value::<UpstreamName>(&matches, "upstream"),
        slots: value(&matches, "slots"),
        queue_max: value(&matches, "queue"),
        speed: value(&matches, "speed"),
        service_ms: Millis(value(&matches, "service-ms")),
        usage_lag_ms: Millis(value(&matches, "usage-lag-ms")),
        logs_starts: matches.get_flag("log-starts"),
    };
    let listener = serve::listen(value(&matches, "address")).await?;
    let stand_in = Executor::new(options);
    executor.spawn(stand_in.clone().report_usage()).detach();
    let address = serve::local_address(&listener);
    ReadyLine::single(NAME, "http", address).print()?;
    serve::serve(listener, executor, stand_in.handler()).await;
    Ok(())
}

fn main() -> std::process::ExitCode {
    serve::main(NAME, run)
}
