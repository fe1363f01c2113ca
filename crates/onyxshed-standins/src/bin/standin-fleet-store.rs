//! `standin-fleet-store`: the store of the users' platform as a process.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use onyxshed_standins::fleet::FleetStore;
use onyxshed_standins::ready::ReadyLine;
use onyxshed_standins::serve;

const NAME: &str = "standin-fleet-store";

fn main() -> ExitCode {
    let matches = Command::new(NAME)
        .version(clap::crate_version!())
        .about("Stands in for the store of the users' platform in tests")
        .arg(
            Arg::new("address")
                .long("address")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr))
                .help("The address to listen on; port 0 takes a free port"),
        )
        .get_matches();
    let address = *matches
        .get_one::<SocketAddr>("address")
        .expect("the option has a default");
    serve::main(NAME, |executor| async move {
        let store = FleetStore::new();
        let listener = serve::listen(address).await?;
        ReadyLine::single(NAME, "store", serve::local_address(&listener)).print()?;
        serve::serve(listener, executor, store.handler()).await;
        Ok(())
    })
}
