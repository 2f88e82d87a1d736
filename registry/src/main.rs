//! The `vanepath-registry` binary: reads the settings and runs the control plane.

use vanepath_cluster::node;
use vanepath_config::settings::{self, Invocation, Role};

fn main() -> miette::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match settings::parse_arguments(Role::Registry, &arguments)? {
        Invocation::Print(text) => println!("{text}"),
        Invocation::Run(settings) => {
            node::init_logging();
            let grace = settings.shutdown_grace;
            node::run_on_runtime(grace, vanepath_registry::shell::run(*settings))?;
        }
    }
    Ok(())
}
