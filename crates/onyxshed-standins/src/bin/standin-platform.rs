//! `standin-platform`: the stand-in of the platform as a process.

use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use clap::{Arg, Command, value_parser};
use onyxshed_core::Millis;
use onyxshed_standins::platform::{Platform, PlatformOptions};
use onyxshed_standins::ready::ReadyLine;
use onyxshed_standins::{Result, serve};

const NAME: &str = "standin-platform";

fn command() -> Command {
    let millis = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    Command::new(NAME)
        .version(clap::crate_version!())
        .about("Stands in for the platform in tests: an append-only log and a lagging host list")
        .after_help(
            "PUT /v1/hosts sets the host list, POST /control/faults sets the faults in force, \
             GET /control/counts returns the numbers of calls. docs/PLATFORM.md describes all of them.",
        )
        .arg(
            Arg::new("address")
                .long("address")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr))
                .help("The address to listen on; port 0 takes a free port"),
        )
        .arg(millis("sync-ms", "3").help("The time until an append is synced"))
        .arg(
            Arg::new("appends-per-s")
                .long("appends-per-s")
                .default_value("500")
                .value_parser(value_parser!(u32).range(1..))
                .help("The number of appends per second; further ones are delayed"),
        )
        .arg(millis("retention-ms", "3600000").help("The age at which records are dropped"))
        .arg(millis("host-list-lag-ms", "0").help("The time by which the host list lags"))
}

async fn run(executor: Rc<LocalExecutor<'static>>) -> Result<()> {
    let matches = command().get_matches();
    let millis = |name| Millis(matches.get_one::<u64>(name).copied().unwrap_or_default());
    let defaults = PlatformOptions::default();
    let options = PlatformOptions {
        sync_ms: millis("sync-ms"),
        appends_per_s: matches
            .get_one("appends-per-s")
            .copied()
            .unwrap_or(defaults.appends_per_s),
        retention_ms: millis("retention-ms"),
        host_list_lag_ms: millis("host-list-lag-ms"),
    };
    let address = matches.get_one::<SocketAddr>("address").copied();
    let listener = serve::listen(address.unwrap_or(([127, 0, 0, 1], 0).into())).await?;
    let address = serve::local_address(&listener);
    ReadyLine::single(NAME, "http", address).print()?;
    serve::serve(listener, executor, Platform::new(options).handler()).await;
    Ok(())
}

fn main() -> std::process::ExitCode {
    serve::main(NAME, run)
}
