//! vanepath-proxy: carries requests.

fn main() -> miette::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let role = vanepath_config::settings::Role::Proxy;
    match vanepath_config::settings::start(role, &arguments)? {
        vanepath_config::settings::Invocation::Print(text) => println!("{text}"),
        vanepath_config::settings::Invocation::Run(settings) => {
            vanepath_cluster::node::logs();
            let grace = settings.shutdown_grace;
            vanepath_cluster::node::runtime(grace, vanepath_proxy::shell::run(*settings))?;
        }
    }
    Ok(())
}
