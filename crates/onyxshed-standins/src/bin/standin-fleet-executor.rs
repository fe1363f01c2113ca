//! `standin-fleet-executor`: one executor of the users' platform as a process.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use onyxshed_standins::fleet::{FleetExecutor, FleetExecutorOptions};
use onyxshed_standins::ready::ReadyLine;
use onyxshed_standins::serve;
use smol_str::SmolStr;

const NAME: &str = "standin-fleet-executor";

fn command() -> Command {
    let option = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new(NAME)
        .version(clap::crate_version!())
        .about("Stands in for one executor of the users' platform in tests")
        .arg(
            option(
                "address",
                "The address to listen on; port 0 takes a free port",
            )
            .default_value("127.0.0.1:0")
            .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option("store", "The store that the executor registers in")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            option(
                "advertised",
                "The address to register, if not the one listened on",
            )
            .value_parser(value_parser!(SocketAddr)),
        )
        .arg(option("id", "The executor's id in the store").default_value("x1"))
        .arg(option("upstream", "The upstream that the executor belongs to").default_value("desk"))
        .arg(option("zone", "The executor's availability zone").default_value("a"))
        .arg(
            option("cpu-millis", "CPU capacity in thousandths of a core")
                .default_value("2000")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            option(
                "places",
                "The number of tasks that can run at the same time",
            )
            .default_value("2")
            .value_parser(value_parser!(u32).range(1..)),
        )
        .arg(
            option(
                "speed",
                "The factor by which the executor is faster than an ordinary one",
            )
            .default_value("1")
            .value_parser(value_parser!(f64)),
        )
        .arg(
            option(
                "clock-ahead-ms",
                "The time by which the executor's clock is ahead",
            )
            .default_value("0")
            .value_parser(value_parser!(u64)),
        )
        .arg(
            option(
                "clock-slow-millis",
                "The rate by which the executor's clock is slow, in thousandths",
            )
            .default_value("0")
            .value_parser(value_parser!(u64).range(0..500)),
        )
}

fn options(matches: &ArgMatches) -> FleetExecutorOptions {
    let text = |name: &str| -> SmolStr {
        let found = matches.get_one::<String>(name);
        found.map(SmolStr::new).unwrap_or_default()
    };
    FleetExecutorOptions {
        id: text("id"),
        upstream: text("upstream"),
        zone: text("zone"),
        cpu_millis: *matches
            .get_one("cpu-millis")
            .expect("the option has a default"),
        places: *matches.get_one("places").expect("the option has a default"),
        speed: *matches.get_one("speed").expect("the option has a default"),
        clock_ahead_ms: *matches
            .get_one("clock-ahead-ms")
            .expect("the option has a default"),
        clock_slow_millis: *matches
            .get_one("clock-slow-millis")
            .expect("the option has a default"),
        store: *matches.get_one("store").expect("the option is required"),
        advertised: matches.get_one("advertised").copied(),
    }
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let address = *matches
        .get_one::<SocketAddr>("address")
        .expect("the option has a default");
    let options = options(&matches);
    serve::main(NAME, |executor| async move {
        let stand_in = FleetExecutor::new(options, executor.clone());
        let listener = serve::listen(address).await?;
        let bound_address = serve::local_address(&listener);
        executor
            .spawn(stand_in.clone().register(bound_address))
            .detach();
        executor.spawn(stand_in.clone().watch_leases()).detach();
        ReadyLine::single(NAME, "executor", bound_address).print()?;
        serve::serve(listener, executor, stand_in.handler()).await;
        Ok(())
    })
}
