//! The `vanepath-store` daemon: stores the operator's configuration on disk.

use vanepath_cluster::node;
use vanepath_config::settings::{self, Invocation, Role};

fn main() -> miette::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match settings::parse_arguments(Role::Store, &arguments)? {
        Invocation::Print(text) => println!("{text}"),
        Invocation::Run(settings) => {
            node::init_logging();
            let shutdown_grace = settings.shutdown_grace;
            node::run_on_runtime(shutdown_grace, vanepath_store::shell::run(*settings))?;
        }
    }
    Ok(())
}
