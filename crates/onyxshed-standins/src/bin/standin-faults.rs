//! `standin-faults`: the fault-injecting proxy as a process.

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
        .about("Forwards TCP connections and breaks them on command, in tests")
        .after_help(
            "Each --listen forms a route with the --to at the same position, named route0, \
             route1 and so on. POST /control/routes {\"name\":\"n\",\"to\":\"127.0.0.1:80\"} opens \
             a route and answers its address; POST /control/mode \
             {\"routes\":[\"n\"],\"mode\":\"cut\"} sets the mode of routes: pass, cut, hold, \
             blackhole_up, blackhole_down, blackhole_both, delay (delay_ms), close_after_bytes \
             (bytes), drop_answer, stall_existing; GET /control/routes shows them.",
        )
        .arg(
            address("control")
                .default_value("127.0.0.1:0")
                .help("The address that commands are sent to"),
        )
        .arg(
            address("listen")
                .action(ArgAction::Append)
                .help("The address that a route listens on; port 0 takes a free port"),
        )
        .arg(
            address("to")
                .action(ArgAction::Append)
                .help("The target of a route"),
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
        let values = matches.get_many::<SocketAddr>(name);
        values.unwrap_or_default().copied().collect()
    };
    let control = serve::listen(addresses("control")[0]).await?;
    let proxy = Proxy::new(executor.clone());
    let mut ready = ReadyLine::single(NAME, "http", serve::local_address(&control));
    let routes = addresses("listen").into_iter().zip(addresses("to"));
    for (index, (listen_on, to)) in routes.enumerate() {
        let name: smol_str::SmolStr = smol_str::format_smolstr!("route{index}");
        let new = NewRoute {
            name: name.clone(),
            to,
        };
        let address = proxy.open_route(listen_on, new).await?;
        ready.addresses.insert(name, address);
    }
    ready.print()?;
    serve::serve(control, executor, proxy.handler()).await;
    Ok(())
}

fn main() -> std::process::ExitCode {
    serve::main(NAME, run)
}
