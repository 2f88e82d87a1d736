//! vanepath-proxy: carries requests.

fn main() -> miette::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let role = vanepath_config::settings::Role::Proxy;
    match vanepath_config::settings::start(role, &arguments)? {
        vanepath_config::settings::Invocation::Print(text) => println!("{text}"),
        vanepath_config::settings::Invocation::Run(settings) => {
            vanepath_cluster::node::init_logging();
            let grace = settings.shutdown_grace;
            vanepath_cluster::node::run_on_runtime(grace, vanepath_proxy::shell::run(*settings))?;
        }
    }
    Ok(())
}
