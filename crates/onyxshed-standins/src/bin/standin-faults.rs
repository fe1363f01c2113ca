//! The fault-injecting proxy as a process.

use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use clap::{Arg, ArgAction, Command, value_parser};
use onyxshed_standins::faults::{NewRoute, Proxy};
use onyxshed_standins::ready::ReadyLine;
use onyxshed_standins::{Result, serve};

const NAME: &str = "standin-faults";

fn command() -> Command {
    Command::new(NAME)
        .version(clap::crate_version!())
        .about("Breaks TCP connections on command, in tests")
        .after_help(
            "Each --listen goes with the --to at the same place and makes a route named route0, \
             route1 and so on. POST /control/routes {\"name\":\"n\",\"to\":\"127.0.0.1:80\"} opens \
             a route and answers its address; POST /control/mode \
             {\"routes\":[\"n\"],\"mode\":\"cut\"} sets the mode of routes: pass, cut, hold, \
             blackhole_up, blackhole_down, blackhole_both, delay (delay_ms), close_after_bytes \
             (bytes), drop_answer, stall_existing; GET /control/routes shows them.",
        )
        .arg(
            address("control")
                .default_value("127.0.0.1:0")
                .help("Where to take commands"),
        )
        .arg(
            address("listen")
                .action(ArgAction::Append)
                .help("A route's address; port 0 takes a free one"),
        )
        .arg(
            address("to")
                .action(ArgAction::Append)
                .help("Where a route leads"),
        )
}

fn address(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(SocketAddr))
}

async fn run(executor: Rc<LocalExecutor<'static>>) -> Result<()> {
    let matches = command().get_matches();
    let addresses = |name| -> Vec<SocketAddr> {
        let given = matches.get_many::<SocketAddr>(name);
        given.unwrap_or_default().copied().collect()
    };
    let control = serve::listen(addresses("control")[0]).await?;
    let proxy = Proxy::new(executor.clone());
    let mut ready = ReadyLine::single(NAME, "http", serve::local_address(&control));
    let pairs = addresses("listen").into_iter().zip(addresses("to"));
    for (place, (listen_on, to)) in pairs.enumerate() {
        let name: smol_str::SmolStr = smol_str::format_smolstr!("route{place}");
        let new = NewRoute {
            name: name.clone(),
            to,
        };
        let address = proxy.open(listen_on, new).await?;
        ready.addresses.insert(name, address);
    }
    ready.print()?;
    serve::serve(control, executor, proxy.handler()).await;
    Ok(())
}

fn main() -> std::process::ExitCode {
    serve::main(NAME, run)
}
