//! The program `vanepath-proxy`, which forwards requests of clients to servers.

use vanepath_cluster::node;
use vanepath_config::settings::{self, Invocation, Role};

fn main() -> miette::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match settings::parse_arguments(Role::Proxy, &arguments)? {
        Invocation::Print(text) => println!("{text}"),
        Invocation::Run(settings) => {
            node::init_logging();
            let shutdown_grace = settings.shutdown_grace;
            node::run_on_runtime(shutdown_grace, vanepath_proxy::shell::run(*settings))?;
        }
    }
    Ok(())
}
