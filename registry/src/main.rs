//! vanepath-registry: takes the outside control calls and tells callers where to go.

fn main() -> miette::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let role = vanepath_config::settings::Role::Registry;
    match vanepath_config::settings::start(role, &arguments)? {
        vanepath_config::settings::Invocation::Print(text) => println!("{text}"),
        vanepath_config::settings::Invocation::Run(settings) => {
            vanepath_cluster::node::init_logging();
            let grace = settings.shutdown_grace;
            vanepath_cluster::node::run_on_runtime(
                grace,
                vanepath_registry::shell::run(*settings),
            )?;
        }
    }
    Ok(())
}
